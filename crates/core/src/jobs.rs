//! The leader's in-memory state of a job: which tasks have run, are running or may be running.

use crate::consts::*;
use crate::event::Secs;
use crate::facts::Tuning;
use crate::inheritance::Urgency;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::intset::IntSet;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::records::{PART_TASKS, SpecRecord};
use rand::RngExt as _;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod deadlines;

/// The phase of an attempt, from placement to running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Placed on a machine; its start isn't recorded in the store yet.
    Placed,
    /// The start is recorded; the start command hasn't been sent, or is known to be lost.
    Ready,
    /// The start command is in flight.
    Sent,
    /// The worker reports the attempt, but not as running yet.
    Seen,
    /// The worker reports the attempt as running.
    Running,
}

/// An attempt that is running, or may be.
#[derive(Clone, Debug)]
pub struct Live {
    /// The machine that it is placed on.
    pub machine: MachineId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Its current phase.
    pub phase: Phase,
    /// When it was placed.
    pub placed_at: Secs,
    /// When a heartbeat first reported it as running.
    pub ran_from: Option<Secs>,
    /// Set if it is to be stopped: the time that it gets to save its work, seconds.
    pub stop_grace_s: Option<f64>,
    /// When a heartbeat reply last carried its start command.
    pub start_sent_at: Option<Secs>,
    /// A new leader found it running, so its start time is unknown.
    pub adopted: bool,
}

impl Live {
    /// Whether the attempt certainly isn't running and no start command for it is in flight.
    ///
    /// A newer worker report without the task is not sufficient evidence: a heartbeat reply
    /// that carries the start may still be in flight behind the reply to a direct command.
    /// Tasks that were moved because of such a report ran twice.
    pub fn never_sent(&self, now: Secs) -> bool {
        matches!(self.phase, Phase::Placed | Phase::Ready)
            && self
                .start_sent_at
                .is_none_or(|at| now > at + WORKER_REPLY_EXPIRY_S + WORKER_MARGIN_S)
    }
}

/// How an attempt of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task completed.
    Done,
    /// The task failed.
    Error,
    /// The worker refused to start it.
    Refused,
    /// The attempt was stopped, or lost together with its machine.
    Lost,
}

/// A job that has no final state yet.
#[derive(Debug)]
pub struct Job {
    /// The spec as recorded in the store.
    pub record: Arc<SpecRecord>,
    /// Version of the spec's key in the store.
    pub spec_version: u64,
    /// When it was accepted, on this controller's clock; may be before the controller started.
    pub arrived: Secs,
    /// Tasks whose start may already be recorded in the store.
    pub started: IntSet,
    /// Tasks that completed.
    pub finished: IntSet,
    /// The part of `started` that is confirmed to be in the store.
    pub stored_started: IntSet,
    /// The part of `finished` that is confirmed to be in the store.
    pub stored_finished: IntSet,
    /// Numbers of the machines that its tasks may be on.
    pub machines: IntSet,
    /// The part of `machines` that is confirmed to be in the store.
    pub stored_machines: IntSet,
    /// Version of the record of each part ([`PART_TASKS`] tasks); 0 if there is no record.
    pub parts: Vec<u64>,
    /// Attempts that are running or may be, by task number.
    pub live: BTreeMap<u32, Live>,
    /// Tasks recorded as started in an earlier term that no worker has reported yet.
    pub maybe_running: BTreeSet<u32>,
    /// Tasks to retry, each with the earliest time of its next attempt.
    pub retry_at: BTreeMap<u32, Secs>,
    /// Sample tasks that run first, to measure the run time and so the job's size.
    pub pilots: Vec<u32>,
    /// Every task below this number is done, may be running, or is in `retry_at`.
    cursor: u32,
    /// Measured run times: their count and their sum, seconds.
    pub runs: (u32, f64),
    /// The queue that its size puts it in; unknown until the pilots are done.
    pub queue: Option<u8>,
    /// The job is cancelled: all its tasks are stopped and none is started.
    pub cancelled: bool,
    /// Earliest time at which a user may have been told of the cancellation; set only if this
    /// leader knew the job before it was cancelled.
    pub cancelled_at: Option<Secs>,
    /// The job is being offered or transferred to another cell, or runs there: no task of it
    /// is started here.
    pub blocked_by_transfer: bool,
    /// Not offered to other cells before this time, as they refused it. A new leader starts
    /// from zero.
    pub offer_backoff_until: Secs,
    /// The transaction that writes its final state is in flight.
    pub closing: bool,
    /// Some task ran for longer than [`CONSOLIDATE_AGE_S`], the least for a start to count.
    pub start_counted: bool,
    /// An objective states by when jobs of its class should be done.
    pub has_objective: bool,
    /// Seconds within which jobs of its class should be done, if an objective sets such a time
    /// independently of their deadlines.
    pub finish_objective_s: Option<Secs>,
    /// A member of the gang ended because it found the gang incomplete: all tasks must start
    /// again, including those that are done.
    pub restart_whole_gang: bool,
    /// Some job that it names as a DAG dependency is not durably done yet: no task is started,
    /// and the job holds no part of the team's quota or guarantee.
    pub waits_for_dependencies: bool,
    /// When its last dependency was done; the arrival time if it has no dependencies.
    pub ready_since: Secs,
    /// Seconds from `ready_since` within which its tasks should start, if an objective says so.
    pub start_within: Option<Secs>,
    /// Urgency inherited from its dependents.
    inherited: Option<Urgency>,
    /// Machines on which tasks failed since the last success.
    failed_on: BTreeSet<MachineId>,
    /// Number of successes seen; after the first, failures are attributed to the machine.
    successes: u32,
    errors: u32,
    /// No task is started before this time: backoff of a job that fails everywhere.
    not_before: Secs,
}

