//! The user API: overload, a controller cut off from the store, and jobs with dependencies.

use ciborium::Value;
use marblebarrow_core::consts::{CONDS_PER_OP, FINALS_KEPT, RETRY_STORE_S, USER_WRITES_MAX};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_core::replica::Replica;
use marblebarrow_core::user_api::{RequestContext, UserApi};
use marblebarrow_proto::cbor::{json_len, to_value};
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::job::{InvalidJob, JobSpec, Kind, Priority};
use marblebarrow_proto::records::{
    CASCADE_GENERATION_KEY, CascadeRecord, EndRecord, SpecRecord, cascade_key, end_key, spec_key,
};
use marblebarrow_proto::wire::{Item, JobStatus, MachineType, Stage, Txn, Write};
use std::collections::BTreeMap;
use std::sync::Arc;

fn node() -> Node {
    let mut node = Node::new(facts(), 1, 0.0);
    node.handle(0.0, 0, Event::Watch(watch_reset(0.0, Vec::new())));
    node.tick(0.1, 0);
    // The node reads the machine types before it accepts a job.
    let types = node.take_actions().into_iter().find_map(|a| match a {
        Action::Cloud(op, CloudRequest::Types) => Some(op),
        _ => None,
    });
    let op = types.expect("requests the machine types");
    node.handle(0.2, 0, Event::Cloud(op, CloudResult::Types(vec![machine_type()])));
    node
}

fn facts() -> Facts {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        node: NodeId::new("c0"),
        others: vec![NodeId::new("c1"), NodeId::new("c2")],
        teams: vec![team],
        deadline_objectives: Vec::new(),
        completion_objectives: Vec::new(),
        start_objectives: Vec::new(),
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
        memory_gb: 8.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 3.0,
        zones: vec!["a".into()],
    }
}

/// Watch news that replaces all watched keys.
fn watch_reset(sent: Secs, items: Vec<Item>) -> WatchUpdate {
    WatchUpdate { sent, revision: 0, content: WatchContent::Reset(items) }
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
    let reply = |a| match a {
        Action::Reply(to, answer) => Some((to.0, answer)),
        _ => None,
    };
    node.take_actions().into_iter().filter_map(reply).collect()
}

/// Submissions over the limit are refused in the same step; none is held back unanswered.
#[test]
fn submissions_over_the_limit_get_retry_after_at_once() {
    let mut node = node();
    node.take_actions();
    let limit = USER_WRITES_MAX as u32;
    for n in 0..limit + 10 {
        let submit = UserRequest::Submit(Box::new(job(n)));
        node.handle(0.3, 0, Event::User(ReplyTo(u64::from(n)), submit));
    }
    let reply = replies(&mut node);
    assert_eq!(reply.len(), 10);
    for (to, answer) in reply {
        assert!(to >= u64::from(limit));
        assert!(matches!(answer, Answer::Overloaded(after) if after > 0), "{answer:?}");
    }
}

/// The log shows which record the state service rejected, and its size beside the known limit:
/// users only see the status.
#[test]
fn a_rejected_submission_is_logged_with_its_size() {
    let mut node = node();
    node.take_actions();
    node.take_log();
    let submit = UserRequest::Submit(Box::new(job(1)));
    node.handle(0.3, 0, Event::User(ReplyTo(1), submit));
    let Some(Action::Store(op, StoreRequest::Commit(txn))) = node.take_actions().pop() else {
        panic!("no transaction records the job");
    };
    node.handle(0.4, 0, Event::Store(op, StoreResult::Rejected));
    let [Write::Put { value, .. }] = &txn.writes[..] else { panic!("{txn:?}") };
    let (bytes, limit) = (json_len(value), facts().store_value_bytes);
    let expected =
        format!("event=submission_rejected job={} record_bytes={bytes} value_limit={limit}", id(1));
    assert!(node.take_log().iter().any(|line| line.text == expected));
}

