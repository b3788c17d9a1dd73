//! Placement rules for multi-cell deployments, where jobs may move to other cells. Starting a task
//! binds its job to this cell. Therefore nothing is started on capacity that services are about to
//! need, and an array that is bound to this cell but has no running task must not starve behind
//! services indefinitely.

use super::{ImagePolicy, SchedulingPass};
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Kind;

/// Seconds after which a job transferred from another cell counts as starved if none of its tasks
/// has started.
const TRANSFERRED_STARVED_S: f64 = 90.0;

/// Whether an array is starved: it can't move to another cell, and none of its tasks is running.
fn is_starved(job: &Job, now: Secs) -> bool {
    let transferred = job.record.origin.is_some() && now - job.arrived > TRANSFERRED_STARVED_S;
    let is_bound = transferred || !job.started.is_empty();
    is_bound && job.live.is_empty() && job.maybe_running.is_empty() && job.waiting() > 0
}

impl Leader {
    /// Places a task of the oldest starved array ahead of services of equal or lower priority. Only
    /// one such array is served at a time, so that services lose at most one place.
    pub(super) fn place_starved_array(&mut self, pass: &mut SchedulingPass) {
        let Some(cells) = &self.cells else { return };
        let served = cells.starved_array.as_ref().and_then(|id| self.jobs.get(id));
        if pass.available.is_empty() || served.is_some_and(|job| !job.live.is_empty()) {
            return;
        }
        let Some(id) = self.oldest_starved(pass.now) else { return };
        let Some(index) = self.jobs.get_mut(&id).and_then(|job| job.next_task(pass.now)) else {
            return;
        };
        if !self.place_task(pass, &id, index, ImagePolicy::Any) {
            return;
        }
        self.log.debug(|| format!("event=served_first job={id}"));
        if let Some(cells) = &mut self.cells {
            cells.starved_array = Some(id);
        }
    }

    /// The oldest starved array whose priority is no lower than that of any waiting service.
    fn oldest_starved(&self, now: Secs) -> Option<JobId> {
        let waiting = self.queue_snapshot.services.iter().filter_map(|id| self.jobs.get(id));
        let services = waiting.filter(|job| job.waiting() > 0).map(Job::priority).max();
        let arrays = self.queue_snapshot.arrays.iter();
        let known = arrays.filter_map(|id| Some((id, self.jobs.get(id)?)));
        let eligible = known.filter(|(_, job)| {
            is_starved(job, now) && services.is_none_or(|highest| job.priority() >= highest)
        });
        let oldest = eligible.min_by(|(a, one), (b, two)| {
            one.arrived.total_cmp(&two.arrived).then_with(|| a.cmp(b))
        });
        oldest.map(|(id, _)| id.clone())
    }

    /// Withholds free capacity from the rest of the pass for service replicas that a new leader
    /// hasn't located yet. Those that turn out to be lost must be placed again.
    pub(super) fn withhold_for_unlocated_replicas(&self, pass: &mut SchedulingPass) {
        if self.cells.is_none() || !self.recovering {
            return;
        }
        let services = self.jobs.values().filter(|job| job.spec().kind == Kind::Service);
        let mut missing: f64 =
            services.map(|job| job.maybe_running.len() as f64 * job.spec().cpus).sum();
        while missing > 0.0
            && let Some((_, free)) = pass.available.pop_first()
        {
            missing -= free[0];
        }
    }
}
