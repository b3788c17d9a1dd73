//! The acceptance check of a submission with DAG dependencies. This module does no I/O: the
//! user API asks for the next step, performs it and passes the store's reply back.
//!
//! Why this is safe: a job accepted at controller A a millisecond ago was committed to the
//! store before its user got 201, and the store orders controller B's check transaction after
//! that commit; so a check that commits proves that the job was never accepted. No cache is
//! trusted for absence: the replica and the remembered final states only prove that a job was
//! accepted, which stays true as records are monotonic.
//!
//! Why no cycle can arise: a job may only name jobs accepted before its own check, and no
//! submission can name a job not yet accepted; so every edge points to an older job, and the
//! graph is acyclic by construction.

use crate::consts::CONDS_PER_DEPENDENCY;
use crate::event::{ReplyTo, StoreResult};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::{EndRecord, end_key, spec_key};
use marblebarrow_proto::wire::{Condition, Txn};
use std::collections::VecDeque;

/// What this controller knows of a dependency without asking the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KnownDependency {
    /// It was accepted, and is not known to be cancelled.
    Accepted,
    /// It is cancelled.
    Cancelled,
    /// Unknown here: the store has to prove whether it was accepted.
    Unproven,
}

/// The next step of a check.
#[derive(Debug, PartialEq)]
pub(crate) enum DependencyStep {
    /// Commit the [`absence_transaction`] of these jobs.
    ProveAbsent(Vec<JobId>),
    /// Read the final state of this job.
    ReadEnd(JobId),
    /// Refuse the submission: these jobs were never accepted.
    Refuse(Vec<JobId>),
    /// Accept the submission.
    Accept,
    /// Accept the submission as a cancelled job, as one of its dependencies is cancelled.
    AcceptCancelled,
}

/// The store gave no usable reply, so the user has to retry the submission.
#[derive(Debug)]
pub(crate) struct Unanswered;

/// A submission and what is known of its dependencies.
#[derive(Debug)]
pub(crate) struct DependencyCheck {
    /// The submitted spec.
    pub spec: JobSpec,
    /// Where the answer goes.
    pub to: ReplyTo,
    /// Dependencies for which neither acceptance nor its absence is proven yet.
    unproven: VecDeque<JobId>,
    /// Accepted dependencies whose final state, if any, has to be read.
    final_states_to_read: Vec<JobId>,
    /// Dependencies that were never accepted, as a committed check proved.
    unknown: Vec<JobId>,
    /// Whether some dependency is cancelled; the submitted job is then cancelled too.
    cancelled_dependency: bool,
    /// Maximum number of dependencies in one check transaction, with two conditions each.
    max_per_check: usize,
}

/// A dependency's final state as recorded in the store.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinalState {
    /// The final state record.
    pub(crate) end: EndRecord,
    /// Version of the record's key.
    pub(crate) version: u64,
}

/// The transaction that commits only if none of these jobs was ever accepted.
pub(crate) fn absence_transaction(jobs: &[JobId]) -> Txn {
    let keys = jobs.iter().flat_map(|job| [spec_key(job), end_key(job)]);
    Txn { conditions: keys.map(|key| Condition { key, version: 0 }).collect(), writes: Vec::new() }
}

/// Number of dependencies that a check with this many conditions covers.
fn max_per_check(max_conditions: usize) -> usize {
    (max_conditions / CONDS_PER_DEPENDENCY).max(1)
}

impl DependencyCheck {
    /// Starts a check whose transactions have at most `max_conditions` conditions. `known`
    /// returns what is known of a dependency without the store.
    pub(crate) fn new(
        spec: JobSpec,
        to: ReplyTo,
        max_conditions: usize,
        known: impl Fn(&JobId) -> KnownDependency,
    ) -> Self {
        let states: Vec<_> = spec.dependencies.iter().map(|d| (d.clone(), known(d))).collect();
        let cancelled_dependency = states.iter().any(|(_, s)| *s == KnownDependency::Cancelled);
        let unproven = states.into_iter().filter(|(_, s)| *s == KnownDependency::Unproven);
        Self {
            unproven: unproven.map(|(dependency, _)| dependency).collect(),
            final_states_to_read: Vec::new(),
            unknown: Vec::new(),
            cancelled_dependency,
            max_per_check: max_per_check(max_conditions),
            spec,
            to,
        }
    }

    /// The next step to perform.
    pub(crate) fn next_step(&mut self) -> DependencyStep {
        if !self.unproven.is_empty() {
            let take = self.max_per_check.min(self.unproven.len());
            return DependencyStep::ProveAbsent(self.unproven.drain(..take).collect());
        }
        if !self.unknown.is_empty() {
            return DependencyStep::Refuse(std::mem::take(&mut self.unknown));
        }
        if self.cancelled_dependency {
            return DependencyStep::AcceptCancelled;
        }
        self.final_states_to_read.pop().map_or(DependencyStep::Accept, DependencyStep::ReadEnd)
    }

    /// Handles the store's reply to the absence transaction of `batch`.
    pub(crate) fn absence_answered(
        &mut self,
        batch: Vec<JobId>,
        result: &StoreResult,
    ) -> Result<(), Unanswered> {
        match result {
            // Neither a spec nor a final state exists: these jobs were never accepted.
            StoreResult::Committed(_) => self.unknown.extend(batch),
            StoreResult::Conflict(keys) => self.absence_conflict(&batch, keys),
            _ => return Err(Unanswered),
        }
        Ok(())
    }

    /// Returns a batch whose transaction was rejected, to be checked in transactions of at most
    /// `max_conditions` conditions.
    pub(crate) fn repeat(&mut self, batch: Vec<JobId>, max_conditions: usize) {
        self.max_per_check = self.max_per_check.min(max_per_check(max_conditions));
        for dependency in batch.into_iter().rev() {
            self.unproven.push_front(dependency);
        }
    }

    /// Handles a conflict, which shows that some job of the batch exists. The store may name
    /// only some of the failed conditions.
    fn absence_conflict(&mut self, batch: &[JobId], failed_keys: &[String]) {
        let mut unnamed = Vec::new();
        for dependency in batch {
            if failed_keys.contains(&end_key(dependency)) {
                self.final_states_to_read.push(dependency.clone());
            } else if !failed_keys.contains(&spec_key(dependency)) {
                unnamed.push(dependency.clone());
            }
        }
        if batch.len() == 1 && unnamed.len() == 1 {
            // The only job of a failed check exists; a read shows whether it has a final state.
            self.final_states_to_read.extend(unnamed);
            return;
        }
        if unnamed.len() == batch.len() {
            // The store named none of the jobs, so they are checked one at a time.
            self.max_per_check = 1;
        }
        for dependency in unnamed.into_iter().rev() {
            self.unproven.push_front(dependency);
        }
    }

    /// Handles the reply to the read of a dependency's final state, and returns that state if
    /// there is one. A dependency without one needs no further check: its acceptance is
    /// already proven.
    pub(crate) fn final_state_read(
        &mut self,
        result: &StoreResult,
    ) -> Result<Option<FinalState>, Unanswered> {
        match result {
            StoreResult::Value(Some(item)) => {
                let end = from_value::<EndRecord>(&item.value).map_err(|_| Unanswered)?;
                self.cancelled_dependency |= end.cancelled;
                Ok(Some(FinalState { end, version: item.version }))
            }
            StoreResult::Value(None) => Ok(None),
            _ => Err(Unanswered),
        }
    }
}
