//! Random troubles of the users' pages on a small deployment.

use crate::site::{array, ledger, plan, tinish, Site};
use crate::state::Mode;
use crate::util::{note, now, sleep, Rng};
use crate::world::Job;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

fn job(rng: &mut Rng) -> Job {
    let teams = ["abay", "sheba", "entoto", "awash"];
    let team = teams[rng.below(4)];
    let mut j = array(team, 1 + rng.below(12) as u32, [1.0, 2.0][rng.below(2)], rng.between(1.0, 15.0));
    j.image = format!("img-{:02}", rng.below(3));
    j.gb = rng.between(0.02, 0.3);
    j.loaners = rng.chance(0.7);
    if rng.chance(0.3) {
        j.mark = 2.0;
        j.stow = 1.5;
    }
    match rng.below(8) {
        0 => {
            j.service = true;
            j.pieces = 1 + rng.below(3) as u32;
            j.loaners = false;
            j.spread = rng.chance(0.5);
        }
        1 => j.together = true,
        2 => j.spread = true,
        3 => j.quarter = Some("bole".into()),
        4 => j.builds = Some(vec!["tinish".into()]),
        5 => j.broken = rng.chance(0.5),
        _ => {}
    }
    j
}

pub fn run(seed: u64, trouble: bool) -> i32 {
    let length: f64 = std::env::var("LENGTH").ok().and_then(|l| l.parse().ok()).unwrap_or(110.0);
    let mut set = ledger();
    set.zones = vec!["addis", "bole"];
    set.teams = vec![("abay", 4.0, 12.0), ("sheba", 4.0, 12.0), ("entoto", 2.0, 8.0), ("awash", 2.0, 8.0)];
    set.log = "info";
    let mut plan = plan(&set, vec![tinish()], 6, 4);
    plan.builds[0].startup = 4.0;
    if trouble {
        let mut r = Rng::new(seed + 500);
        plan.late_commands = [0.0, 0.1][r.below(2)];
        plan.repeated_commands = [0.0, 0.2][r.below(2)];
        plan.late_reports = [0.0, 0.1][r.below(2)];
    }
    let site = Arc::new(Site::start(&set, plan, seed));
    let over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let mut users = Vec::new();
    for u in 0..8u64 {
        let (site, over, next) = (site.clone(), over.clone(), next.clone());
        users.push(thread::spawn(move || {
            let mut rng = Rng::new(seed * 100 + u);
            while !over.load(Ordering::Relaxed) {
                let id = format!("req-{:06}", next.fetch_add(1, Ordering::Relaxed));
                let j = job(&mut rng);
                let first = rng.below(3);
                if rng.chance(0.1) {
                    site.users.poll_once(first, &format!("req-9{:05}", rng.below(99999)));
                }
                if !site.users.submit(first, &id, &j, "mezgeb", Some(60.0)) {
                    continue;
                }
                let give_up = now() + rng.between(5.0, 40.0);
                let cancels = j.service || j.broken || rng.chance(0.4);
                let early = rng.chance(0.3);
                loop {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    if rng.chance(0.3) {
                        for n in 0..3 {
                            site.users.poll_once(n, &id);
                        }
                    }
                    if rng.chance(0.1) {
                        site.users.submit_once(rng.below(3), &id, &j, "mezgeb", Some(60.0));
                    }
                    let a = site.users.poll_once(rng.below(3), &id);
                    if a.is_some_and(|a| a.1 == "done" || a.1 == "aborted") {
                        for n in 0..3 {
                            site.users.poll_once(n, &id);
                        }
                        break;
                    }
                    if cancels && (early || now() > give_up) {
                        site.users.cancel(rng.below(3), &id);
                        for n in 0..3 {
                            site.users.poll_once(n, &id);
                        }
                        break;
                    }
                    if now() > give_up + 60.0 {
                        break;
                    }
                    sleep(rng.between(0.3, 2.0));
                }
            }
        }));
    }
    let end = now() + length;
    let mut rng = Rng::new(seed);
    sleep(12.0);
    while now() < end && trouble {
        trouble_once(&site, &mut rng);
        sleep(rng.between(0.5, 6.0));
        for line in site.ctl.ended() {
            site.world.seen.lock().unwrap().violate("ended", &line);
        }
    }
    while now() < end {
        sleep(0.2);
    }
    over.store(true, Ordering::Relaxed);
    sleep(0.5);
    site.ctl.finish();
    users.into_iter().for_each(|u| {
        let _ = u.join();
    });
    let seen = site.world.seen.lock().unwrap();
    let done = seen.told_done.len();
    note(&format!("starts {} accepted {} done {done} cancelled {}", seen.starts, seen.accepted.len(), seen.cancelled.len()));
    println!("seed {seed}: starts {} accepted {} done {done} cancelled {} broken {:?}", seen.starts, seen.accepted.len(), seen.cancelled.len(), seen.broken);
    i32::from(!seen.broken.is_empty())
}

