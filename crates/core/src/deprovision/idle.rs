//! Idle machines: how long each one is kept, and which of them are released.

use super::replica_failover::FailoverCapacity;
use crate::consts::*;
use crate::event::Secs;
use crate::facts::Facts;
use crate::fleet::{Machine, Machines};
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use std::collections::HashMap;

/// The number of machines on which each image is cached.
pub(super) struct ImageHolders {
    holders: HashMap<String, HolderCount>,
}

#[derive(Default)]
struct HolderCount {
    ordinary: u32,
    spot: u32,
}

impl ImageHolders {
    /// Counts the machines whose lease hasn't lapsed and that aren't being released.
    pub(super) fn of(machines: &Machines) -> Self {
        let mut holders: HashMap<String, HolderCount> = HashMap::new();
        for machine in machines.values().filter(|m| !m.releasing && m.expired_epoch.is_none()) {
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

    /// Whether the image is held by at most `RARE_HOLDERS` machines of the same kind (spot or
    /// ordinary).
    fn is_rare(&self, image: &str, spot: bool) -> bool {
        self.holders.get(image).is_none_or(|count| {
            let holders = if spot { count.spot } else { count.ordinary };
            holders <= RARE_HOLDERS
        })
    }
}

/// Whether a confirmed machine runs nothing, has no ended tasks left to record or clear and no
/// command in flight, and was first heard long enough ago.
pub(super) fn is_idle(machine: &Machine, now: Secs) -> bool {
    machine.tasks.is_empty()
        && machine.ended_attempts.is_empty()
        && machine.direct_in_flight.is_none()
        && !machine.releasing
        && machine.confirmed
        && now - machine.first_heard > MIN_BILLING_S / 2.0
}

/// How long an idle machine is kept, in seconds; longer if it holds images that few others have.
pub(super) fn idle_timeout(machine: &Machine, holders: &ImageHolders, facts: &Facts) -> Secs {
    if machine.cordoned {
        // A cordoned machine gets no new work, so there is no reason to keep it.
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

/// An idle machine; the lowest is released first. Fields are compared in declaration order: the
/// most expensive kind (ordinary) first; then the machine that could take over the fewest replicas
/// and holds the fewest images, as releasing it loses the least.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    spot: bool,
    /// Number of replicas of the services whose images it holds.
    replicas: u32,
    images: usize,
    id: MachineId,
}

impl Leader {
    /// Releases a few idle machines per round, except those needed for the warm reserve.
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
            // Services don't use cordoned or spot machines.
            let serves = !machine.cordoned && !spot;
            if serves && images.iter().any(|image| failover.is_short(image)) {
                continue;
            }
            // A machine needed for the warm reserve also counts toward the limit: the machines
            // after it are alike, and all of them are tried in later rounds.
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

    /// Sorts idle machines into the order in which they are released.
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