impl Job {
    /// Creates the state of a job that the watch delivered; `rng` selects its pilots.
    pub fn new(
        record: Arc<SpecRecord>,
        spec_version: u64,
        arrived: Secs,
        tuning: &Tuning,
        rng: &mut impl rand::Rng,
    ) -> Self {
        let spec = &record.spec;
        let mut pilots = Vec::new();
        if spec.kind == Kind::Array && spec.tasks >= tuning.thin_limit {
            let count = ((f64::from(spec.tasks) * tuning.pilot_share) as u32).max(1);
            let mut chosen = BTreeSet::new();
            while (chosen.len() as u32) < count {
                chosen.insert(rng.random_range(0..spec.tasks));
            }
            pilots = chosen.into_iter().collect();
        }
        let queue = if pilots.is_empty() { Some(0) } else { None };
        let parts = vec![0; spec.tasks.div_ceil(PART_TASKS) as usize];
        Self {
            record,
            spec_version,
            arrived,
            started: IntSet::new(),
            finished: IntSet::new(),
            stored_started: IntSet::new(),
            stored_finished: IntSet::new(),
            machines: IntSet::new(),
            stored_machines: IntSet::new(),
            parts,
            live: BTreeMap::new(),
            maybe_running: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            pilots,
            cursor: 0,
            runs: (0, 0.0),
            queue,
            cancelled: false,
            cancelled_at: None,
            blocked_by_transfer: false,
            offer_backoff_until: 0.0,
            closing: false,
            start_counted: false,
            has_objective: false,
            finish_objective_s: None,
            restart_whole_gang: false,
            waits_for_dependencies: false,
            ready_since: arrived,
            start_within: None,
            inherited: None,
            failed_on: BTreeSet::new(),
            successes: 0,
            errors: 0,
            not_before: 0.0,
        }
    }

    /// The job's spec.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// Time that an evicted task gets to save its work, seconds.
    pub fn eviction_grace(&self) -> Secs {
        self.spec().save_s * SAVE_GRACE
    }

    /// Whether all tasks completed; a service never completes.
    pub fn complete(&self) -> bool {
        self.spec().kind != Kind::Service && self.finished.len() == self.spec().tasks
    }

    /// Whether the job is spare-capacity work: a low-priority array that only runs on capacity
    /// that no other job needs, and waits for cheap machines. A job whose class has an
    /// objective on when it should be done is not.
    pub fn is_spare_capacity_work(&self) -> bool {
        let s = self.spec();
        s.kind == Kind::Array && self.priority() == Priority::Low && !self.has_objective
    }

    /// Whether the job is spare-capacity work that may only use spot machines because it has
    /// waited for less than [`SPARE_LATEST_S`].
    pub fn spot_only(&self, now: Secs) -> bool {
        self.is_spare_capacity_work() && self.spec().spot && now - self.arrived < SPARE_LATEST_S
    }

    /// Work that would be lost if the attempt ended now, seconds: what it did since its last
    /// checkpoint. An attempt that a new leader found running counts as half done.
    pub fn lost_work_s(&self, live: &Live, now: Secs) -> Secs {
        let Some(from) = live.ran_from else { return 0.0 };
        let before = if live.adopted { self.likely_run() / 2.0 } else { 0.0 };
        let ran = now - from + before;
        let every = self.spec().checkpoint_s;
        if every <= 0.0 {
            ran
        } else if live.adopted {
            ran.min(every / 2.0)
        } else {
            ran % every
        }
    }

