//! Simulated workers.

use super::http::{Connection, Reply, request, serve};
use super::inputs::Plan;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Running {
    attempt: Attempt,
    ends: Option<Instant>,
    /// Whether it fails at its end.
    fails: bool,
    why: Option<EndReason>,
}

struct Worker {
    id: MachineId,
    addr: String,
    agent_epoch: u64,
    seq: u64,
    fencing_token: u64,
    lease_renewed: Instant,
    lease: Duration,
    tasks: BTreeMap<TaskId, Running>,
    fleet: Arc<Fleet>,
}

/// State shared by all workers: where each task runs, and which invariants were violated.
#[derive(Default)]
pub struct Fleet {
    placements: Mutex<BTreeSet<(TaskId, MachineId)>>,
    broken: Mutex<Vec<String>>,
    rented: Mutex<BTreeSet<MachineId>>,
    ended: Mutex<BTreeSet<MachineId>>,
    next_name: AtomicUsize,
    jobs_run: Mutex<BTreeSet<JobId>>,
    completions: Mutex<BTreeMap<TaskId, u32>>,
    /// Tasks that have failed, of jobs whose first attempt fails.
    failed: Mutex<BTreeSet<TaskId>>,
    /// Every direct command that reached a worker.
    direct_commands: Mutex<Vec<ReceivedCommands>>,
    /// Machines whose workers are to restart.
    to_restart: Mutex<BTreeSet<MachineId>>,
}

/// Direct commands that a worker received, of which a copy can be delivered later.
#[derive(Clone)]
pub struct ReceivedCommands {
    /// Address of the worker.
    addr: String,
    /// Name of its machine.
    pub machine: MachineId,
    /// The request as it was sent.
    pub commands: DirectCommands,
}

impl ReceivedCommands {
    /// Delivers a copy of the commands now and returns the status of the response.
    pub fn deliver(&self) -> Option<u16> {
        let body = cbor::encode(&self.commands);
        request(&self.addr, "POST", "/do", &body, Duration::from_secs(5)).map(|(status, _)| status)
    }

    /// Whether they start a task.
    pub fn start_a_task(&self) -> bool {
        self.commands.commands.iter().any(|command| matches!(command, Command::Start { .. }))
    }

    /// Whether they stop a task of the job.
    pub fn stops(&self, job: &str) -> bool {
        let stops = |command: &Command| {
            let Command::Stop { task, .. } = command else { return false };
            TaskId::parse(task).is_some_and(|task| task.job.as_str() == job)
        };
        self.commands.commands.iter().any(stops)
    }
}

impl Fleet {
    /// Violated invariants, one line each.
    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("broken").clone()
    }

    /// Jobs of which a task ever ran.
    pub fn jobs_run(&self) -> BTreeSet<JobId> {
        self.jobs_run.lock().expect("jobs").clone()
    }

    /// Number of completions of each task.
    pub fn completions(&self) -> BTreeMap<TaskId, u32> {
        self.completions.lock().expect("completions").clone()
    }

    /// All direct commands so far.
    pub fn direct_commands(&self) -> Vec<ReceivedCommands> {
        self.direct_commands.lock().expect("direct commands").clone()
    }

    /// Restarts the worker of a machine under its name: it has no tasks, has seen no token, and is in
    /// its first agent epoch. Takes effect before the worker handles its next message.
    pub fn restart_worker(&self, machine: &MachineId) {
        self.to_restart.lock().expect("to_restart").insert(machine.clone());
    }

    /// Keeps a direct command.
    fn receive(&self, worker: &Worker, commands: &DirectCommands) {
        let (addr, machine) = (worker.addr.clone(), worker.id.clone());
        let received = ReceivedCommands { addr, machine, commands: commands.clone() };
        self.direct_commands.lock().expect("direct commands").push(received);
    }

    /// Whether any machine runs a task of the job.
    pub fn holds(&self, job: &str) -> bool {
        self.placements.lock().expect("fleet").iter().any(|(task, _)| task.job.as_str() == job)
    }

    /// Number of tasks of the job that run on machines.
    pub fn holds_tasks(&self, job: &JobId) -> usize {
        self.placements.lock().expect("fleet").iter().filter(|(task, _)| task.job == *job).count()
    }

    /// Number of tasks that run on machines.
    pub fn held(&self) -> usize {
        self.placements.lock().expect("fleet").len()
    }

    /// A machine that runs a task of the job.
    pub fn holder(&self, job: &str) -> Option<MachineId> {
        let placements = self.placements.lock().expect("fleet");
        placements
            .iter()
            .find(|(task, _)| task.job.as_str() == job)
            .map(|(_, machine)| machine.clone())
    }

    /// Number of rented machines.
    pub fn rented(&self) -> usize {
        self.rented.lock().expect("rented").len()
    }

    /// Rents a machine under a new name.
    pub fn rent(&self) -> MachineId {
        let number = self.next_name.fetch_add(1, Ordering::Relaxed);
        let machine = MachineId::new(&format!("n-{number:06}"));
        self.rented.lock().expect("rented").insert(machine.clone());
        machine
    }

    /// Terminates a machine and all its tasks without notice.
    pub fn end(&self, machine: &MachineId) {
        self.ended.lock().expect("ended").insert(machine.clone());
        self.placements.lock().expect("fleet").retain(|(_, holder)| holder != machine);
    }

    /// Terminates all machines.
    pub fn end_all(&self) {
        let rented = self.rented.lock().expect("rented").clone();
        rented.iter().for_each(|machine| self.end(machine));
    }

    /// Terminates a machine and returns it to the cloud.
    pub fn release(&self, machine: &MachineId) {
        self.end(machine);
        self.rented.lock().expect("rented").remove(machine);
    }

    fn has_ended(&self, machine: &MachineId) -> bool {
        self.ended.lock().expect("ended").contains(machine)
    }
}

