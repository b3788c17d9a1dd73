//! Preemption: tasks are stopped for others that have a higher priority, are within their
//! team's guarantee, or are services that their own team's arrays keep out.

mod quota;
mod victims;

use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Outcome};
use crate::leader::Leader;
use crate::place::{ImagePolicy, PreemptionReason, RequestShape, SchedulingPass, machine_allowed};
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::{Kind, Priority};
use victims::{Preemptor, Victims};

/// How costly a preemption is; the least is best. The fields count in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionScore {
    /// Time to fetch the image, tenths of a second.
    fetch: u64,
    /// An ordinary machine for a task that a spot machine would do for.
    too_good: bool,
    /// CPU-seconds of work lost, tenths.
    lost: u64,
}

/// A machine, and the tasks to preempt there.
struct PreemptionPlan {
    score: PreemptionScore,
    machine: MachineId,
    victims: Vec<TaskId>,
}

impl Leader {
    /// Places a task by preempting others, those that lose least first; whether there were
    /// any to preempt.
    pub(crate) fn preempt_for(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        images: ImagePolicy,
        reason: PreemptionReason,
    ) -> bool {
        // A machine that became free has capacity; nobody need be preempted there.
        if !pass.is_full() {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        if !self.within_limit(pass, job.spec()) {
            return false;
        }
        let shape = RequestShape::of(job.spec(), images, Some(reason));
        if pass.is_unplaceable(shape.as_ref()) {
            return false;
        }
        let task = TaskId { job: id.clone(), index };
        let Some(plan) = self.plan_preemption(pass, job, &task, images, reason) else {
            pass.unplaceable.extend(shape);
            return false;
        };
        pass.unplaceable.clear();
        for victim in &plan.victims {
            let machine = &plan.machine;
            self.log.push(|| format!("event=preempt task={victim} for={id} machine={machine}"));
            self.preempt(pass.now, victim);
            self.count_preempted(pass, victim);
        }
        let attempt = self.new_attempt();
        self.assign(pass, id, index, &plan.machine, attempt);
        true
    }

    /// The machine where preemption costs least.
    fn plan_preemption(
        &self,
        pass: &SchedulingPass,
        job: &Job,
        task: &TaskId,
        images: ImagePolicy,
        reason: PreemptionReason,
    ) -> Option<PreemptionPlan> {
        let spec = job.spec();
        let preemptor = Preemptor { job, reason };
        let mut best: Option<PreemptionPlan> = None;
        for (id, machine) in &self.machines {
            if !self.may_preempt_on(pass, machine, job, task) {
                continue;
            }
            let fetch = machine.fetch_time(&spec.image, spec.image_gb, pass.now);
            if !images.allows(fetch) {
                continue;
            }
            let Some(victims) = self.choose_victims(pass, machine, &preemptor) else { continue };
            let score = PreemptionScore {
                fetch: (fetch * 10.0) as u64,
                too_good: spec.spot && !machine.info.spot,
                lost: (victims.lost * 10.0) as u64,
            };
            if best.as_ref().is_none_or(|plan| score < plan.score) {
                let Victims { tasks: victims, .. } = victims;
                best = Some(PreemptionPlan { score, machine: id.clone(), victims });
            }
        }
        best
    }

    /// Whether tasks may be preempted on the machine for this one.
    fn may_preempt_on(
        &self,
        pass: &SchedulingPass,
        machine: &Machine,
        job: &Job,
        task: &TaskId,
    ) -> bool {
        let runs_others = machine.tasks.len() > machine.services as usize;
        // While an earlier attempt of it is listed there, the worker refuses it. (Such a task
        // once was sent there for ever.)
        let listed = machine.exited.keys().any(|(ended, _)| ended == task);
        runs_others
            && !listed
            && machine.usable(pass.now, self.facts.heartbeat_interval_s)
            && machine_allowed(job, machine, &self.machines)
    }

    /// Counts a preempted task's CPUs and GPUs for its team.
    fn count_preempted(&self, pass: &mut SchedulingPass, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let spec = job.spec();
        let preempted = pass.preempted.entry(spec.team.clone()).or_default();
        preempted[0] += spec.cpus;
        preempted[1] += spec.gpus;
    }

    /// Stops a task at once.
    fn preempt(&mut self, now: Secs, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(live) = job.live.get_mut(&task.index) else { return };
        if live.never_sent(now) {
            return self.over(&task.job, task.index, Outcome::Lost, now);
        }
        live.stop = Some(0.0);
        // Tasks that are told to stop at once free their capacity before the command behind
        // the stop is executed, so the capacity counts as free.
        let Some(machine) = self.machines.get_mut(&live.machine) else { return };
        machine.unbook(&job.record.spec);
        machine.freed.insert(task.clone());
    }

    /// Adds what preemptible array tasks hold on a machine: CPUs, GPUs, memory (GB).
    pub(crate) fn add_preemptible(&self, machine: &Machine, free: &mut [f64; 3]) {
        for task in machine.tasks.difference(&machine.freed) {
            let Some(spec) = self.jobs.get(&task.job).map(|job| job.spec()) else { continue };
            if spec.kind == Kind::Array && spec.priority < Priority::Production {
                free[0] += spec.cpus;
                free[1] += spec.gpus;
                free[2] += spec.memory_gb;
            }
        }
    }
}
