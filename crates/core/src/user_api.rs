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
use crate::dependency_check::{
    DependencyCheck, DependencyStep, FinalState, KnownDependency, absence_transaction,
};
use crate::event::{
    ActionSink, Answer, NOBODY, OpId, ReplyTo, Secs, StoreRequest, StoreResult, TaskCounts,
    UserRequest,
};
use crate::facts::Facts;
use crate::replica::Replica;
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::records::{EndRecord, SpecRecord, cancel_key, end_key, spec_key};
use marblebarrow_proto::transfer::cancel_wanted_key;
use marblebarrow_proto::wire::{Cond, JobStatus, MachineType, Stage, Txn, Write};
use std::collections::{BTreeMap, HashMap, VecDeque};

mod polls;

use polls::{CheckedPoll, Poll};

#[derive(Debug)]
enum Pending {
    /// A check behind polls.
    Check(Vec<CheckedPoll>),
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

    fn submit(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        if let Some(end) = self.terminal_states.get(&spec.id) {
            return out.reply(to, Answer::Job(200, terminal_status(&spec.id, end)));
        }
        if context.replica.cascaded.contains(&spec.id) {
            return out.reply(to, Answer::Job(200, cancelled_status(spec.id)));
        }
        if context.store_bad || !context.replica.synced {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if context.replica.specs.contains_key(&spec.id) {
            // Known: an accepted job is never refused, whatever it says now.
            return self.check_open(context, Poll { job: spec.id, to, since: context.now }, out);
        }
        let Some(types) = context.types else {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        };
        if let Some(why) = never_runs(&spec, context.facts, types) {
            return out.reply(to, Answer::NeverRuns(why));
        }
        if !spec.dependencies.is_empty() && !context.dependencies_allowed {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if self.writes >= USER_WRITES_MAX {
            return out.reply(to, Answer::Full(RETRY_FULL_S));
        }
        self.writes += 1;
        if spec.dependencies.is_empty() {
            return self.write_submission(context, to, spec, out);
        }
        self.check_dependencies(context, to, spec, out);
    }

    /// The transaction that accepts a job: its spec, if there is no record yet.
    fn write_submission(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        let id = spec.id.clone();
        let record = SpecRecord::submitted(spec, context.wall_ms);
        let txn = Txn {
            conds: vec![
                Cond { key: spec_key(&id), version: 0 },
                Cond { key: end_key(&id), version: 0 },
            ],
            writes: vec![Write::Put { key: spec_key(&id), value: to_value(&record), lease: None }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::Submit(id, to));
    }

    /// Starts proving a submission's dependencies accepted: what is known
    /// here proves it at once, the rest is asked of the store.
    fn check_dependencies(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        spec: JobSpec,
        out: &mut ActionSink,
    ) {
        let most = context.facts.store_txn_ops * CONDS_PER_OP;
        let known = |dependency: &JobId| self.known_dependency(context, dependency);
        let check = Box::new(DependencyCheck::new(spec, to, most, known));
        self.advance(context, check, out);
    }

    fn known_dependency(
        &self,
        context: &RequestContext<'_>,
        dependency: &JobId,
    ) -> KnownDependency {
        let cascaded = context.replica.cascaded.contains(dependency);
        match self.terminal_states.get(dependency) {
            Some(end) if end.cancelled => KnownDependency::Cancelled,
            _ if cascaded => KnownDependency::Cancelled,
            Some(_) => KnownDependency::Accepted,
            None if context.replica.specs.contains_key(dependency) => KnownDependency::Accepted,
            None => KnownDependency::Unproven,
        }
    }

    /// Takes the next step of a dependency check, or ends it.
    fn advance(
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
                self.writes -= 1;
                out.reply(check.to, Answer::UnknownDependencies(unknown));
            }
            DependencyStep::Accept => self.write_submission(context, check.to, check.spec, out),
            DependencyStep::AcceptCancelled => {
                let DependencyCheck { spec, to, .. } = *check;
                self.write_cancelled_submission(spec.id, to, spec.tasks, out);
            }
        }
    }

    /// Ends a dependency check that the store did not answer.
    fn dependencies_unanswered(&mut self, to: ReplyTo, out: &mut ActionSink) {
        self.writes -= 1;
        out.reply(to, Answer::Unavailable(RETRY_STORE_S));
    }

    /// Accepts a job that names a cancelled dependency as cancelled itself:
    /// its final state and no spec, if there is no record of it yet.
    fn write_cancelled_submission(
        &mut self,
        id: JobId,
        to: ReplyTo,
        tasks: u32,
        out: &mut ActionSink,
    ) {
        let end = EndRecord { cancelled: true, tasks };
        let txn = Txn {
            conds: vec![
                Cond { key: spec_key(&id), version: 0 },
                Cond { key: end_key(&id), version: 0 },
            ],
            writes: vec![Write::Put { key: end_key(&id), value: to_value(&end), lease: None }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::SubmitCancelled(id, to, tasks));
    }

    fn cancel(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        id: JobId,
        out: &mut ActionSink,
    ) {
        if let Some(end) = self.terminal_states.get(&id) {
            return out.reply(to, Answer::Job(200, terminal_status(&id, end)));
        }
        // It has no task (it waits for a job that is never done), so nothing is to be stopped.
        if context.replica.cascaded.contains(&id) {
            return out.reply(to, Answer::Job(200, cancelled_status(id)));
        }
        if context.store_bad {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if self.writes >= USER_WRITES_MAX {
            return out.reply(to, Answer::Full(RETRY_FULL_S));
        }
        self.writes += 1;
        match context.replica.specs.get(&id) {
            Some((record, version)) => {
                let record = record.clone();
                let wanted = context.replica.cancel_wanted.contains(&id);
                self.cancel_known(id, to, &record, *version, wanted, out);
            }
            None => {
                let op = out.store(StoreRequest::Get(spec_key(&id)));
                self.pending.insert(op, Pending::CancelRead(id, to));
            }
        }
    }

    /// Cancels a job here, or has its leader cancel it where it may be.
    fn cancel_known(
        &mut self,
        id: JobId,
        to: ReplyTo,
        record: &SpecRecord,
        version: u64,
        wanted: bool,
        out: &mut ActionSink,
    ) {
        if record.forward.is_none() {
            return self.write_cancel(id, to, version, record.spec.tasks, out);
        }
        // Only the cell that owns it can confirm: the user comes again until it has.
        self.writes -= 1;
        if !wanted {
            self.want_cancel(&id, version, out);
        }
        out.reply(to, Answer::Unavailable(RETRY_ELSEWHERE_S));
    }

    fn want_cancel(&mut self, id: &JobId, version: u64, out: &mut ActionSink) {
        let txn = Txn {
            conds: vec![Cond { key: spec_key(id), version }, Cond { key: end_key(id), version: 0 }],
            writes: vec![Write::Put {
                key: cancel_wanted_key(id),
                value: to_value(&true),
                lease: None,
            }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::CancelWanted);
    }

    /// Reads a final state, to be known from then on.
    pub fn learn_end(&mut self, id: JobId, out: &mut ActionSink) {
        self.read_end(id, NOBODY, Absent::Unclear, out);
    }

    /// A final state that is surely in the store, if it is known here.
    pub fn terminal_state(&self, id: &JobId) -> Option<&EndRecord> {
        self.terminal_states.get(id)
    }

    fn write_cancel(
        &mut self,
        id: JobId,
        to: ReplyTo,
        version: u64,
        tasks: u32,
        out: &mut ActionSink,
    ) {
        let end = EndRecord { cancelled: true, tasks };
        let txn = Txn {
            conds: vec![
                Cond { key: spec_key(&id), version },
                Cond { key: end_key(&id), version: 0 },
            ],
            writes: vec![
                Write::Put { key: end_key(&id), value: to_value(&end), lease: None },
                Write::Put { key: cancel_key(&id), value: to_value(&true), lease: None },
            ],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::Cancel(id, to, tasks));
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
