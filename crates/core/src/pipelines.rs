//! The leader's side of job pipelines: a job with DAG dependencies waits until each of them is
//! durably done, inherits the urgency of its dependents, and is cancelled by cascade when one
//! of its dependencies is cancelled.
//!
//! The graph itself is in [`crate::dependencies`]; this module connects it to the leader's
//! in-memory jobs and to the store. A cascade cancellation writes the job's final state
//! `cancelled` and removes its spec in one compare-and-swap transaction. A waiting job has
//! never started a task, as all its dependencies would have had to be done first; so no cancel
//! mark is needed to stop tasks, and each job costs the store only two changes.
//!
//! A large cascade is first made durable in lists ([`crate::cascade`]), from which every
//! controller answers users. The final states are written later, at a rate that leaves most of
//! the store's write rate to other requests.

use crate::cascade::CascadeOutcome;
use crate::consts::*;
use crate::dependencies::{DependencyState, Outcome};
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use crate::jobs::Job;
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::records::{EndRecord, cancel_key, end_key, spec_key};
use marblebarrow_proto::wire::{Condition, Txn, Write};

/// A job that still waits for its dependencies and is expected to become ready soon.
#[derive(Debug)]
pub(crate) struct NextStage<'a> {
    /// The waiting job.
    pub job: &'a Job,
    /// When its dependencies are expected to be done.
    pub ready_at: Secs,
    /// When it is due, on the leader's clock.
    pub due: Secs,
}

impl Leader {
    /// Adds a newly known job to the dependency graph if it names dependencies: it waits for
    /// those not yet done, and is cancelled by cascade if one of them was cancelled.
    pub(crate) fn track_dependencies(&mut self, now: Secs, id: &JobId, replica: &Replica) {
        let Some(job) = self.jobs.get(id) else { return };
        let dependencies = job.spec().dependencies.clone();
        if dependencies.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let state = |dependency: &JobId| match jobs.get(dependency) {
            _ if replica.cascaded.contains(dependency) => DependencyState::Cancelled,
            Some(known) if known.cancelled => DependencyState::Cancelled,
            Some(_) => DependencyState::Unfinished,
            None if replica.is_cancelled(dependency) => DependencyState::Cancelled,
            None if replica.specs.contains_key(dependency) => DependencyState::Unfinished,
            None => DependencyState::Unknown,
        };
        let mut waits = self.dependencies.add(id, &dependencies, now, state);
        if replica.cascaded.contains(id) {
            self.dependencies.add_listed(id);
            waits = true;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.waits_for_dependencies = waits;
        }
        self.inherit_urgency(id);
        self.log.debug(|| {
            format!(
                "event=dependencies job={id} named={} waits={waits} term={}",
                dependencies.len(),
                self.term.0
            )
        });
    }

    /// Passes a job's urgency on to its direct and transitive dependencies.
    ///
    /// They take on its priority if that is higher, and are due early enough that the job can
    /// still meet its deadline. Each stage in between moves the due time earlier by the lag
    /// between two stages and by one run time: the one that the pilots measured, or the user's
    /// estimate before they have run.
    fn inherit_urgency(&mut self, id: &JobId) {
        let mut changed = vec![id.clone()];
        while let Some(next) = changed.pop() {
            let Some(job) = self.jobs.get(&next) else { continue };
            let stage = job.likely_run() + self.start_lag + STAGE_LAG_S;
            let urgency = job.urgency(self.facts.deadline_times(&job.spec().class));
            let passed_on = urgency.passed_on(stage);
            for dependency in job.spec().dependencies.clone() {
                let upstream = self.jobs.get_mut(&dependency);
                if upstream.is_some_and(|upstream| upstream.inherit(passed_on)) {
                    changed.push(dependency);
                }
            }
        }
    }

