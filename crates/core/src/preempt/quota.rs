//! Preemption within a team: a service that its own team's limit blocks preempts that team's array
//! tasks.

use super::victims::is_stoppable;
use crate::consts::AMOUNT_TOLERANCE;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::place::SchedulingPass;
use marblebarrow_proto::ids::{JobId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind};

/// A team's array task that may be preempted.
struct TeamVictim {
    task: TaskId,
    /// Work lost by stopping it, in seconds.
    lost: Secs,
    /// CPUs and GPUs that stopping it frees.
    frees: [f64; 2],
}

impl Leader {
    /// Reserves quota for a service's waiting tasks, and preempts as many of its team's array tasks
    /// as the limit requires. The service starts once they have stopped; before this rule existed,
    /// a service waited a minute for array tasks to end.
    pub(crate) fn reserve_quota(&mut self, pass: &mut SchedulingPass, id: &JobId, tasks: u32) {
        let Some(spec) = self.jobs.get(id).map(|job| job.spec().clone()) else { return };
        let Some(team) = self.team(&spec.team) else { return };
        let limits = [team.cpus_max, team.gpus_max];
        let within_limit = self.within_limit(pass, &spec);
        let used = pass.usage_of(&spec.team);
        // The quota is reserved even if the service now fits the limit but found no machine in this
        // pass. Otherwise arrays would take back the capacity that was preempted for it.
        let reserved = pass.reserved.entry(spec.team.clone()).or_default();
        let needs = [spec.cpus * f64::from(tasks), spec.gpus * f64::from(tasks)];
        (0..2).for_each(|i| reserved[i] += needs[i]);
        let reserved = *reserved;
        if within_limit || !pass.is_full() {
            return;
        }
        let excess = std::array::from_fn(|i| {
            if limits[i] > 0.0 { used[i] + reserved[i] - limits[i] } else { 0.0 }
        });
        self.preempt_excess(pass.now, id, &spec, excess);
    }

    /// Preempts the team's array tasks, those that lose the least work first, until the CPUs and
    /// GPUs beyond the limit are free.
    fn preempt_excess(&mut self, now: Secs, id: &JobId, spec: &JobSpec, mut excess: [f64; 2]) {
        let mut victims = self.team_victims(now, spec, &mut excess);
        victims.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        for TeamVictim { task, frees, .. } in victims {
            if excess.iter().all(|amount| *amount <= AMOUNT_TOLERANCE) {
                break;
            }
            (0..2).for_each(|i| excess[i] -= frees[i]);
            self.log.debug(|| format!("event=preempt task={task} for={id} why=limit"));
            self.preempt(now, &task);
        }
    }

    /// The team's array tasks that may be preempted for the service. Tasks that are already
    /// stopping are subtracted from the excess.
    fn team_victims(&self, now: Secs, service: &JobSpec, excess: &mut [f64; 2]) -> Vec<TeamVictim> {
        let priority = self.jobs.get(&service.id).map_or(service.priority, Job::priority);
        let mut victims = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.spec().team == service.team) {
            let spec = job.spec();
            let is_preemptible = spec.kind == Kind::Array && job.priority() < priority;
            for (index, live) in &job.live {
                if live.stop_grace_s.is_some() {
                    excess[0] -= spec.cpus;
                    excess[1] -= spec.gpus;
                } else if is_preemptible && is_stoppable(live, now) {
                    victims.push(TeamVictim {
                        task: TaskId { job: id.clone(), index: *index },
                        lost: job.lost_work_s(live, now),
                        frees: [spec.cpus, spec.gpus],
                    });
                }
            }
        }
        victims
    }
}
