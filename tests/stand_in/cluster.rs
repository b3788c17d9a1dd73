//! Controller processes that run against the simulated services, and a client for them.

use super::cloud::cloud;
use super::http::{request, serve};
use super::inputs::{Plan, job_body, settings_text, stage};
use super::store::{SharedStore, handle_store_request};
use super::usage::Usage;
use super::worker::{Fleet, ReceivedCommands};
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::records::{LEADER_KEY, LeaderRecord, SPECS_PREFIX};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a test stops waiting for a condition and fails.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Number of unfinished jobs whose log lines a failing test prints.
const OPEN_JOBS_SHOWN: usize = 5;
/// Number of log lines printed per job and controller; the most recent ones are chosen.
const LINES_SHOWN: usize = 20;

/// If this environment variable is set, the logs of passing tests are kept as well.
const KEEP_LOGS_VARIABLE: &str = "KEEP_LOGS";

/// Distance between the first ports of processes with consecutive ids; greater than the number
/// of ports one test file uses.
const PORT_STRIDE: u32 = 211;

/// Ports below the ephemeral range. The system could assign an ephemeral port to another connection
/// or simulated service between its release here and its use by the child process; when that
/// happened, workers received requests meant for controllers.
const PORT_RANGE: std::ops::Range<u32> = 10_000..32_000;

/// Held while ports are bound to find free ones, and while a child process is started: until the
/// child runs its program, it holds a copy of every socket of this process, and the ports can't be
/// bound again.
static PORTS_OR_SPAWN: Mutex<()> = Mutex::new(());

/// Finds free ports by binding them, then releases them for the child processes. Each process
/// starts at a different port and repeats none until the whole range is used.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _no_child_starts = PORTS_OR_SPAWN.lock().unwrap_or_else(PoisonError::into_inner);
    let port_count = PORT_RANGE.end - PORT_RANGE.start;
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    let ports = std::iter::repeat_with(|| {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        (PORT_RANGE.start + number % port_count) as u16
    });
    let free = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let held: Vec<TcpListener> = free.take(count).collect();
    held.iter().map(|listener| listener.local_addr().expect("addr")).collect()
}

/// Controller processes and the simulated services they use.
pub struct Cluster {
    children: Vec<Option<Child>>,
    nodes: Vec<String>,
    fleet: Arc<Fleet>,
    store: SharedStore,
    dir: PathBuf,
}

impl Cluster {
    /// Starts a small cluster with `count` controllers.
    pub fn start(count: usize) -> Self {
        Self::start_with(Plan::small(count))
    }

    /// Starts a cluster.
    pub fn start_with(plan: Plan) -> Self {
        Self::start_in_cell(plan, None)
    }

