//! Polls of the state of jobs. Each answer is proven by a transaction without changes, which
//! many polls share.
//!
//! A job is open, and so `queued` or `running`, if it has no final state, this controller's
//! copy of the cascade lists doesn't contain it, and no list was added since that copy; see
//! [`crate::cascaded_jobs`].

use super::final_states::OnMissing;
use super::{Pending, RequestContext, UserApi, cancelled_status, terminal_status};
use crate::consts::*;
use crate::event::{ActionSink, Answer, ReplyTo, Secs, StoreRequest, StoreResult, TaskCounts};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{CASCADE_GENERATION_KEY, end_key, spec_key};
use marblebarrow_proto::wire::{Condition, JobStatus, Stage, Txn};
use std::collections::BTreeSet;

/// A user's query for the state of a job.
#[derive(Debug)]
pub(super) struct Poll {
    pub(super) job: JobId,
    pub(super) to: ReplyTo,
    /// When the query arrived.
    pub(super) since: Secs,
}

/// A poll that is part of the check in flight.
#[derive(Debug)]
pub(super) struct CheckedPoll {
    poll: Poll,
    /// Whether the job's spec was known here when the check was sent. If not, the check also
    /// required its absence, so that success proves that the job doesn't exist.
    known: bool,
}

/// The check in flight that these polls share.
#[derive(Debug)]
pub(super) struct SharedCheck {
    polls: Vec<CheckedPoll>,
    /// Number of its conditions.
    conditions: usize,
}

