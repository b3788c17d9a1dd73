//! Handling of users' requests; every controller gives the same answers.
//!
//! A job's final state (`end/`) is written once, by the first writer: the leader with *done*
//! or any controller with *cancelled*. Before a user gets any other answer, the store confirms
//! in a transaction without changes that no final state exists; many polls share one such
//! check. So no answer is older than one that any controller gave before.
//!
//! A job that a cascade cancelled is `aborted` from the moment its list is durable, although
//! its final state is written later. So each check also requires the cascade generation known
//! here; see [`crate::cascaded_jobs`]. If the local copy is behind, the request waits for it
//! briefly, and then the user is asked to retry.
//!
//! A submission is refused only once the store has proven that its job was never accepted; see
//! `refusals`. A submission that names DAG dependencies (`waits_on`) is accepted only once each of
//! these jobs is proven accepted; see [`crate::dependency_check`].

use crate::consts::*;
use crate::dependency_check::{DependencyCheck, FinalState};
use crate::event::{
    ActionSink, Answer, DISCARD_REPLY, OpId, ReplyTo, Secs, StoreRequest, StoreResult, TaskCounts,
    UserRequest,
};
use crate::facts::Facts;
use crate::log::Log;
use crate::replica::Replica;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key};
use marblebarrow_proto::wire::{JobStatus, MachineType, Stage};
use std::collections::{BTreeMap, HashMap, VecDeque};

mod cancellations;
mod cascade_reads;
mod condition_limit;
mod polls;
mod refusals;
mod submissions;

use cascade_reads::CascadeReads;
use condition_limit::ConditionLimit;
use polls::{Poll, SharedCheck};
use refusals::Refusal;

/// What a store request in flight is for.
#[derive(Debug)]
enum Pending {
    /// A check transaction shared by several polls.
    Check(SharedCheck),
    /// The read of a page of the cascade lists.
    CascadePage,
    /// A check that an accepted job neither has a final state nor is cancelled by a cascade.
    OpenCheck(Poll),
    /// The transaction that accepts a submission.
    Submit(PendingSubmission),
    /// A check transaction that proves that a refused job was never accepted.
    Refusal(Refusal),
    /// The read of a job's spec and its version, before the job is cancelled.
    CancelRead(JobId, ReplyTo),
    /// The transaction that cancels a job; the number is the job's task count.
    Cancel(JobId, ReplyTo, u32),
    /// The read of a final state.
    End(JobId, ReplyTo, OnMissing),
    /// The transaction that requests the cancellation of a job that may be in another cell.
    CancelWanted,
    /// A check transaction that proves whether these DAG dependencies were accepted.
    DependencyCheck(Box<DependencyCheck>, Vec<JobId>),
    /// The read of the final state of a DAG dependency.
    DependencyEnd(Box<DependencyCheck>, JobId),
    /// The transaction that accepts a job as cancelled, because a dependency is; the number is
    /// the job's task count.
    SubmitCancelled(JobId, ReplyTo, u32),
}

/// A submission whose acceptance is being recorded.
#[derive(Debug)]
struct PendingSubmission {
    job: JobId,
    to: ReplyTo,
    /// Size of the job's spec record, in bytes of JSON.
    record_bytes: usize,
}

/// What a user is told if a job has no final state.
#[derive(Debug, Clone, Copy)]
enum OnMissing {
    /// That the job isn't found: there was no spec either, and the final state is written no
    /// later than in the transaction that removes the spec, so the job never existed.
    NotFound,
    /// To retry the request, as nothing is proven.
    Retry,
}

/// The user API of a controller: pending requests, polls and remembered final states.
#[derive(Debug, Default)]
pub struct UserApi {
    /// Store requests in flight.
    pending: HashMap<OpId, Pending>,
    /// Polls that wait for the next check.
    polls: VecDeque<Poll>,
    check_in_flight: bool,
    /// Maximum number of conditions in a check transaction.
    condition_limit: ConditionLimit,
    /// Earliest time of the next check.
    next_check: Secs,
    /// Cascade lists read from the store when the watch is too slow to deliver them.
    cascade_reads: CascadeReads,
    /// Submissions and cancellations in progress, limited by [`USER_WRITES_MAX`].
    writes: usize,
    /// Remembered final states; all of them are in the store.
    terminal_states: HashMap<JobId, EndRecord>,
    /// The jobs in `terminal_states`, oldest first.
    terminal_order: VecDeque<JobId>,
    /// Cancellations that users are about to be told of, with their revisions.
    confirmed: Vec<(JobId, u64)>,
    /// Counts of done and running tasks of unfinished jobs, for display only.
    pub progress: BTreeMap<JobId, TaskCounts>,
    /// Log lines about users' requests.
    pub(crate) log: Log,
}

