//! How the leader makes a large cascade of cancellations durable: in lists of many jobs
//! each, a few changes of the store instead of two for each job.
//!
//! A transaction that adds lists is conditional on the leader key, on the cascade generation
//! and on the lists' keys being free, so that one applied late, or after its repetition,
//! changes nothing. Keys are used once: they name the leader's term and a number that only
//! rises, so a list found under a key of ours is the one that we sent.
//!
//! A list is removed once every job of it has a final state, as its spec is gone then. No I/O
//! here: the leader asks for transactions, sends them and hands back the answers.

use crate::cascaded_jobs::CascadedJobs;
use crate::consts::{CASCADE_CHANGES, CASCADE_LISTS_PER_TXN, STORE_RETRY_S};
use crate::event::{OpId, Secs, StoreResult};
use marblebarrow_proto::cbor::{json_text_len, to_value};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{CASCADE_GENERATION, CascadeRecord, LEADER, cascade_key};
use marblebarrow_proto::wire::{Cond, Txn, Write};
use std::collections::BTreeSet;

/// Bytes of `{"jobs":[]}`.
const LIST_FRAME_BYTES: usize = 11;

/// What an answer of the store meant for the lists.
#[derive(Debug, PartialEq)]
pub enum CascadeOutcome {
    /// It was the answer to something else.
    NotOurs,
    /// Nothing new; what is still to be done is tried again.
    Pending,
    /// These jobs are durably cancelled.
    Recorded(Vec<JobId>),
    /// A list whose jobs all have a final state is removed.
    Removed,
}

/// One list that is to be written.
#[derive(Debug)]
struct NewList {
    key: String,
    jobs: Vec<JobId>,
}

/// Lists not yet known to be durable; they stay the same however often they are sent.
#[derive(Debug)]
struct ListWrite {
    lists: Vec<NewList>,
    under_way: Option<OpId>,
    /// The generation that the last try required.
    tried_generation: u64,
    /// The store said that this is not the current one.
    outdated: bool,
}

impl ListWrite {
    fn jobs(self) -> Vec<JobId> {
        self.lists.into_iter().flat_map(|list| list.jobs).collect()
    }
}

/// A list that is being removed.
#[derive(Debug)]
struct Removal {
    key: String,
    /// `None` once it is gone and only the copy still shows it.
    under_way: Option<OpId>,
}

/// The cascade lists of one leadership.
#[derive(Debug)]
pub struct CascadeLists {
    term: u64,
    /// Version of the leader key.
    leader_version: u64,
    next_number: u32,
    writing: Option<ListWrite>,
    removal: Option<Removal>,
    /// Version of the generation key after our last write.
    own_generation: u64,
    not_before: Secs,
    /// Changes that final states of listed jobs may take now.
    ends_budget: f64,
    refilled: Secs,
}

impl CascadeLists {
    /// For a leadership that has just begun.
    pub fn new(term: u64, leader_version: u64, now: Secs) -> Self {
        Self {
            term,
            leader_version,
            next_number: 0,
            writing: None,
            removal: None,
            own_generation: 0,
            not_before: now,
            ends_budget: 0.0,
            refilled: now,
        }
    }

    /// The store did not do what a cascade asked of it: nothing more for a moment.
    pub fn pause(&mut self, now: Secs) {
        self.not_before = now + STORE_RETRY_S;
    }

    /// Whether such a pause lasts.
    pub fn is_paused(&self, now: Secs) -> bool {
        now < self.not_before
    }

    /// Whether lists wait to become durable.
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Lays out lists of these jobs, of at most `value_bytes` as JSON each; those that find
    /// no room in one transaction are left for the next. Nothing while lists are written.
    pub fn plan(&mut self, jobs: &BTreeSet<JobId>, value_bytes: usize, changes_most: usize) {
        if self.writing.is_some() {
            return;
        }
        // One change is the generation.
        let lists_most = changes_most.saturating_sub(1).clamp(1, CASCADE_LISTS_PER_TXN);
        let mut lists = split(jobs, value_bytes);
        lists.truncate(lists_most);
        let lists = lists.into_iter().map(|jobs| self.new_list(jobs)).collect::<Vec<_>>();
        if !lists.is_empty() {
            self.writing =
                Some(ListWrite { lists, under_way: None, tried_generation: 0, outdated: false });
        }
    }

    fn new_list(&mut self, jobs: Vec<JobId>) -> NewList {
        let key = cascade_key(self.term, self.next_number);
        self.next_number += 1;
        NewList { key, jobs }
    }

    /// Jobs whose lists the copy shows, before an answer said so or without one.
    pub fn take_shown(&mut self, copy: &CascadedJobs) -> Option<Vec<JobId>> {
        let shown = |list: &NewList| copy.lists().contains_key(&list.key);
        let all_shown = self.writing.as_ref().is_some_and(|w| w.lists.iter().all(shown));
        if !all_shown {
            return None;
        }
        self.writing.take().map(ListWrite::jobs)
    }