fn machine(site: &Site, rng: &mut Rng) -> Option<String> {
    let names = site.fleet.names();
    (!names.is_empty()).then(|| names[rng.below(names.len())].clone())
}

fn trouble_once(site: &Arc<Site>, rng: &mut Rng) {
    let leader = site.state.leader().unwrap_or(0);
    let any = rng.below(3);
    let node = if rng.chance(0.6) { leader } else { any };
    let s = site.clone();
    match rng.below(16) {
        0 | 1 => {
            let back = if rng.chance(0.4) { rng.between(0.05, 0.4) } else { 5.0 };
            site.ctl.kill(node);
            thread::spawn(move || {
                sleep(back);
                s.ctl.start(node);
            });
        }
        2 => {
            (0..3).for_each(|n| site.ctl.kill(n));
            let back = [0.2, 5.0, 14.0][rng.below(3)];
            sleep(back);
            site.ctl.start_all();
        }
        3 | 4 => {
            let long = [1.0, 3.0, 5.0, 12.0][rng.below(4)];
            thread::spawn(move || s.ctl.freeze(node, long));
        }
        5 => {
            site.state.set_all([Mode::Refuse, Mode::Silent][rng.below(2)]);
            sleep(rng.between(2.0, 20.0));
            site.state.set_all(Mode::Ok);
        }
        6 | 7 => {
            let (mode, long) = ([Mode::Refuse, Mode::Silent][rng.below(2)], rng.between(1.0, 15.0));
            site.state.set(node, mode);
            thread::spawn(move || {
                sleep(long);
                s.state.set(node, Mode::Ok);
            });
        }
        8 => {
            site.ctl.cut_peers(node, true);
            let long = rng.between(1.0, 15.0);
            let too = rng.chance(0.5);
            if too {
                site.state.set(node, Mode::Silent);
            }
            thread::spawn(move || {
                sleep(long);
                s.ctl.cut_peers(node, false);
                if too {
                    s.state.set(node, Mode::Ok);
                }
            });
        }
        9 => {
            let share = [0.3, 0.6][rng.below(2)];
            note(&format!("late transactions, share {share}"));
            (0..3).for_each(|n| site.state.set_late(n, share));
            sleep(rng.between(2.0, 6.0));
            (0..3).for_each(|n| site.state.set_late(n, 0.0));
        }
        10 => {
            note("lost answers");
            (0..3).for_each(|n| site.state.set_lost(n, 0.5));
            sleep(rng.between(2.0, 6.0));
            (0..3).for_each(|n| site.state.set_lost(n, 0.0));
        }
        _ => {
            let Some(name) = machine(site, rng) else { return };
            let Some(m) = site.fleet.machine(&name) else { return };
            let until = now() + [2.0, 6.0, 10.0, 20.0, 40.0][rng.below(5)];
            let kind = rng.below(if std::env::var_os("RESTARTS").is_some() { 12 } else { 6 });
            if kind == 5 {
                return site.fleet.gone(&name, "taken");
            }
            let mut m = m.lock().unwrap();
            if kind > 5 {
                return m.restart(&site.world);
            }
            match kind {
                0 => m.ails.cut = until,
                1 => m.ails.hang = until,
                2 => m.ails.deaf = until,
                3 => m.ails.mute = until,
                _ => m.warning = m.site.loaners.then_some(now() + 10.0),
            }
            note(&format!("fleet: {name} ails: {:?}", m.ails));
        }
    }
}
