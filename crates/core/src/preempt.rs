//! Stopping tasks for others' sake: for a higher rank, a team's guarantee, or a
//! service that its own team's arrays keep out.

use crate::consts::GUARANTEE_LOSS_S;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Live, Outcome, Phase};
use crate::leader::Leader;
use crate::place::{
    ImagePolicy, PreemptionReason, RequestShape, SchedulingPass, fits, machine_allowed,
};
use marblebarrow_proto::ids::{JobId, MachineId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};

/// The fetch, whether the machine is dearer than need be, what is lost: the least is
/// best.
type TakeScore = (u64, bool, u64);

impl Leader {
    /// A service that its own team's limit keeps out takes the place of that
    /// team's arrays: they are stopped, and it starts once they are gone. (It
    /// once waited for them for a minute.)
    pub(crate) fn reserve_quota(&mut self, pass: &mut SchedulingPass, id: &JobId, tasks: u32) {
        let Some(spec) = self.jobs.get(id).map(|j| j.spec().clone()) else { return };
        let Some(team) = self.team(&spec.team) else { return };
        let limits = [team.cpus_max, team.gpus_max];
        let fits = self.within_limit(pass, &spec);
        let used = pass.usage_of(&spec.team);
        // Promised also if it fits by now but found no machine in this pass:
        // arrays once took again what was given up for it.
        let promised = pass.reserved.entry(spec.team.clone()).or_default();
        let needs = [spec.cpus * f64::from(tasks), spec.gpus * f64::from(tasks)];
        (0..2).for_each(|i| promised[i] += needs[i]);
        let promised = *promised;
        if fits || !pass.is_full() {
            return;
        }
        let mut over: [f64; 2] = std::array::from_fn(|i| {
            if limits[i] > 0.0 { used[i] + promised[i] - limits[i] } else { 0.0 }
        });
        let mut victims: Vec<(f64, TaskId, [f64; 2])> = Vec::new();
        for (job, j) in self.jobs.iter().filter(|(_, j)| j.spec().team == spec.team) {
            let s = j.spec();
            for (n, l) in &j.live {
                if l.stop.is_some() {
                    over[0] -= s.cpus;
                    over[1] -= s.gpus;
                } else if s.kind == Kind::Array && s.priority < spec.priority && stoppable(l, pass)
                {
                    let lost = j.loses(l, pass.now);
                    let task = TaskId { job: job.clone(), index: *n };
                    victims.push((lost, task, [s.cpus, s.gpus]));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, task, frees) in victims {
            if over.iter().all(|o| *o <= 1e-9) {
                break;
            }
            (0..2).for_each(|i| over[i] -= frees[i]);
            self.log.push(|| format!("event=preempt task={task} for={id} why=limit"));
            self.preempt(pass.now, &task);
        }
    }

    /// Whether a team would keep its guarantee without one task of that kind.
    fn borrows(&self, pass: &SchedulingPass, spec: &JobSpec) -> bool {
        let Some(team) = self.team(&spec.team) else {
            return false;
        };
        let used = pass.usage_of(&spec.team);
        let given = pass.preempted.get(&spec.team).copied().unwrap_or_default();
        let keeps = |i: usize, need: f64, own: f64| used[i] - given[i] - need >= own - 1e-9;
        keeps(0, spec.cpus, team.cpus) && keeps(1, spec.gpus, team.gpus)
    }

    /// Makes room for a service by stopping tasks of lower rank, those that
    /// lose least first.
    pub(crate) fn preempt_for(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        n: u32,
        images: ImagePolicy,
        reason: PreemptionReason,
    ) -> bool {
        // A machine that came free has room; nobody need be stopped for it.
        if !pass.is_full() {
            return false;
        }
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let spec = job.spec().clone();
        if !self.within_limit(pass, &spec) {
            return false;
        }
        let shape = RequestShape::of(&spec, images, Some(reason));
        if pass.is_unplaceable(shape.as_ref()) {
            return false;
        }
        let mut best: Option<(TakeScore, MachineId, Vec<TaskId>)> = None;
        for (mid, m) in &self.machines {
            let others = m.tasks.len() > m.services as usize;
            // While an earlier attempt of it is listed there, the worker
            // refuses it. (Such a task once was sent there for ever.)
            let listed = m.exited.keys().any(|(t, _)| t.job == *id && t.index == n);
            if !others
                || listed
                || !m.usable(pass.now, self.facts.report_s)
                || !machine_allowed(job, m, &self.machines)
            {
                continue;
            }
            let fetch = m.fetch_time(&spec.image, spec.image_gb, pass.now);
            if !images.allows(fetch) {
                continue;
            }
            let mut free = m.free();
            let mut victims: Vec<(f64, TaskId, [f64; 3])> = m
                .tasks
                .iter()
                .filter_map(|task| {
                    let j = self.jobs.get(&task.job)?;
                    let l = j.live.get(&task.index)?;
                    let s = j.spec();
                    let below = match reason {
                        PreemptionReason::HigherPriority => s.priority < spec.priority,
                        // Not if more were lost than is won.
                        PreemptionReason::SpareCapacity => {
                            j.spare() && j.loses(l, pass.now) < job.likely_run()
                        }
                        PreemptionReason::Guarantee => {
                            s.team != spec.team
                                && self.borrows(pass, s)
                                && !l.adopted
                                && l.ran_from.is_none_or(|f| pass.now - f < GUARANTEE_LOSS_S)
                        }
                    };
                    let stoppable =
                        below && s.kind == Kind::Array && stoppable(l, pass) && !j.keeps(pass.now);
                    let lost = j.loses(l, pass.now);
                    stoppable.then(|| (lost, task.clone(), [s.cpus, s.gpus, s.memory_gb]))
                })
                .collect();
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut chosen = Vec::new();
            let mut lost = 0.0;
            for (l, task, frees) in victims {
                if fits(&spec, &free) {
                    break;
                }
                (0..3).for_each(|i| free[i] += frees[i]);
                lost += l * frees[0];
                chosen.push(task);
            }
            if !fits(&spec, &free) {
                continue;
            }
            let dear = spec.spot && !m.info.spot;
            let score = ((fetch * 10.0) as u64, dear, (lost * 10.0) as u64);
            if best.as_ref().is_none_or(|(s, ..)| score < *s) {
                best = Some((score, mid.clone(), chosen));
            }
        }
        let Some((_, machine, victims)) = best else {
            pass.unplaceable.extend(shape);
            return false;
        };
        pass.unplaceable.clear();
        for task in victims {
            self.log.push(|| format!("event=preempt task={task} for={id} machine={machine}"));
            self.preempt(pass.now, &task);
            if let Some(s) = self.jobs.get(&task.job).map(|j| j.record.spec.clone()) {
                let given = pass.preempted.entry(s.team).or_default();
                given[0] += s.cpus;
                given[1] += s.gpus;
            }
        }
        let attempt = self.new_attempt();
        self.assign(pass, id, n, &machine, attempt);
        true
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

    fn preempt(&mut self, now: Secs, task: &TaskId) {
        let live = self.jobs.get_mut(&task.job).and_then(|j| j.live.get_mut(&task.index));
        let Some(live) = live else { return };
        if live.never_sent(now) {
            return self.over(&task.job, task.index, Outcome::Lost, now);
        }
        live.stop = Some(0.0);
        // Tasks that are told to stop at once free their room before the
        // command behind the stop is executed, so the room counts as free.
        let machine = live.machine.clone();
        let Some(spec) = self.jobs.get(&task.job).map(|j| j.record.spec.clone()) else {
            return;
        };
        if let Some(m) = self.machines.get_mut(&machine) {
            m.used[0] -= spec.cpus;
            m.used[1] -= spec.gpus;
            m.used[2] -= spec.memory_gb;
            m.freed.insert(task.clone());
        }
    }
}

/// Whether an attempt can be stopped for another's sake and will surely be gone
/// soon.
fn stoppable(l: &Live, pass: &SchedulingPass) -> bool {
    let known = l.never_sent(pass.now) || matches!(l.phase, Phase::Seen | Phase::Running);
    l.stop.is_none() && !l.doubt && known
}