/// The controller state that the handling of a request needs.
pub struct RequestContext<'a> {
    /// The current time on this controller's monotonic clock.
    pub now: Secs,
    /// Time of day, milliseconds since 1970.
    pub wall_ms: u64,
    /// The deployment's settings.
    pub facts: &'a Facts,
    /// The local replica of the watched keys.
    pub replica: &'a Replica,
    /// The machine types that the cloud offers, if known.
    pub types: Option<&'a [MachineType]>,
    /// Whether the store is refusing this controller's requests.
    pub store_unavailable: bool,
    /// Whether submissions may name DAG dependencies: only once every controller runs a version
    /// that supports them.
    pub dependencies_allowed: bool,
}

/// The reason why a job can never run; `None` if it can.
pub fn never_runs(spec: &JobSpec, facts: &Facts, types: &[MachineType]) -> Option<&'static str> {
    let Some(team) = facts.teams.iter().find(|t| t.name == spec.team) else {
        return Some("unknown team");
    };
    let fits = types.iter().any(|t| type_allows(spec, t));
    if !fits {
        return Some("no allowed machine type holds a task");
    }
    // Gangs and services need capacity for all their tasks at the same time.
    let at_once = if spec.kind == Kind::Array { 1.0 } else { f64::from(spec.tasks) };
    let over = |need: f64, limit: f64| limit > 0.0 && need * at_once > limit + 1e-9;
    if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
        return Some("more than the team's limit");
    }
    None
}

/// Whether a machine type is allowed for a job and large enough for one of its tasks.
pub fn type_allows(spec: &JobSpec, t: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        && spec.cpus <= t.cpus + 1e-9
        && spec.gpus <= t.gpus + 1e-9
        && spec.memory_gb <= t.memory_gb + 1e-9
        && spec.image_gb <= t.cache_gb + 1e-9
}

impl UserApi {
    /// Creates a user API without pending requests that logs to `log`.
    pub fn new(log: Log) -> Self {
        Self { log, ..Self::default() }
    }

    /// Handles a user's request; the answer goes to `to`.
    pub fn handle_request(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        req: UserRequest,
        out: &mut ActionSink,
    ) {
        match req {
            UserRequest::Submit(spec) => self.submit(context, to, *spec, out),
            UserRequest::SubmitInvalid(job, error) => {
                self.submit_invalid(context, to, job, error, out);
            }
            UserRequest::Poll(id) => self.poll(context, to, id, out),
            UserRequest::Cancel(id) => self.cancel(context, to, id, out),
            UserRequest::Health => {}
        }
    }

    /// Counts a submission or cancellation as in progress, and returns true; or, if there are
    /// already [`USER_WRITES_MAX`], tells the user to retry.
    fn begin_write(&mut self, to: ReplyTo, out: &mut ActionSink) -> bool {
        if self.writes >= USER_WRITES_MAX {
            out.reply(to, Answer::Overloaded(RETRY_FULL_S));
            return false;
        }
        self.writes += 1;
        true
    }

    /// Reads a job's final state from the store and remembers it.
    pub fn read_final_state(&mut self, id: JobId, out: &mut ActionSink) {
        self.read_end(id, DISCARD_REPLY, OnMissing::Retry, out);
    }

    /// The remembered final state of a job, which is confirmed to be in the store.
    pub fn terminal_state(&self, id: &JobId) -> Option<&EndRecord> {
        self.terminal_states.get(id)
    }

    fn read_end(&mut self, id: JobId, to: ReplyTo, on_missing: OnMissing, out: &mut ActionSink) {
        let op = out.store(StoreRequest::Get(end_key(&id)));
        self.pending.insert(op, Pending::End(id, to, on_missing));
    }

