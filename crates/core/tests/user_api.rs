//! Users at a controller that is asked more than it can take, or cut off.

use ciborium::Value;
use marblebarrow_core::consts::{CONDS_PER_OP, FINALS_KEPT, RETRY_STORE_S, USER_WRITES_MAX};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_core::replica::Replica;
use marblebarrow_core::user_api::{RequestContext, UserApi};
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{
    CASCADE_GENERATION, CascadeRecord, EndRecord, SpecRecord, cascade_key, end_key, spec_key,
};
use marblebarrow_proto::wire::{Item, JobStatus, MachineType, Stage, Write};
use std::collections::BTreeMap;
use std::sync::Arc;

fn node() -> Node {
    let mut node = Node::new(facts(), 1, 0.0);
    node.handle(0.0, 0, Event::Watch(fresh(0.0, Vec::new())));
    node.tick(0.1, 0);
    // It asks for the machine types before it takes a job.
    let types = node.take_actions().into_iter().find_map(|a| match a {
        Action::Cloud(op, CloudRequest::Types) => Some(op),
        _ => None,
    });
    let op = types.expect("asks for types");
    node.handle(0.2, 0, Event::Cloud(op, CloudResult::Types(vec![machine_type()])));
    node
}

fn facts() -> Facts {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        node: NodeId::new("c0"),
        others: vec![NodeId::new("c1"), NodeId::new("c2")],
        teams: vec![team],
        deadlines: Vec::new(),
        finishes: Vec::new(),
        starts: Vec::new(),
        heartbeat_interval_s: 1.0,
        lease_s: 8.0,
        cancel_s: 20.0,
        core_share: 1.0,
        log: true,
        store_rps: 100.0,
        store_write_rps: 20.0,
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
        memory_gb: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 3.0,
        zones: vec!["a".into()],
    }
}

/// All watched keys, read anew.
fn fresh(sent: Secs, items: Vec<Item>) -> WatchNews {
    WatchNews { sent, revision: 0, content: WatchContent::Reset(items) }
}

fn job(n: u32) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-{n:06}")),
        class: "a".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn replies(node: &mut Node) -> Vec<(u64, Answer)> {
    let told = |a| match a {
        Action::Reply(to, answer) => Some((to.0, answer)),
        _ => None,
    };
    node.take_actions().into_iter().filter_map(told).collect()
}

/// What can't be taken is told so in the same step, and nothing is held back.
#[test]
fn too_many_submissions_are_told_at_once_when_to_come_back() {
    let mut node = node();
    node.take_actions();
    let most = USER_WRITES_MAX as u32;
    for n in 0..most + 10 {
        let submit = UserRequest::Submit(Box::new(job(n)));
        node.handle(0.3, 0, Event::User(ReplyTo(u64::from(n)), submit));
    }
    let told = replies(&mut node);
    assert_eq!(told.len(), 10);
    for (to, answer) in told {
        assert!(to >= u64::from(most));
        assert!(matches!(answer, Answer::Full(after) if after > 0), "{answer:?}");
    }
}

/// A controller that neither the store serves nor any peer is heard by is the
/// one cut off: its health check fails, and users are told to come back.
#[test]
fn cut_off_alone_it_says_so() {
    let mut node = node();
    let beat = |at: f64, node: &mut Node, ok| {
        let news =
            PeerNews::Heartbeat { node: NodeId::new("c1"), store_ok: ok, leading: Some(false) };
        node.handle(at, 0, Event::Peer(news));
    };
    let health = |at: f64, node: &mut Node| {
        node.take_actions();
        node.handle(at, 0, Event::User(ReplyTo(1), UserRequest::Health));
        replies(node).pop().expect("told at once").1
    };
    // Every store request is refused from here on.
    let mut at = 0.3;
    while at < 6.0 {
        node.tick(at, 0);
        for action in node.take_actions() {
            if let Action::Store(op, _) = action {
                node.handle(at, 0, Event::Store(op, StoreResult::Refused));
            }
        }
        at += 0.1;
    }
    // A peer that is refused too: an outage, and no controller is better.
    beat(at, &mut node, false);
    assert_eq!(health(at, &mut node), Answer::Healthy);
    // A peer that is served is better.
    beat(at, &mut node, true);
    assert!(matches!(health(at, &mut node), Answer::Unavailable(_)));
    // No peer heard at all.
    assert!(matches!(health(at + 10.0, &mut node), Answer::Unavailable(_)));
    node.handle(at + 10.0, 0, Event::User(ReplyTo(2), UserRequest::Poll(JobId::new("req-1"))));
    assert!(matches!(replies(&mut node)[..], [(2, Answer::Unavailable(_))]));
}

