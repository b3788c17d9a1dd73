//! Users' requests, answered the same way on every controller.
//!
//! A job's final state (`end/`) is written once, by whoever comes first: the
//! leader with *done* or any controller with *cancelled*. Before a user is told
//! anything else, the store confirms in a transaction without changes that no
//! final state exists; many polls share one such check. So no answer is ever
//! older than one that any controller gave before.
//!
//! A job that a cascade cancelled is `aborted` from the moment its list is durable,
//! though its final state comes later. So each such check also requires the cascade
//! generation known here; see [`crate::cascaded_jobs`]. Where the copy is behind, users
//! wait for it a little, and then are asked to come again.
//!
//! A submission that names DAG dependencies (`waits_on`) is accepted only once
//! every job it names is proven accepted; see [`crate::dependency_check`].

use crate::consts::*;
use crate::dependency_check::{DependencyCheck, FinalState};
use crate::event::{
    ActionSink, Answer, NOBODY, OpId, ReplyTo, Secs, StoreRequest, StoreResult, TaskCounts,
    UserRequest,
};
use crate::facts::Facts;
use crate::replica::Replica;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key};
use marblebarrow_proto::wire::{JobStatus, MachineType, Stage};
use std::collections::{BTreeMap, HashMap, VecDeque};

mod cancellations;
mod cascade_reads;
mod polls;
mod submissions;

use cascade_reads::CascadeReads;
use polls::{CheckedPoll, Poll};

#[derive(Debug)]
enum Pending {
    /// A check behind polls.
    Check(Vec<CheckedPoll>),
    /// A page of the cascade lists.
    CascadePage,
    /// A check that an accepted job is neither over nor cancelled by a cascade.
    OpenCheck(Poll),
    /// The transaction of a submission.
    Submit(JobId, ReplyTo),
    /// Reads the spec's version for a cancel.
    CancelRead(JobId, ReplyTo),
    /// The transaction of a cancel.
    Cancel(JobId, ReplyTo, u32),
    /// Reads a final state.
    End(JobId, ReplyTo, Absent),
    /// Records that a cancellation is wanted of a job that may be in another cell.
    CancelWanted,
    /// A check transaction that proves some DAG dependencies accepted, or not.
    DependencyCheck(Box<DependencyCheck>, Vec<JobId>),
    /// Reads the final state of a DAG dependency that has one.
    DependencyEnd(Box<DependencyCheck>, JobId),
    /// The transaction that accepts a job already cancelled with a dependency.
    SubmitCancelled(JobId, ReplyTo, u32),
}

/// What it means that a job has no final state.
#[derive(Debug, Clone, Copy)]
enum Absent {
    /// There was no spec either, so the job never was: the final state is
    /// written in the transaction that removes the spec.
    Never,
    /// Nothing: let the user ask again.
    Unclear,
}

/// The user_api.
#[derive(Debug, Default)]
pub struct UserApi {
    pending: HashMap<OpId, Pending>,
    polls: VecDeque<Poll>,
    check_running: bool,
    next_check: Secs,
    /// The cascade lists, as read where the watch doesn't bring them.
    cascade_reads: CascadeReads,
    writes: usize,
    terminal_states: HashMap<JobId, EndRecord>,
    terminal_order: VecDeque<JobId>,
    /// Cancellations that users are about to be told of, and their revisions.
    confirmed: Vec<(JobId, u64)>,
    /// Done and running tasks of unfinished jobs, for display.
    pub progress: BTreeMap<JobId, TaskCounts>,
}

/// What a request needs to know of its surroundings.
pub struct RequestContext<'a> {
    /// Now.
    pub now: Secs,
    /// Time of day, milliseconds since 1970.
    pub wall_ms: u64,
    /// The settings.
    pub facts: &'a Facts,
    /// The watched keys.
    pub replica: &'a Replica,
    /// Machine types, if known.
    pub types: Option<&'a [MachineType]>,
    /// Whether the store has been refusing us.
    pub store_bad: bool,
    /// Whether submissions may name DAG dependencies: only once every
    /// controller runs a version that knows them.
    pub dependencies_allowed: bool,
}

/// Why a job can never run, if so.
pub fn never_runs(spec: &JobSpec, facts: &Facts, types: &[MachineType]) -> Option<&'static str> {
    let Some(team) = facts.teams.iter().find(|t| t.name == spec.team) else {
        return Some("unknown team");
    };
    let fits = types.iter().any(|t| type_allows(spec, t));
    if !fits {
        return Some("no allowed machine type holds a task");
    }
    // Gangs and services need all their tasks at once.
    let at_once = if spec.kind == Kind::Array { 1.0 } else { f64::from(spec.tasks) };
    let over = |need: f64, limit: f64| limit > 0.0 && need * at_once > limit + 1e-9;
    if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
        return Some("more than the team's limit");
    }
    None
}

