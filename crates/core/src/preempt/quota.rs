//! Preemption within a team: a service that its own team's limit keeps out takes the place of
//! that team's arrays.

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
    /// Work lost with it, seconds.
    lost: Secs,
    /// CPUs and GPUs.
    frees: [f64; 2],
}

impl Leader {
    /// Reserves quota for a service's waiting tasks, and preempts as many of its team's array
    /// tasks as its limit demands; the service starts once they are gone. (It once waited for
    /// them for a minute.)
    pub(crate) fn reserve_quota(&mut self, pass: &mut SchedulingPass, id: &JobId, tasks: u32) {
        let Some(spec) = self.jobs.get(id).map(|job| job.spec().clone()) else { return };
        let Some(team) = self.team(&spec.team) else { return };
        let limits = [team.cpus_max, team.gpus_max];
        let within_limit = self.within_limit(pass, &spec);
        let used = pass.usage_of(&spec.team);
        // Reserved also if it fits by now but found no machine in this pass: arrays once took
        // again what was preempted for it.
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

    /// Preempts the team's array tasks, those that lose least first, until the CPUs and GPUs
    /// beyond its limit are free.
    fn preempt_excess(&mut self, now: Secs, id: &JobId, spec: &JobSpec, mut excess: [f64; 2]) {
        let mut victims = self.team_victims(now, spec, &mut excess);
        victims.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        for TeamVictim { task, frees, .. } in victims {
            if excess.iter().all(|amount| *amount <= AMOUNT_TOLERANCE) {
                break;
            }
            (0..2).for_each(|i| excess[i] -= frees[i]);
            self.log.push(|| format!("event=preempt task={task} for={id} why=limit"));
            self.preempt(now, &task);
        }
    }

    /// The team's array tasks that may be preempted for the service. What is stopping already
    /// is taken off the excess.
    fn team_victims(&self, now: Secs, service: &JobSpec, excess: &mut [f64; 2]) -> Vec<TeamVictim> {
        let priority = self.jobs.get(&service.id).map_or(service.priority, Job::priority);
        let mut victims = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.spec().team == service.team) {
            let spec = job.spec();
            let yields = spec.kind == Kind::Array && job.priority() < priority;
            for (index, live) in &job.live {
                if live.stop.is_some() {
                    excess[0] -= spec.cpus;
                    excess[1] -= spec.gpus;
                } else if yields && is_stoppable(live, now) {
                    victims.push(TeamVictim {
                        task: TaskId { job: id.clone(), index: *index },
                        lost: job.loses(live, now),
                        frees: [spec.cpus, spec.gpus],
                    });
                }
            }
        }
        victims
    }
}
