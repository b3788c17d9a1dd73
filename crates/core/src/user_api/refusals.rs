//! Refusals of submissions.
//!
//! A refusal is final for the user, but its reasons are not: machine types, teams, the limits of
//! the state service and what a version takes for valid change. A job that was accepted before must
//! not be refused for any of them, and this controller's memory doesn't show that a job was never
//! accepted. So a refusal is sent only after the state service has confirmed that the job has
//! neither a spec nor a final state; otherwise the user gets the state of the job.

use super::{Pending, RequestContext, UserApi};
use crate::consts::RETRY_STORE_S;
use crate::dependency_check::absence_transaction;
use crate::event::{ActionSink, Answer, ReplyTo, StoreRequest, StoreResult};
use marblebarrow_proto::ids::JobId;
use std::slice;

/// A submission that is refused if its job was never accepted.
#[derive(Debug)]
pub(super) struct Refusal {
    pub(super) job: JobId,
    pub(super) to: ReplyTo,
    /// The refusal that the user gets.
    pub(super) answer: Answer,
}

impl UserApi {
    /// Asks the state service to confirm that a job was never accepted, before its submission is
    /// refused. The submission counts as in progress until then.
    pub(super) fn refuse(&mut self, refusal: Refusal, out: &mut ActionSink) {
        let absent = absence_transaction(slice::from_ref(&refusal.job));
        let op = out.store(StoreRequest::Commit(absent));
        self.pending.insert(op, Pending::Refusal(refusal));
    }

    /// Handles the state service's reply to [`UserApi::refuse`].
    pub(super) fn refusal_checked(
        &mut self,
        context: &RequestContext<'_>,
        refusal: Refusal,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.writes -= 1;
        let Refusal { job, to, answer } = refusal;
        match result {
            StoreResult::Committed(_) => {
                self.log.debug(|| format!("event=submission_refused job={job} answer={answer:?}"));
                out.reply(to, answer);
            }
            StoreResult::Conflict(keys) => {
                self.log.debug(|| format!("event=accepted_before job={job} instead_of={answer:?}"));
                self.resubmitted(context, job, to, keys, out);
            }
            _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }
}
