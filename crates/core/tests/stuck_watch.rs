//! Polls at a controller whose watch delivers nothing while the state service answers its other
//! requests.
//!
//! The fault: after a cascade had cancelled jobs, such a controller answered 503 to polls of every
//! unfinished job, whether the cascade concerned it or not, for as long as the watch was stuck.
//! That took 75 s and longer, after which a job counts as forgotten. The cause: its answers are
//! validated against the cascade generation in its replica, and only the watch updated that. The
//! first test below reproduced it: every answer in 90 s was `Unavailable`.

mod support;

use marblebarrow_core::event::*;
use marblebarrow_core::facts::Facts;
use marblebarrow_core::replica::Replica;
use marblebarrow_core::user_api::{RequestContext, UserApi};
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{
    CASCADE_GENERATION_KEY, CascadeRecord, EndRecord, SpecRecord, cascade_key, end_key, spec_key,
};
use marblebarrow_proto::wire::{Item, ItemPage, Stage};
use std::collections::BTreeMap;
use support::{facts, job, spec};

/// How long users wait for the answer to a poll (protocol page), seconds.
const USER_WAITS_S: f64 = 2.0;
/// Time between two polls of a user (protocol page), seconds.
const POLL_EVERY_S: f64 = 5.0;
/// Time after which an unanswered job counts as forgotten, seconds.
const FORGOTTEN_S: f64 = 75.0;
const STEP_S: f64 = 0.1;
/// Keys per page of the simulated state service: fewer than the number of lists.
const PAGE: usize = 2;

/// A simulated state service with versions, and the user API of one controller with an outdated
/// replica.
struct Fixture {
    kv: BTreeMap<String, Item>,
    revision: u64,
    replica: Replica,
    api: UserApi,
    facts: Facts,
    now: f64,
    reads: usize,
    /// Called before each page of a range read.
    before_page: Option<fn(&mut BTreeMap<String, Item>)>,
}

fn array(number: u32) -> JobSpec {
    spec(number, Kind::Array, Priority::Normal)
}

fn put(kv: &mut BTreeMap<String, Item>, key: String, value: ciborium::Value, version: u64) {
    kv.insert(key.clone(), Item { key, value, version });
}

/// Records a cascade that cancels these jobs.
fn cancel(kv: &mut BTreeMap<String, Item>, list: u32, jobs: &[u32], version: u64) {
    let record = CascadeRecord { jobs: jobs.iter().copied().map(job).collect() };
    put(kv, cascade_key(3, list), to_value(&record), version);
    put(kv, CASCADE_GENERATION_KEY.into(), to_value(&true), version);
}

impl Fixture {
    /// Jobs 1 to 9 are accepted and in the replica. Then the watch gets stuck, and a cascade
    /// cancels jobs 1 to 6, in three lists.
    fn with_stuck_watch() -> Self {
        let mut kv = BTreeMap::new();
        for number in 1..=9 {
            let record = to_value(&SpecRecord::submitted(array(number), 0));
            put(&mut kv, spec_key(&job(number)), record, u64::from(number));
        }
        let mut replica = Replica::default();
        let content = WatchContent::Reset(kv.values().cloned().collect());
        replica.apply(WatchUpdate { sent: 0.0, revision: 9, content });
        cancel(&mut kv, 0, &[1, 2], 10);
        cancel(&mut kv, 1, &[3, 4], 11);
        cancel(&mut kv, 2, &[5, 6], 12);
        Self {
            kv,
            revision: 12,
            replica,
            api: UserApi::default(),
            facts: facts(),
            now: 1.0,
            reads: 0,
            before_page: None,
        }
    }

