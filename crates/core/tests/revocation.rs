//! Tests the revocation of unconfirmed starts, with one leader, one worker, a start command that
//! gets no answer, and the cancellation of its job. Checks the leader's requests to the state
//! service and the fencing tokens in its answers.

use marblebarrow_core::consts::{DRIFT, RAISE_CANCELLED_EVERY_S, SWEEP_EVERY_S};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::{JobId, MachineId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{LEADER_KEY, LeaderRecord, SpecRecord, TERM_KEY, TermRecord};
use marblebarrow_proto::records::{cancel_key, spec_key};
use marblebarrow_proto::wire::*;
use std::collections::BTreeMap;

const LEASE_S: f64 = 8.0;
const CANCEL_S: f64 = 20.0;
const REPORT_S: f64 = 1.0;
const STEP_S: f64 = 0.1;
/// Timeout of a direct command, in seconds.
const DIRECT_TIMEOUT_S: f64 = 1.5;
/// Version of the leader key after the election.
const ELECTION_VERSION: u64 = 5;

/// The outcome of transactions that raise the fencing token.
#[derive(Clone, Copy, PartialEq)]
enum RaiseTxnOutcome {
    Succeed,
    /// Executed, but the answer is lost; applies to one transaction.
    AnswerLost,
    Refused,
    /// Another controller has become the leader.
    LeaderChanged,
}

/// A direct command that is delayed in the network.
struct SentDirect {
    fencing_token: u64,
    commands: Vec<Command>,
}

/// A leader and a simulated worker, state service, cloud and peers.
struct Fixture {
    node: Node,
    now: f64,
    revision: u64,
    /// The stored term counter and its version.
    counter: (u64, u64),
    raise_outcome: RaiseTxnOutcome,
    /// Tokens set by executed transactions, in order.
    raised: Vec<u64>,
    /// The delayed start command.
    held: Option<SentDirect>,
    /// Direct commands without an answer, and when they time out.
    timeouts: Vec<(f64, OpId)>,
    next_reply: u64,
    next_heartbeat: f64,
    worker: Heartbeat,
    /// When the last answered heartbeat was sent, and the token of the answer.
    renewed: (f64, u64),
    /// When a heartbeat was last refused.
    refused: Option<f64>,
    closed: bool,
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
    /// A leader, a machine that reports to it, and a start command in flight.
    fn with_start_in_flight() -> Self {
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
            raise_outcome: RaiseTxnOutcome::Succeed,
            raised: Vec::new(),
            held: None,
            timeouts: Vec::new(),
            next_reply: 0,
            next_heartbeat: 3.0,
            worker,
            renewed: (0.0, 0),
            refused: None,
            closed: false,
        };
        fixture.deliver_watch(WatchContent::Reset(Vec::new()));
        fixture.run(6.0, |_| false);
        assert!(fixture.node.may_act(fixture.now), "not the leader");
        let record = to_value(&SpecRecord::submitted(spec(), 0));
        fixture.put(spec_key(&job()), record);
        fixture.run(10.0, |s| s.held.is_some());
        assert!(fixture.held.is_some(), "the start was not sent directly");
        fixture
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
    fn cancel(&mut self) -> f64 {
        self.put(cancel_key(&job()), to_value(&true));
        self.now
    }

    /// Runs for this many seconds, or until the condition holds.
    fn run(&mut self, seconds: f64, until: impl Fn(&Self) -> bool) {
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
            std::mem::take(&mut self.timeouts).into_iter().partition(|(at, _)| *at <= now);
        self.timeouts = rest;
        let due: Vec<(f64, OpId)> = due;
        for (_, op) in due {
            self.node.handle(now, 0, Event::Direct(op, DirectResult::Unknown));
        }
        if self.now >= self.next_heartbeat {
            self.heartbeat();
        }
        self.node.tick(self.now, 0);
        self.handle_actions();
    }

    fn heartbeat(&mut self) {
        self.next_heartbeat = self.now + REPORT_S;
        self.next_reply += 1;
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        self.node.handle(self.now, 0, Event::Heartbeat(ReplyTo(self.next_reply), heartbeat));
    }

    /// Handles the actions that the controller requests.
    fn handle_actions(&mut self) {
        for action in self.node.take_actions() {
            match action {
                Action::Store(op, request) => {
                    let result = self.store(&request);
                    self.node.handle(self.now, 0, Event::Store(op, result));
                }
                Action::Cloud(op, CloudRequest::Types) => {
                    let types = CloudResult::Types(vec![machine_type()]);
                    self.node.handle(self.now, 0, Event::Cloud(op, types));
                }
                Action::Direct { op, fencing_token, commands, .. } => {
                    self.direct(op, fencing_token, commands)
                }
                Action::Reply(_, Answer::Heartbeat(answer)) => self.handle_answer(answer),
                Action::Reply(_, Answer::Unavailable(_)) => self.refused = Some(self.now),
                _ => {}
            }
        }
    }

    /// The worker handles the answer to a heartbeat.
    fn handle_answer(&mut self, answer: HeartbeatAnswer) {
        if answer.fencing_token >= self.worker.fencing_token {
            self.worker.fencing_token = answer.fencing_token;
            self.renewed = (self.now, answer.fencing_token);
            self.execute(&answer.commands);
        }
    }

    /// The worker handles a direct command. The first start command is held back.
    fn direct(&mut self, op: OpId, token: u64, commands: Vec<Command>) {
        if self.held.is_none() && commands.iter().any(is_start) {
            self.held = Some(SentDirect { fencing_token: token, commands });
            self.timeouts.push((self.now + DIRECT_TIMEOUT_S, op));
            return;
        }
        let accepted = token >= self.worker.fencing_token;
        if accepted {
            self.worker.fencing_token = token;
            self.execute(&commands);
        }
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        self.node.handle(
            self.now,
            0,
            Event::Direct(op, DirectResult::Heartbeat(accepted, heartbeat)),
        );
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Start { task, attempt } = command {
                let (task, attempt) = (task.clone(), *attempt);
                let running =
                    HeartbeatTask { task, attempt, state: TaskState::Running, end_reason: None };
                self.worker.tasks.push(running);
            }
        }
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
            return self.raise(txn);
        }
        let closes =
            |write: &Write| matches!(write, Write::Delete { key } if *key == cancel_key(&job()));
        self.closed |= txn.writes.iter().any(closes);
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        StoreResult::Committed(self.revision)
    }

    fn raise(&mut self, txn: &Txn) -> StoreResult {
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
        self.counter = (self.counter.0 + 1, self.revision);
        self.raised.push(self.counter.0);
        if self.raise_outcome == RaiseTxnOutcome::AnswerLost {
            self.raise_outcome = RaiseTxnOutcome::Succeed;
            return StoreResult::Unknown;
        }
        StoreResult::Committed(self.revision)
    }

    /// Whether the worker would execute the delayed start command if it arrived now.
    fn held_start_is_executable(&self) -> bool {
        let held = self.held.as_ref().expect("a start is held");
        assert!(held.commands.iter().any(is_start));
        held.fencing_token >= self.worker.fencing_token && self.now - self.renewed.0 <= LEASE_S
    }
}