    /// Array jobs that wait for dependencies and are expected to become ready by `until`, judged
    /// by the run times of the dependencies. Machines for them are rented in advance, so that
    /// they boot while the last dependency is still running.
    pub(crate) fn next_stages(&self, now: Secs, until: Secs) -> Vec<NextStage<'_>> {
        let waiting = self.dependencies.waiting().filter_map(|id| {
            let job = self.jobs.get(id)?;
            let counts =
                job.spec().kind == Kind::Array && !job.cancelled && !job.is_spare_capacity_work();
            let ready_at = counts.then(|| self.ready_at(id, now)).flatten()?;
            let due = match job.deadline_at() {
                Some(_) => job.due(),
                None => job.due() - job.arrived.max(job.ready_since) + ready_at,
            };
            Some(NextStage { job, ready_at, due })
        });
        waiting.filter(|stage| stage.ready_at <= until).collect()
    }

    /// When the dependencies of a waiting job are expected to be done. `None` if one of them
    /// waits for dependencies itself: its end is at least a whole run away, which is too early
    /// for an estimate.
    fn ready_at(&self, id: &JobId, now: Secs) -> Option<Secs> {
        let mut ready_at = now;
        for dependency in self.dependencies.pending(id) {
            // A dependency without in-memory state has ended; its final state is being read.
            let Some(job) = self.jobs.get(dependency) else { continue };
            if job.waits_for_dependencies {
                return None;
            }
            ready_at = ready_at.max(job.likely_end(now, self.start_lag) + STAGE_LAG_S);
        }
        Some(ready_at)
    }

    /// Handles a job whose final state became durable: its dependents may start once they wait
    /// for nothing else or, if the job was cancelled, are cancelled too.
    pub(crate) fn dependency_finished(&mut self, now: Secs, id: &JobId, cancelled: bool) {
        self.dependencies.forget(id);
        if cancelled {
            return self.dependency_cancelled(now, id);
        }
        let ready = self.dependencies.finished(id, Outcome::Done);
        self.start_ready(now, ready);
    }

    /// Queues the cancellation of all dependents of a job that is cancelled, as its cancel mark
    /// or its final state shows. They are cancelled without waiting for the job's own tasks to
    /// stop. A cascade that queues new cancellations is logged at info level with its size.
    pub(crate) fn dependency_cancelled(&mut self, now: Secs, id: &JobId) {
        let before = self.dependencies.cascade_count();
        // The returned list of ready jobs is empty: a cancellation only queues the cascade.
        let _ = self.dependencies.finished(id, Outcome::Cancelled);
        let queued = self.dependencies.cascade_count();
        if queued > before {
            let term = self.term.0;
            self.log.info(now, || {
                format!(
                    "event=cascade job={id} added={} queued={queued} term={term}",
                    queued - before
                )
            });
        }
    }

    fn start_ready(&mut self, now: Secs, ready: Vec<JobId>) {
        for id in ready {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.dependencies_done(now);
            self.place_due = true;
            self.log.debug(|| format!("event=dependencies_done job={id} term={}", self.term.0));
        }
    }

    /// Sends the store requests that are due: reads of the final states of dependencies that
    /// ended before this leader knew them, and writes of cascade cancellations.
    pub(crate) fn dependencies_tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        for id in self.dependencies.reads_due(now, DEPENDENCY_READS_MAX) {
            let op = out.store(StoreRequest::Get(end_key(&id)));
            self.dependencies.read_sent(op, id);
        }
        if self.uses_cascade_lists(replica) {
            self.write_lists(now, replica, out);
        } else if !self.cascade_lists.is_paused(now) {
            for id in self.dependencies.cancels_due(CASCADE_WRITES_MAX) {
                self.write_cascade_final_state(now, id, replica, out);
            }
        }
        self.write_listed_final_state(now, replica, out);
        self.remove_list(now, replica, out);
    }

    /// Whether queued cancellations are recorded in cascade lists: only if there are many of
    /// them and every controller reads the lists. If a list was ever written, every controller
    /// does, as an upgraded controller never returns to an older version.
    fn uses_cascade_lists(&self, replica: &Replica) -> bool {
        let allowed = self.cascade_lists_allowed || replica.cascaded.generation() != 0;
        let large = self.dependencies.cascade_count() >= CASCADE_LIST_MIN_JOBS;
        self.cascade_lists.is_writing() || (allowed && large)
    }

    fn write_lists(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if let Some(jobs) = self.cascade_lists.take_visible(&replica.cascaded) {
            return self.lists_recorded(now, &jobs);
        }
        let queued = self.dependencies.queued_cancels();
        let limits = self.writer.limits();
        self.cascade_lists.plan(queued, limits.record_bytes(), limits.changes);
        let Some(txn) = self.cascade_lists.write_due(now, &replica.cascaded) else { return };
        self.writer.charge(txn.writes.len() as f64);
        let op = out.store(StoreRequest::Commit(txn));
        self.cascade_lists.write_sent(op);
    }

    fn lists_recorded(&mut self, now: Secs, jobs: &[JobId]) {
        self.dependencies.recorded(jobs);
        let (queued, term) = (self.dependencies.cascade_count(), self.term.0);
        let recorded = jobs.len();
        self.log.info(now, || {
            format!("event=cascade_recorded jobs={recorded} queued={queued} term={term}")
        });
    }

    /// Writes the final state of one listed job, in the background at a limited rate.
    fn write_listed_final_state(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if self.dependencies.listed_count() == 0 || self.cascade_lists.is_paused(now) {
            return;
        }
        let Some(id) = self.dependencies.final_state_due(CASCADE_ENDS_MAX) else { return };
        let changes_per_s = self.facts.store_write_rps * CASCADE_ENDS_SHARE;
        if self.cascade_lists.try_spend_final_state_budget(now, changes_per_s) {
            self.write_cascade_final_state(now, id, replica, out);
        }
    }

    /// Removes a cascade list whose jobs all have a final state. The absence of their specs
    /// proves this, as a spec is only removed together with the final state or after it.
    fn remove_list(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let unfinished = |job: &JobId| replica.specs.contains_key(job);
        let due = self.cascade_lists.removal_due(now, &replica.cascaded, unfinished);
        let Some(txn) = due else { return };
        self.writer.charge(txn.writes.len() as f64);
        let op = out.store(StoreRequest::Commit(txn));
        self.cascade_lists.removal_sent(op);
    }

    /// Sends the transaction that writes the final state of a job cancelled by cascade.
    ///
    /// If its spec is gone, the final state exists: an earlier attempt was committed although
    /// its reply was lost. Without this check such a job was retried forever and blocked the
    /// jobs behind it.
    fn write_cascade_final_state(
        &mut self,
        now: Secs,
        id: JobId,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        if !replica.specs.contains_key(&id) {
            self.dependencies.drop_cancel(&id);
            return self.cascade_committed(now, &id);
        }
        let Some(txn) = self.cascade_transaction(&id) else {
            return self.dependencies.drop_cancel(&id);
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.writer.saw_user_changes(CASCADE_CHANGES);
        self.dependencies.cancel_sent(op, id);
    }

    /// The transaction that cancels a job by cascade; `None` if the job is gone, already
    /// cancelled or being closed.
    fn cascade_transaction(&self, id: &JobId) -> Option<Txn> {
        let job = self.jobs.get(id)?;
        if job.cancelled || job.closing {
            return None;
        }
        let tasks = job.spec().tasks;
        let end = Write::Put {
            key: end_key(id),
            value: to_value(&EndRecord { cancelled: true, tasks }),
            lease: None,
        };
        // A job that never started needs no cancel mark, as none of its tasks can be running.
        // If a start may be recorded, the mark stops its tasks, as in a cancellation by a user.
        let then = if job.started.is_empty() && job.live.is_empty() {
            Write::Delete { key: spec_key(id) }
        } else {
            Write::Put { key: cancel_key(id), value: to_value(&true), lease: None }
        };
        Some(Txn {
            conditions: vec![
                Condition { key: spec_key(id), version: job.spec_version },
                Condition { key: end_key(id), version: 0 },
            ],
            writes: vec![end, then],
        })
    }

    /// Handles a store reply if it belongs to a request of this module. Returns whether it did.
    pub(crate) fn dependency_answered(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
    ) -> bool {
        if let Some(outcome) = self.read_outcome(op, result) {
            if let Some(resolved) =
                self.dependencies.read_answered(op, outcome, now, DEPENDENCY_READ_RETRY_S)
            {
                self.start_ready(now, resolved.ready);
                if outcome == Some(Outcome::Cancelled) {
                    self.cancel(now, &resolved.job);
                }
            }
            return true;
        }
        match self.cascade_lists.answered(now, op, result) {
            CascadeOutcome::Unrelated => {}
            CascadeOutcome::Pending => return true,
            CascadeOutcome::Recorded(jobs) => {
                self.lists_recorded(now, &jobs);
                return true;
            }
            CascadeOutcome::Removed => {
                self.log.debug(|| format!("event=cascade_list_removed term={}", self.term.0));
                return true;
            }
        }
        let committed = matches!(result, StoreResult::Committed(_));
        let Some(id) = self.dependencies.cancel_answered(op, committed) else {
            return false;
        };
        match result {
            StoreResult::Committed(_) => self.cascade_committed(now, &id),
            // An earlier attempt may have been committed and its reply lost; the watch does not
            // report the removal of the spec. So the final state is read: retried forever,
            // such cancellations used up the store's rate and blocked all others.
            StoreResult::Conflict(_) => {
                self.dependencies.read_final_state(&id, now);
                self.cascade_lists.pause(now);
            }
            _ => self.cascade_lists.pause(now),
        }
        true
    }

    /// The outcome that a read of a dependency's final state found: `Some(None)` if the result
    /// is not usable, `None` if the reply belongs to another request.
    fn read_outcome(&self, op: OpId, result: &StoreResult) -> Option<Option<Outcome>> {
        if !self.dependencies.is_read(op) {
            return None;
        }
        let StoreResult::Value(Some(item)) = result else { return Some(None) };
        let outcome = from_value::<EndRecord>(&item.value)
            .ok()
            .map(|end| if end.cancelled { Outcome::Cancelled } else { Outcome::Done });
        Some(outcome)
    }

    fn cascade_committed(&mut self, now: Secs, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let tasks = job.spec().tasks;
        let size = self.dependencies.waiting_count();
        self.log.debug(|| {
            format!(
                "event=cascade_cancelled job={id} tasks={tasks} waiting={size} term={}",
                self.term.0
            )
        });
        if job.started.is_empty() && job.live.is_empty() {
            self.closed(now, id, true, tasks);
        } else {
            // The watch will deliver the cancel mark too; stop tasks that may be running now.
            self.cancel(now, id);
        }
    }
}
