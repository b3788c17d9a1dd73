//! Submissions: checked against the settings, proven to name only accepted jobs as dependencies,
//! and recorded.

use super::polls::Poll;
use super::refusals::Refusal;
use super::{
    Pending, PendingSubmission, RequestContext, UserApi, cancelled_status, never_runs,
    terminal_status,
};
use crate::consts::*;
use crate::dependency_check::{
    DependencyCheck, DependencyStep, FinalState, KnownDependency, absence_transaction,
};
use crate::event::{ActionSink, Answer, ReplyTo, StoreRequest, StoreResult};
use crate::record_shape::SizedValue;
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{InvalidJob, JobSpec};
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key, spec_key};
use marblebarrow_proto::wire::{JobStatus, Stage, Write};
use std::slice;

impl UserApi {
    /// Handles a submission: answers it at once, or starts the requests that accept it.
    pub(super) fn submit(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        if self.answered_from_memory(context, to, &spec.id, out) {
            return;
        }
        let Some(types) = context.types else {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        };
        let refused = never_runs(&spec, context.facts, types);
        if refused.is_none() && !spec.dependencies.is_empty() && !context.dependencies_allowed {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if !self.begin_write(to, out) {
            return;
        }
        if let Some(why) = refused {
            let answer = Answer::NeverRuns(why);
            return self.refuse(Refusal { job: spec.id, to, answer }, out);
        }
        if spec.dependencies.is_empty() {
            return self.write_submission(context, to, spec, out);
        }
        self.check_dependencies(context, to, spec, out);
    }

    /// Handles a submission that is missing a field or has an invalid one, for the job with this id.
    pub(super) fn submit_invalid(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        job: JobId,
        error: InvalidJob,
        out: &mut ActionSink,
    ) {
        if !self.answered_from_memory(context, to, &job, out) && self.begin_write(to, out) {
            self.refuse(Refusal { job, to, answer: Answer::Invalid(error) }, out);
        }
    }

    /// Answers a submission without looking at the job's description, if the job is known here or
    /// nothing can be decided now. Returns whether it did.
    fn answered_from_memory(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        job: &JobId,
        out: &mut ActionSink,
    ) -> bool {
        if let Some(end) = self.terminal_states.get(job) {
            out.reply(to, Answer::Job(200, terminal_status(job, end)));
        } else if self.cascaded(context).contains(job) {
            out.reply(to, Answer::Job(200, cancelled_status(job.clone())));
        } else if context.store_unavailable || !context.replica.synced {
            out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        } else if context.replica.specs.contains_key(job) {
            // The job was accepted before, so it isn't refused even if the new spec is invalid.
            self.check_open(context, Poll { job: job.clone(), to, since: context.now }, out);
        } else {
            return false;
        }
        true
    }

    /// Sends the transaction that accepts a job: it writes the spec if the job has no record.
    pub(super) fn write_submission(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        let id = spec.id.clone();
        let record = SizedValue::of(&SpecRecord::submitted(spec, context.wall_ms));
        let mut txn = absence_transaction(slice::from_ref(&id));
        txn.writes = vec![Write::Put { key: spec_key(&id), value: record.value, lease: None }];
        let op = out.store(StoreRequest::Commit(txn));
        let submission = PendingSubmission { job: id, to, record_bytes: record.bytes };
        self.pending.insert(op, Pending::Submit(submission));
    }

    /// Handles the outcome of the transaction that accepts a job.
    pub(super) fn submission_written(
        &mut self,
        context: &RequestContext<'_>,
        submission: PendingSubmission,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        let PendingSubmission { job, to, record_bytes } = submission;
        if matches!(result, StoreResult::Rejected) {
            // The state service may reject a value that is too large without comparing the
            // versions, so the job may have been accepted under a higher limit.
            self.log_rejected(context, &job, record_bytes);
            let answer = Answer::NeverRuns("too large to store");
            return self.refuse(Refusal { job, to, answer }, out);
        }
        self.writes -= 1;
        match result {
            StoreResult::Committed(_) => {
                let stage = Stage::Queued;
                let status =
                    JobStatus { id: job, stage, done: 0, running: 0, waits_on: Vec::new() };
                out.reply(to, Answer::Job(201, status));
            }
            // Accepted before, and perhaps ended since.
            StoreResult::Conflict(keys) => self.resubmitted(context, job, to, keys, out),
            _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }

    /// Logs that the state service rejected the record of a submission, with the record's size and
    /// the limit that this controller knows.
    fn log_rejected(&mut self, context: &RequestContext<'_>, job: &JobId, record_bytes: usize) {
        let limit = context.facts.store_value_bytes;
        self.log.info(context.now, || {
            format!(
                "event=submission_rejected job={job} record_bytes={record_bytes} value_limit={limit}"
            )
        });
    }

    /// Starts the check that a submission's dependencies were accepted. State known here proves
    /// it at once; for the rest the store is asked.
    pub(super) fn check_dependencies(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        let limit = self.condition_limit.get(context.facts);
        let known = |dependency: &JobId| self.known_dependency(context, dependency);
        let check = Box::new(DependencyCheck::new(spec, to, limit, known));
        self.advance(context, check, out);
    }

    /// What this controller knows of a dependency without asking the store.
    pub(super) fn known_dependency(
        &self,
        context: &RequestContext<'_>,
        dependency: &JobId,
    ) -> KnownDependency {
        let cascaded = self.cascaded(context).contains(dependency);
        match self.terminal_states.get(dependency) {
            Some(end) if end.cancelled => KnownDependency::Cancelled,
            _ if cascaded => KnownDependency::Cancelled,
            Some(_) => KnownDependency::Accepted,
            None if context.replica.specs.contains_key(dependency) => KnownDependency::Accepted,
            None => KnownDependency::Unproven,
        }
    }

    /// Performs the next step of a dependency check, the last of which answers the user or
    /// accepts the job.
    pub(super) fn advance(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        out: &mut ActionSink,
    ) {
        match check.next_step() {
            DependencyStep::ProveAbsent(batch) => {
                let op = out.store(StoreRequest::Commit(absence_transaction(&batch)));
                self.pending.insert(op, Pending::DependencyCheck(check, batch));
            }
            DependencyStep::ReadEnd(dependency) => {
                let op = out.store(StoreRequest::Get(end_key(&dependency)));
                self.pending.insert(op, Pending::DependencyEnd(check, dependency));
            }
            DependencyStep::Refuse(unknown) => {
                let DependencyCheck { spec, to, .. } = *check;
                let answer = Answer::UnknownDependencies(unknown);
                self.refuse(Refusal { job: spec.id, to, answer }, out);
            }
            DependencyStep::Accept => self.write_submission(context, check.to, check.spec, out),
            DependencyStep::AcceptCancelled => {
                let DependencyCheck { spec, to, .. } = *check;
                self.write_cancelled_submission(spec.id, to, spec.tasks, out);
            }
        }
    }

    /// Handles the reply to a transaction that checks whether a batch of dependencies was accepted.
    pub(super) fn dependencies_checked(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        batch: Vec<JobId>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        let conditions = batch.len() * CONDS_PER_DEPENDENCY;
        if matches!(result, StoreResult::Rejected)
            && self.lower_condition_limit(context, conditions)
        {
            check.repeat(batch, self.condition_limit.get(context.facts));
            return self.advance(context, check, out);
        }
        match check.absence_answered(batch, result) {
            Ok(()) => self.advance(context, check, out),
            Err(_) => self.fail_dependency_check(check.to, out),
        }
    }

    /// Handles the reply to the read of a dependency's final state.
    pub(super) fn dependency_end_read(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        dependency: &JobId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match check.final_state_read(result) {
            Ok(final_state) => {
                if let Some(FinalState { end, version }) = final_state {
                    self.remember_version(dependency, end, version);
                }
                self.advance(context, check, out);
            }
            Err(_) => self.fail_dependency_check(check.to, out),
        }
    }

    /// Ends a dependency check for which the store gave no usable reply; the user has to retry.
    pub(super) fn fail_dependency_check(&mut self, to: ReplyTo, out: &mut ActionSink) {
        self.writes -= 1;
        out.reply(to, Answer::Unavailable(RETRY_STORE_S));
    }

    /// Sends the transaction that accepts a job with a cancelled dependency as cancelled: it
    /// writes the final state and no spec, if the job has no record.
    pub(super) fn write_cancelled_submission(
        &mut self,
        id: JobId,
        to: ReplyTo,
        tasks: u32,
        out: &mut ActionSink,
    ) {
        let end = EndRecord { cancelled: true, tasks };
        let mut txn = absence_transaction(slice::from_ref(&id));
        txn.writes = vec![Write::Put { key: end_key(&id), value: to_value(&end), lease: None }];
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::SubmitCancelled(id, to, tasks));
    }

    /// Handles the outcome of the transaction that accepts a job of this many tasks as cancelled.
    pub(super) fn cancelled_submission_written(
        &mut self,
        context: &RequestContext<'_>,
        id: JobId,
        to: ReplyTo,
        tasks: u32,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.writes -= 1;
        match result {
            StoreResult::Committed(revision) => {
                let end = EndRecord { cancelled: true, tasks };
                out.reply(to, Answer::Job(201, terminal_status(&id, &end)));
                self.remember_version(&id, end, *revision);
            }
            // Accepted before, and perhaps ended since.
            StoreResult::Conflict(keys) => self.resubmitted(context, id, to, keys, out),
            _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }
}
