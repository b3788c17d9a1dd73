//! Scale-out for a persistent backlog.
//!
//! When a backlog is shorter than a boot, no single task in it justifies a machine, but every later
//! task waits in it too. Without this rule thousands of tasks waited half a minute each, over
//! several minutes.

use super::RentPlan;
use crate::consts::*;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::job::Kind;

impl Leader {
    /// Plans machines for a backlog that has persisted. `cpus` is the demand of waiting array tasks
    /// beyond what is free or planned; at most `most` machines are planned.
    pub(super) fn plan_for_backlog(
        &mut self,
        now: Secs,
        cpus: f64,
        most: usize,
        plan: &mut RentPlan,
    ) {
        let seen = &mut self.cloud_requests.backlog_cpus;
        seen.add(now, cpus, BACKLOG_S);
        if !seen.covers(BACKLOG_S) {
            return;
        }
        let sustained = seen.least();
        let Some(job) = self.widest_backlog(now) else { return };
        let spec = job.spec().clone();
        let mut wanted = sustained * (job.likely_run() / DRAIN_S).min(1.0);
        if wanted < spec.cpus {
            return;
        }
        // The machines rented now will add capacity, so sampling restarts from here.
        self.cloud_requests.backlog_cpus.clear();
        for _ in 0..most {
            if wanted <= 0.0 {
                return;
            }
            let Some((machine, offer)) = self.cheapest_offer(now, &spec, u32::MAX, false) else {
                return;
            };
            wanted -= machine.free[0].max(1.0);
            plan.add(offer);
        }
    }

    /// The array job with the most waiting tasks, among those that justify renting machines.
    fn widest_backlog(&self, now: Secs) -> Option<&Job> {
        let waits = |job: &&Job| {
            job.spec().kind == Kind::Array
                && job.waiting() > 0
                && !job.suspected_broken()
                && !job.is_spare_capacity_work()
                && !job.has_time_left(now)
        };
        self.jobs.values().filter(waits).max_by_key(|job| job.waiting())
    }
}