/// A controller that the store refuses while a peer is served, or that hears no peer at all,
/// is the one cut off: its health check fails, and users are told to retry.
#[test]
fn a_controller_cut_off_alone_fails_its_health_check() {
    let mut node = node();
    let heartbeat = |at: f64, node: &mut Node, ok| {
        let news =
            PeerEvent::Heartbeat { node: NodeId::new("c1"), store_ok: ok, leading: Some(false) };
        node.handle(at, 0, Event::Peer(news));
    };
    let health = |at: f64, node: &mut Node| {
        node.take_actions();
        node.handle(at, 0, Event::User(ReplyTo(1), UserRequest::Health));
        replies(node).pop().expect("answered at once").1
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
    // The peer is refused too: the store has an outage, and no controller is better off.
    heartbeat(at, &mut node, false);
    assert_eq!(health(at, &mut node), Answer::Healthy);
    // The peer is served, so users are better off there.
    heartbeat(at, &mut node, true);
    assert!(matches!(health(at, &mut node), Answer::Unavailable(_)));
    // No peer is heard at all.
    assert!(matches!(health(at + 10.0, &mut node), Answer::Unavailable(_)));
    node.handle(at + 10.0, 0, Event::User(ReplyTo(2), UserRequest::Poll(JobId::new("req-1"))));
    assert!(matches!(replies(&mut node)[..], [(2, Answer::Unavailable(_))]));
}

/// Memory stays bounded over many finished jobs: the oldest final states are dropped, and read
/// from the store again when a user polls.
#[test]
fn dropped_final_states_are_read_again() {
    let mut node = node();
    node.take_actions();
    let id = |n: usize| JobId::new(&format!("req-{n}"));
    // Polls a job, with a simulated store that holds a final state for every job. Returns the
    // answer and the number of store requests.
    let ask = |at: f64, n: usize, node: &mut Node| {
        node.handle(at, 0, Event::User(ReplyTo(n as u64), UserRequest::Poll(id(n))));
        node.tick(at, 0);
        let (mut asked, mut reply) = (0, None);
        loop {
            let actions = node.take_actions();
            if actions.is_empty() {
                return (reply, asked);
            }
            for action in actions {
                match action {
                    Action::Reply(_, answer) => reply = Some(answer),
                    Action::Store(op, StoreRequest::Commit(txn)) => {
                        asked += 1;
                        let keys = txn.conditions.into_iter().map(|c| c.key).collect();
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
        |r: &Option<Answer>| matches!(r, Some(Answer::Job(200, s)) if s.stage == Stage::Done);
    let mut at = 1.0;
    for n in 0..FINALS_KEPT + 5 {
        at += 1.0;
        let (reply, asked) = ask(at, n, &mut node);
        assert!(done(&reply) && asked == 2, "{n}: {reply:?} after {asked}");
    }
    let (reply, asked) = ask(at + 1.0, FINALS_KEPT + 4, &mut node);
    assert!(done(&reply) && asked == 0, "the newest is remembered");
    let (reply, asked) = ask(at + 2.0, 0, &mut node);
    assert!(done(&reply) && asked == 2, "the oldest is read again");
}

type Store = BTreeMap<String, Item>;

/// The job that is submitted while the version gate is closed, that is, before every controller
/// supports DAG dependencies.
const GATED: u32 = 0;

/// A simulated store's reply. It names only the first failed condition, as a store may, and
/// asserts that transactions keep to `store_txn_ops = 1`.
fn simulate_store(store: &mut Store, request: StoreRequest) -> StoreResult {
    let txn = match request {
        StoreRequest::Get(key) => return StoreResult::Value(store.get(&key).cloned()),
        StoreRequest::Commit(txn) => txn,
        _ => return StoreResult::Refused,
    };
    assert!(txn.conditions.len() <= CONDS_PER_OP, "{} conditions", txn.conditions.len());
    let version = |key: &String| store.get(key).map_or(0, |item| item.version);
    if let Some(failed) = txn.conditions.iter().find(|c| version(&c.key) != c.version) {
        return StoreResult::Conflict(vec![failed.key.clone()]);
    }
    for write in txn.writes {
        if let Write::Put { key, value, .. } = write {
            store.insert(key.clone(), Item { key, value, version: 1 });
        }
    }
    StoreResult::Committed(1)
}

/// The answer of one controller's user API to a request, with a simulated store.
fn ask(api: &mut UserApi, replica: &Replica, store: &mut Store, request: UserRequest) -> Answer {
    ask_with(api, replica, request, |asked| simulate_store(store, asked))
}

/// The answer of the user API to a request when the store replies as `store` does.
fn ask_with(
    api: &mut UserApi,
    replica: &Replica,
    request: UserRequest,
    store: impl FnMut(StoreRequest) -> StoreResult,
) -> Answer {
    ask_with_settings(api, replica, Facts { store_txn_ops: 1, ..facts() }, request, store)
}

/// As [`ask_with`], at a controller with these settings.
fn ask_with_settings(
    api: &mut UserApi,
    replica: &Replica,
    facts: Facts,
    request: UserRequest,
    mut store: impl FnMut(StoreRequest) -> StoreResult,
) -> Answer {
    let types = [machine_type()];
    let context = RequestContext {
        now: 0.0,
        wall_ms: 0,
        facts: &facts,
        replica,
        types: Some(&types),
        store_unavailable: false,
        dependencies_allowed: !matches!(&request, UserRequest::Submit(s) if s.id == id(GATED)),
    };
    let mut out = ActionSink::default();
    api.handle_request(&context, ReplyTo(1), request, &mut out);
    loop {
        match out.actions.pop().expect("the user gets an answer") {
            Action::Reply(_, answer) => return answer,
            Action::Store(op, request) => {
                api.handle_store_result(&context, op, &store(request), &mut out)
            }
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

fn reply(code: u16, n: u32, stage: Stage, waits_on: Vec<JobId>) -> Answer {
    Answer::Job(code, JobStatus { waits_on, ..status(n, stage) })
}

fn status(n: u32, stage: Stage) -> JobStatus {
    JobStatus { id: id(n), stage, done: 0, running: 0, waits_on: Vec::new() }
}

fn item(key: String, value: Value) -> (String, Item) {
    (key.clone(), Item { key, value, version: 1 })
}

/// The dependencies are known here, just accepted elsewhere (in the store only), done, or
/// unknown. Only a committed check may prove that a job was never accepted, even with a store
/// that names only the first failed condition.
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
    assert_eq!(accepted, reply(201, 9, Stage::Queued, vec![]));
    // A poll's answer lists the dependencies that are unfinished as far as this controller knows.
    let spec = JobSpec { dependencies: vec![id(1), id(2)], ..job(9) };
    replica.specs.insert(id(9), (Arc::new(SpecRecord::submitted(spec, 0)), 1));
    let polled = ask(&mut api, &replica, &mut store, UserRequest::Poll(id(9)));
    assert_eq!(polled, reply(200, 9, Stage::Queued, vec![id(1)]));
}

/// A job with a cancelled dependency is accepted as cancelled, with a final state and no spec,
/// and another controller gives the same answer from that final state. Until every controller
/// supports dependencies ([`GATED`]), a submission with any gets 503.
#[test]
fn a_job_naming_a_cancelled_one_is_accepted_aborted() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), cancelled)]);
    let gated = ask(&mut api, &replica, &mut store, submit(GATED, &[1]));
    assert_eq!(gated, Answer::Unavailable(RETRY_STORE_S));
    let first = ask(&mut api, &replica, &mut store, submit(2, &[1]));
    assert_eq!(first, reply(201, 2, Stage::Cancelled, vec![]));
    assert!(!store.contains_key(&spec_key(&id(2))) && store.contains_key(&end_key(&id(2))));
    let again = ask(&mut UserApi::default(), &replica, &mut store, submit(2, &[1]));
    assert_eq!(again, reply(200, 2, Stage::Cancelled, vec![]));
    assert_eq!(store.len(), 2, "the gated submission wrote nothing");
}

/// A controller that learns of a cancellation only from a dependency's final state later tells
/// users of it from memory, so the leader must learn of it with the next pledge too.
#[test]
fn a_cancelled_dependency_that_was_read_counts_as_confirmed() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), cancelled)]);
    ask(&mut api, &replica, &mut store, submit(2, &[1]));
    let polled = ask(&mut api, &replica, &mut store, UserRequest::Poll(id(1)));
    assert_eq!(polled, reply(200, 1, Stage::Cancelled, vec![]));
    let confirmed: Vec<JobId> = api.take_confirmed().into_iter().map(|(job, _)| job).collect();
    assert_eq!(confirmed, [id(1), id(2)]);
}

