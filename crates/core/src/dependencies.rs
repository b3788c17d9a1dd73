//! The leader's graph of DAG dependencies between jobs: which jobs wait and for which
//! dependencies, which may start, and which must be cancelled because one of their
//! dependencies was (the cancellation cascade).
//!
//! The graph has no cycle by construction: a submission may only name jobs that were
//! accepted before its own acceptance check ran, so every edge points from a later job
//! to an earlier one.
//!
//! A dependency counts as done only once its final state `done` is durable: the leader
//! wrote it and the store confirmed the write, or it was read from the store. If a
//! heartbeat reported the last task as finished but the write is not confirmed yet, the
//! dependents keep waiting; otherwise a task could start before its dependency is done.
//!
//! This module does no I/O: the leader asks it what to read and what to cancel, and passes
//! the store's replies back to it.

use crate::event::{OpId, Secs};
use marblebarrow_proto::ids::JobId;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Maximum number of outcomes of ended dependencies kept in memory; older ones are read from
/// the store again.
const OUTCOMES_KEPT: usize = 50_000;

/// How a job that others depend on ended, as durably recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its final state is `done`.
    Done,
    /// Its final state is `cancelled`.
    Cancelled,
}

/// What the leader knows of a dependency when a job that names it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// Its spec is in the store, so it has no final state yet.
    Unfinished,
    /// Cancelled, as a watched cancel mark or a final state shows.
    Cancelled,
    /// Its final state `done` is durable.
    Done,
    /// The leader has no state of it: it ended earlier, and its final state must be read.
    Unknown,
}

/// A dependency whose final state was read, and the jobs that may start because of it.
#[derive(Debug)]
pub struct Resolved {
    /// The dependency that was read.
    pub job: JobId,
    /// Jobs that waited for it and for nothing else.
    pub ready: Vec<JobId>,
}

/// The leader's dependency graph.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Waiting jobs, each with its dependencies that are not yet known to be done.
    waiting: BTreeMap<JobId, BTreeSet<JobId>>,
    /// For each job that waiting jobs depend on, these dependents.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Durable outcomes of ended jobs.
    outcomes: HashMap<JobId, Outcome>,
    /// The jobs in `outcomes`, oldest first.
    outcome_order: VecDeque<JobId>,
    /// Dependencies whose final state is to be read, each with the earliest time of the read.
    to_read: BTreeMap<JobId, Secs>,
    /// Reads in flight.
    reads: HashMap<OpId, JobId>,
    /// Jobs to cancel because a direct or transitive dependency was cancelled.
    to_cancel: BTreeSet<JobId>,
    /// Jobs whose cascade cancellation is durable in a cascade list and whose final state is
    /// not written yet.
    listed: BTreeSet<JobId>,
    /// Operations in flight that write the final state of a job cancelled by a cascade, each with
    /// its job.
    cancels: HashMap<OpId, JobId>,
}

impl DependencyGraph {
    /// Adds a job with DAG dependencies. `state` returns what the leader knows of each
    /// dependency. Returns whether the job has to wait.
    pub fn add(
        &mut self,
        job: &JobId,
        dependencies: &[JobId],
        now: Secs,
        state: impl Fn(&JobId) -> DependencyState,
    ) -> bool {
        let mut pending = BTreeSet::new();
        for dependency in dependencies {
            let known = self.outcomes.get(dependency).copied();
            match (known, state(dependency)) {
                // The dependency is being cancelled by a cascade; its final state isn't written.
                (_, _)
                    if self.to_cancel.contains(dependency) || self.listed.contains(dependency) =>
                {
                    pending.insert(dependency.clone());
                    self.cascade_from(job);
                }
                // The dependency is never done, so the job stays pending until the cascade
                // cancels it. Otherwise the job could start before its cancellation is
                // written.
                (Some(Outcome::Cancelled), _) | (_, DependencyState::Cancelled) => {
                    pending.insert(dependency.clone());
                    self.cascade_from(job);
                }
                (Some(Outcome::Done), _) | (None, DependencyState::Done) => {}
                (None, DependencyState::Unfinished) => {
                    pending.insert(dependency.clone());
                }
                (None, DependencyState::Unknown) => {
                    pending.insert(dependency.clone());
                    self.to_read.entry(dependency.clone()).or_insert(now);
                }
            }
        }
        for dependency in &pending {
            self.dependents.entry(dependency.clone()).or_default().insert(job.clone());
        }
        let waits = !pending.is_empty();
        if waits {
            self.waiting.insert(job.clone(), pending);
        }
        waits
    }