impl Worker {
    /// Records that a task started or stopped on this machine, and reports a violation if it also
    /// runs on another one.
    fn set_running(&self, task: &TaskId, running: bool) {
        let key = (task.clone(), self.id.clone());
        let mut all = self.fleet.placements.lock().expect("fleet");
        // Checked under the lock, so that no task is recorded on a machine after it was
        // terminated.
        let running = running && !self.fleet.has_ended(&self.id);
        if !running {
            all.remove(&key);
            return;
        }
        if let Some((_, other)) = all.iter().find(|(t, m)| t == task && *m != self.id) {
            let line = format!("ran_twice: {task} on {} and {other}", self.id);
            self.fleet.broken.lock().expect("broken").push(line);
        }
        self.fleet.jobs_run.lock().expect("jobs").insert(task.job.clone());
        all.insert(key);
    }

    /// Restarts if that was requested, and applies the time that has passed: if the lease has expired, stops all tasks and raises the
    /// agent epoch; then marks tasks whose run time is over as done.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.fleet.to_restart.lock().expect("to_restart").remove(&self.id) {
            for task in std::mem::take(&mut self.tasks).into_keys() {
                self.set_running(&task, false);
            }
            (self.agent_epoch, self.seq, self.fencing_token) = (1, 0, 0);
            self.lease_renewed = now;
        }
        if now - self.lease_renewed > self.lease {
            for task in std::mem::take(&mut self.tasks).into_keys() {
                self.set_running(&task, false);
            }
            self.agent_epoch += 1;
            self.lease_renewed = now;
        }
        let ended: Vec<TaskId> = self
            .tasks
            .iter_mut()
            .filter(|(_, r)| r.why.is_none() && r.ends.is_some_and(|e| now >= e))
            .map(|(t, r)| {
                r.why = Some(if r.fails { EndReason::Error } else { EndReason::Done });
                t.clone()
            })
            .collect();
        for task in &ended {
            self.set_running(task, false);
            if self.tasks.get(task).is_some_and(|r| r.fails) {
                continue;
            }
            let mut completions = self.fleet.completions.lock().expect("completions");
            *completions.entry(task.clone()).or_default() += 1;
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.advance();
        self.seq += 1;
        let task = |(t, r): (&TaskId, &Running)| HeartbeatTask {
            task: t.to_string(),
            attempt: r.attempt,
            state: if r.why.is_some() { TaskState::Exited } else { TaskState::Running },
            end_reason: r.why,
        };
        Heartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            kind: "k".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: self.agent_epoch,
            seq: self.seq,
            fencing_token: self.fencing_token,
            notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }

    fn execute(&mut self, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { task, attempt } => {
                    let task = TaskId::parse(task).expect("valid task id");
                    if self.tasks.contains_key(&task) {
                        continue;
                    }
                    self.set_running(&task, true);
                    let fails = fails_first(&task.job)
                        && self.fleet.failed.lock().expect("failed").insert(task.clone());
                    let run = if fails { Some(FIRST_ATTEMPT) } else { run_time(&task.job) };
                    let ends = run.map(|time| Instant::now() + time);
                    self.tasks.insert(task, Running { attempt: *attempt, ends, fails, why: None });
                }
                Command::Stop { task, attempt, .. } => {
                    let task = TaskId::parse(task).expect("valid task id");
                    let stopped = self.tasks.get_mut(&task).filter(|r| r.attempt == *attempt);
                    if let Some(r) = stopped.filter(|r| r.why.is_none()) {
                        r.why = Some(EndReason::Stopped);
                        self.set_running(&task, false);
                    }
                }
                Command::Forget { task, attempt } => {
                    let task = TaskId::parse(task).expect("valid task id");
                    if self.tasks.get(&task).is_some_and(|r| r.attempt == *attempt) {
                        self.tasks.remove(&task);
                    }
                }
            }
        }
    }
}