    /// Whether task `n` may be started: it is neither done nor running, and no attempt
    /// of it may be.
    fn startable(&self, n: u32) -> bool {
        !self.finished.contains(n)
            && !self.live.contains_key(&n)
            && !self.maybe_running.contains(&n)
    }

    /// The tasks of a gang that must start together; empty if it may not start now.
    pub fn gang_members(&self, now: Secs) -> Vec<u32> {
        let free = self.live.is_empty() && self.maybe_running.is_empty() && self.may_start(now);
        if !free || self.complete() || self.retry_at.values().any(|&at| at > now) {
            return Vec::new();
        }
        (0..self.spec().tasks)
            .filter(|n| self.restart_whole_gang || !self.finished.contains(*n))
            .collect()
    }

    /// The next pilot that may start now.
    pub fn next_pilot(&mut self, now: Secs) -> Option<u32> {
        if !self.may_start(now) {
            return None;
        }
        let ready =
            |n: &u32| self.startable(*n) && self.retry_at.get(n).is_none_or(|&at| at <= now);
        self.pilots.iter().copied().find(ready)
    }

    /// The next task that may start now, pilots included.
    pub fn next_task(&mut self, now: Secs) -> Option<u32> {
        if !self.may_start(now) {
            return None;
        }
        if let Some((&n, _)) =
            self.retry_at.iter().find(|&(&n, &at)| at <= now && self.startable(n))
        {
            return Some(n);
        }
        while self.cursor < self.spec().tasks {
            let n = self.cursor;
            if self.startable(n) && !self.retry_at.contains_key(&n) {
                return Some(n);
            }
            self.cursor += 1;
        }
        None
    }

    fn may_start(&self, now: Secs) -> bool {
        if self.cancelled
            || self.blocked_by_transfer
            || self.closing
            || self.waits_for_dependencies
            || now < self.not_before
        {
            return false;
        }
        // A job suspected to be broken keeps retrying, with `BROKEN_JOB_TASKS` tasks at a time.
        !(self.suspected_broken() && self.live.len() >= BROKEN_JOB_TASKS)
    }

    /// Whether the job itself is suspected to be broken: it failed on at least
    /// [`BROKEN_JOB_MACHINES`] machines and succeeded on none.
    pub fn suspected_broken(&self) -> bool {
        !self.has_succeeded() && self.failed_on.len() >= BROKEN_JOB_MACHINES
    }

    /// Whether some task is known to have succeeded, under this leader or an earlier one.
    pub fn has_succeeded(&self) -> bool {
        self.successes > 0 || !self.finished.is_empty()
    }

    /// Whether the job's last remaining attempt is exempt from eviction, however little it would
    /// lose. This holds for spare-capacity work of which no task has run for long: in a full
    /// fleet each attempt would be evicted as the youngest, and users would never see the job
    /// start.
    pub fn exempt_from_eviction(&self, now: Secs) -> bool {
        self.is_spare_capacity_work()
            && !self.start_counted
            && self.finished.is_empty()
            && self.live.values().filter(|l| l.stop_grace_s.is_none()).count() <= 1
            && now - self.arrived < SPARE_LATEST_S
    }

    /// Notes that a task has run for `run` seconds.
    ///
    /// A service never completes, so a replica that ran for longer than [`SERVICE_ESTABLISHED_S`]
    /// counts as a success. Otherwise two machine failures in the service's lifetime would make it
    /// look broken, and lost replicas would not be replaced while the others serve.
    pub fn note_run_time(&mut self, run: Secs) {
        self.start_counted |= run > CONSOLIDATE_AGE_S;
        if self.spec().kind == Kind::Service && run > SERVICE_ESTABLISHED_S {
            self.successes = self.successes.max(1);
            self.failed_on.clear();
        }
    }

    /// Machines on which tasks failed, while no task has succeeded anywhere: the fault may be
    /// the job's or the machine's.
    pub fn unattributed_failures(&self) -> Vec<MachineId> {
        if self.has_succeeded() { Vec::new() } else { self.failed_on.iter().cloned().collect() }
    }

