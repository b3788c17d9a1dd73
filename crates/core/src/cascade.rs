//! The leader's cascade lists, which make a large cascade of cancellations durable: each list
//! names many jobs, so the store needs a few changes instead of two for each job.
//!
//! A transaction that adds lists is conditional on the leader key, on the cascade generation
//! and on the lists' keys being absent, so it changes nothing if it is applied late or after
//! its own retry. Keys are never reused: they contain the leader's term and an increasing
//! number, so a list found under a key of this leader is the one that it sent.
//!
//! A list is removed once every job in it has a final state; the job's spec is gone then. This
//! module does no I/O: the leader asks it for transactions, sends them and passes the replies
//! back.

use crate::cascaded_jobs::CascadedJobs;
use crate::consts::{CASCADE_CHANGES, CASCADE_LISTS_PER_TXN, STORE_RETRY_S};
use crate::event::{OpId, Secs, StoreResult};
use marblebarrow_proto::cbor::{json_text_len_bound, to_value};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{CASCADE_GENERATION_KEY, CascadeRecord, LEADER_KEY, cascade_key};
use marblebarrow_proto::wire::{Condition, Txn, Write};
use std::collections::BTreeSet;

/// Length of the empty list record `{"jobs":[]}`, bytes.
const LIST_FRAME_BYTES: usize = 11;

/// What a store reply means for the cascade lists.
#[derive(Debug, PartialEq)]
pub enum CascadeOutcome {
    /// The reply belongs to another request.
    Unrelated,
    /// Nothing became durable; the transaction is retried.
    Pending,
    /// These jobs are now durably cancelled.
    Recorded(Vec<JobId>),
    /// A list whose jobs all have a final state was removed.
    Removed,
}

/// A list to be written.
#[derive(Debug)]
struct NewList {
    key: String,
    jobs: Vec<JobId>,
}

/// Lists that are not yet known to be durable. Every retry sends the same lists under the same
/// keys.
#[derive(Debug)]
struct ListWrite {
    lists: Vec<NewList>,
    in_flight: Option<OpId>,
    /// The generation that the last attempt required.
    tried_generation: u64,
    /// Whether the store reported that `tried_generation` isn't the current generation.
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
    /// The removal in flight; `None` once it is committed and only the local copy is behind.
    in_flight: Option<OpId>,
}

/// The cascade lists that a leader writes and removes during its term.
#[derive(Debug)]
pub struct CascadeLists {
    term: u64,
    /// Version of the leader key.
    leader_version: u64,
    /// Number of the next list's key.
    next_number: u32,
    writing: Option<ListWrite>,
    removal: Option<Removal>,
    /// Version of the generation key after this leader's last committed write.
    own_generation: u64,
    /// End of the pause after a failed request.
    not_before: Secs,
    /// Store changes that final states of listed jobs may use now.
    final_state_budget: f64,
    /// When the budget was last increased.
    refilled: Secs,
}

impl CascadeLists {
    /// Creates the state of a leader whose term has just begun.
    pub fn new(term: u64, leader_version: u64, now: Secs) -> Self {
        Self {
            term,
            leader_version,
            next_number: 0,
            writing: None,
            removal: None,
            own_generation: 0,
            not_before: now,
            final_state_budget: 0.0,
            refilled: now,
        }
    }

    /// Pauses cascade requests for [`STORE_RETRY_S`] after the store failed one.
    pub fn pause(&mut self, now: Secs) {
        self.not_before = now + STORE_RETRY_S;
    }

    /// Whether cascade requests are paused.
    pub fn is_paused(&self, now: Secs) -> bool {
        now < self.not_before
    }

    /// Whether there are planned lists that are not yet known to be durable.
    pub fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Plans lists of these jobs, each at most `value_bytes` long as JSON. Jobs that do not fit
    /// into one transaction are left for the next. Does nothing while lists are being written.
    pub fn plan(&mut self, jobs: &BTreeSet<JobId>, value_bytes: usize, max_changes: usize) {
        if self.writing.is_some() {
            return;
        }
        // One change is the update of the generation key.
        let max_lists = max_changes.saturating_sub(1).clamp(1, CASCADE_LISTS_PER_TXN);
        let mut lists = split_into_lists(jobs, value_bytes);
        lists.truncate(max_lists);
        let lists = lists.into_iter().map(|jobs| self.new_list(jobs)).collect::<Vec<_>>();
        if !lists.is_empty() {
            self.writing =
                Some(ListWrite { lists, in_flight: None, tried_generation: 0, outdated: false });
        }
    }

    fn new_list(&mut self, jobs: Vec<JobId>) -> NewList {
        let key = cascade_key(self.term, self.next_number);
        self.next_number += 1;
        NewList { key, jobs }
    }

    /// The jobs of the lists being written, if the local copy shows all these lists: they are
    /// durable even if the reply is late or lost.
    pub fn take_visible(&mut self, copy: &CascadedJobs) -> Option<Vec<JobId>> {
        let shown = |list: &NewList| copy.lists().contains_key(&list.key);
        let all_shown = self.writing.as_ref().is_some_and(|w| w.lists.iter().all(shown));
        if !all_shown {
            return None;
        }
        self.writing.take().map(ListWrite::jobs)
    }

