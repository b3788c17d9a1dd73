//! One leader, one worker, a start that goes unanswered and the cancellation of its job: what
//! the leader asks of the state service, and which tokens its answers carry.

use marblebarrow_core::consts::{DRIFT, RAISE_CANCELLED_EVERY_S, SWEEP_EVERY_S};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::{JobId, MachineId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{LEADER, LeaderRecord, SpecRecord, TERM, TermRecord};
use marblebarrow_proto::records::{cancel_key, spec_key};
use marblebarrow_proto::wire::*;
use std::collections::BTreeMap;

const LEASE_S: f64 = 8.0;
const CANCEL_S: f64 = 20.0;
const REPORT_S: f64 = 1.0;
const STEP_S: f64 = 0.1;
/// When a direct command is given up, seconds.
const GIVEN_UP_S: f64 = 1.5;
/// Version of the leader key.
const ELECTED: u64 = 5;

/// How transactions that raise the token fare.
#[derive(Clone, Copy, PartialEq)]
enum Raises {
    Succeed,
    /// Carried out, but the answer is lost; once.
    AnswerLost,
    Refused,
    /// The leader key is another's by now.
    Deposed,
}

/// A direct command whose answer the test decides on.
struct SentDirect {
    fencing_token: u64,
    commands: Vec<Command>,
}

/// A leader and a worker, and the stand-ins around them.
struct Scene {
    node: Node,
    now: f64,
    revision: u64,
    counter: (u64, u64),
    raises: Raises,
    /// Tokens that were raised by transactions carried out, in order.
    raised: Vec<u64>,
    /// The start that is held.
    held: Option<SentDirect>,
    given_up: Vec<(f64, OpId)>,
    next_reply: u64,
    next_heartbeat: f64,
    worker: Heartbeat,
    /// When the last answered report was sent, and the token of the answer.
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
        deadlines: Vec::new(),
        finishes: Vec::new(),
        starts: Vec::new(),
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
        direct_most: 40,
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

impl Scene {
    /// A leader in office, a machine that reports to it, and a start that is on its way.
    fn with_a_start_under_way() -> Self {
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
        let mut scene = Self {
            node: Node::new(facts(), 0, 0.0),
            now: 0.0,
            revision: 1,
            counter: (0, 0),
            raises: Raises::Succeed,
            raised: Vec::new(),
            held: None,
            given_up: Vec::new(),
            next_reply: 0,
            next_heartbeat: 3.0,
            worker,
            renewed: (0.0, 0),
            refused: None,
            closed: false,
        };
        scene.news(WatchContent::Reset(Vec::new()));
        scene.run(6.0, |_| false);
        assert!(scene.node.may_act(scene.now), "leads");
        let record = to_value(&SpecRecord::submitted(spec(), 0));
        scene.put(spec_key(&job()), record);
        scene.run(10.0, |s| s.held.is_some());
        assert!(scene.held.is_some(), "the start was sent directly");
        scene
    }

    fn news(&mut self, content: WatchContent) {
        let news = WatchNews { sent: self.now, revision: self.revision, content };
        self.node.handle(self.now, 0, Event::Watch(news));
    }

    fn put(&mut self, key: String, value: ciborium::Value) {
        self.revision += 1;
        let event = WatchEvent::Put { key, value, version: self.revision };
        self.news(WatchContent::Events(vec![event]));
    }

    /// The job is cancelled, as the watch tells at once; returns when.
    fn cancel(&mut self) -> f64 {
        self.put(cancel_key(&job()), to_value(&true));
        self.now
    }

    /// Runs for so long, or until something has come about.
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
            let news = PeerNews::Heartbeat { node, store_ok: true, leading: Some(false) };
            self.node.handle(self.now, 0, Event::Peer(news));
        }
        self.news(WatchContent::Events(Vec::new()));
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.given_up).into_iter().partition(|(at, _)| *at <= now);
        self.given_up = rest;
        let due: Vec<(f64, OpId)> = due;
        for (_, op) in due {
            self.node.handle(now, 0, Event::Direct(op, DirectResult::Unknown));
        }
        if self.now >= self.next_heartbeat {
            self.heartbeat();
        }
        self.node.tick(self.now, 0);
        self.act();
    }

    fn heartbeat(&mut self) {
        self.next_heartbeat = self.now + REPORT_S;
        self.next_reply += 1;
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        self.node.handle(self.now, 0, Event::Heartbeat(ReplyTo(self.next_reply), heartbeat));
    }

    fn act(&mut self) {
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
                Action::Reply(_, Answer::Heartbeat(answer)) => self.answered(answer),
                Action::Reply(_, Answer::Unavailable(_)) => self.refused = Some(self.now),
                _ => {}
            }
        }
    }

    fn answered(&mut self, answer: HeartbeatAnswer) {
        if answer.fencing_token >= self.worker.fencing_token {
            self.worker.fencing_token = answer.fencing_token;
            self.renewed = (self.now, answer.fencing_token);
            self.execute(&answer.commands);
        }
    }

    fn direct(&mut self, op: OpId, token: u64, commands: Vec<Command>) {
        if self.held.is_none() && commands.iter().any(is_start) {
            self.held = Some(SentDirect { fencing_token: token, commands });
            self.given_up.push((self.now + GIVEN_UP_S, op));
            return;
        }
        let good = token >= self.worker.fencing_token;
        if good {
            self.worker.fencing_token = token;
            self.execute(&commands);
        }
        self.worker.seq += 1;
        let heartbeat = Box::new(self.worker.clone());
        self.node.handle(self.now, 0, Event::Direct(op, DirectResult::Heartbeat(good, heartbeat)));
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Start { task, attempt } = command {
                let (task, attempt) = (task.clone(), *attempt);
                let running = HeartbeatTask { task, attempt, state: TaskState::Running, why: None };
                self.worker.tasks.push(running);
            }
        }
    }

    fn store(&mut self, request: &StoreRequest) -> StoreResult {
        match request {
            StoreRequest::GrantLease(_) => StoreResult::LeaseGranted(7),
            StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_) => StoreResult::LeaseRenewed,
            StoreRequest::Get(key) if key == TERM => self.read_counter(),
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
        let item = Item { key: TERM.into(), value, version };
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
        if puts.contains_key(LEADER) {
            self.revision = ELECTED;
            self.counter = (1, ELECTED);
            let record = LeaderRecord { node: NodeId::new("c0"), term: 1, lease: 7, boot: 0 };
            let value = to_value(&record);
            let event = WatchEvent::Put { key: LEADER.into(), value, version: ELECTED };
            self.news(WatchContent::Events(vec![event]));
            return StoreResult::Committed(ELECTED);
        }
        if puts.contains_key(TERM) {
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
        let cond = |key: &str, version| txn.conds.contains(&Cond { key: key.into(), version });
        assert!(cond(LEADER, ELECTED), "only while the leader key is ours: {txn:?}");
        match self.raises {
            Raises::Refused => return StoreResult::Refused,
            Raises::Deposed => return StoreResult::Conflict(vec![LEADER.into()]),
            Raises::Succeed | Raises::AnswerLost => {}
        }
        assert!(cond(TERM, self.counter.1), "of the counter as it is: {txn:?}");
        self.revision += 1;
        self.counter = (self.counter.0 + 1, self.revision);
        self.raised.push(self.counter.0);
        if self.raises == Raises::AnswerLost {
            self.raises = Raises::Succeed;
            return StoreResult::Unknown;
        }
        StoreResult::Committed(self.revision)
    }

    /// Whether the start that is held would be carried out if it came now.
    fn held_start_counts(&self) -> bool {
        let held = self.held.as_ref().expect("a start is held");
        assert!(held.commands.iter().any(is_start));
        held.fencing_token >= self.worker.fencing_token && self.now - self.renewed.0 <= LEASE_S
    }
}