    /// Starts a cluster; `cell_files` holds the cells file of each controller if there are other
    /// cells.
    pub fn start_in_cell(plan: Plan, cell_files: Option<Vec<String>>) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_marblebarrow"));
        Self::start_programs(plan, cell_files, &vec![program; plan.controllers])
    }

    /// Starts a cluster in which controller `i` runs `programs[i]`.
    pub fn start_programs(plan: Plan, cell_files: Option<Vec<String>>, programs: &[&Path]) -> Self {
        let count = plan.controllers;
        let addrs: Vec<String> =
            free_addresses(count * 2).iter().map(ToString::to_string).collect();
        let (nodes, peers) = (addrs[..count].to_vec(), addrs[count..].to_vec());
        let store: SharedStore = Arc::default();
        let shared = store.clone();
        let store_addr = serve(move |m, p, b| handle_store_request(&shared, m, p, b));
        let fleet = Arc::new(Fleet::default());
        let cloud_addr = cloud(fleet.clone(), nodes.clone(), plan);
        let name = format!("marblebarrow-{}-{}", std::process::id(), nodes[0].replace(':', "-"));
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("dir");
        let children = (0..count)
            .map(|i| {
                let file = dir.join(format!("c{i}.toml"));
                let text = settings_text(i, &plan, &nodes, &peers, &cloud_addr, &store_addr);
                std::fs::write(&file, text).expect("write settings");
                if let Some(files) = &cell_files {
                    std::fs::write(dir.join(format!("c{i}.hcl")), &files[i])
                        .expect("write cells file");
                }
                Some(launch(&dir, i, programs[i]))
            })
            .collect();
        Self { children, nodes, fleet, store, dir }
    }

    /// Kills controller `i` if it is running and starts `program` with the same settings.
    pub fn replace(&mut self, i: usize, program: &Path) {
        if let Some(mut child) = self.children[i].take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
        self.children[i] = Some(launch(&self.dir, i, program));
    }

    /// Sends one request to controller `i`; `None` if it is not running or does not respond.
    pub fn request_one(&self, i: usize, method: &str, path: &str) -> Option<(u16, Vec<u8>)> {
        self.children[i].as_ref()?;
        request(&self.nodes[i], method, path, &[], Duration::from_secs(5))
    }

    /// Sends a request to the running controllers in turn until one responds with a status other
    /// than 429 or 503.
    pub fn call(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let running = (0..self.nodes.len()).filter(|i| self.children[*i].is_some());
        self.call_any(&running.collect::<Vec<_>>(), method, path, body)
    }

    /// Sends a request to controller `i` until it responds with a status other than 429 or 503.
    pub fn call_one(&self, i: usize, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        self.call_any(&[i], method, path, body)
    }

    fn call_any(
        &self,
        controllers: &[usize],
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            for i in controllers {
                match request(&self.nodes[*i], method, path, body, Duration::from_secs(5)) {
                    Some((429 | 503, _)) | None => {}
                    Some(answer) => return answer,
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("no controller answered {method} {path} in time");
    }

    /// Submits a job and checks that it is accepted.
    pub fn submit(&self, id: &str, shape: &str, tasks: u32) {
        let (status, _) = self.call("POST", "/api/jobs", &job_body(id, shape, tasks));
        assert!(matches!(status, 200 | 201), "submission of {id} was refused with status {status}");
    }

    /// Waits until every running controller reports that stage for the job.
    pub fn until(&self, id: &str, wanted: &str) {
        let end = Instant::now() + TIMEOUT;
        let path = format!("/api/jobs/{id}");
        let mut last = None;
        while Instant::now() < end {
            let all =
                self.nodes.iter().zip(&self.children).filter(|(_, c)| c.is_some()).all(|(n, _)| {
                    last = request(n, "GET", &path, &[], Duration::from_secs(5));
                    last.as_ref()
                        .is_some_and(|(s, b)| *s == 200 && stage(b).as_deref() == Some(wanted))
                });
            if all {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("not every controller reported {id} as {wanted} in time; last response: {last:?}");
    }

    /// Waits until a condition holds; `what` describes it in the failure message.
    pub fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until no worker runs a task of the job.
    pub fn wait_until_gone(&self, id: &str) {
        self.wait_for(&format!("no task of {id} runs"), |cluster| !cluster.fleet.holds(id));
    }

    /// Address where controller `i` serves its API.
    pub fn node(&self, i: usize) -> &str {
        &self.nodes[i]
    }

    /// The leader record in the store.
    fn leader(&self) -> LeaderRecord {
        let record = self.store.0.lock().expect("store").value(LEADER_KEY);
        cbor::from_value(&record.expect("a leader record")).expect("valid leader record")
    }

    /// Number of times the leader record was written.
    pub fn leaders(&self) -> usize {
        self.store.0.lock().expect("store").put_count(LEADER_KEY)
    }

    /// All direct commands that workers received so far.
    pub fn direct_commands(&self) -> Vec<ReceivedCommands> {
        self.fleet.direct_commands()
    }

    /// Restarts the worker of a machine under its name.
    pub fn restart_worker(&self, machine: &MachineId) {
        self.fleet.restart_worker(machine);
    }

    /// Number of blocking watches, of all controllers, that returned no events.
    pub fn empty_watches(&self) -> u64 {
        self.store.0.lock().expect("store").empty_watches()
    }

    /// From now on damages one store response out of `every`.
    pub fn damage_responses(&self, every: u64) {
        self.store.0.lock().expect("store").damage_responses(every);
    }

    /// Kills the leader's process.
    pub fn kill_leader(&mut self) {
        let i: usize = self.leader().node.as_str()[1..].parse().expect("index");
        if let Some(mut child) = self.children[i].take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Kills all controllers.
    pub fn kill_all(&mut self) {
        for mut child in self.children.iter_mut().filter_map(Option::take) {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Terminates a machine that runs a task of the job, without notice.
    pub fn end_holder(&self, job: &str) {
        self.wait_for(&format!("a task of {job} runs"), |c| c.fleet.holds(job));
        if let Some(machine) = self.fleet.holder(job) {
            self.fleet.end(&machine);
        }
    }

    /// Number of rented machines.
    pub fn rented(&self) -> usize {
        self.fleet.rented()
    }

    /// Opens a connection to controller `i` without sending a request.
    pub fn connect(&self, i: usize) -> Option<TcpStream> {
        let stream = TcpStream::connect(&self.nodes[i]).ok()?;
        stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
        Some(stream)
    }

    /// Peak resident memory in KB and current number of threads of a controller process, as the
    /// kernel reports them.
    pub fn peak_kb_and_threads(&self, i: usize) -> (u64, u64) {
        let pid = self.children[i].as_ref().expect("controller runs").id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("status");
        let field = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name)).expect("field");
            line.split_whitespace().next().and_then(|n| n.parse().ok()).expect("number")
        };
        (field("VmHWM:"), field("Threads:"))
    }

    /// Process ids of the running controllers.
    pub fn processes(&self) -> Vec<u32> {
        self.children.iter().flatten().map(Child::id).collect()
    }

    /// Resources that each running controller has used since it started.
    pub fn usage(&self) -> Vec<Usage> {
        let leader = self.leader().node;
        let named = self.children.iter().enumerate();
        let living = named.filter_map(|(i, child)| child.as_ref().map(|c| (i, c.id())));
        living.map(|(i, process)| Usage::of(process, leader.as_str() == format!("c{i}"))).collect()
    }

    /// Number of tasks that run on machines.
    pub fn held(&self) -> usize {
        self.fleet.held()
    }

    /// Stage of a job, from the first controller that responds with a status other than 429 or 503.
    pub fn stage_of(&self, id: &str) -> Option<String> {
        let (status, body) = self.call("GET", &format!("/api/jobs/{id}"), &[]);
        if status == 200 { stage(&body) } else { None }
    }

    /// Jobs of which a task ever ran in this cluster, from the workers' own records.
    pub fn jobs_run(&self) -> BTreeSet<JobId> {
        self.fleet.jobs_run()
    }

    /// Number of completions of each task in this cluster, from the workers' own records.
    pub fn completions(&self) -> BTreeMap<TaskId, u32> {
        self.fleet.completions()
    }

    /// Number of tasks of the job that run on machines.
    pub fn holds_tasks(&self, job: &JobId) -> usize {
        self.fleet.holds_tasks(job)
    }

    /// A machine that runs a task of the job.
    pub fn holder(&self, job: &str) -> Option<MachineId> {
        self.fleet.holder(job)
    }

    /// Number of keys that currently exist in the store under a prefix.
    pub fn key_count(&self, prefix: &str) -> usize {
        self.store.0.lock().expect("store").key_count(prefix)
    }

    /// All keys under a prefix that were ever put into the store.
    pub fn keys_ever_put(&self, prefix: &str) -> BTreeSet<String> {
        self.store.0.lock().expect("store").keys_ever_put(prefix)
    }

    /// Number of puts and deletes in the store so far.
    pub fn store_changes(&self) -> usize {
        self.store.0.lock().expect("store").changes()
    }

    /// Prints the directory that holds the controllers' logs and the last log lines of some
    /// unfinished jobs.
    fn show_logs(&self) {
        eprintln!("logs of the controllers: {}", self.dir.display());
        let specs =
            self.store.0.lock().map(|store| store.current_keys(SPECS_PREFIX)).unwrap_or_default();
        let open = specs.iter().filter_map(|key| key.strip_prefix(SPECS_PREFIX));
        for job in open.take(OPEN_JOBS_SHOWN) {
            let logs = (0..self.nodes.len()).map(|i| log_file(&self.dir, i));
            for log in logs {
                let text = std::fs::read_to_string(&log).unwrap_or_default();
                let lines: Vec<&str> = text.lines().filter(|line| line.contains(job)).collect();
                let last = lines.len().saturating_sub(LINES_SHOWN);
                lines[last..].iter().for_each(|line| eprintln!("{}: {line}", log.display()));
            }
        }
    }

    /// Writes the store's change log to the directory of the controllers' logs.
    fn write_change_log(&self) {
        let Ok(store) = self.store.0.lock() else { return };
        if let Err(error) = std::fs::write(self.dir.join("store.log"), store.change_log()) {
            eprintln!("cannot write the store's change log: {error}");
        }
    }

    /// Violated invariants, one line each.
    pub fn broken(&self) -> Vec<String> {
        self.fleet.broken()
    }
}

/// Log file of controller `i`.
fn log_file(dir: &Path, i: usize) -> PathBuf {
    dir.join(format!("c{i}.log"))
}

/// Starts controller `i` from its files in `dir`.
fn launch(dir: &Path, i: usize, program: &Path) -> Child {
    let mut command = std::process::Command::new(program);
    command.arg("--config").arg(dir.join(format!("c{i}.toml")));
    let cells = dir.join(format!("c{i}.hcl"));
    if cells.exists() {
        command.arg("--cells").arg(cells);
        // The outcome of a job transfer is logged only at this level.
        command.env("LOG_LEVEL", "debug");
    }
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log_file(dir, i));
    let _no_ports_bound = PORTS_OR_SPAWN.lock().unwrap_or_else(PoisonError::into_inner);
    command.stderr(log.expect("log")).spawn().expect("start")
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // Workers that kept running would report to whichever process gets these ports next.
        self.fleet.end_all();
        if thread::panicking() || std::env::var_os(KEEP_LOGS_VARIABLE).is_some() {
            self.write_change_log();
            return self.show_logs();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
