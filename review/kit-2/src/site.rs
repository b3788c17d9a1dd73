//! A small deployment: state service, cloud, fleet, three controllers and users.

use crate::ctl::{Controllers, Settings};
use crate::fleet::{Build, Fleet, Plan};
use crate::state::State;
use crate::users::Users;
use crate::util::{note, now, sleep};
use crate::world::{Job, Rules, World};
use std::sync::Arc;
use std::thread;

/// A run is ended after this time, seconds.
const LONGEST_S: f64 = 113.0;

pub struct Site {
    pub state: Arc<State>,
    pub fleet: Arc<Fleet>,
    pub ctl: Arc<Controllers>,
    pub users: Users,
    pub world: Arc<World>,
}

/// Settings like those of the second deployment of the brief.
pub fn ledger() -> Settings {
    Settings {
        teams: vec![
            ("abay", 48.0, 152.0),
            ("sheba", 48.0, 152.0),
            ("entoto", 24.0, 64.0),
            ("awash", 32.0, 72.0),
        ],
        zones: vec!["addis"],
        report_s: 2.0,
        lease_s: 12.0,
        cancel_s: 32.0,
        rps: 100.0,
        write_rps: 20.0,
        txn_ops: 16,
        list_lag_s: 5.0,
        core_share: 0.096,
        mem_mb: 72.0,
        fd_limit: 1500,
        log: "error",
        class: "mezgeb",
    }
}

/// Settings like those of the first deployment of the brief.
pub fn lifts() -> Settings {
    Settings {
        teams: vec![("assistencia", 0.0, 0.0)],
        zones: vec!["porto", "lisboa", "faro"],
        report_s: 3.0,
        lease_s: 22.0,
        cancel_s: 47.0,
        rps: 200.0,
        write_rps: 60.0,
        txn_ops: 24,
        list_lag_s: 8.0,
        core_share: 0.2,
        mem_mb: 104.0,
        fd_limit: 1500,
        log: "error",
        class: "inspecoes",
    }
}

/// Settings like those of the second deployment as a far larger fleet (kit/fleet/LATER.md).
pub fn ledger_fleet() -> Settings {
    Settings {
        report_s: 5.0,
        lease_s: 26.5,
        cancel_s: 46.5,
        rps: 300.0,
        write_rps: 60.0,
        core_share: 0.248,
        mem_mb: 188.0,
        fd_limit: 3917,
        ..ledger()
    }
}

pub fn compacta() -> Build {
    Build { name: "compacta", vcpus: 8.0, mem: 64.0, price: 0.42, fetch: 0.25, startup: 40.0 }
}

pub fn tinish() -> Build {
    Build { name: "tinish", vcpus: 4.0, mem: 16.0, price: 0.24, fetch: 0.12, startup: 15.0 }
}

/// The plan of the fleet for these settings; the addresses of the controllers are set later.
pub fn plan(set: &Settings, builds: Vec<Build>, ordinary: usize, spot: usize) -> Plan {
    Plan {
        nodes: Vec::new(),
        builds,
        quarters: set.zones.clone(),
        ordinary,
        spot,
        report_s: set.report_s,
        lease_s: set.lease_s,
        list_lag_s: set.list_lag_s,
        boot: (0.6, 1.5),
    }
}

/// An array job without special demands.
pub fn array(team: &str, pieces: u32, vcpus: f64, run: f64) -> Job {
    Job {
        team: team.into(),
        service: false,
        pieces,
        vcpus,
        mem: 2.0,
        image: "img-01".into(),
        gb: 0.1,
        builds: None,
        quarter: None,
        together: false,
        spread: false,
        loaners: true,
        mark: 0.0,
        stow: 0.0,
        run,
        guess: run,
        broken: false,
    }
}

impl Site {
    pub fn start(set: &Settings, mut plan: Plan, seed: u64) -> Self {
        let cpus_max = set.teams.iter().map(|t| (t.0.to_owned(), t.2)).collect();
        let world = Arc::new(World::new(Rules { cancel_s: set.cancel_s, cpus_max }));
        let serve = Controllers::free(3);
        plan.nodes.clone_from(&serve);
        let (state, states) = State::start(3, set.rps, set.write_rps, set.txn_ops, seed);
        let (fleet, cloud) = Fleet::start(world.clone(), plan, seed);
        let ctl = Arc::new(Controllers::new(set, &[cloud; 3], &states, &serve));
        ctl.start_all();
        let watched = ctl.clone();
        thread::spawn(move || {
            sleep(LONGEST_S);
            note("the run is ended, it takes too long");
            watched.finish();
            std::process::exit(2);
        });
        let users = Users { world: world.clone(), nodes: serve };
        let w = world.clone();
        thread::spawn(move || loop {
            w.check();
            sleep(0.1);
        });
        Self { state, fleet, ctl, users, world }
    }

    /// Waits until a condition holds; false if it doesn't in time.
    pub fn until(&self, what: &str, within: f64, holds: impl Fn() -> bool) -> bool {
        let end = now() + within;
        while now() < end {
            if holds() {
                return true;
            }
            sleep(0.05);
        }
        note(&format!("not in {within} s: {what}"));
        false
    }

    /// Waits for a leader that has a full lease.
    pub fn leader(&self, within: f64) -> Option<usize> {
        self.until("a leader", within, || self.state.leader().is_some());
        self.state.leader()
    }

    /// Ends everything and gives the exit code: 1 if a rule was broken.
    pub fn finish(self) -> i32 {
        for line in self.ctl.ended() {
            self.world.seen.lock().unwrap().violate("ended", &line);
        }
        self.ctl.finish();
        let seen = self.world.seen.lock().unwrap();
        note(&format!(
            "starts {}, jobs {}, rules broken {}",
            seen.starts,
            seen.jobs.len(),
            seen.broken.len()
        ));
        for line in &seen.broken {
            println!("BROKEN {line}");
        }
        i32::from(!seen.broken.is_empty())
    }
}