/// Memory stays bounded over many finished jobs: the oldest final states are
/// forgotten, and read from the store again when somebody asks.
#[test]
fn forgotten_final_states_are_read_again() {
    let mut node = node();
    node.take_actions();
    let id = |n: usize| JobId::new(&format!("req-{n}"));
    // Asks; plays the store, which holds a final state for every job. The answer,
    // and how often the store was asked.
    let ask = |at: f64, n: usize, node: &mut Node| {
        node.handle(at, 0, Event::User(ReplyTo(n as u64), UserRequest::Poll(id(n))));
        node.tick(at, 0);
        let (mut asked, mut told) = (0, None);
        loop {
            let actions = node.take_actions();
            if actions.is_empty() {
                return (told, asked);
            }
            for action in actions {
                match action {
                    Action::Reply(_, answer) => told = Some(answer),
                    Action::Store(op, StoreRequest::Commit(txn)) => {
                        asked += 1;
                        let keys = txn.conds.into_iter().map(|c| c.key).collect();
                        node.handle(at, 0, Event::Store(op, StoreResult::Conflict(keys)));
                    }
                    Action::Store(op, StoreRequest::Get(key)) if key.starts_with("end/") => {
                        asked += 1;
                        let value = to_value(&EndRecord { cancelled: false, tasks: 1 });
                        let item = Item { key, value, version: 3 };
                        node.handle(at, 0, Event::Store(op, StoreResult::Value(Some(item))));
                    }
                    _ => {}
                }
            }
        }
    };
    let done =
        |told: &Option<Answer>| matches!(told, Some(Answer::Job(200, s)) if s.stage == Stage::Done);
    let mut at = 1.0;
    for n in 0..FINALS_KEPT + 5 {
        at += 1.0;
        let (told, asked) = ask(at, n, &mut node);
        assert!(done(&told) && asked == 2, "{n}: {told:?} after {asked}");
    }
    let (told, asked) = ask(at + 1.0, FINALS_KEPT + 4, &mut node);
    assert!(done(&told) && asked == 0, "the newest is remembered");
    let (told, asked) = ask(at + 2.0, 0, &mut node);
    assert!(done(&told) && asked == 2, "the oldest is read again");
}

type Store = BTreeMap<String, Item>;

/// The job whose submission comes while the version gate is shut, before
/// every controller knows DAG dependencies.
const GATED: u32 = 0;

/// The store's answer. Of the conditions that fail it names only the first, as
/// a store may, and it holds transactions to `store_txn_ops = 1`.
fn play(store: &mut Store, request: StoreRequest) -> StoreResult {
    let txn = match request {
        StoreRequest::Get(key) => return StoreResult::Value(store.get(&key).cloned()),
        StoreRequest::Commit(txn) => txn,
        _ => return StoreResult::Refused,
    };
    assert!(txn.conds.len() <= CONDS_PER_OP, "{} conditions", txn.conds.len());
    let version = |key: &String| store.get(key).map_or(0, |item| item.version);
    if let Some(failed) = txn.conds.iter().find(|c| version(&c.key) != c.version) {
        return StoreResult::Conflict(vec![failed.key.clone()]);
    }
    for write in txn.writes {
        if let Write::Put { key, value, .. } = write {
            store.insert(key.clone(), Item { key, value, version: 1 });
        }
    }
    StoreResult::Committed(1)
}

/// What a user is told by one controller's user API, with the store played.
fn ask(api: &mut UserApi, replica: &Replica, store: &mut Store, request: UserRequest) -> Answer {
    ask_with(api, replica, request, |asked| play(store, asked))
}

/// What a user is told when the store answers so.
fn ask_with(
    api: &mut UserApi,
    replica: &Replica,
    request: UserRequest,
    mut store: impl FnMut(StoreRequest) -> StoreResult,
) -> Answer {
    let (facts, types) = (Facts { store_txn_ops: 1, ..facts() }, [machine_type()]);
    let context = RequestContext {
        now: 0.0,
        wall_ms: 0,
        facts: &facts,
        replica,
        types: Some(&types),
        store_bad: false,
        dependencies_allowed: !matches!(&request, UserRequest::Submit(s) if s.id == id(GATED)),
    };
    let mut out = ActionSink::default();
    api.ask(&context, ReplyTo(1), request, &mut out);
    loop {
        match out.actions.pop().expect("somebody is told") {
            Action::Reply(_, answer) => return answer,
            Action::Store(op, request) => api.store(&context, op, &store(request), &mut out),
            other => panic!("{other:?}"),
        };
    }
}

