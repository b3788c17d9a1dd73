//! The warm reserve: free capacity kept for service replicas, so that replicas submitted while a
//! machine boots needn't wait for it.

use super::Shortage;
use super::bin_packing::Capacity;
use crate::consts::*;
use crate::event::Secs;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::MachineType;

impl Leader {
    /// Whether the warm reserve would still be complete without this machine.
    pub(crate) fn is_warm_without(&mut self, now: Secs, id: &MachineId) -> bool {
        let mut capacity = self.capacity(now, Some(id));
        let wanted = self.warm_reserve(now);
        let fits = |Shortage { spec, tasks }: &Shortage| {
            self.task_needs(spec).pack(&mut capacity, *tasks) == 0
        };
        wanted.iter().all(fits)
    }

    /// The part of the warm reserve that is missing. Capacity that arrays occupy on ordinary
    /// machines can be obtained by preemption, so the reserve needn't be idle.
    pub(super) fn warm_shortages(&mut self, now: Secs, capacity: &[Capacity]) -> Vec<Shortage> {
        let mut capacity = capacity.to_vec();
        self.add_preemptible_capacity(now, &mut capacity);
        let mut shortages = self.warm_reserve(now);
        for shortage in &mut shortages {
            let needs = self.task_needs(&shortage.spec);
            shortage.tasks = needs.pack(&mut capacity, shortage.tasks);
        }
        shortages
    }

    /// Replicas to keep capacity for: for each service class, as many as are expected to arrive
    /// while a machine boots and fetches the image.
    fn warm_reserve(&mut self, now: Secs) -> Vec<Shortage> {
        let boot = self.warm_boot();
        let fetch_rates = self.cloud_requests.types.iter().map(|t| t.fetch_gb_per_s);
        let fetch_rate = fetch_rates.fold(f64::INFINITY, f64::min);
        let mut wanted = Vec::new();
        for class in self.cloud_requests.services.values_mut() {
            class.arrivals.retain(|at| now - at < RATE_WINDOW_S);
            // Tasks already waiting at the start are a backlog, not an arrival rate.
            let rate = class.arrivals.len() as f64 / RATE_WINDOW_S;
            let lead = boot + class.newest_spec.image_gb / fetch_rate.max(1e-3);
            let tasks = (rate * lead * self.facts.tuning.warm_factor).max(WARM_MIN).ceil();
            wanted.push(Shortage { spec: class.newest_spec.clone(), tasks: tasks as u32 });
        }
        wanted
    }

    /// Boot time in seconds of the slowest machine type, clamped to the bounds `BOOT_WARM`.
    fn warm_boot(&self) -> Secs {
        let cloud = &self.cloud_requests;
        let boot = |t: &MachineType| {
            let (least, most) = (t.boot_s * BOOT_WARM.0, t.boot_s * BOOT_WARM.1);
            cloud.boot_anywhere(t).clamp(least, most)
        };
        cloud.types.iter().map(boot).fold(0.0, f64::max)
    }
}
