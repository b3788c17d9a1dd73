//! Placement of services.

use super::{ImagePolicy, PreemptionReason, SchedulingPass};
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;

impl Leader {
    /// Places the replicas of waiting services, by priority and arrival.
    pub(super) fn place_services(&mut self, pass: &mut SchedulingPass) {
        for id in self.queue_snapshot.services.clone() {
            self.place_service(pass, &id);
        }
    }

    /// Places the service's waiting replicas. If one finds no machine, reserves quota for the rest.
    fn place_service(&mut self, pass: &mut SchedulingPass, id: &JobId) {
        while let Some(index) = self.jobs.get_mut(id).and_then(|job| job.next_task(pass.now)) {
            if !self.place_replica(pass, id, index) {
                let waiting = self.jobs.get(id).map_or(0, |job| job.waiting());
                self.reserve_quota(pass, id, waiting);
                break;
            }
        }
    }

    /// Places one replica. It prefers a machine that has the image, by preemption if necessary, and
    /// then the machine with the shortest fetch.
    ///
    /// In a pass over a single machine, the machine is used only if it has the image; other
    /// machines are considered in the next full pass. Without this rule most services on a full
    /// fleet fetched their image on newly freed machines while machines that had it ran array jobs.
    fn place_replica(&mut self, pass: &mut SchedulingPass, id: &JobId, index: u32) -> bool {
        let reason = PreemptionReason::HigherPriority;
        self.place_task(pass, id, index, ImagePolicy::Cached)
            || pass.is_full()
                && (self.preempt_for(pass, id, index, ImagePolicy::Cached, reason)
                    || self.place_task(pass, id, index, ImagePolicy::Any)
                    || self.preempt_for(pass, id, index, ImagePolicy::Any, reason))
    }
}
