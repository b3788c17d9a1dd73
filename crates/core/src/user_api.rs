//! Users' requests, answered the same way on every controller.
//!
//! A job's last word (`end/`) is written once, by whoever comes first: the
//! leader with *done* or any controller with *cancelled*. Before a user is told
//! anything else, the store confirms in a transaction without changes that no
//! last word exists; many polls share one such check. So no answer is ever
//! older than one that any controller gave before.
//!
//! A submission that names DAG dependencies (`waits_on`) is accepted only once
//! every job it names is proven accepted; see [`DependencyCheck`].

use crate::consts::*;
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

#[derive(Debug)]
enum Pending {
    /// A check behind polls: who asked for what, and whether the job was known
    /// when the check was sent (what it proves depends on that).
    Check(Vec<(JobId, ReplyTo, bool)>),
    /// The transaction of a submission.
    Submit(JobId, ReplyTo),
    /// Reads the spec's version for a cancel.
    CancelRead(JobId, ReplyTo),
    /// The transaction of a cancel.
    Cancel(JobId, ReplyTo, u32),
    /// Reads a last word.
    End(JobId, ReplyTo, Absent),
    /// Records that a cancellation is wanted of a job that may be in another cell.
    CancelWanted,
    /// A check transaction that proves some DAG dependencies accepted, or not.
    DependencyCheck(Box<DependencyCheck>, Vec<JobId>),
    /// Reads the last word of a DAG dependency that has one.
    DependencyEnd(Box<DependencyCheck>, JobId),
    /// The transaction that accepts a job already cancelled with a dependency.
    SubmitCancelled(JobId, ReplyTo, u32),
}

/// A submission with DAG dependencies, while their acceptance is proven.
///
/// Why this is safe: a job accepted at controller A a millisecond ago was
/// committed to the store before its user got 201, and B's check transaction
/// is ordered after that commit by the store; so a check that commits proves
/// that the job was never accepted. No cache is trusted for absence: the
/// replica and the remembered last words only prove presence, which never
/// goes back (records are monotonic).
///
/// Why no cycle can arise: a job may only name jobs accepted before its own
/// check, and nobody can name a job not yet accepted; so every edge points to
/// an older job, and the graph is acyclic by construction.
#[derive(Debug)]
struct DependencyCheck {
    spec: JobSpec,
    to: ReplyTo,
    /// Dependencies whose acceptance is not proven either way yet.
    unproven: VecDeque<JobId>,
    /// Dependencies that have a last word not known here yet.
    ends_to_read: Vec<JobId>,
    /// Dependencies that a committed check proved never accepted.
    unknown: Vec<JobId>,
    /// Whether some dependency is cancelled: then so is this job.
    cancelled_dependency: bool,
    /// Most dependencies in one check transaction (two conditions each).
    per_check: usize,
}

/// What it means that a job has no last word.
#[derive(Debug, Clone, Copy)]
enum Absent {
    /// The job is known, so it is unfinished.
    Open,
    /// There was no spec either, so the job never was: the last word is
    /// written in the transaction that removes the spec.
    Never,
    /// Neither: let the user ask again.
    Unclear,
}

