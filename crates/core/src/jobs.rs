//! The leader's picture of a job: which tasks ran, run or may run.

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

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Placed; its start isn't recorded yet.
    Placed,
    /// Recorded; the command isn't sent, or was surely lost.
    Ready,
    /// The command is on its way.
    Sent,
    /// The worker reports it.
    Seen,
    /// It runs.
    Running,
}

/// An attempt that runs, or may run.
#[derive(Clone, Debug)]
pub struct Live {
    /// Where.
    pub machine: MachineId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Where it stands.
    pub phase: Phase,
    /// When it was placed.
    pub since: Secs,
    /// When it was first seen running.
    pub ran_from: Option<Secs>,
    /// A direct command to start it went unanswered and may yet arrive.
    pub unconfirmed: bool,
    /// It is to stop, with this much time to save.
    pub stop: Option<f64>,
    /// When an answer to a heartbeat last carried its start.
    pub sent: Option<Secs>,
    /// Found running by a new leader: when it began is not known.
    pub adopted: bool,
}

impl Live {
    /// Whether it surely doesn't run and no start of it is on its way. (A newer
    /// list without it is not enough: an answer that carries its start may
    /// still be on its way behind a direct command's. Tasks moved on such a
    /// list once ran twice.)
    pub fn never_sent(&self, now: Secs) -> bool {
        matches!(self.phase, Phase::Placed | Phase::Ready)
            && !self.unconfirmed
            && self.sent.is_none_or(|at| now > at + WORKER_DROPS_S + WORKER_MARGIN_S)
    }
}

/// Why a task came to an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Completed.
    Done,
    /// Failed.
    Error,
    /// The worker would not start it.
    Refused,
    /// Stopped or lost with its machine.
    Lost,
}

/// A job that isn't over.
#[derive(Debug)]
pub struct Job {
    /// Its spec.
    pub record: Arc<SpecRecord>,
    /// Version of the spec's key.
    pub spec_version: u64,
    /// When it was accepted, on our clock (may be before our start).
    pub arrived: Secs,
    /// Tasks whose start may have been recorded.
    pub started: IntSet,
    /// Tasks that completed.
    pub finished: IntSet,
    /// As `started`, but surely in the store.
    pub stored_started: IntSet,
    /// As `finished`, but surely in the store.
    pub stored_finished: IntSet,
    /// Machines that its tasks may be on, by number.
    pub machines: IntSet,
    /// As `machines`, but surely in the store.
    pub stored_machines: IntSet,
    /// Version of each part's record; 0: none.
    pub parts: Vec<u64>,
    /// Attempts that run or may run.
    pub live: BTreeMap<u32, Live>,
    /// Started under an earlier term, not found yet.
    pub maybe_running: BTreeSet<u32>,
    /// Tasks to run again, not before that time.
    pub again: BTreeMap<u32, Secs>,
    /// Pilots.
    pub pilots: Vec<u32>,
    cursor: u32,
    /// Run times seen: count and sum.
    pub runs: (u32, f64),
    /// The queue, once known.
    pub queue: Option<u8>,
    /// Cancelled: stop all, start nothing.
    pub cancelled: bool,
    /// No user was told of the cancellation before then; known if this leader knew the job
    /// before it was cancelled.
    pub cancelled_at: Option<Secs>,
    /// Offered to another cell, or there, or about to be: start nothing.
    pub away: bool,
    /// Other cells refused it: not offered again before, seconds. The next leader begins anew.
    pub rests_until: Secs,
    /// Its last transaction is under way.
    pub closing: bool,
    /// Some task of it ran for longer than a start must to count.
    pub rooted: bool,
    /// An aim says by when jobs of its class should be done.
    pub aimed: bool,
    /// Within how many seconds, if an aim says so whatever their deadlines.
    pub finish_s: Option<Secs>,
    /// A gang found itself incomplete: the tasks that are done are needed too.
    pub whole_gang: bool,
    /// Some job it names as a DAG dependency is not durably done yet: start nothing,
    /// and hold no part of the team's quota or guarantee.
    pub waits_for_dependencies: bool,
    /// When the last job that it needs was done; when it arrived, if it needs none.
    pub ready_since: Secs,
    /// Its tasks should start within so many seconds from then, if an objective says so.
    pub start_within: Option<Secs>,
    /// What the jobs that need it pass on.
    inherited: Option<Urgency>,
    failed_on: BTreeSet<MachineId>,
    /// Some task of it completed, so that what fails of it speaks of the machine.
    successes: u32,
    errors: u32,
    not_before: Secs,
}

impl Job {
    /// A job as the watch brings it.
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
            again: BTreeMap::new(),
            pilots,
            cursor: 0,
            runs: (0, 0.0),
            queue,
            cancelled: false,
            cancelled_at: None,
            away: false,
            rests_until: 0.0,
            closing: false,
            rooted: false,
            aimed: false,
            finish_s: None,
            whole_gang: false,
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

