//! Controllers as separate processes, started with the command of the deploy file, and the users'
//! requests to them.

use crate::cbor::{Value, map};
use crate::http::request;
use crate::platform::{Job, Platform, Terms};
use crate::record::Record;
use crate::store::{Limits, Store};
use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A team's guarantee and limit, CPUs.
pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// The settings of a deployment.
pub struct Plan {
    pub teams: Vec<Team>,
    pub cancel_s: f64,
    pub limits: Limits,
    /// Announced limits of the state service (`facts.state.next`).
    pub next: Option<Limits>,
    pub cloud_rps: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub terms: Terms,
}

/// Controllers, and the stand-ins they use.
pub struct Cluster {
    pub store: Arc<Store>,
    pub platform: Arc<Platform>,
    pub nodes: Vec<String>,
    pub names: Vec<String>,
    record: Record,
    children: Arc<Mutex<Vec<Option<Child>>>>,
    run: Vec<String>,
    dir: PathBuf,
}

const CONTROLLERS: usize = 3;

/// Free ports below the range from which the system takes those of connections.
fn free_ports(count: usize) -> Vec<u16> {
    let start = std::process::id().wrapping_mul(211) % 20_000;
    let ports = (0..20_000).map(|n| (10_000 + (start + n) % 20_000) as u16);
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let held: Vec<TcpListener> = free.take(count).collect();
    held.iter().map(|l| l.local_addr().expect("an address").port()).collect()
}

impl Cluster {
    pub fn start(plan: &Plan, record: &Record, dir: &Path) -> Self {
        let ports = free_ports(CONTROLLERS * 2);
        let address = |port: &u16| format!("127.0.0.1:{port}");
        let nodes: Vec<String> = ports[..CONTROLLERS].iter().map(address).collect();
        let peers: Vec<String> = ports[CONTROLLERS..].iter().map(address).collect();
        let names: Vec<String> = (0..CONTROLLERS).map(|i| format!("barrow-{i}")).collect();
        let store = Store::new(plan.limits);
        let platform = Platform::new(plan.terms.clone(), record.clone());
        let cloud = platform.serve_cloud(nodes.clone(), names.clone()).to_string();
        for i in 0..CONTROLLERS {
            let state = store.serve_node(i).to_string();
            let text = settings(plan, i, &nodes, &peers, &names, &cloud, &state);
            fs::write(dir.join(format!("barrow-{i}.toml")), text).expect("settings");
        }
        let deploy = fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("`run` in the deploy file").split(' ').map(str::to_owned).collect();
        let children = Arc::new(Mutex::new((0..CONTROLLERS).map(|_| None).collect()));
        let cluster = Self {
            store,
            platform,
            nodes,
            names,
            record: record.clone(),
            children,
            run,
            dir: dir.to_owned(),
        };
        (0..CONTROLLERS).for_each(|i| cluster.launch(i));
        cluster
    }

    /// Starts a controller.
    pub fn launch(&self, i: usize) {
        let log = self.dir.join(format!("barrow-{i}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(self.dir.join(format!("barrow-{i}.toml")))
            .env("LOG_LEVEL", std::env::var("REVIEW_LOG").unwrap_or_else(|_| "info".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller");
        let pid = child.id();
        let mut pids = fs::OpenOptions::new().create(true).append(true).open(self.dir.join("pids"));
        if let Ok(file) = &mut pids {
            use std::io::Write;
            let _ = writeln!(file, "{pid}");
        }
        self.record.line(&format!("{} started, process {pid}", self.names[i]));
        self.children.lock().expect("children")[i] = Some(child);
    }

    /// Kills a controller.
    pub fn kill(&self, i: usize) {
        if let Some(mut child) = self.children.lock().expect("children")[i].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.names[i]));
        }
    }

    /// Whether all controllers still run.
    pub fn ended_by_itself(&self) -> Vec<String> {
        let mut children = self.children.lock().expect("children");
        let mut ended = Vec::new();
        for (child, name) in children.iter_mut().zip(&self.names) {
            if let Some(child) = child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{name}: {status}"));
            }
        }
        ended
    }