    /// The transaction that makes the planned lists durable, if it is due. Once it is
    /// sent, [`CascadeLists::write_sent`] must be told.
    pub fn write_due(&mut self, now: Secs, copy: &CascadedJobs) -> Option<Txn> {
        let leading = self.leader_condition();
        let generation = copy.generation().max(self.own_generation);
        let writing = self.writing.as_mut().filter(|w| w.under_way.is_none())?;
        if self.not_before > now || (writing.outdated && writing.tried_generation >= generation) {
            return None;
        }
        (writing.tried_generation, writing.outdated) = (generation, false);
        let mut txn = Txn { conds: vec![leading], writes: Vec::new() };
        txn.conds.push(Cond { key: CASCADE_GENERATION.into(), version: generation });
        txn.writes.push(put(CASCADE_GENERATION.into(), to_value(&true)));
        for NewList { key, jobs } in &writing.lists {
            txn.conds.push(Cond { key: key.clone(), version: 0 });
            txn.writes.push(put(key.clone(), to_value(&CascadeRecord { jobs: jobs.clone() })));
        }
        Some(txn)
    }

    /// The transaction of [`CascadeLists::write_due`] was sent.
    pub fn write_sent(&mut self, op: OpId) {
        if let Some(writing) = &mut self.writing {
            writing.under_way = Some(op);
        }
    }

    /// The transaction that removes a list whose jobs all have a final state, if there is one.
    /// Once it is sent, [`CascadeLists::removal_sent`] must be told.
    pub fn removal_due(
        &mut self,
        now: Secs,
        copy: &CascadedJobs,
        unfinished: impl Fn(&JobId) -> bool,
    ) -> Option<Txn> {
        if let Some(removal) = &self.removal {
            if removal.under_way.is_some() || copy.lists().contains_key(&removal.key) {
                return None;
            }
            self.removal = None;
        }
        if self.is_paused(now) {
            return None;
        }
        let over = |jobs: &[JobId]| !jobs.iter().any(&unfinished);
        let (key, list) = copy.lists().iter().find(|(_, list)| over(&list.jobs))?;
        let listed = Cond { key: key.clone(), version: list.version };
        let conds = vec![self.leader_condition(), listed];
        self.removal = Some(Removal { key: key.clone(), under_way: None });
        Some(Txn { conds, writes: vec![Write::Delete { key: key.clone() }] })
    }

    /// The transaction of [`CascadeLists::removal_due`] was sent.
    pub fn removal_sent(&mut self, op: OpId) {
        if let Some(removal) = &mut self.removal {
            removal.under_way = Some(op);
        }
    }

    /// The store answered.
    pub fn answered(&mut self, now: Secs, op: OpId, result: &StoreResult) -> CascadeOutcome {
        if self.removal.as_ref().is_some_and(|removal| removal.under_way == Some(op)) {
            return self.removal_answered(now, result);
        }
        let Some(mut writing) = self.writing.take_if(|w| w.under_way == Some(op)) else {
            return CascadeOutcome::NotOurs;
        };
        writing.under_way = None;
        match result {
            StoreResult::Committed(version) => {
                self.own_generation = *version;
                return CascadeOutcome::Recorded(writing.jobs());
            }
            // An earlier try of ours was carried out, though its answer was lost.
            StoreResult::Conflict(keys) if writing.lists.iter().any(|l| keys.contains(&l.key)) => {
                return CascadeOutcome::Recorded(writing.jobs());
            }
            // Our copy is behind, perhaps as an earlier try was carried out: it will show.
            StoreResult::Conflict(keys) if keys.iter().any(|key| key == CASCADE_GENERATION) => {
                writing.outdated = true;
            }
            _ => {}
        }
        self.pause(now);
        self.writing = Some(writing);
        CascadeOutcome::Pending
    }

    fn removal_answered(&mut self, now: Secs, result: &StoreResult) -> CascadeOutcome {
        if matches!(result, StoreResult::Committed(_)) {
            if let Some(removal) = &mut self.removal {
                removal.under_way = None;
            }
            return CascadeOutcome::Removed;
        }
        self.removal = None;
        self.pause(now);
        CascadeOutcome::Pending
    }

    /// Whether the final state of one more listed job may be written now, at so many changes
    /// a second; if so, it is counted.
    pub fn afford_end(&mut self, now: Secs, changes_per_s: f64) -> bool {
        let gained = (now - self.refilled) * changes_per_s;
        self.refilled = now;
        self.ends_budget = (self.ends_budget + gained).min(CASCADE_CHANGES);
        let affordable = self.ends_budget >= CASCADE_CHANGES;
        if affordable {
            self.ends_budget -= CASCADE_CHANGES;
        }
        affordable
    }

    fn leader_condition(&self) -> Cond {
        Cond { key: LEADER.into(), version: self.leader_version }
    }
}

fn put(key: String, value: ciborium::Value) -> Write {
    Write::Put { key, value, lease: None }
}

/// Splits jobs so that each list stays within so many bytes as JSON.
fn split(jobs: &BTreeSet<JobId>, value_bytes: usize) -> Vec<Vec<JobId>> {
    let mut lists: Vec<Vec<JobId>> = Vec::new();
    let mut room = 0;
    for job in jobs {
        // With the comma after it.
        let bytes = json_text_len(job.as_str()) + 1;
        if bytes > room || lists.is_empty() {
            lists.push(Vec::new());
            room = value_bytes.saturating_sub(LIST_FRAME_BYTES);
        }
        room = room.saturating_sub(bytes);
        if let Some(list) = lists.last_mut() {
            list.push(job.clone());
        }
    }
    lists
}

#[cfg(test)]
#[path = "tests/cascade.rs"]
mod tests;