fn submit(n: u32, dependencies: &[u32]) -> UserRequest {
    let dependencies = dependencies.iter().map(|&d| job(d).id).collect();
    UserRequest::Submit(Box::new(JobSpec { dependencies, ..job(n) }))
}

fn id(n: u32) -> JobId {
    job(n).id
}

fn told(code: u16, n: u32, stage: Stage, waits_on: Vec<JobId>) -> Answer {
    Answer::Job(code, JobStatus { id: id(n), stage, done: 0, running: 0, waits_on })
}

fn item(key: String, value: Value) -> (String, Item) {
    (key.clone(), Item { key, value, version: 1 })
}

/// Known here, accepted elsewhere just before (in the store only), done,
/// unknown: only a committed check proves a job never accepted, and a store
/// that names only the first failed condition misleads nobody.
#[test]
fn dependencies_never_accepted_get_422_naming_them() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let record = |n| SpecRecord::submitted(job(n), 0);
    replica.specs.insert(id(1), (Arc::new(record(1)), 1));
    let done = to_value(&EndRecord { cancelled: false, tasks: 1 });
    let mut store =
        Store::from([item(spec_key(&id(2)), to_value(&record(2))), item(end_key(&id(3)), done)]);
    store.extend([item(spec_key(&id(5)), to_value(&record(5)))]);
    let unknown = Answer::UnknownDependencies(vec![id(4), id(6)]);
    assert_eq!(ask(&mut api, &replica, &mut store, submit(9, &[1, 2, 3, 4, 5, 6])), unknown);
    assert!(!store.contains_key(&spec_key(&id(9))), "nothing written");
    let accepted = ask(&mut api, &replica, &mut store, submit(9, &[1, 2, 3, 5]));
    assert_eq!(accepted, told(201, 9, Stage::Queued, vec![]));
    // A poll names the dependencies that this controller still sees unfinished.
    let spec = JobSpec { dependencies: vec![id(1), id(2)], ..job(9) };
    replica.specs.insert(id(9), (Arc::new(SpecRecord::submitted(spec, 0)), 1));
    let polled = ask(&mut api, &replica, &mut store, UserRequest::Poll(id(9)));
    assert_eq!(polled, told(200, 9, Stage::Queued, vec![id(1)]));
}

/// Naming a cancelled job: accepted as cancelled, a final state and no spec, and
/// so told again by another controller from that final state. Until every
/// controller knows dependencies ([`GATED`]), naming any gets 503.
#[test]
fn a_job_naming_a_cancelled_one_is_accepted_aborted() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), cancelled)]);
    let gated = ask(&mut api, &replica, &mut store, submit(GATED, &[1]));
    assert_eq!(gated, Answer::Unavailable(RETRY_STORE_S));
    let first = ask(&mut api, &replica, &mut store, submit(2, &[1]));
    assert_eq!(first, told(201, 2, Stage::Cancelled, vec![]));
    assert!(!store.contains_key(&spec_key(&id(2))) && store.contains_key(&end_key(&id(2))));
    let again = ask(&mut UserApi::default(), &replica, &mut store, submit(2, &[1]));
    assert_eq!(again, told(200, 2, Stage::Cancelled, vec![]));
    assert_eq!(store.len(), 2, "the gated one wrote nothing");
}

/// A cancellation that a controller knows from a dependency's final state alone is told to
/// users from memory later: the leader must hear of it with the next pledge all the same.
#[test]
fn a_cancelled_dependency_that_was_read_counts_as_confirmed() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), cancelled)]);
    ask(&mut api, &replica, &mut store, submit(2, &[1]));
    let polled = ask(&mut api, &replica, &mut store, UserRequest::Poll(id(1)));
    assert_eq!(polled, told(200, 1, Stage::Cancelled, vec![]));
    let confirmed: Vec<JobId> = api.take_confirmed().into_iter().map(|(job, _)| job).collect();
    assert_eq!(confirmed, [id(1), id(2)]);
}