    /// The controller that leads, by the state service's record.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("w/lead")?;
        self.names.iter().position(|name| name == record.str("node"))
    }

    /// Waits until a controller leads and all are healthy.
    pub fn wait_ready(&self) -> bool {
        self.wait(30.0, || {
            let healthy = |node: &String| {
                let answer = request(node, "GET", "/healthz", &[], Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            self.leader().is_some() && self.nodes.iter().all(healthy)
        })
    }

    /// Waits until a condition holds; false if it doesn't in time.
    pub fn wait(&self, seconds: f64, holds: impl Fn() -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a user's request to one controller, and records it.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        seconds: f64,
    ) -> Option<(u16, Value)> {
        let sent = self.record.now();
        let timeout = Duration::from_secs_f64(seconds);
        let answer = request(&self.nodes[node], method, path, body, timeout);
        let answer = answer.map(|(status, body)| (status, Value::decode(&body)));
        let shown = match &answer {
            Some((status, body)) => format!("{status} {}", summary(body)),
            None => "no answer".to_owned(),
        };
        let name = &self.names[node];
        self.record.line(&format!("user to {name}: {method} {path} (sent {sent:.3}): {shown}"));
        answer
    }

    /// Submits a job as a user does: tries again after a second unless it is accepted or refused
    /// for good. Begins with the controller `first`. Returns the last status.
    pub fn submit(&self, job: &Job, first: usize) -> u16 {
        self.platform.upload(job);
        let mut last = 0;
        for n in 0..20 {
            let node = (first + n) % self.nodes.len();
            let answer = self.ask(node, "POST", "/api/jobs", &job.body(), 5.0);
            last = answer.map_or(0, |(status, _)| status);
            if matches!(last, 200 | 201 | 400 | 422) {
                return last;
            }
            thread::sleep(Duration::from_secs(1));
        }
        last
    }

    /// Asks a controller for a job's stage; the status and the stage.
    pub fn poll(&self, node: usize, id: &str) -> Option<(u16, String)> {
        let (status, body) = self.ask(node, "GET", &format!("/api/jobs/{id}"), &[], 2.0)?;
        Some((status, body.str("stage").to_owned()))
    }

    /// Ends all controllers.
    pub fn end(&self) {
        (0..CONTROLLERS).for_each(|i| self.kill(i));
        // `run.sh` ends the processes that are named there.
        let _ = fs::remove_file(self.dir.join("pids"));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end();
    }
}

fn summary(body: &Value) -> String {
    let mut shown = Vec::new();
    for key in ["ref", "stage", "error"] {
        if !body.str(key).is_empty() {
            shown.push(format!("{key}={}", body.str(key)));
        }
    }
    if *body == map(&[]) { String::new() } else { shown.join(" ") }
}

fn settings(
    plan: &Plan,
    i: usize,
    nodes: &[String],
    peers: &[String],
    names: &[String],
    cloud: &str,
    state: &str,
) -> String {
    let zone = plan.terms.flavors[0].zones[0];
    let mut out = format!("node = \"{}\"\nsite = \"{zone}\"\n", names[i]);
    out += &format!("serve_on = \"{}\"\npeer_bind = \"{}\"\n\n", nodes[i], peers[i]);
    for o in (0..names.len()).filter(|o| *o != i) {
        out += &format!(
            "[[others]]\nnode = \"{}\"\nsite = \"{zone}\"\nendpoint = \"{}\"\n\n",
            names[o], peers[o]
        );
    }
    out += &format!("[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n");
    out += &format!("[facts]\ninitial_size = {}\nzones = [\"{zone}\"]\n", names.len());
    out += "clock_off_ms = 100.0\n\n";
    for team in &plan.teams {
        out += &format!(
            "[[facts.teams]]\nname = \"{}\"\ncpus = {:.1}\ncpus_max = {:.1}\ngpus = 0.0\n\
             gpus_max = 0.0\n\n",
            team.name, team.cpus, team.cpus_max
        );
    }
    let Terms { report_s, lease_s, list_lag_s, .. } = &plan.terms;
    out += &format!("[facts.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n");
    out += &format!("gang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = {:.1}\n\n", plan.cancel_s);
    let limits = |l: &Limits| {
        format!(
            "rps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\n",
            l.rps, l.write_rps, l.value_kb, l.txn_ops
        )
    };
    out += &format!("[facts.state]\n{}", limits(&plan.limits));
    if let Some(next) = &plan.next {
        out += &format!("[facts.state.next]\n{}", limits(next));
    }
    out += &format!("[facts.cloud]\nrps = {:.1}\nlist_lag_s = {list_lag_s:.1}\n\n", plan.cloud_rps);
    out += &format!("[facts.resources]\ncore_share = {:.3}\n", plan.core_share);
    out + &format!("mem_mb = {:.1}\nfd_limit = 1500\n", plan.mem_mb)
}