/// The user_api.
#[derive(Debug, Default)]
pub struct UserApi {
    pending: HashMap<OpId, Pending>,
    polls: VecDeque<(JobId, ReplyTo)>,
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
        if context.store_bad || !context.replica.synced {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if context.replica.specs.contains_key(&spec.id) {
            // Known: an accepted job is never refused, whatever it says now.
            return self.read_end(spec.id, to, Absent::Open, out);
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
            writes: vec![Write::Put { key: spec_key(&id), value: to_value(&record), grant: None }],
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
        let mut check = Box::new(DependencyCheck {
            unproven: VecDeque::new(),
            ends_to_read: Vec::new(),
            unknown: Vec::new(),
            cancelled_dependency: false,
            per_check: (most / CONDS_PER_DEPENDENCY).max(1),
            to,
            spec,
        });
        for dependency in &check.spec.dependencies {
            match self.terminal_states.get(dependency) {
                Some(end) => check.cancelled_dependency |= end.cancelled,
                None if context.replica.specs.contains_key(dependency) => {}
                None => check.unproven.push_back(dependency.clone()),
            }
        }
        self.advance(context, check, out);
    }

    /// Takes the next step of a dependency check, or ends it.
    fn advance(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        out: &mut ActionSink,
    ) {
        if !check.unproven.is_empty() {
            let take = check.per_check.min(check.unproven.len());
            let batch: Vec<JobId> = check.unproven.drain(..take).collect();
            let conds = batch
                .iter()
                .flat_map(|d| [spec_key(d), end_key(d)])
                .map(|key| Cond { key, version: 0 })
                .collect();
            let op = out.store(StoreRequest::Commit(Txn { conds, writes: Vec::new() }));
            self.pending.insert(op, Pending::DependencyCheck(check, batch));
            return;
        }
        if !check.unknown.is_empty() {
            self.writes -= 1;
            return out.reply(check.to, Answer::UnknownDependencies(check.unknown));
        }
        if !check.cancelled_dependency
            && let Some(dependency) = check.ends_to_read.pop()
        {
            let op = out.store(StoreRequest::Get(end_key(&dependency)));
            self.pending.insert(op, Pending::DependencyEnd(check, dependency));
            return;
        }
        let DependencyCheck { spec, to, cancelled_dependency, .. } = *check;
        if cancelled_dependency {
            self.write_cancelled_submission(spec.id, to, spec.tasks, out);
        } else {
            self.write_submission(context, to, spec, out);
        }
    }

    /// What a check transaction of dependencies proves.
    fn dependencies_checked(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        batch: Vec<JobId>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            // Neither spec nor last word exists: never accepted.
            StoreResult::Committed(_) => check.unknown.extend(batch),
            StoreResult::Conflict(keys) => {
                let mut unlisted = Vec::new();
                for dependency in &batch {
                    if keys.contains(&end_key(dependency)) {
                        check.ends_to_read.push(dependency.clone());
                    } else if !keys.contains(&spec_key(dependency)) {
                        unlisted.push(dependency.clone());
                    }
                }
                if batch.len() == 1 && unlisted.len() == 1 {
                    // Alone in a failed check, it exists; whether it has a
                    // last word is read.
                    check.ends_to_read.extend(unlisted);
                } else {
                    if unlisted.len() == batch.len() {
                        // The store named none of them: one at a time then.
                        check.per_check = 1;
                    }
                    for dependency in unlisted.into_iter().rev() {
                        check.unproven.push_front(dependency);
                    }
                }
            }
            _ => {
                self.writes -= 1;
                return out.reply(check.to, Answer::Unavailable(RETRY_STORE_S));
            }
        }
        self.advance(context, check, out);
    }