/// What can never be accepted, and what a retry is told whose first answer was lost.
#[test]
fn a_job_naming_itself_is_refused_and_a_retry_is_told_what_was_accepted() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let mut store = Store::new();
    let itself = ask(&mut api, &replica, &mut store, submit(1, &[1]));
    assert_eq!(itself, Answer::UnknownDependencies(vec![id(1)]));
    assert!(store.is_empty());
    // The first is accepted by one controller, as its dependency is unfinished; the other,
    // asked again, reads that the dependency was cancelled meanwhile.
    let record = to_value(&SpecRecord::submitted(job(3), 0));
    store.extend([item(spec_key(&id(3)), record)]);
    let first = ask(&mut api, &replica, &mut store, submit(4, &[3]));
    assert_eq!(first, told(201, 4, Stage::Queued, vec![]));
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    store.extend([item(end_key(&id(3)), cancelled)]);
    store.remove(&spec_key(&id(3)));
    let again = ask(&mut UserApi::default(), &replica, &mut store, submit(4, &[3]));
    assert_eq!(again, told(200, 4, Stage::Queued, vec![]), "the leader's cascade ends it");
    assert!(!store.contains_key(&end_key(&id(4))));
}

/// While the final state of a dependency that ended long ago can't be read, or the check isn't
/// answered, users are told to come back, and no place of a submission under way is lost.
#[test]
fn a_submission_waits_out_a_store_that_does_not_tell_how_a_dependency_ended() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let done = to_value(&EndRecord { cancelled: false, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), done)]);
    for attempt in 0..=2 * USER_WRITES_MAX {
        let told = ask_with(&mut api, &replica, submit(2, &[1]), |asked| match asked {
            StoreRequest::Get(_) => StoreResult::Refused,
            StoreRequest::Commit(_) if attempt % 2 == 0 => StoreResult::Unknown,
            asked => play(&mut store, asked),
        });
        assert_eq!(told, Answer::Unavailable(RETRY_STORE_S), "attempt {attempt}");
    }
    let accepted = ask(&mut api, &replica, &mut store, submit(2, &[1]));
    assert_eq!(accepted, told(201, 2, Stage::Queued, vec![]));
}

/// A job of a cascade list is aborted for all that users ask of it, without the store, and
/// one that names it is accepted as aborted. A controller whose copy lacks the list proves
/// nothing with it: users come again.
#[test]
fn a_job_of_a_cascade_list_is_aborted_before_its_final_state() {
    let watched = |items: Vec<Item>| {
        let mut replica = Replica::default();
        replica.apply(fresh(0.0, items));
        replica
    };
    let record = to_value(&SpecRecord::submitted(job(1), 0));
    let spec = Item { key: spec_key(&id(1)), value: record, version: 1 };
    let list = to_value(&CascadeRecord { jobs: vec![id(1)] });
    let list = Item { key: cascade_key(3, 0), value: list, version: 1 };
    let generation = Item { key: CASCADE_GENERATION.into(), value: to_value(&true), version: 1 };
    let all = [spec.clone(), list, generation];
    let mut store: Store = all.iter().map(|i| (i.key.clone(), i.clone())).collect();

    let (mut api, current) = (UserApi::default(), watched(all.to_vec()));
    for request in [UserRequest::Poll(id(1)), UserRequest::Cancel(id(1)), submit(1, &[])] {
        let aborted = ask(&mut api, &current, &mut Store::new(), request);
        assert_eq!(aborted, told(200, 1, Stage::Cancelled, vec![]));
    }
    let dependent = ask(&mut api, &current, &mut store, submit(2, &[1]));
    assert_eq!(dependent, told(201, 2, Stage::Cancelled, vec![]));

    // (The clock of these asks stands still, so the poll itself would wait for the watch.)
    let mut behind = UserApi::default();
    let (mut out, facts) = (ActionSink::default(), facts());
    let old = watched(vec![spec]);
    for (now, request) in [(0.0, submit(1, &[])), (0.0, UserRequest::Poll(id(1)))] {
        let context = |now| RequestContext {
            now,
            wall_ms: 0,
            facts: &facts,
            replica: &old,
            types: None,
            store_bad: false,
            dependencies_allowed: true,
        };
        behind.ask(&context(now), ReplyTo(1), request, &mut out);
        let (mut at, mut answer) = (now, None);
        while answer.is_none() {
            at += 0.2;
            assert!(at < 2.0, "users wait no longer");
            behind.tick(&context(at), &mut out);
            for action in std::mem::take(&mut out.actions) {
                match action {
                    Action::Reply(_, told) => answer = Some(told),
                    Action::Store(op, request) => {
                        let result = play(&mut store, request);
                        behind.store(&context(at), op, &result, &mut out);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        assert_eq!(answer, Some(Answer::Unavailable(RETRY_STORE_S)));
    }
}
