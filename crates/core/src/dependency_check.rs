//! A submission with DAG dependencies, while their acceptance is proven. No I/O: the user
//! API asks for the next step, carries it out and hands back what the store answered.
//!
//! Why this is safe: a job accepted at controller A a millisecond ago was committed to the
//! store before its user got 201, and B's check transaction is ordered after that commit by
//! the store; so a check that commits proves that the job was never accepted. No cache is
//! trusted for absence: the replica and the remembered final states only prove presence, which
//! never goes back (records are monotonic).
//!
//! Why no cycle can arise: a job may only name jobs accepted before its own check, and
//! nobody can name a job not yet accepted; so every edge points to an older job, and the
//! graph is acyclic by construction.

use crate::consts::CONDS_PER_DEPENDENCY;
use crate::event::{ReplyTo, StoreResult};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::{EndRecord, end_key, spec_key};
use marblebarrow_proto::wire::{Cond, Txn};
use std::collections::VecDeque;

/// What this controller knows of a named job without asking the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KnownDependency {
    /// It was accepted, and is not known to be cancelled.
    Accepted,
    /// It is cancelled.
    Cancelled,
    /// Nothing: the store has to prove it accepted, or not.
    Unproven,
}

/// What a check needs next.
#[derive(Debug, PartialEq)]
pub(crate) enum DependencyStep {
    /// Commit [`absence_transaction`] of these jobs.
    ProveAbsent(Vec<JobId>),
    /// Read the final state of this job.
    ReadEnd(JobId),
    /// Refuse the submission: these jobs were never accepted.
    Refuse(Vec<JobId>),
    /// Accept the job.
    Accept,
    /// Accept the job as cancelled, like a job that it names.
    AcceptCancelled,
}

/// The store did not answer what it was asked: the user has to come again.
#[derive(Debug)]
pub(crate) struct Unanswered;

/// A submission and what is known of the jobs that it names.
#[derive(Debug)]
pub(crate) struct DependencyCheck {
    /// The submission.
    pub spec: JobSpec,
    /// Who gets the answer.
    pub to: ReplyTo,
    /// Dependencies whose acceptance is not proven either way yet.
    unproven: VecDeque<JobId>,
    /// Dependencies that have a final state not known here yet.
    ends_to_read: Vec<JobId>,
    /// Dependencies that a committed check proved never accepted.
    unknown: Vec<JobId>,
    /// Whether some dependency is cancelled: then so is this job.
    cancelled_dependency: bool,
    /// Most dependencies in one check transaction (two conditions each).
    per_check: usize,
}

/// A dependency's final state as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FinalState {
    /// The record.
    pub(crate) end: EndRecord,
    /// Version of its key.
    pub(crate) version: u64,
}

/// The transaction that commits only if none of these jobs was ever accepted.
pub(crate) fn absence_transaction(jobs: &[JobId]) -> Txn {
    let keys = jobs.iter().flat_map(|job| [spec_key(job), end_key(job)]);
    Txn { conds: keys.map(|key| Cond { key, version: 0 }).collect(), writes: Vec::new() }
}

impl DependencyCheck {
    /// Begins a check, with transactions of so many conditions at most.
    pub(crate) fn new(
        spec: JobSpec,
        to: ReplyTo,
        most_conditions: usize,
        known: impl Fn(&JobId) -> KnownDependency,
    ) -> Self {
        let states: Vec<_> = spec.dependencies.iter().map(|d| (d.clone(), known(d))).collect();
        let cancelled_dependency = states.iter().any(|(_, s)| *s == KnownDependency::Cancelled);
        let unproven = states.into_iter().filter(|(_, s)| *s == KnownDependency::Unproven);
        Self {
            unproven: unproven.map(|(dependency, _)| dependency).collect(),
            ends_to_read: Vec::new(),
            unknown: Vec::new(),
            cancelled_dependency,
            per_check: (most_conditions / CONDS_PER_DEPENDENCY).max(1),
            spec,
            to,
        }
    }

    /// What to do next.
    pub(crate) fn next_step(&mut self) -> DependencyStep {
        if !self.unproven.is_empty() {
            let take = self.per_check.min(self.unproven.len());
            return DependencyStep::ProveAbsent(self.unproven.drain(..take).collect());
        }
        if !self.unknown.is_empty() {
            return DependencyStep::Refuse(std::mem::take(&mut self.unknown));
        }
        if self.cancelled_dependency {
            return DependencyStep::AcceptCancelled;
        }
        self.ends_to_read.pop().map_or(DependencyStep::Accept, DependencyStep::ReadEnd)
    }

    /// The store answered the absence transaction of `batch`.
    pub(crate) fn absence_answered(
        &mut self,
        batch: Vec<JobId>,
        result: &StoreResult,
    ) -> Result<(), Unanswered> {
        match result {
            // Neither spec nor final state exists: never accepted.
            StoreResult::Committed(_) => self.unknown.extend(batch),
            StoreResult::Conflict(keys) => self.some_exist(&batch, keys),
            _ => return Err(Unanswered),
        }
        Ok(())
    }

    /// Some job of the batch exists, as the failed conditions tell.
    fn some_exist(&mut self, batch: &[JobId], failed_keys: &[String]) {
        let mut unlisted = Vec::new();
        for dependency in batch {
            if failed_keys.contains(&end_key(dependency)) {
                self.ends_to_read.push(dependency.clone());
            } else if !failed_keys.contains(&spec_key(dependency)) {
                unlisted.push(dependency.clone());
            }
        }
        if batch.len() == 1 && unlisted.len() == 1 {
            // Alone in a failed check, it exists; whether it has a final state is read.
            self.ends_to_read.extend(unlisted);
            return;
        }
        if unlisted.len() == batch.len() {
            // The store named none of them: one at a time then.
            self.per_check = 1;
        }
        for dependency in unlisted.into_iter().rev() {
            self.unproven.push_front(dependency);
        }
    }

    /// The store answered the read of a dependency's final state. Returns it, if
    /// it has one. (If not, its acceptance is proven already.)
    pub(crate) fn end_answered(
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