/// Run time of an attempt that fails.
const FIRST_ATTEMPT: Duration = Duration::from_secs(2);

/// Whether the first attempt of each of a job's tasks fails: the last digit of its name is 7.
fn fails_first(job: &JobId) -> bool {
    job.as_str().ends_with('7')
}

/// Run time of a job's tasks, chosen by the last digit of its name: 2 and 7 are services without
/// end, 5 runs for 12 s, all others for 1 s. The 12 s exceed the 8 s after which a leader resends all
/// progress to its followers; with 6 s, a follower that had lost one message never reported such a
/// job as running.
fn run_time(job: &JobId) -> Option<Duration> {
    match job.as_str().as_bytes().last() {
        Some(b'2' | b'7') => None,
        Some(b'5') => Some(Duration::from_secs(12)),
        _ => Some(Duration::from_secs(1)),
    }
}

/// Runs a machine's worker until the machine is terminated.
pub fn run_worker(id: MachineId, nodes: Vec<String>, fleet: Arc<Fleet>, plan: Plan) {
    let state = Arc::new(Mutex::new(Worker {
        id: id.clone(),
        addr: String::new(),
        agent_epoch: 1,
        seq: 0,
        fencing_token: 0,
        lease_renewed: Instant::now(),
        lease: Duration::from_secs_f64(plan.times.lease_s),
        tasks: BTreeMap::new(),
        fleet: fleet.clone(),
    }));
    let shared = state.clone();
    let addr = serve(move |_, path, body| {
        let mut w = shared.lock().expect("worker");
        if w.fleet.has_ended(&w.id) {
            return Reply::Close;
        }
        w.advance();
        if path == "/show" {
            let heartbeat = w.heartbeat();
            return Reply::Answer(200, cbor::encode(&heartbeat));
        }
        let cmd: DirectCommands = cbor::decode(body).expect("valid commands");
        w.fleet.receive(&w, &cmd);
        let good = cmd.fencing_token >= w.fencing_token && cmd.agent_epoch == w.agent_epoch;
        if good {
            w.fencing_token = cmd.fencing_token;
            w.execute(&cmd.commands);
        }
        let heartbeat = w.heartbeat();
        Reply::Answer(if good { 200 } else { 409 }, cbor::encode(&heartbeat))
    });
    state.lock().expect("worker").addr = addr;
    let mut at = 0;
    let mut connection = Connection::default();
    while !fleet.has_ended(&id) {
        let sent = Instant::now();
        let heartbeat = state.lock().expect("worker").heartbeat();
        let (body, wait) = (cbor::encode(&heartbeat), Duration::from_secs(4));
        let answer = connection.request(&nodes[at], "POST", "/hello", &body, wait);
        let mut w = state.lock().expect("worker");
        match answer {
            // A worker that has restarted meanwhile doesn't wait for the answer.
            Some((200, body))
                if heartbeat.agent_epoch == w.agent_epoch && heartbeat.seq <= w.seq =>
            {
                let a: HeartbeatAnswer = cbor::decode(&body).expect("valid heartbeat answer");
                if a.fencing_token >= w.fencing_token {
                    w.fencing_token = a.fencing_token;
                    w.lease_renewed = sent;
                    w.execute(&a.commands);
                }
            }
            Some((421, body)) => {
                let e: LeaderRedirect = cbor::decode(&body).expect("valid redirect");
                let named = e.report_to.and_then(|n| n.strip_prefix('c')?.parse::<usize>().ok());
                at = named.filter(|n| *n != at).unwrap_or((at + 1) % nodes.len());
            }
            _ => at = (at + 1) % nodes.len(),
        }
        drop(w);
        thread::sleep(Duration::from_secs_f64(plan.report_s));
    }
}
