//! The cloud's offers: selects the cheapest machine for a task.

use super::bin_packing::{Capacity, Location};
use crate::cloud_requests::CloudRequests;
use crate::consts::{AMOUNT_TOLERANCE, BOOT_SPREAD};
use crate::event::Secs;
use crate::leader::Leader;
use crate::user_api::type_allows;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::wire::MachineType;

/// Upper bound on the number of tasks assumed to fit on one machine.
const TASKS_PER_MACHINE_MAX: f64 = 1e4;

/// A kind of machine that can be rented.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachineOffer {
    /// Name of the machine type.
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
}

/// Rank of an offer; the lowest is best. Fields are compared in declaration order.
#[derive(PartialEq, PartialOrd)]
struct OfferScore {
    /// Price of the machine divided by the number of tasks that use it.
    price: f64,
    /// Whether boots in this zone are currently slow.
    slow_boot: bool,
    /// Rotates between zones.
    turn: usize,
}

/// A search for an offer for tasks of a job.
struct OfferRequest<'a> {
    now: Secs,
    spec: &'a JobSpec,
    /// Number of tasks that need a machine.
    tasks: u32,
    /// Whether only spot machines qualify.
    only_spot: bool,
}

impl OfferRequest<'_> {
    fn cheapest(&self, cloud: &CloudRequests) -> Option<Location> {
        let mut best: Option<(OfferScore, Location)> = None;
        for (index, t) in cloud.types.iter().enumerate() {
            if !type_allows(self.spec, t) {
                continue;
            }
            let holds = tasks_per_machine(self.spec, t);
            if holds == 0 {
                continue;
            }
            // A machine is paid for in full even if the tasks use only part of it.
            let used = f64::from(self.tasks.min(holds));
            for (zone, spot) in self.purchase_options(cloud, t) {
                let score = score(cloud, t, zone, spot, used);
                if best.as_ref().is_none_or(|(least, _)| score < *least) {
                    best = Some((score, Location { machine_type: index, zone, spot }));
                }
            }
        }
        best.map(|(_, location)| location)
    }

    /// Zone index and purchase option (`true`: spot) of the available machines of the type.
    fn purchase_options<'a>(
        &'a self,
        cloud: &'a CloudRequests,
        t: &'a MachineType,
    ) -> impl Iterator<Item = (usize, bool)> + 'a {
        let zones = t.zones.iter().enumerate();
        let zones = zones.filter(|(_, z)| self.spec.zone.as_ref().is_none_or(|zone| zone == *z));
        let options = zones.flat_map(|(index, zone)| [(index, zone, true), (index, zone, false)]);
        options
            .filter(|(_, zone, spot)| {
                self.allows(*spot) && cloud.has_capacity(self.now, &t.name, zone, *spot)
            })
            .map(|(index, _, spot)| (index, spot))
    }

    fn allows(&self, spot: bool) -> bool {
        if spot { self.spec.spot } else { !self.only_spot }
    }
}

fn score(cloud: &CloudRequests, t: &MachineType, zone: usize, spot: bool, used: f64) -> OfferScore {
    let price = if spot { t.spot_price } else { t.price };
    OfferScore {
        price: price / used,
        slow_boot: cloud.boot(t, &t.zones[zone]) > t.boot_s * BOOT_SPREAD,
        turn: (zone + cloud.next_zone) % t.zones.len().max(1),
    }
}

/// Number of tasks of this job that a machine of the type holds.
fn tasks_per_machine(spec: &JobSpec, t: &MachineType) -> u32 {
    let by = |need: f64, have: f64| {
        if need > 0.0 { (have / need + AMOUNT_TOLERANCE).floor() } else { f64::MAX }
    };
    let cpus = by(spec.cpus, t.cpus);
    let gpus = by(spec.gpus, t.gpus);
    let memory = by(spec.memory_gb, t.memory_gb);
    cpus.min(gpus).min(memory).min(TASKS_PER_MACHINE_MAX) as u32
}

impl Leader {
    /// Finds the cheapest machine for `tasks` tasks of the job. Returns its capacity and the offer.
    pub(super) fn cheapest_offer(
        &mut self,
        now: Secs,
        spec: &JobSpec,
        tasks: u32,
        only_spot: bool,
    ) -> Option<(Capacity, MachineOffer)> {
        let cloud = &mut self.cloud_requests;
        cloud.no_capacity.retain(|_, until| now < *until);
        cloud.next_zone += 1;
        let location = OfferRequest { now, spec, tasks, only_spot }.cheapest(cloud)?;
        let t = cloud.types.get(location.machine_type)?;
        let zone = t.zones.get(location.zone)?;
        let capacity = Capacity {
            available_at: now + cloud.boot(t, zone),
            free: [t.cpus, t.gpus, t.memory_gb],
            location,
        };
        let offer =
            MachineOffer { machine_type: t.name.clone(), zone: zone.clone(), spot: location.spot };
        Some((capacity, offer))
    }
}