/// The leader raises the token and the worker adopts it from the answer that renews its lease. The
/// delayed start then can't be executed any more, long before the cancelled tasks must be gone,
/// and the job is closed.
#[test]
fn a_cancelled_unconfirmed_start_is_revoked_by_a_higher_token() {
    let mut fixture = Fixture::with_start_in_flight();
    let cancelled = fixture.cancel();
    assert!(fixture.held_start_is_executable());
    fixture.run(CANCEL_S, |s| s.worker.fencing_token == 2);
    assert_eq!((fixture.raised.as_slice(), fixture.worker.fencing_token), ([2].as_slice(), 2));
    assert!(!fixture.held_start_is_executable());
    let most = DIRECT_TIMEOUT_S + RAISE_CANCELLED_EVERY_S + SWEEP_EVERY_S + REPORT_S + 3.0 * STEP_S;
    assert!(fixture.now - cancelled <= most, "took {} s", fixture.now - cancelled);
    fixture.run(5.0, |s| s.closed);
    assert!(fixture.closed, "the job's records are not closed");
    assert!(fixture.worker.tasks.is_empty(), "a task was started");
    assert_eq!(fixture.refused, None, "a heartbeat was refused");
}

/// While the state service refuses the raise, the leader renews the worker's lease only as long as
/// the lease can still expire in time. Once the raise succeeds, it answers heartbeats again.
#[test]
fn without_a_higher_token_the_lease_expires_in_time() {
    let mut fixture = Fixture::with_start_in_flight();
    let cancelled = fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::Refused;
    fixture.run(CANCEL_S, |s| s.refused.is_some());
    let withheld = fixture.refused.expect("answers are withheld");
    let (renewed, token) = fixture.renewed;
    assert_eq!(token, 1);
    let lease_end = renewed + LEASE_S * (1.0 + DRIFT);
    assert!(lease_end <= cancelled + CANCEL_S * (1.0 - DRIFT), "renewed at {renewed}");
    assert!(withheld > cancelled + CANCEL_S - LEASE_S - 3.0, "too early, at {withheld}");
    fixture.run(3.0, |_| false);
    assert_eq!(fixture.renewed, (renewed, token), "renewed while answers are withheld");
    fixture.raise_outcome = RaiseTxnOutcome::Succeed;
    fixture.run(3.0, |s| s.renewed.1 == 2);
    assert_eq!(fixture.renewed.1, 2, "not renewed with the token that revokes the start");
    assert!(!fixture.held_start_is_executable());
}

/// If the answer to a raise is lost, the leader can't know whether it owns the token. It never uses
/// that token, but reads the counter again and raises it once more.
#[test]
fn a_token_is_used_only_after_its_transaction_was_answered() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::AnswerLost;
    fixture.run(CANCEL_S, |s| s.worker.fencing_token > 1);
    assert_eq!((fixture.raised.as_slice(), fixture.worker.fencing_token), ([2, 3].as_slice(), 3));
}

/// A raise that fails because the leader key has changed ends the leadership.
#[test]
fn a_raise_that_finds_another_leader_ends_the_leadership() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::LeaderChanged;
    fixture.run(6.0, |s| s.node.leader().is_none());
    assert!(fixture.node.leader().is_none());
    assert_eq!(fixture.worker.fencing_token, 1);
}

/// An unconfirmed start of a job that is not cancelled is sent again with the same token, without a
/// raise.
#[test]
fn an_unconfirmed_start_that_is_still_wanted_raises_no_token() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.run(10.0, |_| false);
    assert_eq!(fixture.worker.tasks.len(), 1, "the start was not sent again");
    assert!(fixture.raised.is_empty());
    assert_eq!((fixture.worker.fencing_token, fixture.refused), (1, None));
}
