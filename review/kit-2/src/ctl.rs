//! The controllers as processes of their own, with the command of the deploy file.

use crate::util::{note, signal, sleep, CONT, STOP};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A proxy on the way from one side to another: delays nothing, drops all while it is cut.
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
    /// Raised to reset the connections that are open.
    reset: Arc<AtomicU64>,
}

impl Link {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("addr");
        let (cut, reset) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (c, r) = (cut.clone(), reset.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (c, r) = (c.clone(), r.clone());
                thread::spawn(move || {
                    // A connection through a cut hangs.
                    while c.load(Ordering::Relaxed) {
                        sleep(0.02);
                    }
                    let Ok(up) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
                    let _ = (stream.set_nodelay(true), up.set_nodelay(true));
                    let born = r.load(Ordering::Relaxed);
                    for (a, b) in [(&stream, &up), (&up, &stream)] {
                        let (Ok(a), Ok(b)) = (a.try_clone(), b.try_clone()) else { return };
                        let (c, r) = (c.clone(), r.clone());
                        thread::spawn(move || pump(a, b, &c, &r, born));
                    }
                });
            }
        });
        Self { addr, cut, reset }
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
    pub fn reset(&self) {
        self.reset.fetch_add(1, Ordering::Relaxed);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, reset: &AtomicU64, born: u64) {
    let mut chunk = [0u8; 16 * 1024];
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let end = |a: &TcpStream, b: &TcpStream| {
        let _ = (a.shutdown(Shutdown::Both), b.shutdown(Shutdown::Both));
    };
    loop {
        if reset.load(Ordering::Relaxed) != born {
            return end(&from, &to);
        }
        // Packets are held back by a cut and delivered in order when it ends.
        if cut.load(Ordering::Relaxed) {
            sleep(0.02);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => return end(&from, &to),
            Ok(n) => {
                while cut.load(Ordering::Relaxed) {
                    sleep(0.02);
                }
                if to.write_all(&chunk[..n]).is_err() {
                    return end(&from, &to);
                }
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return end(&from, &to),
        }
    }
}

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
    /// `peers[a][b]`: the way from controller a to controller b.
    pub peers: Vec<Vec<Option<Link>>>,
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
    pub fn new(set: &Settings, cloud: &[SocketAddr], state: &[SocketAddr], serve: &[SocketAddr]) -> Self {
        let n = serve.len();
        let bind = free_ports(n);
        let dir = std::env::temp_dir().join(format!("marblebarrow-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("temporary folder");
        let peers: Vec<Vec<Option<Link>>> =
            (0..n).map(|a| (0..n).map(|b| (a != b).then(|| Link::to(bind[b]))).collect()).collect();
        for a in 0..n {
            let mut s = format!(
                "node = \"barrow-{a}\"\nsite = \"{}\"\nserve_on = \"{}\"\npeer_bind = \"{}\"\n",
                set.zones[a % set.zones.len()], serve[a], bind[a]
            );
            for (b, link) in peers[a].iter().enumerate() {
                if let Some(link) = link {
                    let zone = set.zones[b % set.zones.len()];
                    s += &format!("[[others]]\nnode = \"barrow-{b}\"\nsite = \"{zone}\"\nendpoint = \"{}\"\n", link.addr);
                }
            }
            s += &format!("[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n", cloud[a], state[a]);
            s += &format!("[facts]\ninitial_size = {n}\nzones = {:?}\nclock_off_ms = 100.0\n", set.zones);
            for (name, cpus, max) in &set.teams {
                s += &format!("[[facts.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\ngpus = 0.0\ngpus_max = 0.0\n");
            }
            s += &format!("[[facts.objectives]]\nkind = \"deadline\"\nclass = \"{}\"\nshare = 0.92\ntimes = 1.0\n", set.class);
            s += &format!("[facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = {:.1}\n", set.report_s, set.lease_s, set.cancel_s);
            s += &format!("[facts.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 16.0\ntxn_ops = {}\n", set.rps, set.write_rps, set.txn_ops);
            s += &format!("[facts.cloud]\nrps = 5.0\nlist_lag_s = {:.1}\n", set.list_lag_s);
            s += &format!("[facts.resources]\ncore_share = {}\nmem_mb = {:.1}\nfd_limit = {}\n", set.core_share, set.mem_mb, set.fd_limit);
            fs::write(dir.join(format!("barrow-{a}.toml")), s).expect("settings");
        }
        let root = std::env::current_dir().expect("folder");
        let program = run_line(&root);
        let children = Mutex::new((0..n).map(|_| None).collect());
        Self { dir, program, serve: serve.to_vec(), children, peers, log: set.log }
    }

    pub fn free(n: usize) -> Vec<SocketAddr> {
        free_ports(n)
    }

    pub fn start(&self, a: usize) {
        let mut children = self.children.lock().unwrap();
        if children[a].is_some() {
            return;
        }
        let err = File::options().create(true).append(true).open(self.dir.join(format!("barrow-{a}.log")));
        let child = Command::new(&self.program[0])
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

    pub fn pid(&self, a: usize) -> Option<u32> {
        self.children.lock().unwrap()[a].as_ref().map(Child::id)
    }

    /// Lets a controller stand still for a while.
    pub fn freeze(&self, a: usize, s: f64) {
        if let Some(pid) = self.pid(a) {
            note(&format!("controller {a} stands still for {s:.1} s"));
            signal(pid, STOP);
            sleep(s);
            signal(pid, CONT);
            note(&format!("controller {a} goes on"));
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

    /// Cuts or restores the ways between a controller and all others.
    pub fn cut_peers(&self, a: usize, cut: bool) {
        note(&format!("ways between controller {a} and the others: {}", if cut { "cut" } else { "open" }));
        for b in 0..self.peers.len() {
            for link in [&self.peers[a][b], &self.peers[b][a]].into_iter().flatten() {
                link.cut(cut);
            }
        }
    }

    /// Ends all controllers; keeps their logs if asked to.
    pub fn finish(&self) {
        for a in 0..self.serve.len() {
            if let Some(mut c) = self.children.lock().unwrap()[a].take() {
                signal(c.id(), CONT);
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
