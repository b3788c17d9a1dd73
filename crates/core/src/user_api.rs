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
use crate::dependency_check::DependencyCheck;
use crate::event::{ActionSink, Answer, OpId, ReplyTo, Secs, StoreResult, TaskCounts, UserRequest};
use crate::facts::Facts;
use crate::log::Log;
use crate::replica::Replica;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::records::EndRecord;
use marblebarrow_proto::wire::{JobStatus, MachineType, Stage};
use std::collections::{BTreeMap, HashMap, VecDeque};

mod cancellations;
mod cascade_reads;
mod condition_limit;
mod final_states;
mod polls;
mod refusals;
mod submissions;

use cascade_reads::CascadeReads;
use condition_limit::ConditionLimit;
use final_states::OnMissing;
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
            Pending::DependencyEnd(check, dependency) => {
                self.dependency_end_read(context, check, &dependency, result, out);
            }
            Pending::SubmitCancelled(id, to, tasks) => {
                self.cancelled_submission_written(context, id, to, tasks, result, out);
            }
            Pending::Submit(submission) => {
                self.submission_written(context, submission, result, out);
            }
            Pending::Refusal(refusal) => self.refusal_checked(context, refusal, result, out),
            Pending::CancelRead(id, to) => self.cancelled_job_read(id, to, result, out),
            Pending::Cancel(id, to, tasks) => self.cancel_written(id, to, tasks, result, out),
            Pending::End(id, to, on_missing) => self.end_read(id, to, on_missing, result, out),
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
}

fn terminal_status(id: &JobId, end: &EndRecord) -> JobStatus {
    let (stage, done) =
        if end.cancelled { (Stage::Cancelled, 0) } else { (Stage::Done, end.tasks) };
    JobStatus { id: id.clone(), stage, done, running: 0, waits_on: Vec::new() }
}

fn cancelled_status(id: JobId) -> JobStatus {
    JobStatus { id, stage: Stage::Cancelled, done: 0, running: 0, waits_on: Vec::new() }
}