    /// Its spec.
    pub fn spec(&self) -> &JobSpec {
        &self.record.spec
    }

    /// How much time a task that is evicted gets to save its work, seconds.
    pub fn eviction_grace(&self) -> Secs {
        self.spec().save_s * SAVE_GRACE
    }

    /// Whether all tasks completed.
    pub fn complete(&self) -> bool {
        self.spec().kind != Kind::Service && self.finished.len() == self.spec().tasks
    }

    /// Work for spare capacity: an array that runs when nothing else wants the room,
    /// and that is done where it is cheap, or not yet. Not so where an aim says by
    /// when it should be done.
    pub fn spare(&self) -> bool {
        let s = self.spec();
        s.kind == Kind::Array && self.priority() == Priority::Low && !self.aimed
    }

    /// Work for spare capacity that waits for spot machines, as it hasn't waited for
    /// very long yet.
    pub fn cheap_only(&self, now: Secs) -> bool {
        self.spare() && self.spec().spot && now - self.arrived < SPARE_LATEST_S
    }

    /// What would be lost if an attempt ended now, seconds of its work: what it did
    /// since it last saved. What a new leader found running counts as half done.
    pub fn loses(&self, live: &Live, now: Secs) -> Secs {
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

    /// Whether `n` may be started: not done, not running, no unconfirmed start.
    fn startable(&self, n: u32) -> bool {
        !self.finished.contains(n)
            && !self.live.contains_key(&n)
            && !self.maybe_running.contains(&n)
    }

    /// All tasks of a gang that are to start together, if it may start.
    pub fn gang_members(&self, now: Secs) -> Vec<u32> {
        let free = self.live.is_empty() && self.maybe_running.is_empty() && self.may_start(now);
        if !free || self.complete() || self.again.values().any(|&at| at > now) {
            return Vec::new();
        }
        (0..self.spec().tasks).filter(|n| self.whole_gang || !self.finished.contains(*n)).collect()
    }

    /// The next pilot that waits.
    pub fn next_pilot(&mut self, now: Secs) -> Option<u32> {
        if !self.may_start(now) {
            return None;
        }
        let ready = |n: &u32| self.startable(*n) && self.again.get(n).is_none_or(|&at| at <= now);
        self.pilots.iter().copied().find(ready)
    }

    /// The next task that waits, pilots included.
    pub fn next_task(&mut self, now: Secs) -> Option<u32> {
        if !self.may_start(now) {
            return None;
        }
        if let Some((&n, _)) = self.again.iter().find(|&(&n, &at)| at <= now && self.startable(n)) {
            return Some(n);
        }
        while self.cursor < self.spec().tasks {
            let n = self.cursor;
            if self.startable(n) && !self.again.contains_key(&n) {
                return Some(n);
            }
            self.cursor += 1;
        }
        None
    }

    fn may_start(&self, now: Secs) -> bool {
        if self.cancelled
            || self.away
            || self.closing
            || self.waits_for_dependencies
            || now < self.not_before
        {
            return false;
        }
        // Taken for mistaken: one task at a time goes on trying.
        !(self.mistaken() && self.live.len() >= BAD_JOB_TASKS)
    }

    /// Whether it looks submitted with a mistake: failed on several machines
    /// and succeeded on none.
    pub fn mistaken(&self) -> bool {
        !self.sound() && self.failed_on.len() >= BAD_JOB_MACHINES
    }

    /// Whether it was seen to succeed, under whatever leader.
    pub fn sound(&self) -> bool {
        self.successes > 0 || !self.finished.is_empty()
    }

    /// Whether this attempt is to be left alone, whatever it loses: of idle work of
    /// which nothing ever ran for long, one attempt is, or in a full fleet each
    /// would be stopped as the youngest, and its users would never see it begin.
    pub fn keeps(&self, now: Secs) -> bool {
        self.spare()
            && !self.rooted
            && self.finished.is_empty()
            && self.live.values().filter(|l| l.stop.is_none()).count() <= 1
            && now - self.arrived < SPARE_LATEST_S
    }

    /// A task of it has run for so long. A service never completes, but one that
    /// serves is sound: two machines that failed under it in its life once would
    /// have kept its lost replicas away while the others served.
    pub fn ran_for(&mut self, run: Secs) {
        self.rooted |= run > CONSOLIDATE_AGE_S;
        if self.spec().kind == Kind::Service && run > SERVES_S {
            self.successes = self.successes.max(1);
            self.failed_on.clear();
        }
    }

    /// Machines on which it failed while it had succeeded nowhere.
    pub fn unexplained(&self) -> Vec<MachineId> {
        if self.sound() { Vec::new() } else { self.failed_on.iter().cloned().collect() }
    }

    /// Whether it failed on this machine.
    pub fn avoids(&self, machine: &MachineId) -> bool {
        self.failed_on.contains(machine)
    }

    /// Tasks that are seen to run.
    pub fn running(&self) -> u32 {
        self.live.values().filter(|live| live.phase == Phase::Running).count() as u32
    }

    /// Tasks that wait, backoffs and unconfirmed starts included.
    pub fn waiting(&self) -> u32 {
        if self.cancelled || self.away || self.closing || self.waits_for_dependencies {
            return 0;
        }
        let busy = self.finished.len() + self.live.len() as u32 + self.maybe_running.len() as u32;
        self.spec().tasks.saturating_sub(busy)
    }

    /// Mean run time, if any was seen.
    pub fn mean_run(&self) -> Option<f64> {
        (self.runs.0 > 0).then(|| self.runs.1 / f64::from(self.runs.0))
    }

    /// What a task probably takes, seconds.
    pub fn likely_run(&self) -> f64 {
        let guess = self.spec().estimate_s;
        self.mean_run().unwrap_or(if guess > 0.0 { guess } else { DEFAULT_RUN_S })
    }

    /// Takes a task as placed; records ahead a few that come next.
    pub fn place(&mut self, n: u32, live: Live, machine: u32) {
        self.machines.insert(machine);
        self.again.remove(&n);
        self.live.insert(n, live);
        if self.started.insert(n) && self.spec().kind == Kind::Array {
            let ahead = (n + 1)..self.spec().tasks.min(n + 1 + START_AHEAD);
            for m in ahead {
                self.started.insert(m);
            }
        }
    }

    /// An attempt is surely over.
    pub fn over(&mut self, n: u32, outcome: Outcome, now: Secs) {
        let Some(live) = self.live.remove(&n) else {
            if outcome == Outcome::Done {
                self.maybe_running.remove(&n);
                self.again.remove(&n);
                self.finished.insert(n);
            }
            return;
        };
        match outcome {
            Outcome::Done => {
                self.finished.insert(n);
                self.successes += 1;
                self.failed_on.clear();
                // The rest of a run that a takeover fell into says little of
                // the whole: taken for whole ones, such rests once made jobs
                // look a fifth of their size.
                if let Some(from) = live.ran_from.filter(|_| !live.adopted) {
                    self.measure(now - from);
                }
            }
            Outcome::Error => {
                // A pilot that fails in seconds says nothing of the job's size.
                self.errors += 1;
                self.failed_on.insert(live.machine);
                let wait = ERROR_BACKOFF_S * f64::from(1u32 << self.errors.min(6));
                let until = now + wait.min(ERROR_BACKOFF_MAX_S);
                self.again.insert(n, until);
                if self.mistaken() {
                    self.not_before = until;
                }
            }
            Outcome::Refused => {
                self.again.insert(n, now + REFUSED_BACKOFF_S);
            }
            Outcome::Lost => {
                self.again.insert(n, now);
            }
        }
    }

    fn measure(&mut self, run: f64) {
        if self.runs.0 >= MEAN_SAMPLES {
            return;
        }
        self.runs.0 += 1;
        self.runs.1 += run;
        let pilots_done = self.pilots.iter().all(|p| self.finished.contains(*p));
        if self.queue.is_none() && pilots_done || self.queue.is_some() && !self.pilots.is_empty() {
            self.queue =
                Some(queue_of(self.runs.1 / f64::from(self.runs.0) * f64::from(self.spec().tasks)));
        }
    }

    /// Whether the start of task `n` on the machine of that number is recorded.
    pub fn start_recorded(&self, n: u32, machine: u32) -> bool {
        self.stored_started.contains(n) && self.stored_machines.contains(machine)
    }

    /// Tasks of a part, as its first number and count.
    pub fn part_range(part: u32) -> (u32, u32) {
        (part * PART_TASKS, PART_TASKS)
    }
}

/// The jobs that aren't over, by id.
pub type Jobs = BTreeMap<JobId, Job>;

/// The attempt of a task that runs or may run.
pub fn live_attempt<'a>(jobs: &'a Jobs, task: &TaskId) -> Option<&'a Live> {
    jobs.get(&task.job)?.live.get(&task.index)
}

/// The same, to be changed.
pub fn live_attempt_mut<'a>(jobs: &'a mut Jobs, task: &TaskId) -> Option<&'a mut Live> {
    jobs.get_mut(&task.job)?.live.get_mut(&task.index)
}

/// The queue of a job of that size, task-seconds (the paper's section 5.1.1).
pub fn queue_of(size_s: f64) -> u8 {
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
