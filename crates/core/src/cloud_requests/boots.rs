//! Booting machines, and estimates of boot times.

use super::CloudRequests;
use crate::consts::*;
use crate::event::Secs;
use crate::provision::MachineOffer;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::{MachineType, RentalRequest};
use std::collections::BTreeMap;

/// A machine that was rented or listed but hasn't reported yet.
#[derive(Debug)]
pub(crate) struct Booting {
    /// Name of its machine type.
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// Time at which it was rented.
    pub(crate) since: Secs,
    /// Time at which the machine list last included it.
    pub(crate) listed_at: Option<Secs>,
    /// Whether the cloud lists it as running although it hasn't reported.
    pub(crate) up: bool,
    /// Whether the cloud lists it as failed.
    pub(crate) failed: bool,
}

impl Booting {
    /// A machine of a rent request that was sent at `since`.
    pub(crate) fn rented(rent: &RentalRequest, since: Secs) -> Self {
        Self {
            kind: rent.kind.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            since,
            listed_at: None,
            up: false,
            failed: false,
        }
    }
}

/// Machines of one type in one zone; their boot times are assumed to be similar.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachinePool {
    machine_type: String,
    zone: String,
}

impl CloudRequests {
    /// Handles a machine's first report: its boot is over. Updates the boot-time estimate of its
    /// pool.
    pub(crate) fn boot_finished(&mut self, now: Secs, id: &MachineId) {
        let Some(machine) = self.booting.remove(id) else { return };
        let nominal = self.nominal_boot(&machine.kind);
        if nominal > 0.0 && !machine.failed {
            let seen = ((now - machine.since) / nominal).clamp(0.0, BOOT_SLOWEST);
            let pool = MachinePool { machine_type: machine.kind, zone: machine.zone };
            let factor = self.boot_factors.entry(pool).or_insert(1.0);
            *factor += (seen - *factor) * BOOT_WEIGHT;
        }
    }

    fn nominal_boot(&self, machine_type: &str) -> Secs {
        self.machine_type(machine_type).map_or(0.0, |t| t.boot_s)
    }

    /// Expected boot time in seconds of a machine of this type in this zone, based on recent boots.
    pub(crate) fn boot(&self, t: &MachineType, zone: &str) -> Secs {
        let pool = MachinePool { machine_type: t.name.clone(), zone: zone.to_owned() };
        t.boot_s * self.boot_factor(&pool)
    }

    fn boot_factor(&self, pool: &MachinePool) -> f64 {
        self.boot_factors.get(pool).copied().unwrap_or(1.0)
    }

    /// Expected boot time in the zone where the type boots fastest.
    pub(crate) fn boot_anywhere(&self, t: &MachineType) -> Secs {
        t.zones.iter().map(|zone| self.boot(t, zone)).reduce(f64::min).unwrap_or(t.boot_s)
    }

    /// Raises a pool's boot-time estimate while its machines are still booting. If most of them are
    /// overdue, the rest will be too; without a new estimate, machines for the same backlog would
    /// be rented again and again.
    pub(super) fn detect_slow_boots(&mut self, now: Secs) {
        for (pool, ages) in self.boot_ages(now) {
            let nominal = self.nominal_boot(&pool.machine_type);
            let expected = nominal * self.boot_factor(&pool) * BOOT_SPREAD;
            let late: Vec<Secs> = ages.iter().filter(|age| **age > expected).copied().collect();
            let most_are_late = late.len() >= BOOTS_LATE && late.len() * 2 > ages.len();
            if nominal > 0.0 && most_are_late {
                let least = late.into_iter().fold(f64::INFINITY, f64::min);
                self.boot_factors.insert(pool, (least / nominal).min(BOOT_SLOWEST));
            }
        }
    }

    /// Time in seconds for which the machines of each pool have been booting.
    fn boot_ages(&self, now: Secs) -> BTreeMap<MachinePool, Vec<Secs>> {
        let mut ages: BTreeMap<MachinePool, Vec<Secs>> = BTreeMap::new();
        for machine in self.booting.values().filter(|machine| !machine.failed && !machine.up) {
            let pool =
                MachinePool { machine_type: machine.kind.clone(), zone: machine.zone.clone() };
            ages.entry(pool).or_default().push(now - machine.since);
        }
        ages
    }

    /// Whether the offer is available as far as known, meaning that the cloud hasn't recently
    /// rejected it for lack of capacity.
    pub(crate) fn has_capacity(
        &self,
        now: Secs,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> bool {
        let offer =
            MachineOffer { machine_type: machine_type.to_owned(), zone: zone.to_owned(), spot };
        self.no_capacity.get(&offer).is_none_or(|until| now >= *until)
    }
}
