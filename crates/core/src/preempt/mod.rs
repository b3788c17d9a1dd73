//! Preemption: stops running tasks in favour of tasks that have a higher priority, that are within
//! their team's guarantee, or that are services blocked by their own team's arrays.

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

/// Cost of a preemption; the lowest is best. Fields are compared in declaration order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionScore {
    /// Time until the task can run, in tenths of a second: the wait for the heartbeat whose answer
    /// carries the start, and the image fetch.
    start_delay: u64,
    /// Whether an ordinary (on-demand) machine would be used for a task that may run on a spot
    /// machine.
    wastes_ordinary: bool,
    /// Work lost, in tenths of a CPU-second.
    lost: u64,
}

/// A machine, and the tasks to preempt on it.
struct PreemptionPlan {
    score: PreemptionScore,
    machine: MachineId,
    victims: Vec<TaskId>,
}

impl Leader {
    /// Places a task by preempting others, those that lose the least work first. Returns false if
    /// there is nothing to preempt.
    pub(crate) fn preempt_for(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        images: ImagePolicy,
        reason: PreemptionReason,
    ) -> bool {
        // In a pass over a single machine, that machine has free capacity, so no preemption is
        // needed.
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
            self.log.debug(|| format!("event=preempt task={victim} for={id} machine={machine}"));
            self.preempt(pass.now, victim);
            self.count_preempted(pass, victim);
        }
        let attempt = self.new_attempt();
        self.assign(pass, id, index, &plan.machine, attempt);
        true
    }

    /// Finds the machine where preemption costs least.
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
            let heartbeat_wait = machine.expected_heartbeat_wait(pass.now, pass.heartbeat);
            let score = PreemptionScore {
                start_delay: ((fetch + heartbeat_wait) * 10.0) as u64,
                wastes_ordinary: spec.spot && !machine.info.spot,
                lost: (victims.lost * 10.0) as u64,
            };
            if best.as_ref().is_none_or(|plan| score < plan.score) {
                let Victims { tasks: victims, .. } = victims;
                best = Some(PreemptionPlan { score, machine: id.clone(), victims });
            }
        }
        best
    }

    /// Whether tasks on the machine may be preempted for this task.
    fn may_preempt_on(
        &self,
        pass: &SchedulingPass,
        machine: &Machine,
        job: &Job,
        task: &TaskId,
    ) -> bool {
        let runs_others = machine.tasks.len() > machine.services as usize;
        // While the machine still lists an earlier attempt of the task, its worker refuses a new
        // one. Without this check the task was sent to such a machine again and again.
        let listed = machine.ended_attempts.keys().any(|(ended, _)| ended == task);
        runs_others
            && !listed
            && machine.usable(pass.now, self.facts.heartbeat_interval_s)
            && machine_allowed(job, machine, &self.machines)
    }

    /// Adds a preempted task's CPUs and GPUs to its team's preempted total.
    fn count_preempted(&self, pass: &mut SchedulingPass, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let spec = job.spec();
        let preempted = pass.preempted.entry(spec.team.clone()).or_default();
        preempted[0] += spec.cpus;
        preempted[1] += spec.gpus;
    }

    /// Stops a task immediately.
    fn preempt(&mut self, now: Secs, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(live) = job.live.get_mut(&task.index) else { return };
        if live.never_sent(now) {
            return self.end_attempt(&task.job, task.index, Outcome::Lost, now);
        }
        live.stop_grace_s = Some(0.0);
        // A task that is told to stop at once releases its capacity before the worker executes the
        // command that follows the stop, so the capacity already counts as free.
        let Some(machine) = self.machines.get_mut(&live.machine) else { return };
        machine.direct_send_due = true;
        machine.unreserve(&job.record.spec);
        machine.freed_tasks.insert(task.clone());
    }

    /// Adds to `free` the CPUs, GPUs and memory (GB) that preemptible array tasks occupy on a
    /// machine.
    pub(crate) fn add_preemptible(&self, machine: &Machine, free: &mut [f64; 3]) {
        for task in machine.tasks.difference(&machine.freed_tasks) {
            let Some(spec) = self.jobs.get(&task.job).map(|job| job.spec()) else { continue };
            if spec.kind == Kind::Array && spec.priority < Priority::Production {
                free[0] += spec.cpus;
                free[1] += spec.gpus;
                free[2] += spec.memory_gb;
            }
        }
    }
}