/// A job that depends on itself can never be accepted. A retry whose first answer was lost gets
/// the state of the accepted job.
#[test]
fn a_job_naming_itself_is_refused_and_a_retry_gets_the_accepted_state() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let mut store = Store::new();
    let itself = ask(&mut api, &replica, &mut store, submit(1, &[1]));
    assert_eq!(itself, Answer::UnknownDependencies(vec![id(1)]));
    assert!(store.is_empty());
    // One controller accepts the first submission, as its dependency is unfinished. The other
    // gets the retry and reads that the dependency was cancelled meanwhile.
    let record = to_value(&SpecRecord::submitted(job(3), 0));
    store.extend([item(spec_key(&id(3)), record)]);
    let first = ask(&mut api, &replica, &mut store, submit(4, &[3]));
    assert_eq!(first, reply(201, 4, Stage::Queued, vec![]));
    let cancelled = to_value(&EndRecord { cancelled: true, tasks: 1 });
    store.extend([item(end_key(&id(3)), cancelled)]);
    store.remove(&spec_key(&id(3)));
    let again = ask(&mut UserApi::default(), &replica, &mut store, submit(4, &[3]));
    assert_eq!(again, reply(200, 4, Stage::Queued, vec![]), "the leader's cascade ends it");
    assert!(!store.contains_key(&end_key(&id(4))));
}

