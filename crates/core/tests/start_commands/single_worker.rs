//! One leader and one simulated worker, with a simulated state service, cloud and peers. All direct
//! commands are kept, so that copies of them can be delivered to a worker that has restarted.

use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{LEADER_KEY, LeaderRecord, SpecRecord, TERM_KEY, TermRecord};
use marblebarrow_proto::records::{cancel_key, spec_key};
use marblebarrow_proto::wire::*;
use std::collections::BTreeMap;

pub const LEASE_S: f64 = 8.0;
pub const CANCEL_S: f64 = 20.0;
pub const REPORT_S: f64 = 3.0;
pub const STEP_S: f64 = 0.1;
/// Minimum time between two heartbeats, in seconds.
const REPORT_PAUSE_S: f64 = 0.5;
/// How long the worker waits for the answer to a heartbeat, in seconds.
const ANSWER_TIMEOUT_S: f64 = 4.0;
/// How long after it no answer came the worker sends the next heartbeat, in seconds.
const RETRY_S: f64 = 1.0;
/// Version of the leader key after the election.
const ELECTION_VERSION: u64 = 5;

/// The outcome of transactions that raise the fencing token.
#[derive(Clone, Copy, PartialEq)]
pub enum RaiseTxnOutcome {
    Succeed,
    /// Executed, but the answer is lost; applies to one transaction.
    AnswerLost,
    Refused,
    /// Another controller has become the leader.
    LeaderChanged,
}

/// A direct command.
#[derive(Clone)]
pub struct SentDirect {
    pub fencing_token: u64,
    pub agent_epoch: u64,
    pub commands: Vec<Command>,
}

/// A leader and a simulated worker, state service, cloud and peers.
pub struct Fixture {
    pub node: Node,
    pub now: f64,
    revision: u64,
    /// The stored term counter and its version.
    counter: (u64, u64),
    pub raise_outcome: RaiseTxnOutcome,
    /// Tokens set by executed transactions, in order.
    pub raised: Vec<u64>,
    /// Every direct command that was sent.
    pub directs: Vec<SentDirect>,
    /// Attempts that the worker started, in order.
    pub executed: Vec<Attempt>,
    /// Whether the next answer with a start is lost.
    pub lose_next_start: bool,
    /// How long transactions with changes take, in seconds.
    pub commit_delay: f64,
    /// Transactions under way, and when they are executed.
    commits: Vec<(f64, OpId, Txn)>,
    /// The heartbeat that awaits its answer, and when it was sent.
    awaiting: Option<(ReplyTo, f64)>,
    last_sent: f64,
    token_reported_at: f64,
    /// How long the last answer took, in seconds.
    pub answer_took: f64,
    next_reply: u64,
    next_heartbeat: f64,
    pub worker: Heartbeat,
    /// When the last answered heartbeat was sent, and the token of the answer.
    pub renewed: (f64, u64),
    /// When a heartbeat was last refused.
    pub refused: Option<f64>,
    pub closed: bool,
}

