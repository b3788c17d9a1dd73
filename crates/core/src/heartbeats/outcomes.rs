//! Tasks that ended: what it says of the task, its job and its machine.

use crate::consts::SLOW_FACTOR;
use crate::event::Secs;
use crate::jobs::{Job, Outcome, live_attempt_mut};
use crate::leader::Leader;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::wire::Why;

/// Ended tasks of a job from which on one that takes much longer is slow.
const SLOW_LEAST_SAMPLES: u32 = 2;

/// How long an attempt ran, among others of its job.
struct RunTime {
    /// Seconds, if its beginning was seen.
    run: Option<Secs>,
    /// Mean of the job's tasks that ended before, seconds.
    mean: Option<Secs>,
    /// How many these are.
    samples: u32,
}

impl RunTime {
    fn of(job: &Job, index: u32, now: Secs) -> Self {
        let seen_from_start = job.live.get(&index).filter(|live| !live.adopted);
        let run = seen_from_start.and_then(|live| live.ran_from).map(|from| now - from);
        Self { run, mean: job.mean_run(), samples: job.runs.0 }
    }

    /// Whether it took much longer than the others, if that can be told.
    fn is_slow(&self) -> Option<bool> {
        let (run, mean) = (self.run?, self.mean?);
        (self.samples >= SLOW_LEAST_SAMPLES).then_some(run > mean * SLOW_FACTOR)
    }
}

/// What the end of a task says of its machine.
struct Verdict {
    outcome: Outcome,
    why: Why,
    /// The job has succeeded before, so that a failure speaks of the machine.
    job_is_sound: bool,
    run_time: RunTime,
}

fn outcome_of(why: Why) -> Outcome {
    match why {
        Why::Done => Outcome::Done,
        Why::Error => Outcome::Error,
        Why::NoRoom | Why::Busy | Why::Unknown => Outcome::Refused,
        Why::Stopped | Why::Peers | Why::Alone | Why::Other => Outcome::Lost,
    }
}

impl Leader {
    /// A worker lists a task as ended. `booked`: it is the attempt that is booked there.
    pub(super) fn task_ended(
        &mut self,
        now: Secs,
        id: &MachineId,
        task: &TaskId,
        why: Why,
        booked: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let run_time = RunTime::of(job, task.index, now);
        let outcome = outcome_of(why);
        if why == Why::Alone {
            job.whole_gang = true;
        }
        if booked && outcome != Outcome::Done && job.spec().kind == Kind::Gang {
            self.stop_gang(&task.job, task.index);
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        // It can succeed: its failures so far were the machines'. Until then they say
        // nothing: jobs submitted with a mistake fail everywhere, and many of them once would
        // have had sound machines returned.
        let faulty = if outcome == Outcome::Done { job.unexplained() } else { Vec::new() };
        let verdict = Verdict { outcome, why, job_is_sound: job.sound(), run_time };
        self.book_outcome(now, task, outcome, booked);
        for other in faulty {
            if let Some(machine) = self.machines.get_mut(&other) {
                machine.errors += 1;
            }
        }
        if booked {
            self.judge_machine(id, task, &verdict);
        }
    }

    /// A result counts whichever attempt it is from; any other end only of the one booked.
    fn book_outcome(&mut self, now: Secs, task: &TaskId, outcome: Outcome, booked: bool) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_result = outcome == Outcome::Done && !job.finished.contains(task.index);
        if is_result && !booked {
            self.stop_duplicate(task);
        }
        if is_result || booked {
            self.over(&task.job, task.index, outcome, now);
        }
    }

    /// The result is here; the other attempt is of no more use.
    fn stop_duplicate(&mut self, task: &TaskId) {
        let live = live_attempt_mut(&mut self.jobs, task);
        let Some(live) = live else { return };
        live.stop = Some(0.0);
        if let Some(machine) = self.machines.get_mut(&live.machine) {
            machine.strangers.insert((task.clone(), live.attempt));
            machine.push = true;
        }
    }

    /// Counts what an end says of the machine: failures, and tasks in a row that ran slowly.
    fn judge_machine(&mut self, id: &MachineId, task: &TaskId, verdict: &Verdict) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        match verdict.outcome {
            Outcome::Done => {
                machine.errors = 0;
                // A machine that takes much longer than others for the same job is slow,
                // whatever the job.
                if let Some(slow) = verdict.run_time.is_slow() {
                    machine.slow = if slow { machine.slow + 1 } else { 0 };
                }
            }
            Outcome::Error => {
                machine.errors += u32::from(verdict.job_is_sound);
                self.log.push(|| format!("event=failed task={task} machine={id}"));
            }
            Outcome::Refused => {
                let why = verdict.why;
                self.log.push(|| format!("event=refused task={task} machine={id} why={why:?}"));
            }
            Outcome::Lost => {}
        }
    }

    /// A gang runs whole or not at all: the others end too, saving if they can, and it is
    /// placed again when all are gone.
    fn stop_gang(&mut self, id: &JobId, lost: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let grace = job.eviction_grace();
        for (_, live) in job.live.iter_mut().filter(|(n, l)| **n != lost && l.stop.is_none()) {
            live.stop = Some(grace);
            if let Some(machine) = self.machines.get_mut(&live.machine) {
                machine.push = true;
            }
        }
    }
}
