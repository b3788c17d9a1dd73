//! Polls at a controller whose watch brings nothing while the store serves it otherwise.
//!
//! What happened: after a cascade cancelled jobs, such a controller answered 503 to polls of
//! every job that wasn't over, whether the cascade had touched it or not, for as long as the
//! watch was stuck: 75 s and longer, by which a job counts as forgotten. Why: its answers are
//! proven by the cascade generation that its copy shows, and only the watch brought a newer
//! one. What showed it: the first test below, where every answer in 90 s was `Unavailable`.

mod support;

use marblebarrow_core::event::*;
use marblebarrow_core::facts::Facts;
use marblebarrow_core::replica::Replica;
use marblebarrow_core::user_api::{RequestContext, UserApi};
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{
    CASCADE_GENERATION, CascadeRecord, EndRecord, SpecRecord, cascade_key, end_key, spec_key,
};
use marblebarrow_proto::wire::{Item, ItemPage, Stage};
use std::collections::BTreeMap;
use support::{facts, job, spec};

/// Users wait so long for the answer to a poll (protocol page), seconds.
const USER_WAITS_S: f64 = 2.0;
/// Users ask about every so many seconds (protocol page).
const POLL_EVERY_S: f64 = 5.0;
/// A job unanswered for so long, seconds, is forgotten.
const FORGOTTEN_S: f64 = 75.0;
const STEP_S: f64 = 0.1;
/// Keys in a page of the stand-in store: less than it holds lists.
const PAGE: usize = 2;

/// A store with versions, and one controller's user API with an old copy of it.
struct Scene {
    kv: BTreeMap<String, Item>,
    revision: u64,
    replica: Replica,
    api: UserApi,
    facts: Facts,
    now: f64,
    reads: usize,
    /// Called when the lists are read, before each page.
    between_pages: Option<fn(&mut BTreeMap<String, Item>)>,
}

fn array(number: u32) -> JobSpec {
    spec(number, Kind::Array, Priority::Normal)
}

fn put(kv: &mut BTreeMap<String, Item>, key: String, value: ciborium::Value, version: u64) {
    kv.insert(key.clone(), Item { key, value, version });
}

/// A cascade cancels these jobs.
fn cancel(kv: &mut BTreeMap<String, Item>, list: u32, jobs: &[u32], version: u64) {
    let record = CascadeRecord { jobs: jobs.iter().copied().map(job).collect() };
    put(kv, cascade_key(3, list), to_value(&record), version);
    put(kv, CASCADE_GENERATION.into(), to_value(&true), version);
}

impl Scene {
    /// Jobs 1 to 9 are accepted, as the copy shows. Then its watch is stuck, and a cascade
    /// cancels jobs 1 to 6, in three lists.
    fn stuck() -> Self {
        let mut kv = BTreeMap::new();
        for number in 1..=9 {
            let record = to_value(&SpecRecord::submitted(array(number), 0));
            put(&mut kv, spec_key(&job(number)), record, u64::from(number));
        }
        let mut replica = Replica::default();
        let content = WatchContent::Reset(kv.values().cloned().collect());
        replica.apply(WatchNews { sent: 0.0, revision: 9, content });
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
            between_pages: None,
        }
    }

    /// What a user is told; `None`: nothing in the time that users wait.
    fn ask(&mut self, request: UserRequest) -> Option<Answer> {
        let mut out = ActionSink::default();
        let mut told = None;
        let until = self.now + USER_WAITS_S;
        let mut request = Some(request);
        while told.is_none() && self.now < until {
            let api = &mut self.api;
            let here = context(&self.facts, &self.replica, self.now);
            match request.take() {
                Some(request) => api.ask(&here, ReplyTo(1), request, &mut out),
                None => api.tick(&here, &mut out),
            }
            self.now += STEP_S;
            while let Some(action) = out.actions.pop() {
                match action {
                    Action::Reply(_, answer) => told = Some(answer),
                    Action::Store(op, request) => {
                        let result = self.store(&request);
                        let here = context(&self.facts, &self.replica, self.now);
                        self.api.store(&here, op, &result, &mut out);
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        told
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
                if let Some(change) = self.between_pages {
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
                    .conds
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
        store_bad: false,
        dependencies_allowed: true,
    }
}

/// Users ask again and again for as long as it takes to be forgotten, and longer: jobs that the
/// cascade cancelled are told as aborted, the others as they are.
#[test]
fn polls_are_answered_though_the_watch_is_stuck() {
    let mut scene = Scene::stuck();
    let mut answered = 0;
    while scene.now < FORGOTTEN_S + 3.0 * POLL_EVERY_S {
        for number in 1..=9 {
            let stage = scene.poll(number);
            let right = if number <= 6 { Stage::Cancelled } else { Stage::Queued };
            assert!(stage.is_none() || stage == Some(right), "{number}: {stage:?}");
            answered += u32::from(stage.is_some());
        }
        scene.now += POLL_EVERY_S;
    }
    assert!(answered > 0, "no poll was answered in {:.0} s", scene.now);
    for number in 1..=9 {
        assert!(scene.poll(number).is_some(), "{number} is unanswered at the end");
    }
}

/// The lists are read once for each cascade, not for each poll.
#[test]
fn the_lists_are_read_once() {
    let mut scene = Scene::stuck();
    for _ in 0..3 {
        (1..=9).for_each(|number| {
            scene.poll(number);
        });
    }
    assert_eq!(scene.reads, 2, "pages of one read");
    cancel(&mut scene.kv, 3, &[7], 13);
    assert_eq!(scene.poll(7), Some(Stage::Cancelled));
    assert_eq!(scene.poll(8), Some(Stage::Queued));
    assert_eq!(scene.reads, 5);
}

/// A list is added or removed between the pages: nobody is told something older.
#[test]
fn lists_that_change_while_they_are_read_mislead_nobody() {
    let mut scene = Scene::stuck();
    scene.between_pages = Some(|kv| {
        // Added behind the page that is read next, with a new generation.
        let version = kv.values().map(|item| item.version).max().unwrap_or(0) + 1;
        if version < 15 {
            cancel(kv, 0, &[1, 2, 7], version);
        }
    });
    let stage = scene.poll(7);
    assert!(stage.is_none() || stage == Some(Stage::Cancelled), "{stage:?}");
    assert_eq!(scene.poll(7).or_else(|| scene.poll(7)), Some(Stage::Cancelled));

    let mut scene = Scene::stuck();
    scene.between_pages = Some(|kv| {
        // Its jobs got their final states, and the list is removed.
        for number in [5, 6] {
            let end = to_value(&EndRecord { cancelled: true, tasks: 1 });
            put(kv, end_key(&job(number)), end, 14);
            kv.remove(&spec_key(&job(number)));
        }
        kv.remove(&cascade_key(3, 2));
    });
    assert_eq!(scene.poll(5).or_else(|| scene.poll(5)), Some(Stage::Cancelled));
    assert_eq!(scene.poll(9).or_else(|| scene.poll(9)), Some(Stage::Queued));
}