    /// Whether tasks of the job failed on this machine since the last success.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.failed_on.contains(machine)
    }

    /// Number of tasks reported as running.
    pub fn running(&self) -> u32 {
        self.live.values().filter(|live| live.phase == Phase::Running).count() as u32
    }

    /// Number of tasks that wait to start, including those in backoff; those with an
    /// unconfirmed start are not counted.
    pub fn waiting(&self) -> u32 {
        if self.cancelled || self.blocked_by_transfer || self.closing || self.waits_for_dependencies
        {
            return 0;
        }
        let busy = self.finished.len() + self.live.len() as u32 + self.maybe_running.len() as u32;
        self.spec().tasks.saturating_sub(busy)
    }

    /// Mean of the measured run times, if there are any.
    pub fn mean_run(&self) -> Option<f64> {
        (self.runs.0 > 0).then(|| self.runs.1 / f64::from(self.runs.0))
    }

    /// Expected run time of a task, seconds: the measured mean, else the user's estimate, else
    /// a default.
    pub fn likely_run(&self) -> f64 {
        let guess = self.spec().estimate_s;
        self.mean_run().unwrap_or(if guess > 0.0 { guess } else { DEFAULT_RUN_S })
    }

    /// Marks task `n` as placed. For an array, the next [`START_AHEAD`] tasks are marked as
    /// started too, so that one write records them all.
    pub fn place(&mut self, n: u32, live: Live, machine: u32) {
        self.machines.insert(machine);
        self.retry_at.remove(&n);
        self.live.insert(n, live);
        if self.started.insert(n) && self.spec().kind == Kind::Array {
            let ahead = (n + 1)..self.spec().tasks.min(n + 1 + START_AHEAD);
            for m in ahead {
                self.started.insert(m);
            }
        }
    }

    /// Removes an attempt that has certainly ended, and schedules a retry unless it is done.
    pub fn end_attempt(&mut self, n: u32, outcome: Outcome, now: Secs) {
        let Some(live) = self.live.remove(&n) else {
            if outcome == Outcome::Done {
                self.maybe_running.remove(&n);
                self.retry_at.remove(&n);
                self.finished.insert(n);
            }
            return;
        };
        match outcome {
            Outcome::Done => {
                self.finished.insert(n);
                self.successes += 1;
                self.failed_on.clear();
                // Of an adopted attempt only the run time after the takeover is known.
                // Counted as whole runs, these made jobs look a fifth of their size.
                if let Some(from) = live.ran_from.filter(|_| !live.adopted) {
                    self.record_run_time(now - from);
                }
            }
            Outcome::Error => {
                // The run time of a failed task is not a sample of the job's size.
                self.errors += 1;
                self.failed_on.insert(live.machine);
                let wait = ERROR_BACKOFF_S * f64::from(1u32 << self.errors.min(6));
                let until = now + wait.min(ERROR_BACKOFF_MAX_S);
                self.retry_at.insert(n, until);
                if self.suspected_broken() {
                    self.not_before = until;
                }
            }
            Outcome::Refused => {
                self.retry_at.insert(n, now + REFUSED_BACKOFF_S);
            }
            Outcome::Lost => {
                self.retry_at.insert(n, now);
            }
        }
    }

    fn record_run_time(&mut self, run: f64) {
        if self.runs.0 >= MEAN_SAMPLES {
            return;
        }
        self.runs.0 += 1;
        self.runs.1 += run;
        let pilots_done = self.pilots.iter().all(|p| self.finished.contains(*p));
        if self.queue.is_none() && pilots_done || self.queue.is_some() && !self.pilots.is_empty() {
            self.queue = Some(queue_for_size(
                self.runs.1 / f64::from(self.runs.0) * f64::from(self.spec().tasks),
            ));
        }
    }

    /// Whether the store has a record of task `n` as started and of that machine's number.
    pub fn start_recorded(&self, n: u32, machine: u32) -> bool {
        self.stored_started.contains(n) && self.stored_machines.contains(machine)
    }

    /// The tasks of a part: number of the first, and how many.
    pub fn part_range(part: u32) -> (u32, u32) {
        (part * PART_TASKS, PART_TASKS)
    }
}

/// Jobs without a final state, by id.
pub type Jobs = BTreeMap<JobId, Job>;

/// The attempt of a task that is running, or may be.
pub fn live_attempt<'a>(jobs: &'a Jobs, task: &TaskId) -> Option<&'a Live> {
    jobs.get(&task.job)?.live.get(&task.index)
}

/// Mutable access to the attempt that [`live_attempt`] returns.
pub fn live_attempt_mut<'a>(jobs: &'a mut Jobs, task: &TaskId) -> Option<&'a mut Live> {
    jobs.get_mut(&task.job)?.live.get_mut(&task.index)
}

/// The queue for a job of `size_s` task-seconds, as in section 5.1.1 of the paper that the
/// queues follow.
pub fn queue_for_size(size_s: f64) -> u8 {
    let mut bound = TOP_BOUND_S;
    for q in 0..QUEUES - 1 {
        if size_s <= bound {
            return q as u8;
        }
        bound *= QUEUE_GROWTH;
    }
    (QUEUES - 1) as u8
}

#[cfg(test)]
#[path = "tests/jobs.rs"]
mod tests;
