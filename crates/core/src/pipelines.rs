//! The leader's side of job pipelines: jobs with DAG dependencies wait until every job
//! they need is durably done, inherit the urgency of the jobs that need them, and are
//! cancelled by cascade when a job they need is cancelled.
//!
//! The graph lives in [`crate::dependencies`]; this module connects it to the leader's
//! picture of jobs and to the store. A cascade cancellation writes the job's final state
//! `cancelled` and removes its spec in one compare-and-swap transaction: a job that waits
//! has never started a task (every job it needs would have had to be done), so no
//! cancel mark is needed to stop tasks, and two changes per job are all the store pays.
//!
//! A large cascade is first made durable in lists ([`crate::cascade`]), from which every
//! controller answers; the final states follow at a rate that leaves the store to others.

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
use marblebarrow_proto::wire::{Cond, Txn, Write};

/// A job that other jobs hold up, but not for long.
#[derive(Debug)]
pub(crate) struct NextStage<'a> {
    /// The job.
    pub job: &'a Job,
    /// When the jobs that it needs will probably be done.
    pub ready_at: Secs,
    /// When it is due, on the leader's clock.
    pub due: Secs,
}

impl Leader {
    /// A job that names dependencies joined the picture: it waits for those not yet
    /// done, and is cancelled by cascade if one of them was cancelled.
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
            self.dependencies.found_listed(id);
            waits = true;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.waits_for_dependencies = waits;
        }
        self.inherit_urgency(id);
        self.log.push(|| {
            format!(
                "event=dependencies job={id} named={} waits={waits} term={}",
                dependencies.len(),
                self.term.0
            )
        });
    }

    /// Jobs that a job needs, directly or through others, are treated as having its
    /// priority if that is higher, and as due early enough that it can still be done by
    /// its deadline: each stage on the way takes off one run time, as the pilots
    /// measured it (or the user's estimate before they ran), and what lies between two
    /// stages.
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

    /// Arrays that wait for other jobs and may probably run before `until`, as far as can
    /// be told from the run times of these: machines for them are rented ahead, so that
    /// they boot while the last job that is needed still runs.
    pub(crate) fn next_stages(&self, now: Secs, until: Secs) -> Vec<NextStage<'_>> {
        let waiting = self.dependencies.waiting().filter_map(|id| {
            let job = self.jobs.get(id)?;
            let counts = job.spec().kind == Kind::Array && !job.cancelled && !job.spare();
            let ready_at = counts.then(|| self.ready_at(id, now)).flatten()?;
            let due = match job.deadline_at() {
                Some(_) => job.due(),
                None => job.due() - job.arrived.max(job.ready_since) + ready_at,
            };
            Some(NextStage { job, ready_at, due })
        });
        waiting.filter(|stage| stage.ready_at <= until).collect()
    }

    /// When the jobs that a waiting job needs will probably be done; `None` if one of them
    /// waits itself: that is at least a run away, and then too soon to tell.
    fn ready_at(&self, id: &JobId, now: Secs) -> Option<Secs> {
        let mut ready_at = now;
        for dependency in self.dependencies.pending(id) {
            // One that is not known here has ended, and its final state is being read.
            let Some(job) = self.jobs.get(dependency) else { continue };
            if job.waits_for_dependencies {
                return None;
            }
            ready_at = ready_at.max(job.likely_end(now, self.start_lag) + STAGE_LAG_S);
        }
        Some(ready_at)
    }

    /// A job's final state is durable: the jobs that wait for it may start, or, if it
    /// was cancelled, are cancelled too.
    pub(crate) fn dependency_finished(&mut self, now: Secs, id: &JobId, cancelled: bool) {
        self.dependencies.forget(id);
        if cancelled {
            return self.dependency_cancelled(now, id);
        }
        let ready = self.dependencies.finished(id, Outcome::Done);
        self.start_ready(now, ready);
    }

    /// The leader learned that a job is cancelled (its cancel mark, or its final state):
    /// the jobs that need it are cancelled at once, without waiting for its tasks to be
    /// gone. A cascade that queues new cancellations is logged at info with its size.
    pub(crate) fn dependency_cancelled(&mut self, now: Secs, id: &JobId) {
        let before = self.dependencies.cascade_count();
        // A cancellation makes no job ready; it only queues the cascade.
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
            self.log.push(|| format!("event=dependencies_done job={id} term={}", self.term.0));
        }
    }

    /// Reads the final states of dependencies that ended before this leader knew them,
    /// and writes cascade cancellations.
    pub(crate) fn dependencies_tick(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        for id in self.dependencies.reads_due(now, DEPENDENCY_READS_MAX) {
            let op = out.store(StoreRequest::Get(end_key(&id)));
            self.dependencies.read_sent(op, id);
        }
        if self.lists_cascade(replica) {
            self.write_lists(now, replica, out);
        } else if !self.cascade_lists.is_paused(now) {
            for id in self.dependencies.cancels_due(CASCADE_WRITES_MAX) {
                self.write_cascade_end(now, id, replica, out);
            }
        }
        self.end_listed(now, replica, out);
        self.remove_list(now, replica, out);
    }

    /// Whether what is queued goes into lists: it is much, and every controller reads them.
    /// (They did if a list was ever written: no controller that has had its turn of an
    /// upgrade comes back old.)
    fn lists_cascade(&self, replica: &Replica) -> bool {
        let allowed = self.cascade_lists_allowed || replica.cascaded.generation() != 0;
        let large = self.dependencies.cascade_count() >= CASCADE_LISTED_LEAST;
        self.cascade_lists.is_writing() || (allowed && large)
    }

    fn write_lists(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if let Some(jobs) = self.cascade_lists.take_shown(&replica.cascaded) {
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

    /// Writes the final states of listed jobs, in the background.
    fn end_listed(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        if self.dependencies.listed_count() == 0 || self.cascade_lists.is_paused(now) {
            return;
        }
        let Some(id) = self.dependencies.end_due(CASCADE_ENDS_MAX) else { return };
        let changes_per_s = self.facts.store_write_rps * CASCADE_ENDS_SHARE;
        if self.cascade_lists.afford_end(now, changes_per_s) {
            self.write_cascade_end(now, id, replica, out);
        }
    }

    /// Removes a list whose jobs all have a final state: their specs are gone, and a spec is
    /// only removed with its job's final state or after it.
    fn remove_list(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let unfinished = |job: &JobId| replica.specs.contains_key(job);
        let due = self.cascade_lists.removal_due(now, &replica.cascaded, unfinished);
        let Some(txn) = due else { return };
        self.writer.charge(txn.writes.len() as f64);
        let op = out.store(StoreRequest::Commit(txn));
        self.cascade_lists.removal_sent(op);
    }

    /// Sends the transaction that gives a job its final state by cascade.
    ///
    /// If its spec is gone, it has one: an earlier try was carried out, though its answer was
    /// lost. (Such a job once was tried again for good, and held up those after it.)
    fn write_cascade_end(&mut self, now: Secs, id: JobId, replica: &Replica, out: &mut ActionSink) {
        if !replica.specs.contains_key(&id) {
            self.dependencies.cancel_dropped(&id);
            return self.cascade_committed(now, &id);
        }
        let Some(txn) = self.cascade_transaction(&id) else {
            return self.dependencies.cancel_dropped(&id);
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.writer.saw_user_changes(CASCADE_CHANGES);
        self.dependencies.cancel_sent(op, id);
    }

    /// The transaction that cancels a job by cascade, if it is still to be cancelled.
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
        // A job that never started needs no cancel mark: nothing of it can run.
        // Should any start be recorded, the mark stops its tasks as a user's would.
        let then = if job.started.is_empty() && job.live.is_empty() {
            Write::Delete { key: spec_key(id) }
        } else {
            Write::Put { key: cancel_key(id), value: to_value(&true), lease: None }
        };
        Some(Txn {
            conds: vec![
                Cond { key: spec_key(id), version: job.spec_version },
                Cond { key: end_key(id), version: 0 },
            ],
            writes: vec![end, then],
        })
    }

    /// Whether an answer of the store was for the dependency part; if so, takes it.
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
            CascadeOutcome::NotOurs => {}
            CascadeOutcome::Pending => return true,
            CascadeOutcome::Recorded(jobs) => {
                self.lists_recorded(now, &jobs);
                return true;
            }
            CascadeOutcome::Removed => {
                self.log.push(|| format!("event=cascade_list_removed term={}", self.term.0));
                return true;
            }
        }
        let committed = matches!(result, StoreResult::Committed(_));
        let Some(id) = self.dependencies.cancel_answered(op, committed) else {
            return false;
        };
        match result {
            StoreResult::Committed(_) => self.cascade_committed(now, &id),
            // Perhaps an earlier try was carried out and its answer lost: the watch tells
            // nothing of a spec removed. (Repeated for good, such cancellations took the
            // store's rate and held up all others.)
            StoreResult::Conflict(_) => {
                self.dependencies.read_final_state(&id, now);
                self.cascade_lists.pause(now);
            }
            _ => self.cascade_lists.pause(now),
        }
        true
    }

    /// What a read of ours found: `Some(None)` for nothing usable, `None` if the answer
    /// was not for a read of ours.
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
        self.log.push(|| {
            format!(
                "event=cascade_cancelled job={id} tasks={tasks} waiting={size} term={}",
                self.term.0
            )
        });
        if job.started.is_empty() && job.live.is_empty() {
            self.closed(now, id, true, tasks);
        } else {
            // The cancel mark comes by the watch and stops what may run.
            self.cancel(now, id);
        }
    }
}