fn facts() -> Facts {
    Facts {
        node: NodeId::new("c0"),
        others: vec![NodeId::new("c1"), NodeId::new("c2")],
        teams: vec![Team { name: "t".into(), cpus: 8.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        deadline_objectives: Vec::new(),
        completion_objectives: Vec::new(),
        start_objectives: Vec::new(),
        heartbeat_interval_s: REPORT_S,
        lease_s: LEASE_S,
        cancel_s: CANCEL_S,
        core_share: 1.0,
        log: false,
        store_rps: 100.0,
        store_write_rps: 60.0,
        store_txn_ops: 16,
        store_value_bytes: 16 * 1024,
        cloud_rps: 5.0,
        list_lag_s: 2.0,
        max_direct_commands: 40,
        max_held_heartbeats: 40,
        tuning: Tuning::default(),
        cells: None,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "k".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    }
}

fn job() -> JobId {
    JobId::new("req-000001")
}

fn spec() -> JobSpec {
    JobSpec {
        id: job(),
        class: "a".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 300.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn is_start(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}

impl Fixture {
    /// A leader, and a machine that reports to it and has no work.
    pub fn new() -> Self {
        let fixture = Self::with_raise_outcome(RaiseTxnOutcome::Succeed);
        assert!(fixture.node.may_act(fixture.now), "not the leader");
        fixture
    }

    /// The same, with this outcome of the transaction that reserves tokens.
    pub fn with_raise_outcome(raise_outcome: RaiseTxnOutcome) -> Self {
        let worker = Heartbeat {
            machine: MachineId::new("n-000001"),
            addr: "n-000001".into(),
            kind: "k".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: 1,
            seq: 0,
            fencing_token: 0,
            notice_s: None,
            tasks: Vec::new(),
        };
        let mut fixture = Self {
            node: Node::new(facts(), 0, 0.0),
            now: 0.0,
            revision: 1,
            counter: (0, 0),
            raise_outcome,
            raised: Vec::new(),
            directs: Vec::new(),
            executed: Vec::new(),
            lose_next_start: false,
            commit_delay: 0.0,
            commits: Vec::new(),
            awaiting: None,
            last_sent: 0.0,
            token_reported_at: f64::NEG_INFINITY,
            answer_took: 0.0,
            next_reply: 0,
            next_heartbeat: 3.0,
            worker,
            renewed: (0.0, 0),
            refused: None,
            closed: false,
        };
        fixture.deliver_watch(WatchContent::Reset(Vec::new()));
        fixture.run(12.0, |_| false);
        fixture
    }

    /// A leader, and a machine that runs the task of a job.
    pub fn with_running_task() -> Self {
        let mut fixture = Self::new();
        fixture.submit();
        fixture.run(10.0, |s| !s.executed.is_empty());
        assert_eq!(fixture.executed.len(), 1, "the task was not started");
        fixture
    }

    /// Whether the worker waits for the answer to a heartbeat.
    pub fn holds_heartbeat(&self) -> bool {
        self.awaiting.is_some()
    }

    /// The watch shows that another controller leads.
    pub fn lose_leadership(&mut self) {
        let record = LeaderRecord { node: NodeId::new("c1"), term: 2, lease: 8, boot: 0 };
        self.put(LEADER_KEY.into(), to_value(&record));
    }

    /// Submits the job.
    pub fn submit(&mut self) {
        let record = to_value(&SpecRecord::submitted(spec(), 0));
        self.put(spec_key(&job()), record);
    }

    /// Delivers a watch update.
    fn deliver_watch(&mut self, content: WatchContent) {
        let news = WatchUpdate { sent: self.now, revision: self.revision, content };
        self.node.handle(self.now, 0, Event::Watch(news));
    }

    fn put(&mut self, key: String, value: ciborium::Value) {
        self.revision += 1;
        let event = WatchEvent::Put { key, value, version: self.revision };
        self.deliver_watch(WatchContent::Events(vec![event]));
    }

    /// Cancels the job, which the watch reports at once; returns the time.
    pub fn cancel(&mut self) -> f64 {
        self.put(cancel_key(&job()), to_value(&true));
        self.now
    }

    /// Runs for this many seconds, or until the condition holds.
    pub fn run(&mut self, seconds: f64, until: impl Fn(&Self) -> bool) {
        let end = self.now + seconds;
        while self.now < end && !until(self) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        for peer in ["c1", "c2"] {
            let node = NodeId::new(peer);
            let news = PeerEvent::Heartbeat { node, store_ok: true, leading: Some(false) };
            self.node.handle(self.now, 0, Event::Peer(news));
        }
        self.deliver_watch(WatchContent::Events(Vec::new()));
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.commits).into_iter().partition(|(at, ..)| *at <= now);
        self.commits = rest;
        let due: Vec<(f64, OpId, Txn)> = due;
        for (_, op, txn) in due {
            let result = self.commit(&txn);
            self.node.handle(now, 0, Event::Store(op, result));
        }
        if self.awaiting.is_some_and(|(_, sent)| now - sent > ANSWER_TIMEOUT_S) {
            self.awaiting = None;
            self.next_heartbeat = now + RETRY_S;
        }
        if self.awaiting.is_none() && self.now >= self.next_heartbeat {
            self.heartbeat();
        }
        self.node.tick(self.now, 0);
        self.handle_actions();
    }

    fn heartbeat(&mut self) {
        (self.next_heartbeat, self.last_sent) = (self.now + REPORT_S, self.now);
        self.next_reply += 1;
        self.awaiting = Some((ReplyTo(self.next_reply), self.now));
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        self.node.handle(self.now, 0, Event::Heartbeat(ReplyTo(self.next_reply), heartbeat));
    }

    /// Handles the actions that the controller requests.
    fn handle_actions(&mut self) {
        for action in self.node.take_actions() {
            match action {
                Action::Store(op, StoreRequest::Commit(txn)) if self.commit_delay > 0.0 => {
                    self.commits.push((self.now + self.commit_delay, op, txn));
                }
                Action::Store(op, request) => {
                    let result = self.store(&request);
                    self.node.handle(self.now, 0, Event::Store(op, result));
                }
                Action::Cloud(op, CloudRequest::Types) => {
                    let types = CloudResult::Types(vec![machine_type()]);
                    self.node.handle(self.now, 0, Event::Cloud(op, types));
                }
                Action::Direct { op, fencing_token, agent_epoch, commands, .. } => {
                    self.direct(op, SentDirect { fencing_token, agent_epoch, commands })
                }
                Action::Reply(to, answer) => self.answered(to, answer),
                _ => {}
            }
        }
    }

    /// The worker handles the answer to a heartbeat, unless it no longer waits for it.
    fn answered(&mut self, to: ReplyTo, answer: Answer) {
        let Some((_, sent)) = self.awaiting.take_if(|(awaited, _)| *awaited == to) else { return };
        self.answer_took = self.now - sent;
        let Answer::Heartbeat(answer) = answer else {
            self.refused = Some(self.now);
            self.next_heartbeat = self.now + RETRY_S;
            return;
        };
        if self.lose_next_start && answer.commands.iter().any(is_start) {
            self.lose_next_start = false;
            self.awaiting = Some((to, sent));
            return;
        }
        if answer.fencing_token >= self.worker.fencing_token {
            self.renewed = (sent, answer.fencing_token);
            self.adopt_token(answer.fencing_token);
            self.execute(&answer.commands);
        }
    }

    /// A higher token makes the worker send a heartbeat, once in half of its lease.
    fn adopt_token(&mut self, token: u64) {
        if token > self.worker.fencing_token && self.now - self.token_reported_at > LEASE_S / 2.0 {
            self.token_reported_at = self.now;
            self.report_soon();
        }
        self.worker.fencing_token = token;
    }

    fn report_soon(&mut self) {
        self.next_heartbeat =
            self.next_heartbeat.min(self.now.max(self.last_sent + REPORT_PAUSE_S));
    }

    /// The worker handles a direct command, which may be a copy. Returns whether it was accepted.
    fn execute_direct(&mut self, sent: &SentDirect) -> bool {
        let accepted = sent.fencing_token >= self.worker.fencing_token
            && sent.agent_epoch == self.worker.agent_epoch;
        if accepted {
            self.adopt_token(sent.fencing_token);
            self.execute(&sent.commands);
        }
        accepted
    }

    fn direct(&mut self, op: OpId, sent: SentDirect) {
        let accepted = self.execute_direct(&sent);
        self.directs.push(sent);
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        let result = DirectResult::Heartbeat(accepted, heartbeat);
        self.node.handle(self.now, 0, Event::Direct(op, result));
    }

    /// Delivers a copy of every direct command sent so far. Returns how many the worker accepted.
    pub fn deliver_copies(&mut self) -> usize {
        let copies = self.directs.clone();
        copies.iter().filter(|sent| self.execute_direct(sent)).count()
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt),
                Command::Stop { attempt, .. } => self.end(*attempt, EndReason::Stopped),
                Command::Forget { attempt, .. } => self.worker.tasks.retain(|listed| {
                    listed.attempt != *attempt || listed.state != TaskState::Exited
                }),
            }
        }
    }

    fn start(&mut self, task: &str, attempt: Attempt) {
        if self.worker.tasks.iter().all(|listed| listed.attempt != attempt) {
            self.executed.push(attempt);
            let (task, state) = (task.to_owned(), TaskState::Running);
            self.worker.tasks.push(HeartbeatTask { task, attempt, state, end_reason: None });
        }
    }

    /// Ends an attempt that runs on the worker.
    pub fn end(&mut self, attempt: Attempt, reason: EndReason) {
        let running = |listed: &&mut HeartbeatTask| {
            listed.attempt == attempt && listed.state != TaskState::Exited
        };
        if let Some(listed) = self.worker.tasks.iter_mut().find(running) {
            listed.state = TaskState::Exited;
            listed.end_reason = Some(reason);
            self.report_soon();
        }
    }

    /// Restarts the worker under its name: it has no tasks, has seen no token, and is in its first
    /// agent epoch. Its messages are numbered from `seq`.
    pub fn restart_worker(&mut self, seq: u64) {
        self.worker.tasks.clear();
        (self.worker.agent_epoch, self.worker.seq, self.worker.fencing_token) = (1, seq, 0);
        (self.next_heartbeat, self.awaiting) = (self.now, None);
        (self.renewed, self.token_reported_at) = ((self.now, 0), f64::NEG_INFINITY);
    }

    /// Whether the worker lists the attempt.
    pub fn lists(&self, attempt: Attempt) -> bool {
        self.worker.tasks.iter().any(|listed| listed.attempt == attempt)
    }

    fn store(&mut self, request: &StoreRequest) -> StoreResult {
        match request {
            StoreRequest::GrantLease(_) => StoreResult::LeaseGranted(7),
            StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_) => StoreResult::LeaseRenewed,
            StoreRequest::Get(key) if key == TERM_KEY => self.read_counter(),
            StoreRequest::Get(_) => StoreResult::Value(None),
            StoreRequest::Range { .. } => {
                let page = ItemPage { items: Vec::new(), more: false, revision: self.revision };
                StoreResult::Page(page)
            }
            StoreRequest::Commit(txn) => self.commit(txn),
        }
    }

    fn read_counter(&self) -> StoreResult {
        let (term, version) = self.counter;
        let value = to_value(&TermRecord { term });
        let item = Item { key: TERM_KEY.into(), value, version };
        StoreResult::Value((version != 0).then_some(item))
    }

    fn commit(&mut self, txn: &Txn) -> StoreResult {
        let puts: BTreeMap<&str, &ciborium::Value> = txn
            .writes
            .iter()
            .filter_map(|write| match write {
                Write::Put { key, value, .. } => Some((key.as_str(), value)),
                Write::Delete { .. } => None,
            })
            .collect();
        if puts.contains_key(LEADER_KEY) {
            self.revision = ELECTION_VERSION;
            self.counter = (1, ELECTION_VERSION);
            let record = LeaderRecord { node: NodeId::new("c0"), term: 1, lease: 7, boot: 0 };
            let value = to_value(&record);
            let event =
                WatchEvent::Put { key: LEADER_KEY.into(), value, version: ELECTION_VERSION };
            self.deliver_watch(WatchContent::Events(vec![event]));
            return StoreResult::Committed(ELECTION_VERSION);
        }
        if puts.contains_key(TERM_KEY) {
            let record = from_value::<TermRecord>(puts[TERM_KEY]).expect("a term record");
            return self.raise(txn, record.term);
        }
        let closes =
            |write: &Write| matches!(write, Write::Delete { key } if *key == cancel_key(&job()));
        self.closed |= txn.writes.iter().any(closes);
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        StoreResult::Committed(self.revision)
    }

    fn raise(&mut self, txn: &Txn, token: u64) -> StoreResult {
        let cond =
            |key: &str, version| txn.conditions.contains(&Condition { key: key.into(), version });
        assert!(cond(LEADER_KEY, ELECTION_VERSION), "not conditional on the leader key: {txn:?}");
        match self.raise_outcome {
            RaiseTxnOutcome::Refused => return StoreResult::Refused,
            RaiseTxnOutcome::LeaderChanged => {
                return StoreResult::Conflict(vec![LEADER_KEY.into()]);
            }
            RaiseTxnOutcome::Succeed | RaiseTxnOutcome::AnswerLost => {}
        }
        assert!(cond(TERM_KEY, self.counter.1), "not conditional on the counter: {txn:?}");
        self.revision += 1;
        assert!(token > self.counter.0, "the counter decreases: {txn:?}");
        self.counter = (token, self.revision);
        self.raised.push(token);
        if self.raise_outcome == RaiseTxnOutcome::AnswerLost {
            self.raise_outcome = RaiseTxnOutcome::Succeed;
            return StoreResult::Unknown;
        }
        StoreResult::Committed(self.revision)
    }
}