    /// The transaction that makes the planned lists durable, if it is due. The caller must call
    /// [`CascadeLists::write_sent`] once it has sent it.
    pub fn write_due(&mut self, now: Secs, copy: &CascadedJobs) -> Option<Txn> {
        let leader_cond = self.leader_condition();
        let generation = copy.generation().max(self.own_generation);
        let writing = self.writing.as_mut().filter(|w| w.in_flight.is_none())?;
        if self.not_before > now || (writing.outdated && writing.tried_generation >= generation) {
            return None;
        }
        (writing.tried_generation, writing.outdated) = (generation, false);
        let mut txn = Txn { conditions: vec![leader_cond], writes: Vec::new() };
        txn.conditions.push(Condition { key: CASCADE_GENERATION_KEY.into(), version: generation });
        txn.writes.push(put(CASCADE_GENERATION_KEY.into(), to_value(&true)));
        for NewList { key, jobs } in &writing.lists {
            txn.conditions.push(Condition { key: key.clone(), version: 0 });
            txn.writes.push(put(key.clone(), to_value(&CascadeRecord { jobs: jobs.clone() })));
        }
        Some(txn)
    }

    /// Notes that the transaction of [`CascadeLists::write_due`] was sent.
    pub fn write_sent(&mut self, op: OpId) {
        if let Some(writing) = &mut self.writing {
            writing.in_flight = Some(op);
        }
    }

    /// The transaction that removes a list whose jobs all have a final state, if there is such a
    /// list. The caller must call [`CascadeLists::removal_sent`] once it has sent it.
    pub fn removal_due(
        &mut self,
        now: Secs,
        copy: &CascadedJobs,
        unfinished: impl Fn(&JobId) -> bool,
    ) -> Option<Txn> {
        if let Some(removal) = &self.removal {
            if removal.in_flight.is_some() || copy.lists().contains_key(&removal.key) {
                return None;
            }
            self.removal = None;
        }
        if self.is_paused(now) {
            return None;
        }
        let over = |jobs: &[JobId]| !jobs.iter().any(&unfinished);
        let (key, list) = copy.lists().iter().find(|(_, list)| over(&list.jobs))?;
        let listed = Condition { key: key.clone(), version: list.version };
        let conditions = vec![self.leader_condition(), listed];
        self.removal = Some(Removal { key: key.clone(), in_flight: None });
        Some(Txn { conditions, writes: vec![Write::Delete { key: key.clone() }] })
    }

    /// Notes that the transaction of [`CascadeLists::removal_due`] was sent.
    pub fn removal_sent(&mut self, op: OpId) {
        if let Some(removal) = &mut self.removal {
            removal.in_flight = Some(op);
        }
    }

    /// Handles a store reply.
    pub fn answered(&mut self, now: Secs, op: OpId, result: &StoreResult) -> CascadeOutcome {
        if self.removal.as_ref().is_some_and(|removal| removal.in_flight == Some(op)) {
            return self.removal_answered(now, result);
        }
        let Some(mut writing) = self.writing.take_if(|w| w.in_flight == Some(op)) else {
            return CascadeOutcome::Unrelated;
        };
        writing.in_flight = None;
        match result {
            StoreResult::Committed(version) => {
                self.own_generation = *version;
                return CascadeOutcome::Recorded(writing.jobs());
            }
            // An earlier attempt was committed, although its reply was lost.
            StoreResult::Conflict(keys) if writing.lists.iter().any(|l| keys.contains(&l.key)) => {
                return CascadeOutcome::Recorded(writing.jobs());
            }
            // The local copy is behind, perhaps because an earlier attempt was committed; the
            // copy will show the lists then.
            StoreResult::Conflict(keys) if keys.iter().any(|key| key == CASCADE_GENERATION_KEY) => {
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
                removal.in_flight = None;
            }
            return CascadeOutcome::Removed;
        }
        self.removal = None;
        self.pause(now);
        CascadeOutcome::Pending
    }

    /// Whether the final state of one more listed job may be written now at a limit of
    /// `changes_per_s`; if so, its changes are taken from the budget.
    pub fn try_spend_final_state_budget(&mut self, now: Secs, changes_per_s: f64) -> bool {
        let gained = (now - self.refilled) * changes_per_s;
        self.refilled = now;
        self.final_state_budget = (self.final_state_budget + gained).min(CASCADE_CHANGES);
        let affordable = self.final_state_budget >= CASCADE_CHANGES;
        if affordable {
            self.final_state_budget -= CASCADE_CHANGES;
        }
        affordable
    }

    fn leader_condition(&self) -> Condition {
        Condition { key: LEADER_KEY.into(), version: self.leader_version }
    }
}

fn put(key: String, value: ciborium::Value) -> Write {
    Write::Put { key, value, lease: None }
}

/// Splits jobs into lists of at most `value_bytes` bytes of JSON each.
fn split_into_lists(jobs: &BTreeSet<JobId>, value_bytes: usize) -> Vec<Vec<JobId>> {
    let mut lists: Vec<Vec<JobId>> = Vec::new();
    let mut remaining = 0;
    for job in jobs {
        // One more byte for the comma.
        let bytes = json_text_len_bound(job.as_str()) + 1;
        if bytes > remaining || lists.is_empty() {
            lists.push(Vec::new());
            remaining = value_bytes.saturating_sub(LIST_FRAME_BYTES);
        }
        remaining = remaining.saturating_sub(bytes);
        if let Some(list) = lists.last_mut() {
            list.push(job.clone());
        }
    }
    lists
}

#[cfg(test)]
#[path = "tests/cascade.rs"]
mod tests;