/// The token is raised, the worker takes it in with the answer that renews its lease, and the
/// start can't be carried out any more, long before the tasks must be gone; the job is closed.
#[test]
fn a_cancelled_unconfirmed_start_is_taken_back_by_a_higher_token() {
    let mut scene = Scene::with_a_start_under_way();
    let cancelled = scene.cancel();
    assert!(scene.held_start_counts());
    scene.run(CANCEL_S, |s| s.worker.fencing_token == 2);
    assert_eq!((scene.raised.as_slice(), scene.worker.fencing_token), ([2].as_slice(), 2));
    assert!(!scene.held_start_counts());
    let most = GIVEN_UP_S + RAISE_CANCELLED_EVERY_S + SWEEP_EVERY_S + REPORT_S + 3.0 * STEP_S;
    assert!(scene.now - cancelled <= most, "took {} s", scene.now - cancelled);
    scene.run(5.0, |s| s.closed);
    assert!(scene.closed, "the job's records are closed");
    assert!(scene.worker.tasks.is_empty(), "nothing was started");
    assert_eq!(scene.refused, None, "no report was refused");
}

/// While no transaction goes through, the lease is renewed as long as it can still run out in
/// time, and no longer; with a transaction that goes through, answers come again.
#[test]
fn without_a_higher_token_the_lease_runs_out_in_time() {
    let mut scene = Scene::with_a_start_under_way();
    let cancelled = scene.cancel();
    scene.raises = Raises::Refused;
    scene.run(CANCEL_S, |s| s.refused.is_some());
    let withheld = scene.refused.expect("answers are withheld");
    let (renewed, token) = scene.renewed;
    assert_eq!(token, 1);
    let over = renewed + LEASE_S * (1.0 + DRIFT);
    assert!(over <= cancelled + CANCEL_S * (1.0 - DRIFT), "renewed at {renewed}");
    assert!(withheld > cancelled + CANCEL_S - LEASE_S - 3.0, "too early, at {withheld}");
    scene.run(3.0, |_| false);
    assert_eq!(scene.renewed, (renewed, token), "none in between");
    scene.raises = Raises::Succeed;
    scene.run(3.0, |s| s.renewed.1 == 2);
    assert_eq!(scene.renewed.1, 2, "renewed with what takes the start back");
    assert!(!scene.held_start_counts());
}

