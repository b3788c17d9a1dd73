//! Idle machines: how long each is kept, and which of them are released.

use super::replica_failover::FailoverCapacity;
use crate::consts::*;
use crate::event::Secs;
use crate::facts::Facts;
use crate::fleet::{Machine, Machines};
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use std::collections::HashMap;

/// On how many machines each image is cached.
pub(super) struct ImageHolders {
    holders: HashMap<String, HolderCount>,
}

#[derive(Default)]
struct HolderCount {
    ordinary: u32,
    spot: u32,
}

impl ImageHolders {
    /// Counts machines whose lease hasn't ended and that aren't being released.
    pub(super) fn of(machines: &Machines) -> Self {
        let mut holders: HashMap<String, HolderCount> = HashMap::new();
        for machine in machines.values().filter(|m| !m.releasing && m.lapsed.is_none()) {
            for (image, _) in &machine.images {
                let count = match holders.get_mut(image) {
                    Some(count) => count,
                    None => holders.entry(image.clone()).or_default(),
                };
                if machine.info.spot { count.spot += 1 } else { count.ordinary += 1 }
            }
        }
        Self { holders }
    }

    /// Whether few machines of the kind have the image.
    fn is_rare(&self, image: &str, spot: bool) -> bool {
        self.holders.get(image).is_none_or(|count| {
            let holders = if spot { count.spot } else { count.ordinary };
            holders <= RARE_HOLDERS
        })
    }
}

/// Whether nothing runs on the machine, and nothing is to be learnt or cleared there.
pub(super) fn is_idle(machine: &Machine, now: Secs) -> bool {
    machine.tasks.is_empty()
        && machine.exited.keys().all(|attempt| machine.unconfirmed_starts.contains(attempt))
        && machine.direct.is_none()
        && !machine.releasing
        && machine.confirmed
        && now - machine.first_heard > LEAST_BILL_S / 2.0
}

/// How long the machine is kept while idle, seconds: longer for images that few others have.
pub(super) fn patience(machine: &Machine, holders: &ImageHolders, facts: &Facts) -> Secs {
    if machine.cordoned {
        // It gets no more work, so there is nothing to wait for.
        return 0.0;
    }
    let spot = machine.info.spot;
    let rate = machine.fetch_rate.max(1e-3);
    let rare = machine.images.iter().filter(|(image, _)| holders.is_rare(image, spot));
    let fetches = rare.map(|(_, gb)| gb / rate).sum::<f64>();
    if spot {
        IDLE_SPOT_S + fetches.min(IDLE_IMAGES_S)
    } else {
        facts.tuning.idle_s + fetches.min(IDLE_IMAGES_ORDINARY_S)
    }
}

/// An idle machine; the least is released first. The fields count in this order: dearest
/// kind first; the fewer replicas it could take over, and the fewer images it holds, the less
/// is lost with it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    spot: bool,
    /// Replicas of the services whose images it holds.
    replicas: u32,
    images: usize,
    id: MachineId,
}

impl Leader {
    /// Releases a few idle machines a round, unless they are wanted warm.
    pub(super) fn release_idle(&mut self, now: Secs, idle: Vec<MachineId>) {
        if idle.is_empty() {
            return;
        }
        let mut failover = FailoverCapacity::of(self, now);
        let idle = self.by_release_order(idle, &failover);
        let mut left = (idle.len() as f64 * SCALE_IN_SHARE).ceil() as usize;
        for IdleMachine { spot, id, .. } in idle {
            if left == 0 {
                break;
            }
            let Some(machine) = self.machines.get(&id) else { continue };
            let images: Vec<String> = machine.images.iter().map(|(i, _)| i.clone()).collect();
            // Cordoned and spot machines are of no use to services.
            let serves = !machine.cordoned && !spot;
            if serves && images.iter().any(|image| failover.is_short(image)) {
                continue;
            }
            // Those after one that is wanted warm are alike: all are tried in rounds to come.
            left -= 1;
            if serves && !self.is_warm_without(now, &id) {
                continue;
            }
            if serves {
                images.iter().for_each(|image| failover.remove_holder(image));
            }
            self.release(&id);
        }
    }

    fn by_release_order(
        &self,
        idle: Vec<MachineId>,
        failover: &FailoverCapacity,
    ) -> Vec<IdleMachine> {
        let describe = |id: MachineId| {
            let machine = self.machines.get(&id)?;
            let replicas = machine.images.iter().map(|(image, _)| failover.replicas(image));
            Some(IdleMachine {
                spot: machine.info.spot,
                replicas: replicas.sum(),
                images: machine.images.len(),
                id,
            })
        };
        let mut machines: Vec<IdleMachine> = idle.into_iter().filter_map(describe).collect();
        machines.sort();
        machines
    }
}
