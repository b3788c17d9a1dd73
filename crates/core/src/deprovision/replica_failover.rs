//! Capacity for replica failover: machines that could take over a lost replica without fetching its
//! image.

use crate::consts::{AMOUNT_TOLERANCE, HOLDERS_SHARE};
use crate::event::Secs;
use crate::fleet::Machine;
use crate::leader::Leader;
use marblebarrow_proto::job::Kind;
use std::collections::HashMap;

/// Failover capacity for the replicas of one image.
#[derive(Debug, Default)]
struct ImageFailover {
    /// Number of replicas placed.
    replicas: u32,
    /// CPUs needed by the largest of them.
    cpus: f64,
    /// Number of ordinary machines on which one more replica could start without a fetch.
    holders: u32,
}

impl ImageFailover {
    /// Whether there are too few holders to release one of them.
    fn is_short(&self) -> bool {
        self.holders <= (f64::from(self.replicas) * HOLDERS_SHARE) as u32
    }
}

/// Failover capacity by image, for the images of all services.
#[derive(Debug)]
pub(super) struct FailoverCapacity {
    images: HashMap<String, ImageFailover>,
}

impl FailoverCapacity {
    pub(super) fn of(leader: &Leader, now: Secs) -> Self {
        let mut images = running_replicas(leader);
        for machine in leader.machines.values() {
            if machine.info.spot || !machine.usable(now, leader.facts.heartbeat_interval_s) {
                continue;
            }
            let cpus = free_with_preemption(leader, machine)[0] + AMOUNT_TOLERANCE;
            for (image, _) in &machine.images {
                if let Some(failover) = images.get_mut(image).filter(|f| f.cpus <= cpus) {
                    failover.holders += 1;
                }
            }
        }
        Self { images }
    }

    /// Number of placed replicas of an image.
    pub(super) fn replicas(&self, image: &str) -> u32 {
        self.images.get(image).map_or(0, |failover| failover.replicas)
    }

    /// Whether too few machines hold the image to release one of them.
    pub(super) fn is_short(&self, image: &str) -> bool {
        self.images.get(image).is_some_and(ImageFailover::is_short)
    }

    /// Records that a machine holding the image is to be released.
    pub(super) fn remove_holder(&mut self, image: &str) {
        if let Some(failover) = self.images.get_mut(image) {
            failover.holders = failover.holders.saturating_sub(1);
        }
    }
}

fn running_replicas(leader: &Leader) -> HashMap<String, ImageFailover> {
    let mut images: HashMap<String, ImageFailover> = HashMap::new();
    for job in leader.jobs.values().filter(|job| job.spec().kind == Kind::Service) {
        let failover = images.entry(job.spec().image.clone()).or_default();
        failover.replicas += job.live.len() as u32;
        failover.cpus = failover.cpus.max(job.spec().cpus);
    }
    images
}

/// Free capacity of a machine, including what preemption would free: CPUs, GPUs, memory (GB).
fn free_with_preemption(leader: &Leader, machine: &Machine) -> [f64; 3] {
    let mut free = machine.free();
    leader.add_preemptible(machine, &mut free);
    free
}
