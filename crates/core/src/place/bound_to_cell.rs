//! Placement where jobs may move to other cells: a start binds a job to this cell, so none is
//! started on capacity that services are about to need, and an array that is bound here and
//! runs nowhere is not left behind services for ever.

use super::{ImagePolicy, SchedulingPass};
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Kind;

/// Seconds after which a job of another cell that never began here counts as left behind.
const GUEST_LEFT_BEHIND_S: f64 = 90.0;

/// Whether an array can't move to another cell and runs nowhere.
fn is_left_behind(job: &Job, now: Secs) -> bool {
    let guest = job.record.origin.is_some() && now - job.arrived > GUEST_LEFT_BEHIND_S;
    let bound = guest || !job.started.is_empty();
    bound && job.live.is_empty() && job.maybe_running.is_empty() && job.waiting() > 0
}

impl Leader {
    /// Places a task of the oldest array that is left behind, before services of no higher
    /// priority. One such array at a time, so that services lack one place at most.
    pub(super) fn place_left_behind(&mut self, pass: &mut SchedulingPass) {
        let Some(cells) = &self.cells else { return };
        let served = cells.served_first.as_ref().and_then(|id| self.jobs.get(id));
        if pass.available.is_empty() || served.is_some_and(|job| !job.live.is_empty()) {
            return;
        }
        let Some(id) = self.oldest_left_behind(pass.now) else { return };
        let Some(index) = self.jobs.get_mut(&id).and_then(|job| job.next_task(pass.now)) else {
            return;
        };
        if !self.place_task(pass, &id, index, ImagePolicy::Any) {
            return;
        }
        self.log.push(|| format!("event=served_first job={id}"));
        if let Some(cells) = &mut self.cells {
            cells.served_first = Some(id);
        }
    }

    fn oldest_left_behind(&self, now: Secs) -> Option<JobId> {
        let waiting = self.queue_snapshot.services.iter().filter_map(|id| self.jobs.get(id));
        let services = waiting.filter(|job| job.waiting() > 0).map(Job::priority).max();
        let arrays = self.queue_snapshot.arrays.iter();
        let known = arrays.filter_map(|id| Some((id, self.jobs.get(id)?)));
        let eligible = known.filter(|(_, job)| {
            is_left_behind(job, now) && services.is_none_or(|highest| job.priority() >= highest)
        });
        let oldest = eligible.min_by(|(a, one), (b, two)| {
            one.arrived.total_cmp(&two.arrived).then_with(|| a.cmp(b))
        });
        oldest.map(|(id, _)| id.clone())
    }

    /// Withholds as much free capacity from the rest of the pass as replicas need that a new
    /// leader hasn't found yet: those that turn out to be lost are placed anew.
    pub(super) fn withhold_for_unfound_replicas(&self, pass: &mut SchedulingPass) {
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