    /// Sends a request and returns the answer, or `None` if none arrives in the time that users
    /// wait.
    fn ask(&mut self, request: UserRequest) -> Option<Answer> {
        let mut out = ActionSink::default();
        let mut reply = None;
        let until = self.now + USER_WAITS_S;
        let mut request = Some(request);
        while reply.is_none() && self.now < until {
            let api = &mut self.api;
            let request_context = context(&self.facts, &self.replica, self.now);
            match request.take() {
                Some(request) => {
                    api.handle_request(&request_context, ReplyTo(1), request, &mut out)
                }
                None => api.tick(&request_context, &mut out),
            }
            self.now += STEP_S;
            while let Some(action) = out.actions.pop() {
                match action {
                    Action::Reply(_, answer) => reply = Some(answer),
                    Action::Store(op, request) => {
                        let result = self.store(&request);
                        let request_context = context(&self.facts, &self.replica, self.now);
                        self.api.handle_store_result(&request_context, op, &result, &mut out);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        reply
    }

    fn poll(&mut self, number: u32) -> Option<Stage> {
        match self.ask(UserRequest::Poll(job(number))) {
            Some(Answer::Job(200, status)) => Some(status.stage),
            _ => None,
        }
    }

    fn store(&mut self, request: &StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get(key) => StoreResult::Value(self.kv.get(key).cloned()),
            StoreRequest::Range { prefix, after } => {
                if let Some(change) = self.before_page {
                    change(&mut self.kv);
                }
                self.reads += 1;
                let matching = |item: &&Item| item.key.starts_with(prefix) && item.key > *after;
                let mut items: Vec<Item> =
                    self.kv.values().filter(matching).take(PAGE + 1).cloned().collect();
                let more = items.len() > PAGE;
                items.truncate(PAGE);
                StoreResult::Page(ItemPage { items, more, revision: self.revision })
            }
            StoreRequest::Commit(txn) => {
                assert!(txn.writes.is_empty(), "polls change nothing");
                let version = |key: &String| self.kv.get(key).map_or(0, |item| item.version);
                let failed: Vec<String> = txn
                    .conditions
                    .iter()
                    .filter(|cond| version(&cond.key) != cond.version)
                    .map(|cond| cond.key.clone())
                    .collect();
                if failed.is_empty() {
                    StoreResult::Committed(self.revision)
                } else {
                    StoreResult::Conflict(failed)
                }
            }
            _ => StoreResult::Refused,
        }
    }
}

fn context<'a>(facts: &'a Facts, replica: &'a Replica, now: f64) -> RequestContext<'a> {
    RequestContext {
        now,
        wall_ms: 0,
        facts,
        replica,
        types: None,
        store_unavailable: false,
        dependencies_allowed: true,
    }
}

/// Users poll repeatedly for longer than it takes for a job to count as forgotten. Jobs that the
/// cascade cancelled must be reported as cancelled, the others with their actual stage.
#[test]
fn polls_are_answered_while_the_watch_is_stuck() {
    let mut fixture = Fixture::with_stuck_watch();
    let mut answered = 0;
    while fixture.now < FORGOTTEN_S + 3.0 * POLL_EVERY_S {
        for number in 1..=9 {
            let stage = fixture.poll(number);
            let expected = if number <= 6 { Stage::Cancelled } else { Stage::Queued };
            assert!(stage.is_none() || stage == Some(expected), "{number}: {stage:?}");
            answered += u32::from(stage.is_some());
        }
        fixture.now += POLL_EVERY_S;
    }
    assert!(answered > 0, "no poll was answered in {:.0} s", fixture.now);
    for number in 1..=9 {
        assert!(fixture.poll(number).is_some(), "{number} is unanswered at the end");
    }
}

/// The lists are read once per cascade, not once per poll.
#[test]
fn cascade_lists_are_read_once_per_cascade() {
    let mut fixture = Fixture::with_stuck_watch();
    for _ in 0..3 {
        (1..=9).for_each(|number| {
            fixture.poll(number);
        });
    }
    assert_eq!(fixture.reads, 2, "pages of one read");
    cancel(&mut fixture.kv, 3, &[7], 13);
    assert_eq!(fixture.poll(7), Some(Stage::Cancelled));
    assert_eq!(fixture.poll(8), Some(Stage::Queued));
    assert_eq!(fixture.reads, 5);
}

/// If a list is added or removed between two pages of a read, no poll may get an outdated answer.
#[test]
fn lists_that_change_during_a_read_give_no_outdated_answer() {
    let mut fixture = Fixture::with_stuck_watch();
    fixture.before_page = Some(|kv| {
        // Added at a key before the page that is read next, with a new generation.
        let version = kv.values().map(|item| item.version).max().unwrap_or(0) + 1;
        if version < 15 {
            cancel(kv, 0, &[1, 2, 7], version);
        }
    });
    let stage = fixture.poll(7);
    assert!(stage.is_none() || stage == Some(Stage::Cancelled), "{stage:?}");
    assert_eq!(fixture.poll(7).or_else(|| fixture.poll(7)), Some(Stage::Cancelled));

    let mut fixture = Fixture::with_stuck_watch();
    fixture.before_page = Some(|kv| {
        // The jobs of the list reached their terminal states, and the list was removed.
        for number in [5, 6] {
            let end = to_value(&EndRecord { cancelled: true, tasks: 1 });
            put(kv, end_key(&job(number)), end, 14);
            kv.remove(&spec_key(&job(number)));
        }
        kv.remove(&cascade_key(3, 2));
    });
    assert_eq!(fixture.poll(5).or_else(|| fixture.poll(5)), Some(Stage::Cancelled));
    assert_eq!(fixture.poll(9).or_else(|| fixture.poll(9)), Some(Stage::Queued));
}