/// Whether a machine type may hold a task of a job.
pub fn type_allows(spec: &JobSpec, t: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        && spec.cpus <= t.cpus + 1e-9
        && spec.gpus <= t.gpus + 1e-9
        && spec.memory_gb <= t.memory_gb + 1e-9
        && spec.image_gb <= t.cache_gb + 1e-9
}

impl UserApi {
    /// A user asks.
    pub fn ask(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        req: UserRequest,
        out: &mut ActionSink,
    ) {
        match req {
            UserRequest::Submit(spec) => self.submit(context, to, *spec, out),
            UserRequest::Poll(id) => self.poll(context, to, id, out),
            UserRequest::Cancel(id) => self.cancel(context, to, id, out),
            UserRequest::Health => {}
        }
    }

    /// Reads a final state, to be known from then on.
    pub fn learn_end(&mut self, id: JobId, out: &mut ActionSink) {
        self.read_end(id, NOBODY, Absent::Unclear, out);
    }

    /// A final state that is surely in the store, if it is known here.
    pub fn terminal_state(&self, id: &JobId) -> Option<&EndRecord> {
        self.terminal_states.get(id)
    }

    fn read_end(&mut self, id: JobId, to: ReplyTo, absent: Absent, out: &mut ActionSink) {
        let op = out.store(StoreRequest::Get(end_key(&id)));
        self.pending.insert(op, Pending::End(id, to, absent));
    }

    /// Whether an answer of the store is for us; if so, takes it.
    pub fn store(
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
            Pending::Check(asked) => self.checked(context, asked, result, out),
            // The user asks again, whatever came of it.
            Pending::CancelWanted => {}
            Pending::CascadePage => self.cascade_page_read(context, result, out),
            Pending::OpenCheck(poll) => self.open_checked(context, poll, result, out),
            Pending::DependencyCheck(mut check, batch) => {
                match check.absence_answered(batch, result) {
                    Ok(()) => self.advance(context, check, out),
                    Err(_) => self.dependencies_unanswered(check.to, out),
                }
            }
            Pending::DependencyEnd(mut check, dependency) => match check.end_answered(result) {
                Ok(final_state) => {
                    if let Some(FinalState { end, version }) = final_state {
                        if end.cancelled {
                            // Users may be told from memory from now on.
                            self.confirmed.push((dependency.clone(), version));
                        }
                        self.remember(&dependency, end);
                    }
                    self.advance(context, check, out);
                }
                Err(_) => self.dependencies_unanswered(check.to, out),
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
                    // Accepted before, perhaps over since.
                    StoreResult::Conflict(keys) => self.known_before(context, id, to, keys, out),
                    _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                }
            }
            Pending::Submit(id, to) => {
                self.writes -= 1;
                match result {
                    StoreResult::Committed(_) => {
                        let stage = Stage::Queued;
                        let status =
                            JobStatus { id, stage, done: 0, running: 0, waits_on: Vec::new() };
                        out.reply(to, Answer::Job(201, status));
                    }
                    // Accepted before, perhaps over since.
                    StoreResult::Conflict(keys) => self.known_before(context, id, to, keys, out),
                    StoreResult::Rejected => out.reply(to, Answer::NeverRuns("too large to store")),
                    _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                }
            }
            Pending::CancelRead(id, to) => match result {
                StoreResult::Value(Some(item)) => match from_value::<SpecRecord>(&item.value) {
                    Ok(record) => {
                        self.cancel_known(id, to, &record, item.version, false, out);
                    }
                    Err(_) => self.write_cancel(id, to, item.version, 0, out),
                },
                StoreResult::Value(None) => {
                    self.writes -= 1;
                    self.read_end(id, to, Absent::Never, out);
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
                    StoreResult::Conflict(_) => self.read_end(id, to, Absent::Unclear, out),
                    _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                }
            }
            Pending::End(id, to, absent) => match result {
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
                StoreResult::Value(None) => match absent {
                    Absent::Never => out.reply(to, Answer::NotFound),
                    Absent::Unclear => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                },
                _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
            },
        }
        true
    }

    /// Cancellations confirmed since the last call, with their revisions.
    pub fn take_confirmed(&mut self) -> Vec<(JobId, u64)> {
        std::mem::take(&mut self.confirmed)
    }

    /// Keeps a final state that is surely in the store.
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
