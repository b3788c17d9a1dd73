//! Replaces ordinary (on-demand) machines that arrays have kept busy for a while with spot
//! machines: new tasks go to the spot machines, and the ordinary ones become idle and are released.

use super::RentPlan;
use super::bin_packing::Capacity;
use crate::consts::*;
use crate::event::Secs;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use std::collections::BTreeMap;

/// Array work on ordinary machines that run no service.
struct ReplaceableWork {
    /// CPUs that the work uses.
    cpus: f64,
    /// Spec of the job with the most of these tasks.
    largest: Option<JobSpec>,
}

impl Leader {
    /// Plans spot machines for part of the array work that runs on ordinary machines.
    pub(super) fn replace_with_spot(
        &mut self,
        now: Secs,
        capacity: &[Capacity],
        plan: &mut RentPlan,
    ) {
        let work = self.replaceable_work();
        let seen = &mut self.cloud_requests.replaceable_cpus;
        seen.add(now, work.cpus, SPOT_REPLACE_AFTER_S);
        let Some(spec) = work.largest.filter(|_| seen.covers(SPOT_REPLACE_AFTER_S)) else { return };
        let sustained = seen.least();
        let spot = capacity.iter().filter(|machine| machine.location.spot);
        let spot_free: f64 = spot.map(Capacity::free_cpus).sum();
        let mut wanted = sustained * SPOT_REPLACE_SHARE - spot_free;
        for _ in 0..PLAN_MAX {
            if wanted <= 0.0 {
                return;
            }
            let Some((machine, offer)) = self.cheapest_offer(now, &spec, u32::MAX, false) else {
                return;
            };
            if !machine.location.spot || wanted < machine.free[0] {
                return;
            }
            wanted -= machine.free[0];
            plan.add(offer);
        }
    }

    /// Finds the array work that could run on spot machines instead of ordinary ones.
    fn replaceable_work(&self) -> ReplaceableWork {
        let mut cpus = 0.0;
        let mut tasks: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| !m.info.spot && m.services == 0) {
            for task in &machine.tasks {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                if job.spec().spot && !job.is_spare_capacity_work() {
                    cpus += job.spec().cpus;
                    *tasks.entry(&task.job).or_default() += 1;
                }
            }
        }
        let largest = tasks.iter().max_by_key(|(_, count)| **count);
        let largest = largest.and_then(|(id, _)| self.jobs.get(*id));
        ReplaceableWork { cpus, largest: largest.map(|job| job.spec().clone()) }
    }
}
