//! DAG dependencies between jobs as the leader sees them: which jobs wait and for
//! what, which may start, and which must be cancelled because a job they need was
//! (the cancellation cascade).
//!
//! The graph has no cycle by construction: a submission may only name jobs that were
//! accepted before its own acceptance check ran, so every edge points from a later job
//! to an earlier one.
//!
//! A dependency counts as done only once its final state `done` is durable: the leader
//! wrote it and the store confirmed the write, or it was read from the store. A leader
//! that saw the last task finish in a heartbeat, but has no confirmed write yet, keeps
//! the dependents waiting (else a task could start before the job it needs is done).
//!
//! This module holds no I/O; the leader asks it what to read and what to cancel, and
//! tells it what the store answered.

use crate::event::{OpId, Secs};
use marblebarrow_proto::ids::JobId;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Most outcomes of finished dependencies kept in memory; older ones are read again.
const OUTCOMES_KEPT: usize = 50_000;

/// How a job that others need ended, as durably recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its final state is `done`.
    Done,
    /// Its final state is `cancelled`.
    Cancelled,
}

/// What the leader knows of a named dependency when a dependent arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// Its spec is in the store: it is not over.
    Unfinished,
    /// Cancelled, as a watched cancel mark or a final state shows.
    Cancelled,
    /// Its final state `done` is durable.
    Done,
    /// Not in the leader's picture: it ended earlier, and its final state must be read.
    Unknown,
}

/// A dependency whose outcome was read, and the jobs that may start because of it.
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
    /// Jobs that wait, each with the dependencies not yet known to be done.
    waiting: BTreeMap<JobId, BTreeSet<JobId>>,
    /// For each job that unfinished jobs name, those that name it.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Durable outcomes of jobs that others named, newest last.
    outcomes: HashMap<JobId, Outcome>,
    outcome_order: VecDeque<JobId>,
    /// Dependencies whose final state is to be read, and not before when.
    to_read: BTreeMap<JobId, Secs>,
    /// Reads under way.
    reads: HashMap<OpId, JobId>,
    /// Jobs to cancel because a job they need, directly or through others, was.
    to_cancel: BTreeSet<JobId>,
    /// Jobs whose cancellation by a cascade is durable in a list, and which have no final
    /// state of their own yet.
    listed: BTreeSet<JobId>,
    /// Cancellations under way.
    cancels: HashMap<OpId, JobId>,
}

impl DependencyGraph {
    /// A job with DAG dependencies joins the picture. `state` tells what the leader
    /// knows of each dependency. Returns whether the job has to wait.
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
                // Cancelled by a cascade, as this leader knows before the store does.
                (_, _)
                    if self.to_cancel.contains(dependency) || self.listed.contains(dependency) =>
                {
                    pending.insert(dependency.clone());
                    self.cascade_from(job);
                }
                // It waits for good: a cancelled job is never done, and the cascade
                // cancels this one. (It once started before its cancellation was
                // written, as nothing held it.)
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

    /// Jobs that wait, in order of their names.
    pub fn waiting(&self) -> impl Iterator<Item = &JobId> {
        self.waiting.keys()
    }

    /// The dependencies a job still waits for.
    pub fn pending(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.waiting.get(job).into_iter().flatten()
    }

    /// A job's outcome became durable (or known to be cancelled). Returns the jobs that
    /// may start now; the jobs that follow a cancelled one are queued for cancellation.
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

    /// A job left the leader's picture (closed): it waits for nothing any more.
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

    /// `job` and every job that needs it, directly or through others, are to be cancelled.
    fn cascade_from(&mut self, job: &JobId) {
        self.queue_cancel(job);
        self.cascade_below(job);
    }

    fn queue_cancel(&mut self, job: &JobId) {
        if !self.listed.contains(job) {
            self.to_cancel.insert(job.clone());
        }
    }

    /// Every job that needs `job`, directly or through others, is to be cancelled.
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

    /// The cancellations of these jobs are durable in a list; final states follow.
    pub fn recorded(&mut self, jobs: &[JobId]) {
        for job in jobs {
            if self.to_cancel.remove(job) {
                self.listed.insert(job.clone());
            }
        }
    }

    /// A job joins the picture that is in a list, an earlier leader's perhaps.
    pub fn found_listed(&mut self, job: &JobId) {
        self.to_cancel.remove(job);
        self.listed.insert(job.clone());
        self.cascade_below(job);
    }

    /// Jobs queued for cancellation that is not durable yet.
    pub fn queued_cancels(&self) -> &BTreeSet<JobId> {
        &self.to_cancel
    }

    /// How many listed jobs have no final state of their own yet.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// A listed job whose final state is due and not under way, if fewer than `most` are.
    pub fn end_due(&self, most: usize) -> Option<JobId> {
        if self.cancels.len() >= most {
            return None;
        }
        self.listed.iter().find(|job| !self.cancels.values().any(|c| c == *job)).cloned()
    }

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

    /// Up to `most` dependencies whose final state is due to be read now.
    pub fn reads_due(&mut self, now: Secs, most: usize) -> Vec<JobId> {
        let room = most.saturating_sub(self.reads.len());
        let due: Vec<JobId> = self
            .to_read
            .iter()
            .filter(|(job, at)| **at <= now && !self.reads.values().any(|r| r == *job))
            .map(|(job, _)| job.clone())
            .take(room)
            .collect();
        due
    }

    /// A job's final state must be read, as there seems to be one.
    pub fn read_final_state(&mut self, job: &JobId, now: Secs) {
        self.to_read.entry(job.clone()).or_insert(now);
    }

    /// Whether an operation is a read of ours.
    pub fn is_read(&self, op: OpId) -> bool {
        self.reads.contains_key(&op)
    }

    /// A read of a dependency's final state was sent.
    pub fn read_sent(&mut self, op: OpId, job: JobId) {
        self.reads.insert(op, job);
    }

    /// Whether an answer is for a read of ours; if so, which job it was about. A read
    /// that found nothing, or failed, is tried again after `retry_s`.
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

    /// A dependency's state is known from the leader's picture after all (its spec came
    /// by the watch): no read is needed.
    pub fn known_unfinished(&mut self, job: &JobId) {
        self.to_read.remove(job);
    }

    /// Up to `most` jobs whose cancellation is due and not under way.
    pub fn cancels_due(&self, most: usize) -> Vec<JobId> {
        let room = most.saturating_sub(self.cancels.len());
        self.to_cancel
            .iter()
            .filter(|job| !self.cancels.values().any(|c| c == *job))
            .take(room)
            .cloned()
            .collect()
    }

    /// A cancellation by cascade was sent.
    pub fn cancel_sent(&mut self, op: OpId, job: JobId) {
        self.cancels.insert(op, job);
    }

    /// Whether an answer is for a cancellation of ours; if so, which job it was about.
    /// `done` tells whether the cancellation is now durable; if not, it is tried again.
    pub fn cancel_answered(&mut self, op: OpId, done: bool) -> Option<JobId> {
        let job = self.cancels.remove(&op)?;
        if done {
            self.cancel_dropped(&job);
        }
        Some(job)
    }

    /// A queued cancellation is of no use any more (the job is over, or another
    /// cancelled it).
    pub fn cancel_dropped(&mut self, job: &JobId) {
        self.to_cancel.remove(job);
        self.listed.remove(job);
    }

    /// How many jobs are queued for cancellation by cascade.
    pub fn cascade_count(&self) -> usize {
        self.to_cancel.len()
    }

    /// How many jobs wait for dependencies.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
#[path = "tests/dependencies.rs"]
mod tests;
