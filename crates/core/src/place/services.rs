//! Placement of services.

use super::{ImagePolicy, PreemptionReason, SchedulingPass};
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;

impl Leader {
    /// Places waiting services, by priority and arrival.
    pub(super) fn place_services(&mut self, pass: &mut SchedulingPass) {
        for id in self.queue_snapshot.services.clone() {
            self.place_service(pass, &id);
        }
    }

    fn place_service(&mut self, pass: &mut SchedulingPass, id: &JobId) {
        while let Some(index) = self.jobs.get_mut(id).and_then(|job| job.next_task(pass.now)) {
            if !self.place_replica(pass, id, index) {
                let waiting = self.jobs.get(id).map_or(0, |job| job.waiting());
                self.reserve_quota(pass, id, waiting);
                break;
            }
        }
    }

    /// Prefers a machine that has the image, if need be by preemption; then the machine
    /// with the shortest fetch.
    ///
    /// A single machine that became free is taken only if it has the image: the others are
    /// looked at in the next full pass. (In a full fleet most services once fetched on what
    /// became free while machines with their image ran array jobs.)
    fn place_replica(&mut self, pass: &mut SchedulingPass, id: &JobId, index: u32) -> bool {
        let reason = PreemptionReason::HigherPriority;
        self.place_task(pass, id, index, ImagePolicy::Cached)
            || pass.is_full()
                && (self.preempt_for(pass, id, index, ImagePolicy::Cached, reason)
                    || self.place_task(pass, id, index, ImagePolicy::Any)
                    || self.preempt_for(pass, id, index, ImagePolicy::Any, reason))
    }
}
