//! Polls: how jobs are, proven by transactions without changes that many of them share.
//!
//! A job is open, and so `queued` or `running`, if it has no final state and no cascade was
//! added beyond those in this controller's copy, which doesn't name it; see
//! [`crate::cascaded_jobs`].

use super::{Absent, Pending, RequestContext, UserApi, cancelled_status, terminal_status};
use crate::consts::*;
use crate::event::{ActionSink, Answer, ReplyTo, Secs, StoreRequest, StoreResult, TaskCounts};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{CASCADE_GENERATION, end_key, spec_key};
use marblebarrow_proto::wire::{Cond, JobStatus, Stage, Txn};
use std::collections::BTreeSet;

/// A user who wants to know how a job is.
#[derive(Debug)]
pub(super) struct Poll {
    pub(super) job: JobId,
    pub(super) to: ReplyTo,
    /// When the user asked.
    pub(super) since: Secs,
}

/// A poll in a check under way.
#[derive(Debug)]
pub(super) struct CheckedPoll {
    poll: Poll,
    /// Whether the job was known when the check was sent: what it proves depends on that.
    known: bool,
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
        if context.store_bad || !context.replica.synced {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if self.polls.len() >= POLLS_MAX {
            return out.reply(to, Answer::Full(RETRY_FULL_S));
        }
        self.polls.push_back(Poll { job: id, to, since: context.now });
        self.check(context, out);
    }

    /// Steps with time.
    pub fn tick(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        self.drop_old_cascade_reads(context);
        self.check(context, out);
    }

    /// When [`UserApi::tick`] next has something to do.
    pub fn wake(&self) -> Option<Secs> {
        (!self.check_running && !self.polls.is_empty()).then_some(self.next_check)
    }

    pub(super) fn check(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        if self.check_running || self.polls.is_empty() || context.now < self.next_check {
            return;
        }
        let nodes = (context.facts.others.len() + 1) as f64;
        self.next_check =
            context.now + nodes / (context.facts.store_rps * POLL_CHECK_SHARE).max(0.1);
        let most = context.facts.store_txn_ops * CONDS_PER_OP;
        let mut keys: BTreeSet<String> = BTreeSet::new();
        let mut asked = Vec::new();
        while let Some(poll) = self.polls.pop_front() {
            if self.cascaded(context).contains(&poll.job) {
                out.reply(poll.to, Answer::Job(200, cancelled_status(poll.job)));
                continue;
            }
            // One condition is the cascade generation.
            if keys.len() + 1 + CONDS_PER_POLL > most && !keys.contains(&end_key(&poll.job)) {
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
        let mut conds: Vec<Cond> = keys.into_iter().map(|key| Cond { key, version: 0 }).collect();
        conds.push(self.generation_condition(context));
        let op = out.store(StoreRequest::Commit(Txn { conds, writes: Vec::new() }));
        self.check_running = true;
        self.pending.insert(op, Pending::Check(asked));
    }

    /// Asks the store to prove that an accepted job is neither over nor cancelled by a
    /// cascade that this controller doesn't know.
    pub(super) fn check_open(
        &mut self,
        context: &RequestContext<'_>,
        poll: Poll,
        out: &mut ActionSink,
    ) {
        let end = Cond { key: end_key(&poll.job), version: 0 };
        let conds = vec![end, self.generation_condition(context)];
        let op = out.store(StoreRequest::Commit(Txn { conds, writes: Vec::new() }));
        self.pending.insert(op, Pending::OpenCheck(poll));
    }

    /// The store answered [`UserApi::check_open`].
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
                self.read_end(poll.job, poll.to, Absent::Unclear, out);
            }
            StoreResult::Conflict(keys) if has_generation(keys) => {
                self.poll_later(context, poll, out);
            }
            _ => out.reply(poll.to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }

    /// Tells how a job is that a check proved open, unless the copy knows better by now.
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

    /// A poll waits for this controller to learn of the latest cascade, for a while: from its
    /// watch, or else by reading the lists.
    pub(super) fn poll_later(
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
        self.next_check = self.next_check.max(context.now + CASCADE_LOOK_S);
        self.polls.push_back(poll);
    }

    /// A submission met a record of its job: accepted before, perhaps over since.
    pub(super) fn known_before(
        &mut self,
        context: &RequestContext<'_>,
        id: JobId,
        to: ReplyTo,
        failed_keys: &[String],
        out: &mut ActionSink,
    ) {
        if failed_keys.contains(&end_key(&id)) {
            return self.read_end(id, to, Absent::Unclear, out);
        }
        self.check_open(context, Poll { job: id, to, since: context.now }, out);
    }

    pub(super) fn checked(
        &mut self,
        context: &RequestContext<'_>,
        asked: Vec<CheckedPoll>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.check_running = false;
        match result {
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
                let behind = has_generation(keys);
                for CheckedPoll { poll, .. } in asked {
                    if keys.contains(&end_key(&poll.job)) {
                        self.read_end(poll.job, poll.to, Absent::Unclear, out);
                    } else if behind {
                        self.poll_later(context, poll, out);
                    } else if keys.contains(&spec_key(&poll.job)) {
                        // A spec that is there though the watch hasn't shown it
                        // means the same as a known one.
                        self.check_open(context, poll, out);
                    } else {
                        // Not proven by a failed check: again with the next.
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

    pub(super) fn open_status(&self, context: &RequestContext<'_>, id: JobId) -> JobStatus {
        let TaskCounts { done, running } = self.progress.get(&id).copied().unwrap_or_default();
        let stage = if running > 0 { Stage::Running } else { Stage::Queued };
        let waits_on = self.unfinished_dependencies(context, &id);
        JobStatus { id, stage, done, running, waits_on }
    }

    /// The condition that no cascade was added that this controller doesn't know.
    fn generation_condition(&self, context: &RequestContext<'_>) -> Cond {
        let version = self.cascaded(context).generation();
        Cond { key: CASCADE_GENERATION.into(), version }
    }

    /// The DAG dependencies of a job that this controller still sees
    /// unfinished: their spec is in the replica and no final state is known.
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

fn has_generation(failed_keys: &[String]) -> bool {
    failed_keys.iter().any(|key| key == CASCADE_GENERATION)
}