/// A raise whose answer is lost may be anybody's: its token is never used, the counter is read
/// again and raised once more.
#[test]
fn a_token_counts_only_once_its_transaction_was_answered() {
    let mut scene = Scene::with_a_start_under_way();
    scene.cancel();
    scene.raises = Raises::AnswerLost;
    scene.run(CANCEL_S, |s| s.worker.fencing_token > 1);
    assert_eq!((scene.raised.as_slice(), scene.worker.fencing_token), ([2, 3].as_slice(), 3));
}

/// A raise that fails as the leader key has changed ends the leadership.
#[test]
fn a_raise_that_finds_another_leader_ends_the_leadership() {
    let mut scene = Scene::with_a_start_under_way();
    scene.cancel();
    scene.raises = Raises::Deposed;
    scene.run(6.0, |s| s.node.leader().is_none());
    assert!(scene.node.leader().is_none());
    assert_eq!(scene.worker.fencing_token, 1);
}

/// A start that is still wanted is sent again under the same token: nothing is raised for it.
#[test]
fn an_unconfirmed_start_that_is_wanted_raises_nothing() {
    let mut scene = Scene::with_a_start_under_way();
    scene.run(10.0, |_| false);
    assert_eq!(scene.worker.tasks.len(), 1, "it was sent again");
    assert!(scene.raised.is_empty());
    assert_eq!((scene.worker.fencing_token, scene.refused), (1, None));
}
