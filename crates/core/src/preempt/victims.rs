//! The choice of tasks to preempt.

use crate::consts::{AMOUNT_TOLERANCE, GUARANTEE_LOSS_S};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Live, Phase};
use crate::leader::Leader;
use crate::place::{PreemptionReason, SchedulingPass, fits};
use marblebarrow_proto::ids::TaskId;
use marblebarrow_proto::job::{JobSpec, Kind};

/// The job that a task is to be preempted for, and why it may.
pub(super) struct Preemptor<'a> {
    pub(super) job: &'a Job,
    pub(super) reason: PreemptionReason,
}

/// Tasks to preempt on one machine.
pub(super) struct Victims {
    pub(super) tasks: Vec<TaskId>,
    /// Work lost with them, CPU-seconds.
    pub(super) lost: f64,
}

/// A task that may be preempted.
struct Victim {
    task: TaskId,
    /// Work lost with it, seconds.
    lost: Secs,
    /// CPUs, GPUs, memory (GB) that it frees.
    frees: [f64; 3],
}

/// Whether an attempt can be stopped for another's sake and will surely be gone soon.
pub(super) fn is_stoppable(live: &Live, now: Secs) -> bool {
    let confirmed = live.never_sent(now) || matches!(live.phase, Phase::Seen | Phase::Running);
    live.stop.is_none() && !live.unconfirmed && confirmed
}

impl Leader {
    /// Tasks on the machine whose preemption makes room for one of the preemptor, those that
    /// lose least first.
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

    /// The task as a victim, if it may be preempted.
    fn victim(
        &self,
        pass: &SchedulingPass,
        task: &TaskId,
        preemptor: &Preemptor,
    ) -> Option<Victim> {
        let job = self.jobs.get(&task.job)?;
        let live = job.live.get(&task.index)?;
        let spec = job.spec();
        let preemptible = self.yields_to(pass, job, live, preemptor)
            && spec.kind == Kind::Array
            && is_stoppable(live, pass.now)
            && !job.keeps(pass.now);
        preemptible.then(|| Victim {
            task: task.clone(),
            lost: job.loses(live, pass.now),
            frees: [spec.cpus, spec.gpus, spec.memory_gb],
        })
    }

    /// Whether the preemptor's reason holds against the attempt of another job.
    fn yields_to(
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
            // Not if more were lost than is won.
            PreemptionReason::SpareCapacity => {
                job.spare() && job.loses(live, pass.now) < preemptor.job.likely_run()
            }
            PreemptionReason::Guarantee => {
                spec.team != preemptor_spec.team
                    && self.exceeds_guarantee(pass, spec)
                    && !live.adopted
                    && live.ran_from.is_none_or(|from| pass.now - from < GUARANTEE_LOSS_S)
            }
        }
    }

    /// Whether a team would keep its guarantee without one task of that kind.
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
