//! Handling of tasks that ended: the effect on the task, its job and its machine.

use crate::consts::SLOW_FACTOR;
use crate::event::Secs;
use crate::jobs::{Job, Outcome, live_attempt_mut};
use crate::leader::Leader;
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::wire::EndReason;

/// How many tasks of a job must have ended before a much slower one counts as slow.
const SLOW_SAMPLES_MIN: u32 = 2;

/// The run time of an attempt, compared with the other tasks of its job.
struct RunTime {
    /// How long the attempt ran, seconds; `None` if its start wasn't observed.
    run: Option<Secs>,
    /// Mean run time of the job's tasks that ended before, seconds.
    mean: Option<Secs>,
    /// The number of tasks in that mean.
    samples: u32,
}

impl RunTime {
    fn of(job: &Job, index: u32, now: Secs) -> Self {
        let seen_from_start = job.live.get(&index).filter(|live| !live.adopted);
        let run = seen_from_start.and_then(|live| live.ran_from).map(|from| now - from);
        Self { run, mean: job.mean_run(), samples: job.runs.0 }
    }

    /// Whether the attempt took much longer than the others; `None` if there is too little data.
    fn is_slow(&self) -> Option<bool> {
        let (run, mean) = (self.run?, self.mean?);
        (self.samples >= SLOW_SAMPLES_MIN).then_some(run > mean * SLOW_FACTOR)
    }
}

/// The end of a task, as far as it concerns its machine.
struct TaskEnd {
    outcome: Outcome,
    why: EndReason,
    /// Whether the job has succeeded before, so that a failure indicates a fault of the machine.
    job_has_succeeded: bool,
    run_time: RunTime,
}

fn outcome_of(why: EndReason) -> Outcome {
    match why {
        EndReason::Done => Outcome::Done,
        EndReason::Error => Outcome::Error,
        EndReason::NoRoom | EndReason::Busy | EndReason::Unknown => Outcome::Refused,
        EndReason::Stopped | EndReason::Peers | EndReason::Alone | EndReason::Other => {
            Outcome::Lost
        }
    }
}

impl Leader {
    /// Handles a task that a worker lists as ended. `placed` states that this is the attempt
    /// currently placed on the machine.
    pub(super) fn task_ended(
        &mut self,
        now: Secs,
        id: &MachineId,
        task: &TaskId,
        why: EndReason,
        placed: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let run_time = RunTime::of(job, task.index, now);
        let outcome = outcome_of(why);
        if why == EndReason::Alone {
            job.restart_whole_gang = true;
        }
        if placed && outcome != Outcome::Done && job.spec().kind == Kind::Gang {
            self.stop_gang(&task.job, task.index);
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        // The job has now succeeded, so its earlier failures were faults of the machines. Until
        // then failures aren't attributed: jobs submitted with a mistake fail everywhere, and many
        // of them would have caused sound machines to be returned.
        let faulty =
            if outcome == Outcome::Done { job.unattributed_failures() } else { Vec::new() };
        let end = TaskEnd { outcome, why, job_has_succeeded: job.has_succeeded(), run_time };
        self.record_outcome(now, task, outcome, placed);
        for other in faulty {
            if let Some(machine) = self.machines.get_mut(&other) {
                machine.error_streak += 1;
            }
        }
        if placed {
            self.update_machine_health(id, task, &end);
        }
    }

    /// Records the end of an attempt. A success counts from any attempt, any other outcome only
    /// from the one currently placed.
    fn record_outcome(&mut self, now: Secs, task: &TaskId, outcome: Outcome, placed: bool) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let is_result = outcome == Outcome::Done && !job.finished.contains(task.index);
        if is_result && !placed {
            self.stop_duplicate(task);
        }
        if is_result || placed {
            self.end_attempt(&task.job, task.index, outcome, now);
        }
    }

    /// Stops the placed attempt of a task of which another attempt succeeded.
    fn stop_duplicate(&mut self, task: &TaskId) {
        let live = live_attempt_mut(&mut self.jobs, task);
        let Some(live) = live else { return };
        live.stop_grace_s = Some(0.0);
        if let Some(machine) = self.machines.get_mut(&live.machine) {
            machine.unknown_attempts.insert((task.clone(), live.attempt));
            machine.direct_send_due = true;
        }
    }

    /// Updates the machine's count of failures and of consecutive slow tasks.
    fn update_machine_health(&mut self, id: &MachineId, task: &TaskId, end: &TaskEnd) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        match end.outcome {
            Outcome::Done => {
                machine.error_streak = 0;
                // A machine that takes much longer than others for the same job is slow, whichever
                // job that is.
                if let Some(slow) = end.run_time.is_slow() {
                    machine.slow_streak = if slow { machine.slow_streak + 1 } else { 0 };
                }
            }
            Outcome::Error => {
                machine.error_streak += u32::from(end.job_has_succeeded);
                self.log.debug(|| format!("event=failed task={task} machine={id}"));
            }
            Outcome::Refused => {
                let why = end.why;
                self.log.debug(|| format!("event=refused task={task} machine={id} why={why:?}"));
            }
            Outcome::Lost => {}
        }
    }

    /// Stops the other tasks of a gang that lost one, with a grace period to save their work: a
    /// gang runs whole or not at all. It is placed again when all its tasks are gone.
    fn stop_gang(&mut self, id: &JobId, lost_index: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let grace = job.eviction_grace();
        for (_, live) in
            job.live.iter_mut().filter(|(n, l)| **n != lost_index && l.stop_grace_s.is_none())
        {
            live.stop_grace_s = Some(grace);
            if let Some(machine) = self.machines.get_mut(&live.machine) {
                machine.direct_send_due = true;
            }
        }
    }
}
