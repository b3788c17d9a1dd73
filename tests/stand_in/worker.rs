//! Stand-in of the workers.

use super::http::{Connection, Reply, ask, serve};
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
    why: Option<Why>,
}

struct Worker {
    id: MachineId,
    addr: String,
    agent_epoch: u64,
    seq: u64,
    fencing_token: u64,
    leased: Instant,
    lease: Duration,
    tasks: BTreeMap<TaskId, Running>,
    fleet: Arc<Fleet>,
}

/// What all workers share: where each task is, and what went wrong.
#[derive(Default)]
pub struct Fleet {
    on: Mutex<BTreeSet<(TaskId, MachineId)>>,
    broken: Mutex<Vec<String>>,
    rented: Mutex<BTreeSet<MachineId>>,
    ended: Mutex<BTreeSet<MachineId>>,
    next_name: AtomicUsize,
    jobs_run: Mutex<BTreeSet<JobId>>,
    completions: Mutex<BTreeMap<TaskId, u32>>,
    /// The job of which a start is to be held.
    hold: Mutex<Option<JobId>>,
    held: Mutex<Option<HeldCommand>>,
}

/// A direct command that its worker never answered.
#[derive(Clone)]
pub struct HeldCommand {
    /// Where it was sent.
    addr: String,
    /// What was sent.
    pub commands: DirectCommands,
}

impl HeldCommand {
    /// It arrives now; the status of its answer.
    pub fn deliver(&self) -> Option<u16> {
        let body = cbor::encode(&self.commands);
        ask(&self.addr, "POST", "/do", &body, Duration::from_secs(5)).map(|(status, _)| status)
    }

    /// The highest token that the worker has seen.
    pub fn fencing_token_of_worker(&self) -> u64 {
        let answer = ask(&self.addr, "GET", "/show", &[], Duration::from_secs(5));
        let heartbeat = answer.and_then(|(_, body)| cbor::decode::<Heartbeat>(&body).ok());
        heartbeat.map_or(0, |heartbeat| heartbeat.fencing_token)
    }
}

impl Fleet {
    /// Rules that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("broken").clone()
    }

    /// Jobs of which a task ever ran.
    pub fn jobs_run(&self) -> BTreeSet<JobId> {
        self.jobs_run.lock().expect("jobs").clone()
    }

    /// How often each task completed.
    pub fn completions(&self) -> BTreeMap<TaskId, u32> {
        self.completions.lock().expect("completions").clone()
    }

    /// The next direct command that starts a task of the job goes unanswered and is kept.
    pub fn hold_start(&self, job: &str) {
        *self.hold.lock().expect("hold") = Some(JobId::new(job));
    }

    /// The command kept, once there is one.
    pub fn held_start(&self) -> Option<HeldCommand> {
        self.held.lock().expect("held").clone()
    }

    /// Keeps commands that are to be held; whether it did.
    fn keep(&self, addr: &str, commands: &DirectCommands) -> bool {
        let mut hold = self.hold.lock().expect("hold");
        let starts = |command: &Command| {
            let Command::Start { task, .. } = command else { return false };
            TaskId::parse(task).is_some_and(|task| Some(&task.job) == hold.as_ref())
        };
        if !commands.commands.iter().any(starts) {
            return false;
        }
        *hold = None;
        let held = HeldCommand { addr: addr.to_owned(), commands: commands.clone() };
        *self.held.lock().expect("held") = Some(held);
        true
    }

    /// Whether any machine holds a task of the job.
    pub fn holds(&self, job: &str) -> bool {
        self.on.lock().expect("fleet").iter().any(|(task, _)| task.job.as_str() == job)
    }

    /// How many tasks of the job are on machines.
    pub fn holds_tasks(&self, job: &JobId) -> usize {
        self.on.lock().expect("fleet").iter().filter(|(task, _)| task.job == *job).count()
    }

    /// How many tasks are on machines.
    pub fn held(&self) -> usize {
        self.on.lock().expect("fleet").len()
    }

    /// A machine that holds a task of the job.
    pub fn holder(&self, job: &str) -> Option<MachineId> {
        let on = self.on.lock().expect("fleet");
        on.iter().find(|(task, _)| task.job.as_str() == job).map(|(_, machine)| machine.clone())
    }

    /// How many machines are rented.
    pub fn rented(&self) -> usize {
        self.rented.lock().expect("rented").len()
    }

    /// Rents a machine.
    pub fn rent(&self) -> MachineId {
        let number = self.next_name.fetch_add(1, Ordering::Relaxed);
        let machine = MachineId::new(&format!("n-{number:06}"));
        self.rented.lock().expect("rented").insert(machine.clone());
        machine
    }

    /// The machine and all on it are gone, without a word to anybody.
    pub fn end(&self, machine: &MachineId) {
        self.ended.lock().expect("ended").insert(machine.clone());
        self.on.lock().expect("fleet").retain(|(_, on)| on != machine);
    }

    /// All machines are gone.
    pub fn end_all(&self) {
        let rented = self.rented.lock().expect("rented").clone();
        rented.iter().for_each(|machine| self.end(machine));
    }

    /// The cloud takes a machine back.
    pub fn release(&self, machine: &MachineId) {
        self.end(machine);
        self.rented.lock().expect("rented").remove(machine);
    }

    fn has_ended(&self, machine: &MachineId) -> bool {
        self.ended.lock().expect("ended").contains(machine)
    }
}