    /// Handles a store reply if it belongs to a request of the user API. Returns whether it did.
    pub fn handle_store_result(
        &mut self,
        context: &RequestContext<'_>,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> bool {
        let Some(pending) = self.pending.remove(&op) else {
            return false;
        };
        match pending {
            Pending::Check(check) => self.polls_checked(context, check, result, out),
            // The user retries the cancellation, whatever the result.
            Pending::CancelWanted => {}
            Pending::CascadePage => self.cascade_page_read(context, result, out),
            Pending::OpenCheck(poll) => self.open_checked(context, poll, result, out),
            Pending::DependencyCheck(check, batch) => {
                self.dependencies_checked(context, check, batch, result, out);
            }
            Pending::DependencyEnd(mut check, dependency) => match check.final_state_read(result) {
                Ok(final_state) => {
                    if let Some(FinalState { end, version }) = final_state {
                        if end.cancelled {
                            // From now on, users may get this answer from memory.
                            self.confirmed.push((dependency.clone(), version));
                        }
                        self.remember(&dependency, end);
                    }
                    self.advance(context, check, out);
                }
                Err(_) => self.fail_dependency_check(check.to, out),
            },
            Pending::SubmitCancelled(id, to, tasks) => {
                self.writes -= 1;
                match result {
                    StoreResult::Committed(revision) => {
                        let end = EndRecord { cancelled: true, tasks };
                        self.confirmed.push((id.clone(), *revision));
                        self.remember(&id, end.clone());
                        out.reply(to, Answer::Job(201, terminal_status(&id, &end)));
                    }
                    // Accepted before, and perhaps ended since.
                    StoreResult::Conflict(keys) => self.resubmitted(context, id, to, keys, out),
                    _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                }
            }
            Pending::Submit(submission) => {
                self.submission_written(context, submission, result, out);
            }
            Pending::Refusal(refusal) => self.refusal_checked(context, refusal, result, out),
            Pending::CancelRead(id, to) => match result {
                StoreResult::Value(Some(item)) => match from_value::<SpecRecord>(&item.value) {
                    Ok(record) => {
                        self.cancel_known(id, to, &record, item.version, false, out);
                    }
                    Err(_) => self.write_cancel(id, to, item.version, 0, out),
                },
                StoreResult::Value(None) => {
                    self.writes -= 1;
                    self.read_end(id, to, OnMissing::NotFound, out);
                }
                _ => {
                    self.writes -= 1;
                    out.reply(to, Answer::Unavailable(RETRY_STORE_S));
                }
            },
            Pending::Cancel(id, to, tasks) => {
                self.writes -= 1;
                match result {
                    StoreResult::Committed(revision) => {
                        let end = EndRecord { cancelled: true, tasks };
                        self.confirmed.push((id.clone(), *revision));
                        self.remember(&id, end.clone());
                        out.reply(to, Answer::Job(200, terminal_status(&id, &end)));
                    }
                    StoreResult::Conflict(_) => self.read_end(id, to, OnMissing::Retry, out),
                    _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                }
            }
            Pending::End(id, to, on_missing) => match result {
                StoreResult::Value(Some(item)) => match from_value::<EndRecord>(&item.value) {
                    Ok(end) => {
                        if end.cancelled {
                            self.confirmed.push((id.clone(), item.version));
                        }
                        self.remember(&id, end.clone());
                        out.reply(to, Answer::Job(200, terminal_status(&id, &end)));
                    }
                    Err(_) => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                },
                StoreResult::Value(None) => match on_missing {
                    OnMissing::NotFound => out.reply(to, Answer::NotFound),
                    OnMissing::Retry => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                },
                _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
            },
        }
        true
    }

    /// Lowers the limit on conditions after a check with this many was rejected. Returns false if
    /// the rejection has another reason.
    fn lower_condition_limit(&mut self, context: &RequestContext<'_>, conditions: usize) -> bool {
        let lowered = self.condition_limit.lower(conditions);
        if lowered {
            let limit = self.condition_limit.get(context.facts);
            self.log.info(context.now, || {
                format!("event=check_rejected conditions={conditions} now_conditions={limit}")
            });
        }
        lowered
    }

    /// Returns the cancellations confirmed since the last call, with their revisions.
    pub fn take_confirmed(&mut self) -> Vec<(JobId, u64)> {
        std::mem::take(&mut self.confirmed)
    }

    /// Remembers a final state that is confirmed to be in the store. Of more than
    /// [`FINALS_KEPT`], the oldest is dropped.
    pub fn remember(&mut self, id: &JobId, end: EndRecord) {
        self.progress.remove(id);
        if self.terminal_states.insert(id.clone(), end).is_none() {
            self.terminal_order.push_back(id.clone());
            if self.terminal_order.len() > FINALS_KEPT
                && let Some(old) = self.terminal_order.pop_front()
            {
                self.terminal_states.remove(&old);
            }
        }
    }
}

fn terminal_status(id: &JobId, end: &EndRecord) -> JobStatus {
    let (stage, done) =
        if end.cancelled { (Stage::Cancelled, 0) } else { (Stage::Done, end.tasks) };
    JobStatus { id: id.clone(), stage, done, running: 0, waits_on: Vec::new() }
}

fn cancelled_status(id: JobId) -> JobStatus {
    JobStatus { id, stage: Stage::Cancelled, done: 0, running: 0, waits_on: Vec::new() }
}
