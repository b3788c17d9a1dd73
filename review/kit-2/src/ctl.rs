//! The controllers as processes of their own, with the command of the deploy file.

use crate::util::note;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The settings that scenarios vary.
#[derive(Clone)]
pub struct Settings {
    pub teams: Vec<(&'static str, f64, f64)>,
    pub zones: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub txn_ops: usize,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub fd_limit: usize,
    pub log: &'static str,
    pub class: &'static str,
}

pub struct Controllers {
    dir: PathBuf,
    program: Vec<String>,
    pub serve: Vec<SocketAddr>,
    children: Mutex<Vec<Option<Child>>>,
    log: &'static str,
}

/// Free ports below the ephemeral range.
fn free_ports(n: usize) -> Vec<SocketAddr> {
    static GIVEN: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 37;
    let mut held = Vec::new();
    while held.len() < n {
        // No port is given twice, as the first ones are free again until they are used.
        let at = 10_000 + (first + GIVEN.fetch_add(1, Ordering::Relaxed)) % 21_000;
        if let Ok(l) = TcpListener::bind(("127.0.0.1", at as u16)) {
            held.push(l);
        }
    }
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// The `run` line of the deploy file, from the repository's root.
fn run_line(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/service.toml")).expect("deploy/service.toml");
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("run");
    let run = line.split_once('=').expect("run = ").1.trim().trim_matches('"');
    run.split_whitespace().map(str::to_owned).collect()
}

impl Controllers {
    /// Prepares the settings of the controllers; `cloud` and `state` are the addresses for each.
    pub fn new(
        set: &Settings,
        cloud: &[SocketAddr],
        state: &[SocketAddr],
        serve: &[SocketAddr],
    ) -> Self {
        let n = serve.len();
        let bind = free_ports(n);
        let dir = std::env::temp_dir().join(format!("marblebarrow-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("temporary folder");
        for a in 0..n {
            let mut s = format!(
                "node = \"barrow-{a}\"\nsite = \"{}\"\nserve_on = \"{}\"\npeer_bind = \"{}\"\n",
                set.zones[a % set.zones.len()],
                serve[a],
                bind[a]
            );
            for b in (0..n).filter(|b| *b != a) {
                let zone = set.zones[b % set.zones.len()];
                s += &format!(
                    "[[others]]\nnode = \"barrow-{b}\"\nsite = \"{zone}\"\nendpoint = \"{}\"\n",
                    bind[b]
                );
            }
            s += &format!("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", cloud[a], state[a]);
            s += &format!(
                "[facts]\ninitial_size = {n}\nzones = {:?}\nclock_off_ms = 100.0\n",
                set.zones
            );
            for (name, cpus, max) in &set.teams {
                s += &format!("[[facts.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\ngpus = 0.0\ngpus_max = 0.0\n");
            }
            s += &format!("[[facts.objectives]]\nkind = \"deadline\"\nclass = \"{}\"\nshare = 0.92\ntimes = 1.0\n", set.class);
            s += &format!("[facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = {:.1}\n", set.report_s, set.lease_s, set.cancel_s);
            s += &format!(
                "[facts.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 16.0\ntxn_ops = {}\n",
                set.rps, set.write_rps, set.txn_ops
            );
            s += &format!("[facts.cloud]\nrps = 5.0\nlist_lag_s = {:.1}\n", set.list_lag_s);
            s += &format!(
                "[facts.resources]\ncore_share = {}\nmem_mb = {:.1}\nfd_limit = {}\n",
                set.core_share, set.mem_mb, set.fd_limit
            );
            fs::write(dir.join(format!("barrow-{a}.toml")), s).expect("settings");
        }
        let root = std::env::current_dir().expect("folder");
        let program = run_line(&root);
        let children = Mutex::new((0..n).map(|_| None).collect());
        Self { dir, program, serve: serve.to_vec(), children, log: set.log }
    }

    pub fn free(n: usize) -> Vec<SocketAddr> {
        free_ports(n)
    }

    pub fn start(&self, a: usize) {
        let mut children = self.children.lock().unwrap();
        if children[a].is_some() {
            return;
        }
        let err = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("barrow-{a}.log")));
        let mut command = Command::new(&self.program[0]);
        // A controller ends with this program, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(&self.program[1..])
            .arg(self.dir.join(format!("barrow-{a}.toml")))
            .env("LOG_LEVEL", self.log)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(err.map_or(Stdio::null(), Stdio::from))
            .spawn()
            .expect("the program of the deploy file starts");
        note(&format!("controller {a} starts, process {}", child.id()));
        children[a] = Some(child);
    }

    pub fn start_all(&self) {
        (0..self.serve.len()).for_each(|a| self.start(a));
    }

    pub fn kill(&self, a: usize) {
        if let Some(mut c) = self.children.lock().unwrap()[a].take() {
            note(&format!("controller {a} is killed"));
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    /// Controllers that ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (a, c) in self.children.lock().unwrap().iter_mut().enumerate() {
            if let Some(child) = c {
                if let Ok(Some(status)) = child.try_wait() {
                    out.push(format!("controller {a} ended by itself: {status}"));
                    *c = None;
                }
            }
        }
        out
    }

    /// Ends all controllers; keeps their logs if asked to.
    pub fn finish(&self) {
        for a in 0..self.serve.len() {
            if let Some(mut c) = self.children.lock().unwrap()[a].take() {
                let _ = c.kill();
                let _ = c.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            note(&format!("logs: {}", self.dir.display()));
        }
    }
}