impl Worker {
    fn live(&self, task: &TaskId, on: bool) {
        let key = (task.clone(), self.id.clone());
        let mut all = self.fleet.on.lock().expect("fleet");
        // Asked under the lock: a machine that ends holds nothing afterwards.
        let on = on && !self.fleet.has_ended(&self.id);
        if !on {
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

    fn settle(&mut self) {
        let now = Instant::now();
        if now - self.leased > self.lease {
            for task in std::mem::take(&mut self.tasks).into_keys() {
                self.live(&task, false);
            }
            self.agent_epoch += 1;
            self.leased = now;
        }
        let ended: Vec<TaskId> = self
            .tasks
            .iter_mut()
            .filter(|(_, r)| r.why.is_none() && r.ends.is_some_and(|e| now >= e))
            .map(|(t, r)| {
                r.why = Some(Why::Done);
                t.clone()
            })
            .collect();
        for task in &ended {
            self.live(task, false);
            let mut completions = self.fleet.completions.lock().expect("completions");
            *completions.entry(task.clone()).or_default() += 1;
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.settle();
        self.seq += 1;
        let task = |(t, r): (&TaskId, &Running)| HeartbeatTask {
            task: t.to_string(),
            attempt: r.attempt,
            state: if r.why.is_some() { TaskState::Exited } else { TaskState::Running },
            why: r.why,
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
                    let task = TaskId::parse(task).expect("task");
                    if self.tasks.contains_key(&task) {
                        continue;
                    }
                    self.live(&task, true);
                    let ends = run_time(&task.job).map(|time| Instant::now() + time);
                    self.tasks.insert(task, Running { attempt: *attempt, ends, why: None });
                }
                Command::Stop { task, attempt, .. } => {
                    let task = TaskId::parse(task).expect("task");
                    let stopped = self.tasks.get_mut(&task).filter(|r| r.attempt == *attempt);
                    if let Some(r) = stopped.filter(|r| r.why.is_none()) {
                        r.why = Some(Why::Stopped);
                        self.live(&task, false);
                    }
                }
                Command::Forget { task, attempt } => {
                    let task = TaskId::parse(task).expect("task");
                    if self.tasks.get(&task).is_some_and(|r| r.attempt == *attempt) {
                        self.tasks.remove(&task);
                    }
                }
            }
        }
    }
}

/// How long a job's tasks run, by the end of its name: those of jobs 2 are services, those
/// of jobs 5 take longer than the 8 s after which a leader shows its followers all progress
/// anew. (With 6 s a follower that had lost one word never told that such a job ran.)
fn run_time(job: &JobId) -> Option<Duration> {
    match job.as_str().as_bytes().last() {
        Some(b'2') => None,
        Some(b'5') => Some(Duration::from_secs(12)),
        _ => Some(Duration::from_secs(1)),
    }
}

/// A machine's worker, until the machine ends.
pub fn worker(id: MachineId, nodes: Vec<String>, fleet: Arc<Fleet>, plan: Plan) {
    let state = Arc::new(Mutex::new(Worker {
        id: id.clone(),
        addr: String::new(),
        agent_epoch: 1,
        seq: 0,
        fencing_token: 0,
        leased: Instant::now(),
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
        w.settle();
        if path == "/show" {
            let heartbeat = w.heartbeat();
            return Reply::Answer(200, cbor::encode(&heartbeat));
        }
        let cmd: DirectCommands = cbor::decode(body).expect("commands");
        if w.fleet.keep(&w.addr, &cmd) {
            return Reply::Close;
        }
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
        let answer = connection.ask(&nodes[at], "POST", "/hello", &body, wait);
        let mut w = state.lock().expect("worker");
        match answer {
            Some((200, body)) if heartbeat.agent_epoch == w.agent_epoch => {
                let a: HeartbeatAnswer = cbor::decode(&body).expect("answer");
                if a.fencing_token >= w.fencing_token {
                    w.fencing_token = a.fencing_token;
                    w.leased = sent;
                    w.execute(&a.commands);
                }
            }
            Some((421, body)) => {
                let e: Elsewhere = cbor::decode(&body).expect("elsewhere");
                let named = e.report_to.and_then(|n| n.strip_prefix('c')?.parse::<usize>().ok());
                at = named.filter(|n| *n != at).unwrap_or((at + 1) % nodes.len());
            }
            _ => at = (at + 1) % nodes.len(),
        }
        drop(w);
        thread::sleep(Duration::from_secs_f64(plan.report_s));
    }
}