impl UserApi {
    pub(super) fn poll(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        id: JobId,
        out: &mut ActionSink,
    ) {
        if let Some(end) = self.terminal_states.get(&id) {
            return out.reply(to, Answer::Job(200, terminal_status(&id, end)));
        }
        if self.cascaded(context).contains(&id) {
            return out.reply(to, Answer::Job(200, cancelled_status(id)));
        }
        if context.store_unavailable || !context.replica.synced {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if self.polls.len() >= POLLS_MAX {
            return out.reply(to, Answer::Overloaded(RETRY_FULL_S));
        }
        self.polls.push_back(Poll { job: id, to, since: context.now });
        self.check(context, out);
    }

    /// Performs the work that is due at this time.
    pub fn tick(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        self.drop_old_cascade_reads(context);
        self.check(context, out);
    }

    /// When [`UserApi::tick`] next has work; `None` if it waits for the store or for requests.
    pub fn wake(&self) -> Option<Secs> {
        (!self.check_in_flight && !self.polls.is_empty()).then_some(self.next_check)
    }

    /// Sends the check transaction for as many waiting polls as it may hold, if one is due.
    pub(super) fn check(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        if self.check_in_flight || self.polls.is_empty() || context.now < self.next_check {
            return;
        }
        let nodes = (context.facts.others.len() + 1) as f64;
        self.next_check =
            context.now + nodes / (context.facts.store_rps * POLL_CHECK_SHARE).max(0.1);
        let limit = self.condition_limit.get(context.facts);
        let mut keys: BTreeSet<String> = BTreeSet::new();
        let mut asked = Vec::new();
        while let Some(poll) = self.polls.pop_front() {
            if self.cascaded(context).contains(&poll.job) {
                out.reply(poll.to, Answer::Job(200, cancelled_status(poll.job)));
                continue;
            }
            // One condition is on the cascade generation.
            if keys.len() + 1 + CONDS_PER_POLL > limit && !keys.contains(&end_key(&poll.job)) {
                self.polls.push_front(poll);
                break;
            }
            keys.insert(end_key(&poll.job));
            let known = context.replica.specs.contains_key(&poll.job);
            if !known {
                keys.insert(spec_key(&poll.job));
            }
            asked.push(CheckedPoll { poll, known });
        }
        if asked.is_empty() {
            return;
        }
        let mut conditions: Vec<Condition> =
            keys.into_iter().map(|key| Condition { key, version: 0 }).collect();
        conditions.push(self.generation_condition(context));
        let check = SharedCheck { polls: asked, conditions: conditions.len() };
        let op = out.store(StoreRequest::Commit(Txn { conditions, writes: Vec::new() }));
        self.check_in_flight = true;
        self.pending.insert(op, Pending::Check(check));
    }

    /// Asks the store to prove that an accepted job has no final state and is not cancelled by
    /// a cascade that this controller doesn't know.
    pub(super) fn check_open(
        &mut self,
        context: &RequestContext<'_>,
        poll: Poll,
        out: &mut ActionSink,
    ) {
        let end = Condition { key: end_key(&poll.job), version: 0 };
        let conditions = vec![end, self.generation_condition(context)];
        let op = out.store(StoreRequest::Commit(Txn { conditions, writes: Vec::new() }));
        self.pending.insert(op, Pending::OpenCheck(poll));
    }

    /// Handles the store's reply to [`UserApi::check_open`].
    pub(super) fn open_checked(
        &mut self,
        context: &RequestContext<'_>,
        poll: Poll,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Committed(_) => self.answer_open(context, poll, out),
            StoreResult::Conflict(keys) if keys.contains(&end_key(&poll.job)) => {
                self.read_end(poll.job, poll.to, OnMissing::Retry, out);
            }
            StoreResult::Conflict(keys) if names_generation(keys) => {
                self.requeue_poll(context, poll, out);
            }
            _ => out.reply(poll.to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }

    /// Answers a poll for a job that a check proved open, unless the local copy of the cascade
    /// lists contains the job by now.
    pub(super) fn answer_open(
        &self,
        context: &RequestContext<'_>,
        poll: Poll,
        out: &mut ActionSink,
    ) {
        let status = if self.cascaded(context).contains(&poll.job) {
            cancelled_status(poll.job)
        } else {
            self.open_status(context, poll.job)
        };
        out.reply(poll.to, Answer::Job(200, status));
    }

    /// Queues a poll again, to wait until this controller learns of the latest cascade from its
    /// watch or, after [`CASCADE_READ_AFTER_S`], from a read of the lists. After
    /// [`CASCADE_WAIT_S`] the user is asked to retry.
    pub(super) fn requeue_poll(
        &mut self,
        context: &RequestContext<'_>,
        poll: Poll,
        out: &mut ActionSink,
    ) {
        if context.now - poll.since > CASCADE_WAIT_S {
            return out.reply(poll.to, Answer::Unavailable(RETRY_STORE_S));
        }
        if context.now - poll.since > CASCADE_READ_AFTER_S {
            self.read_cascades(context, out);
        }
        self.next_check = self.next_check.max(context.now + CASCADE_RECHECK_S);
        self.polls.push_back(poll);
    }

    /// Handles a submission of a job that already has a record: it was accepted before, and has
    /// perhaps ended since.
    pub(super) fn resubmitted(
        &mut self,
        context: &RequestContext<'_>,
        id: JobId,
        to: ReplyTo,
        failed_keys: &[String],
        out: &mut ActionSink,
    ) {
        if failed_keys.contains(&end_key(&id)) {
            return self.read_end(id, to, OnMissing::Retry, out);
        }
        self.check_open(context, Poll { job: id, to, since: context.now }, out);
    }

    /// Handles the store's reply to [`UserApi::check`] and answers the polls that it covers.
    pub(super) fn polls_checked(
        &mut self,
        context: &RequestContext<'_>,
        SharedCheck { polls: asked, conditions }: SharedCheck,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.check_in_flight = false;
        match result {
            // Fewer polls share the next checks.
            StoreResult::Rejected if self.lower_condition_limit(context, conditions) => {
                self.polls.extend(asked.into_iter().map(|checked| checked.poll));
                self.check(context, out);
            }
            StoreResult::Committed(_) => {
                for CheckedPoll { poll, known } in asked {
                    if known || context.replica.specs.contains_key(&poll.job) {
                        self.answer_open(context, poll, out);
                    } else {
                        out.reply(poll.to, Answer::NotFound);
                    }
                }
            }
            StoreResult::Conflict(keys) => {
                let behind = names_generation(keys);
                for CheckedPoll { poll, .. } in asked {
                    if keys.contains(&end_key(&poll.job)) {
                        self.read_end(poll.job, poll.to, OnMissing::Retry, out);
                    } else if behind {
                        self.requeue_poll(context, poll, out);
                    } else if keys.contains(&spec_key(&poll.job)) {
                        // The spec exists although the watch hasn't delivered it yet, so
                        // the job is treated as known.
                        self.check_open(context, poll, out);
                    } else {
                        // The failed check proves nothing for this poll: it joins the next.
                        self.polls.push_back(poll);
                    }
                }
                self.check(context, out);
            }
            _ => {
                for CheckedPoll { poll, .. } in asked {
                    out.reply(poll.to, Answer::Unavailable(RETRY_STORE_S));
                }
            }
        }
    }

    /// The status of an open job, from the task counts known here.
    pub(super) fn open_status(&self, context: &RequestContext<'_>, id: JobId) -> JobStatus {
        let TaskCounts { done, running } = self.progress.get(&id).copied().unwrap_or_default();
        let stage = if running > 0 { Stage::Running } else { Stage::Queued };
        let waits_on = self.unfinished_dependencies(context, &id);
        JobStatus { id, stage, done, running, waits_on }
    }

    /// The condition that no cascade list was added that this controller doesn't know.
    fn generation_condition(&self, context: &RequestContext<'_>) -> Condition {
        let version = self.cascaded(context).generation();
        Condition { key: CASCADE_GENERATION_KEY.into(), version }
    }

    /// The DAG dependencies of a job that are unfinished as far as this controller knows: their
    /// spec is in the replica, and neither a final state nor a cascade cancellation is known.
    pub(super) fn unfinished_dependencies(
        &self,
        context: &RequestContext<'_>,
        id: &JobId,
    ) -> Vec<JobId> {
        let Some((record, _)) = context.replica.specs.get(id) else {
            return Vec::new();
        };
        let unfinished = |d: &&JobId| {
            context.replica.specs.contains_key(*d)
                && !self.cascaded(context).contains(d)
                && !self.terminal_states.contains_key(*d)
        };
        record.spec.dependencies.iter().filter(unfinished).cloned().collect()
    }
}

fn names_generation(failed_keys: &[String]) -> bool {
    failed_keys.iter().any(|key| key == CASCADE_GENERATION_KEY)
}