    /// Whether a job still waits for some dependency.
    pub fn is_waiting(&self, job: &JobId) -> bool {
        self.waiting.contains_key(job)
    }

    /// Waiting jobs, ordered by id.
    pub fn waiting(&self) -> impl Iterator<Item = &JobId> {
        self.waiting.keys()
    }

    /// The dependencies that a job still waits for.
    pub fn pending(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.waiting.get(job).into_iter().flatten()
    }

    /// Notes that a job's outcome is durable, or that the job is known to be cancelled. Returns
    /// the jobs that may start now; all dependents of a cancelled job are queued for
    /// cancellation.
    pub fn finished(&mut self, job: &JobId, outcome: Outcome) -> Vec<JobId> {
        self.remember(job, outcome);
        self.to_read.remove(job);
        if outcome == Outcome::Cancelled {
            self.cascade_below(job);
            return Vec::new();
        }
        let mut ready = Vec::new();
        for dependent in self.dependents.remove(job).unwrap_or_default() {
            let Some(pending) = self.waiting.get_mut(&dependent) else { continue };
            pending.remove(job);
            if pending.is_empty() {
                self.waiting.remove(&dependent);
                ready.push(dependent);
            }
        }
        ready
    }

    /// Removes a closed job from the graph: it no longer waits, and no cascade cancellation of it
    /// is left to write.
    pub fn forget(&mut self, job: &JobId) {
        self.to_cancel.remove(job);
        self.listed.remove(job);
        let Some(pending) = self.waiting.remove(job) else { return };
        for dependency in pending {
            if let Some(set) = self.dependents.get_mut(&dependency) {
                set.remove(job);
                if set.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
        }
    }

    /// Queues the cancellation of `job` and of its direct and transitive dependents.
    fn cascade_from(&mut self, job: &JobId) {
        self.queue_cancel(job);
        self.cascade_below(job);
    }

    /// Queues a cancellation, unless it is already durable in a cascade list.
    fn queue_cancel(&mut self, job: &JobId) {
        if !self.listed.contains(job) {
            self.to_cancel.insert(job.clone());
        }
    }

    /// Queues the cancellation of the direct and transitive dependents of `job`.
    fn cascade_below(&mut self, job: &JobId) {
        let mut stack = vec![job.clone()];
        let mut seen = BTreeSet::new();
        while let Some(next) = stack.pop() {
            for dependent in self.dependents.get(&next).into_iter().flatten() {
                if seen.insert(dependent.clone()) {
                    stack.push(dependent.clone());
                }
            }
        }
        for job in &seen {
            self.queue_cancel(job);
        }
    }

    /// Notes that the cancellations of these jobs are durable in a cascade list; their final
    /// states are still to be written.
    pub fn recorded(&mut self, jobs: &[JobId]) {
        for job in jobs {
            if self.to_cancel.remove(job) {
                self.listed.insert(job.clone());
            }
        }
    }

    /// Notes that a newly known job is in a cascade list, possibly one of an earlier leader.
    pub fn add_listed(&mut self, job: &JobId) {
        self.to_cancel.remove(job);
        self.listed.insert(job.clone());
        self.cascade_below(job);
    }

    /// Jobs whose queued cancellation is not durable yet.
    pub fn queued_cancels(&self) -> &BTreeSet<JobId> {
        &self.to_cancel
    }

    /// Number of listed jobs whose final state is not written yet.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// A listed job whose final state is to be written and is not in flight; `None` if `limit`
    /// writes are in flight already.
    pub fn final_state_due(&self, limit: usize) -> Option<JobId> {
        if self.cancels.len() >= limit {
            return None;
        }
        self.listed.iter().find(|job| !self.cancels.values().any(|c| c == *job)).cloned()
    }

    /// Keeps an outcome in memory, and drops the oldest ones above [`OUTCOMES_KEPT`].
    fn remember(&mut self, job: &JobId, outcome: Outcome) {
        if self.outcomes.insert(job.clone(), outcome).is_none() {
            self.outcome_order.push_back(job.clone());
        }
        while self.outcome_order.len() > OUTCOMES_KEPT {
            if let Some(old) = self.outcome_order.pop_front() {
                self.outcomes.remove(&old);
            }
        }
    }

    /// Dependencies whose final state is due to be read now. Together with the reads already in
    /// flight there are at most `limit`.
    pub fn reads_due(&mut self, now: Secs, limit: usize) -> Vec<JobId> {
        let remaining = limit.saturating_sub(self.reads.len());
        let due: Vec<JobId> = self
            .to_read
            .iter()
            .filter(|(job, at)| **at <= now && !self.reads.values().any(|r| r == *job))
            .map(|(job, _)| job.clone())
            .take(remaining)
            .collect();
        due
    }

    /// Schedules a read of a job's final state after the write of its cascade cancellation met a
    /// conflict, which suggests that the state has already been written.
    pub fn read_final_state(&mut self, job: &JobId, now: Secs) {
        self.to_read.entry(job.clone()).or_insert(now);
    }

    /// Whether a store operation is a read of a dependency's final state.
    pub fn is_read(&self, op: OpId) -> bool {
        self.reads.contains_key(&op)
    }

    /// Notes that a read of a dependency's final state was sent.
    pub fn read_sent(&mut self, op: OpId, job: JobId) {
        self.reads.insert(op, job);
    }

    /// Handles the reply to a read of a final state; `None` if `op` is no such read. A read
    /// that found nothing, or failed, is retried after `retry_s`.
    pub fn read_answered(
        &mut self,
        op: OpId,
        outcome: Option<Outcome>,
        now: Secs,
        retry_s: Secs,
    ) -> Option<Resolved> {
        let job = self.reads.remove(&op)?;
        let ready = match outcome {
            Some(outcome) => self.finished(&job, outcome),
            None => {
                if self.to_read.contains_key(&job) {
                    self.to_read.insert(job.clone(), now + retry_s);
                }
                Vec::new()
            }
        };
        Some(Resolved { job, ready })
    }

    /// Cancels the scheduled read of a dependency whose spec the watch has since delivered: it
    /// is unfinished.
    pub fn known_unfinished(&mut self, job: &JobId) {
        self.to_read.remove(job);
    }

    /// Jobs whose queued cancellation is not in flight. Together with the cancellations already in
    /// flight there are at most `limit`.
    pub fn cancels_due(&self, limit: usize) -> Vec<JobId> {
        let remaining = limit.saturating_sub(self.cancels.len());
        self.to_cancel
            .iter()
            .filter(|job| !self.cancels.values().any(|c| c == *job))
            .take(remaining)
            .cloned()
            .collect()
    }

    /// Notes that the transaction of a cascade cancellation was sent.
    pub fn cancel_sent(&mut self, op: OpId, job: JobId) {
        self.cancels.insert(op, job);
    }

    /// Handles the reply to a cascade cancellation and returns the job; `None` if `op` is no
    /// such operation. `durable` is whether the cancellation is now durable; if not, it is retried.
    pub fn cancel_answered(&mut self, op: OpId, durable: bool) -> Option<JobId> {
        let job = self.cancels.remove(&op)?;
        if durable {
            self.drop_cancel(&job);
        }
        Some(job)
    }

    /// Drops a queued cancellation that is no longer needed, as the job has a final state or was
    /// cancelled otherwise.
    pub fn drop_cancel(&mut self, job: &JobId) {
        self.to_cancel.remove(job);
        self.listed.remove(job);
    }

    /// Number of jobs queued for cancellation by cascade.
    pub fn cascade_count(&self) -> usize {
        self.to_cancel.len()
    }

    /// Number of jobs that wait for dependencies.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
#[path = "tests/dependencies.rs"]
mod tests;