    /// What a dependency's last word says.
    fn dependency_end_read(
        &mut self,
        context: &RequestContext<'_>,
        mut check: Box<DependencyCheck>,
        dependency: JobId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Value(Some(item)) => match from_value::<EndRecord>(&item.value) {
                Ok(end) => {
                    check.cancelled_dependency |= end.cancelled;
                    if end.cancelled {
                        // Users may be told from memory from now on.
                        self.confirmed.push((dependency.clone(), item.version));
                    }
                    self.remember(&dependency, end);
                }
                Err(_) => {
                    self.writes -= 1;
                    return out.reply(check.to, Answer::Unavailable(RETRY_STORE_S));
                }
            },
            // Its acceptance is proven already; it has no last word yet.
            StoreResult::Value(None) => {}
            _ => {
                self.writes -= 1;
                return out.reply(check.to, Answer::Unavailable(RETRY_STORE_S));
            }
        }
        self.advance(context, check, out);
    }

    /// Accepts a job that names a cancelled dependency as cancelled itself:
    /// its last word and no spec, if there is no record of it yet.
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
            writes: vec![Write::Put { key: end_key(&id), value: to_value(&end), grant: None }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::SubmitCancelled(id, to, tasks));
    }

    fn poll(&mut self, context: &RequestContext<'_>, to: ReplyTo, id: JobId, out: &mut ActionSink) {
        if let Some(end) = self.terminal_states.get(&id) {
            return out.reply(to, Answer::Job(200, terminal_status(&id, end)));
        }
        if context.store_bad || !context.replica.synced {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if self.polls.len() >= POLLS_MAX {
            return out.reply(to, Answer::Full(RETRY_FULL_S));
        }
        self.polls.push_back((id, to));
        self.check(context, out);
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
                grant: None,
            }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::CancelWanted);
    }

    /// Reads a last word, to be known from then on.
    pub fn learn_end(&mut self, id: JobId, out: &mut ActionSink) {
        self.read_end(id, NOBODY, Absent::Unclear, out);
    }

    /// A last word that is surely in the store, if it is known here.
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
                Write::Put { key: end_key(&id), value: to_value(&end), grant: None },
                Write::Put { key: cancel_key(&id), value: to_value(&true), grant: None },
            ],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::Cancel(id, to, tasks));
    }

    fn read_end(&mut self, id: JobId, to: ReplyTo, absent: Absent, out: &mut ActionSink) {
        let op = out.store(StoreRequest::Get(end_key(&id)));
        self.pending.insert(op, Pending::End(id, to, absent));
    }

    /// Steps with time.
    pub fn tick(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        self.check(context, out);
    }

    /// When [`UserApi::tick`] next has something to do.
    pub fn wake(&self) -> Option<Secs> {
        (!self.check_running && !self.polls.is_empty()).then_some(self.next_check)
    }

    fn check(&mut self, context: &RequestContext<'_>, out: &mut ActionSink) {
        if self.check_running || self.polls.is_empty() || context.now < self.next_check {
            return;
        }
        let nodes = (context.facts.others.len() + 1) as f64;
        self.next_check =
            context.now + nodes / (context.facts.store_rps * POLL_CHECK_SHARE).max(0.1);
        let most = context.facts.store_txn_ops * CONDS_PER_OP;
        let mut conds: BTreeMap<String, ()> = BTreeMap::new();
        let mut asked = Vec::new();
        while let Some((id, to)) = self.polls.pop_front() {
            if conds.len() + 2 > most && !conds.contains_key(&end_key(&id)) {
                self.polls.push_front((id, to));
                break;
            }
            conds.insert(end_key(&id), ());
            let known = context.replica.specs.contains_key(&id);
            if !known {
                conds.insert(spec_key(&id), ());
            }
            asked.push((id, to, known));
        }
        let conds = conds.into_keys().map(|key| Cond { key, version: 0 }).collect();
        let op = out.store(StoreRequest::Commit(Txn { conds, writes: Vec::new() }));
        self.check_running = true;
        self.pending.insert(op, Pending::Check(asked));
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
            Pending::DependencyCheck(check, batch) => {
                self.dependencies_checked(context, check, batch, result, out);
            }
            Pending::DependencyEnd(check, dependency) => {
                self.dependency_end_read(context, check, dependency, result, out);
            }
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
                    StoreResult::Conflict(_) => self.read_end(id, to, Absent::Open, out),
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
                    StoreResult::Conflict(_) => self.read_end(id, to, Absent::Open, out),
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
                    Absent::Open => {
                        let status = self.open_status(context, id);
                        out.reply(to, Answer::Job(200, status));
                    }
                    Absent::Never => out.reply(to, Answer::NotFound),
                    Absent::Unclear => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
                },
                _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
            },
        }
        true
    }

    fn checked(
        &mut self,
        context: &RequestContext<'_>,
        asked: Vec<(JobId, ReplyTo, bool)>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.check_running = false;
        match result {
            StoreResult::Committed(_) => {
                for (id, to, known) in asked {
                    if known || context.replica.specs.contains_key(&id) {
                        let status = self.open_status(context, id);
                        out.reply(to, Answer::Job(200, status));
                    } else {
                        out.reply(to, Answer::NotFound);
                    }
                }
            }
            StoreResult::Conflict(keys) => {
                for (id, to, _) in asked {
                    // A spec that is there though the watch hasn't shown it
                    // means the same as a known one.
                    if keys.contains(&end_key(&id)) || keys.contains(&spec_key(&id)) {
                        self.read_end(id, to, Absent::Open, out);
                    } else {
                        // Not proven by a failed check: again with the next.
                        self.polls.push_back((id, to));
                    }
                }
                self.check(context, out);
            }
            _ => {
                for (_, to, _) in asked {
                    out.reply(to, Answer::Unavailable(RETRY_STORE_S));
                }
            }
        }
    }

    fn open_status(&self, context: &RequestContext<'_>, id: JobId) -> JobStatus {
        let TaskCounts { done, running } = self.progress.get(&id).copied().unwrap_or_default();
        let stage = if running > 0 { Stage::Running } else { Stage::Queued };
        let waits_on = self.unfinished_dependencies(context, &id);
        JobStatus { id, stage, done, running, waits_on }
    }

    /// The DAG dependencies of a job that this controller still sees
    /// unfinished: their spec is in the replica and no last word is known.
    fn unfinished_dependencies(&self, context: &RequestContext<'_>, id: &JobId) -> Vec<JobId> {
        let Some((record, _)) = context.replica.specs.get(id) else {
            return Vec::new();
        };
        let unfinished = |d: &&JobId| {
            context.replica.specs.contains_key(*d) && !self.terminal_states.contains_key(*d)
        };
        record.spec.dependencies.iter().filter(unfinished).cloned().collect()
    }

    /// Cancellations confirmed since the last call, with their revisions.
    pub fn take_confirmed(&mut self) -> Vec<(JobId, u64)> {
        std::mem::take(&mut self.confirmed)
    }

    /// Keeps a last word that is surely in the store.
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
