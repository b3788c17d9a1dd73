//! Users at a controller that is asked more than it can take, or cut off.

use marblebarrow_core::consts::{FINALS_KEPT, USER_WRITES_MAX};
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::EndRecord;
use marblebarrow_proto::wire::{Item, MachineType, Stage};

fn node() -> Node {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let facts = Facts {
        node: NodeId::new("c0"),
        others: vec![NodeId::new("c1"), NodeId::new("c2")],
        teams: vec![team],
        deadlines: Vec::new(),
        finishes: Vec::new(),
        report_s: 1.0,
        lease_s: 8.0,
        cancel_s: 20.0,
        core_share: 1.0,
        log: true,
        store_rps: 100.0,
        store_write_rps: 20.0,
        store_txn_ops: 16,
        cloud_rps: 5.0,
        list_lag_s: 2.0,
        direct_most: 40,
        tuning: Tuning::default(),
        cells: None,
    };
    let mut node = Node::new(facts, 1, 0.0);
    node.handle(0.0, 0, Event::Watch(fresh(0.0, Vec::new())));
    node.tick(0.1, 0);
    // It asks for the machine types before it takes a job.
    let types = node.take_actions().into_iter().find_map(|a| match a {
        Action::Cloud(op, CloudRequest::Types) => Some(op),
        _ => None,
    });
    let kind = MachineType {
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
    };
    let op = types.expect("asks for types");
    node.handle(0.2, 0, Event::Cloud(op, CloudResult::Types(vec![kind])));
    node
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

/// Memory stays bounded over many finished jobs: the oldest last words are
/// forgotten, and read from the store again when somebody asks.
#[test]
fn forgotten_last_words_are_read_again() {
    let mut node = node();
    node.take_actions();
    let id = |n: usize| JobId::new(&format!("req-{n}"));
    // Asks; plays the store, which holds a last word for every job. The answer,
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
