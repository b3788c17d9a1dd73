//! Selection of the tasks to preempt.

use crate::consts::{AMOUNT_TOLERANCE, GUARANTEE_LOSS_S};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Live, Phase};
use crate::leader::Leader;
use crate::place::{PreemptionReason, SchedulingPass, fits};
use marblebarrow_proto::ids::TaskId;
use marblebarrow_proto::job::{JobSpec, Kind};

/// The job that tasks are preempted for, and the rule that permits it.
pub(super) struct Preemptor<'a> {
    pub(super) job: &'a Job,
    pub(super) reason: PreemptionReason,
}

/// The tasks to preempt on one machine.
pub(super) struct Victims {
    pub(super) tasks: Vec<TaskId>,
    /// Work lost by stopping them, in CPU-seconds.
    pub(super) lost: f64,
}

/// A task that may be preempted.
struct Victim {
    task: TaskId,
    /// Work lost by stopping it, in seconds.
    lost: Secs,
    /// CPUs, GPUs and memory (GB) that stopping it frees.
    frees: [f64; 3],
}

/// Whether an attempt can be stopped in favour of another task and is certain to be gone soon.
pub(super) fn is_stoppable(live: &Live, now: Secs) -> bool {
    let confirmed = live.never_sent(now) || matches!(live.phase, Phase::Seen | Phase::Running);
    live.stop_grace_s.is_none() && confirmed
}

impl Leader {
    /// Selects the tasks on the machine to preempt so that a task of the preemptor fits, those that
    /// lose the least work first. `None` if preemption doesn't free enough capacity.
    pub(super) fn choose_victims(
        &self,
        pass: &SchedulingPass,
        machine: &Machine,
        preemptor: &Preemptor,
    ) -> Option<Victims> {
        let spec = preemptor.job.spec();
        let mut candidates: Vec<Victim> =
            machine.tasks.iter().filter_map(|task| self.victim(pass, task, preemptor)).collect();
        candidates.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        let mut free = machine.free();
        let mut chosen = Victims { tasks: Vec::new(), lost: 0.0 };
        for victim in candidates {
            if fits(spec, &free) {
                break;
            }
            (0..3).for_each(|i| free[i] += victim.frees[i]);
            chosen.lost += victim.lost * victim.frees[0];
            chosen.tasks.push(victim.task);
        }
        fits(spec, &free).then_some(chosen)
    }

    /// Describes the task as a victim; `None` if it may not be preempted.
    fn victim(
        &self,
        pass: &SchedulingPass,
        task: &TaskId,
        preemptor: &Preemptor,
    ) -> Option<Victim> {
        let job = self.jobs.get(&task.job)?;
        let live = job.live.get(&task.index)?;
        let spec = job.spec();
        let preemptible = self.is_preemptible_by(pass, job, live, preemptor)
            && spec.kind == Kind::Array
            && is_stoppable(live, pass.now)
            && !job.exempt_from_eviction(pass.now);
        preemptible.then(|| Victim {
            task: task.clone(),
            lost: job.lost_work_s(live, pass.now),
            frees: [spec.cpus, spec.gpus, spec.memory_gb],
        })
    }

    /// Whether the preemptor's reason permits it to preempt this attempt.
    fn is_preemptible_by(
        &self,
        pass: &SchedulingPass,
        job: &Job,
        live: &Live,
        preemptor: &Preemptor,
    ) -> bool {
        let spec = job.spec();
        let preemptor_spec = preemptor.job.spec();
        match preemptor.reason {
            PreemptionReason::HigherPriority => job.priority() < preemptor.job.priority(),
            // Not permitted if more work would be lost than the preemptor's run is expected to
            // take.
            PreemptionReason::SpareCapacity => {
                job.is_spare_capacity_work()
                    && job.lost_work_s(live, pass.now) < preemptor.job.likely_run()
            }
            PreemptionReason::Guarantee => {
                spec.team != preemptor_spec.team
                    && self.exceeds_guarantee(pass, spec)
                    && !live.adopted
                    && live.ran_from.is_none_or(|from| pass.now - from < GUARANTEE_LOSS_S)
            }
        }
    }

    /// Whether the team of `spec` would still use at least its guarantee without one task of that
    /// size.
    fn exceeds_guarantee(&self, pass: &SchedulingPass, spec: &JobSpec) -> bool {
        let Some(team) = self.team(&spec.team) else { return false };
        let used = pass.usage_of(&spec.team);
        let preempted = pass.preempted.get(&spec.team).copied().unwrap_or_default();
        let keeps = |i: usize, need: f64, guarantee: f64| {
            used[i] - preempted[i] - need >= guarantee - AMOUNT_TOLERANCE
        };
        keeps(0, spec.cpus, team.cpus) && keeps(1, spec.gpus, team.gpus)
    }
}