/// While the final state of a dependency that ended long ago can't be read, or the check gets
/// no reply, users are told to retry, and no slot for submissions in progress is leaked.
#[test]
fn an_unreadable_dependency_state_leaks_no_submission_slot() {
    let (mut api, mut replica) = (UserApi::default(), Replica::default());
    replica.synced = true;
    let done = to_value(&EndRecord { cancelled: false, tasks: 1 });
    let mut store = Store::from([item(end_key(&id(1)), done)]);
    for attempt in 0..=2 * USER_WRITES_MAX {
        let reply = ask_with(&mut api, &replica, submit(2, &[1]), |asked| match asked {
            StoreRequest::Get(_) => StoreResult::Refused,
            StoreRequest::Commit(_) if attempt % 2 == 0 => StoreResult::Unknown,
            asked => simulate_store(&mut store, asked),
        });
        assert_eq!(reply, Answer::Unavailable(RETRY_STORE_S), "attempt {attempt}");
    }
    let accepted = ask(&mut api, &replica, &mut store, submit(2, &[1]));
    assert_eq!(accepted, reply(201, 2, Stage::Queued, vec![]));
}

/// A job in a cascade list is reported as aborted for every kind of request, without the store,
/// and a job that depends on it is accepted as aborted. A controller whose copy lacks the list
/// can prove nothing: users have to retry.
#[test]
fn a_job_in_a_cascade_list_is_aborted_before_its_final_state() {
    let watched = |items: Vec<Item>| {
        let mut replica = Replica::default();
        replica.apply(watch_reset(0.0, items));
        replica
    };
    let record = to_value(&SpecRecord::submitted(job(1), 0));
    let spec = Item { key: spec_key(&id(1)), value: record, version: 1 };
    let list = to_value(&CascadeRecord { jobs: vec![id(1)] });
    let list = Item { key: cascade_key(3, 0), value: list, version: 1 };
    let generation =
        Item { key: CASCADE_GENERATION_KEY.into(), value: to_value(&true), version: 1 };
    let all = [spec.clone(), list, generation];
    let mut store: Store = all.iter().map(|i| (i.key.clone(), i.clone())).collect();

    let (mut api, current) = (UserApi::default(), watched(all.to_vec()));
    for request in [UserRequest::Poll(id(1)), UserRequest::Cancel(id(1)), submit(1, &[])] {
        let aborted = ask(&mut api, &current, &mut Store::new(), request);
        assert_eq!(aborted, reply(200, 1, Stage::Cancelled, vec![]));
    }
    let dependent = ask(&mut api, &current, &mut store, submit(2, &[1]));
    assert_eq!(dependent, reply(201, 2, Stage::Cancelled, vec![]));

    // `handle_request` doesn't advance the clock, and with a copy that is behind, a poll waits for
    // the watch; so the requests are made step by step here.
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
            store_unavailable: false,
            dependencies_allowed: true,
        };
        behind.handle_request(&context(now), ReplyTo(1), request, &mut out);
        let (mut at, mut answer) = (now, None);
        while answer.is_none() {
            at += 0.2;
            assert!(at < 2.0, "the answer is late");
            behind.tick(&context(at), &mut out);
            for action in std::mem::take(&mut out.actions) {
                match action {
                    Action::Reply(_, reply) => answer = Some(reply),
                    Action::Store(op, request) => {
                        let result = simulate_store(&mut store, request);
                        behind.handle_store_result(&context(at), op, &result, &mut out);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        assert_eq!(answer, Some(Answer::Unavailable(RETRY_STORE_S)));
    }
}

/// The largest value that [`store_with_value_limit`] takes, in bytes of JSON: above a final state's
/// size, below that of a spec record.
const VALUE_LIMIT: usize = 100;

/// As [`simulate_store`], with a value limit that, as the state service may, is applied without
/// comparing the versions.
fn store_with_value_limit(store: &mut Store, request: StoreRequest) -> StoreResult {
    let too_large =
        |write: &Write| matches!(write, Write::Put { value, .. } if json_len(value) > VALUE_LIMIT);
    match &request {
        StoreRequest::Commit(txn) if txn.writes.iter().any(too_large) => StoreResult::Rejected,
        _ => simulate_store(store, request),
    }
}

/// A store with an open job (1), a done one (2) and a cancelled one whose tasks may remain (3).
/// Another controller accepted them, and the replica doesn't show them yet.
fn store_with_accepted_jobs() -> Store {
    let record = |n| to_value(&SpecRecord::submitted(job(n), 0));
    let end = |cancelled| to_value(&EndRecord { cancelled, tasks: 1 });
    Store::from([
        item(spec_key(&id(1)), record(1)),
        item(end_key(&id(2)), end(false)),
        item(spec_key(&id(3)), record(3)),
        item(end_key(&id(3)), end(true)),
    ])
}

/// The answers to a repeated submission of the jobs of [`store_with_accepted_jobs`].
fn states_of_accepted_jobs() -> [Answer; 3] {
    let done = JobStatus { done: 1, ..status(2, Stage::Done) };
    [
        reply(200, 1, Stage::Queued, vec![]),
        Answer::Job(200, done),
        reply(200, 3, Stage::Cancelled, vec![]),
    ]
}

fn synced() -> Replica {
    let mut replica = Replica::default();
    replica.synced = true;
    replica
}

/// Guards against 422 "too large to store" for a job accepted before the value limit was lowered.
#[test]
fn an_accepted_job_is_not_refused_after_the_value_limit_is_lowered() {
    let mut store = store_with_accepted_jobs();
    for (n, expected) in (1..).zip(states_of_accepted_jobs()) {
        let answer = ask_with(&mut UserApi::default(), &synced(), submit(n, &[]), |asked| {
            store_with_value_limit(&mut store, asked)
        });
        assert_eq!(answer, expected, "job {n}");
    }
    let never_accepted = ask_with(&mut UserApi::default(), &synced(), submit(4, &[]), |asked| {
        store_with_value_limit(&mut store, asked)
    });
    assert_eq!(never_accepted, Answer::NeverRuns("too large to store"));
    assert_eq!(store, store_with_accepted_jobs(), "nothing is written");
}

/// Guards against 422 for an accepted job once its team or every machine type it allows is gone.
#[test]
fn an_accepted_job_is_not_refused_after_its_team_or_machine_types_are_gone() {
    let changes: [fn(JobSpec) -> JobSpec; 2] = [
        |spec| JobSpec { team: "gone".into(), ..spec },
        |spec| JobSpec { types: Some(vec!["gone".into()]), ..spec },
    ];
    let mut store = store_with_accepted_jobs();
    for change in changes {
        let request = |n| UserRequest::Submit(Box::new(change(job(n))));
        for (n, expected) in (1..).zip(states_of_accepted_jobs()) {
            let answer = ask(&mut UserApi::default(), &synced(), &mut store, request(n));
            assert_eq!(answer, expected, "job {n}");
        }
        let never_accepted = ask(&mut UserApi::default(), &synced(), &mut store, request(4));
        assert!(matches!(never_accepted, Answer::NeverRuns(_)), "{never_accepted:?}");
    }
}

/// Guards against 422 for an accepted job whose repeated submission names a job never accepted, as
/// one accepted by a version that ignores dependencies may.
#[test]
fn an_accepted_job_is_not_refused_for_its_dependencies() {
    let mut store = store_with_accepted_jobs();
    for (n, expected) in (1..).zip(states_of_accepted_jobs()) {
        let answer = ask(&mut UserApi::default(), &synced(), &mut store, submit(n, &[4]));
        assert_eq!(answer, expected, "job {n}");
    }
}

/// Guards against 400 for an accepted job when its repeated submission is invalid to this version.
#[test]
fn an_accepted_job_is_not_refused_when_its_repeated_submission_is_invalid() {
    let error = InvalidJob::Field("waits_on");
    let request = |n| UserRequest::SubmitInvalid(id(n), error.clone());
    let mut store = store_with_accepted_jobs();
    for (n, expected) in (1..).zip(states_of_accepted_jobs()) {
        let answer = ask(&mut UserApi::default(), &synced(), &mut store, request(n));
        assert_eq!(answer, expected, "job {n}");
    }
    let never_accepted = ask(&mut UserApi::default(), &synced(), &mut store, request(4));
    assert_eq!(never_accepted, Answer::Invalid(error));
}

/// Guards against a refusal, and against a lost submission slot, when the check that a job was
/// never accepted gets no usable reply.
#[test]
fn a_refusal_without_proof_is_answered_with_retry_and_leaks_no_submission_slot() {
    let mut store = Store::new();
    let mut api = UserApi::default();
    let unknown_team = JobSpec { team: "gone".into(), ..job(1) };
    for result in [StoreResult::Refused, StoreResult::Unknown, StoreResult::Rejected] {
        for _ in 0..=USER_WRITES_MAX {
            let request = UserRequest::Submit(Box::new(unknown_team.clone()));
            let answer = ask_with(&mut api, &synced(), request, |_| result.clone());
            assert_eq!(answer, Answer::Unavailable(RETRY_STORE_S));
        }
    }
    for _ in 0..=USER_WRITES_MAX {
        let request = UserRequest::Submit(Box::new(unknown_team.clone()));
        let answer = ask(&mut api, &synced(), &mut store, request);
        assert!(matches!(answer, Answer::NeverRuns(_)), "{answer:?}");
    }
}

/// Guards against 503 without end for jobs with many dependencies once the state service takes
/// fewer conditions than the settings say.
#[test]
fn dependencies_are_checked_within_a_lowered_transaction_limit() {
    const CONDITIONS_TAKEN: usize = 20;
    let dependencies: Vec<u32> = (1..=30).collect();
    let accepted = |n: &u32| item(spec_key(&id(*n)), to_value(&SpecRecord::submitted(job(*n), 0)));
    let mut store: Store = dependencies.iter().map(accepted).collect();
    let mut rejections = 0;
    let answer = ask_with_settings(
        &mut UserApi::default(),
        &synced(),
        facts(),
        submit(99, &dependencies),
        |asked| match &asked {
            StoreRequest::Commit(txn) if txn.conditions.len() > CONDITIONS_TAKEN => {
                rejections += 1;
                StoreResult::Rejected
            }
            StoreRequest::Commit(txn) => conflict_naming_all(&store, txn)
                .unwrap_or_else(|| simulate_store(&mut store, asked)),
            _ => simulate_store(&mut store, asked),
        },
    );
    assert_eq!(answer, reply(201, 99, Stage::Queued, vec![]));
    assert!((1..=3).contains(&rejections), "{rejections} checks rejected");
}

/// The conflict of a transaction, which names all conditions that failed; `None` if all hold.
fn conflict_naming_all(store: &Store, txn: &Txn) -> Option<StoreResult> {
    let version = |key: &String| store.get(key).map_or(0, |item| item.version);
    let failed = txn.conditions.iter().filter(|c| version(&c.key) != c.version);
    let failed: Vec<String> = failed.map(|c| c.key.clone()).collect();
    (!failed.is_empty()).then_some(StoreResult::Conflict(failed))
}
