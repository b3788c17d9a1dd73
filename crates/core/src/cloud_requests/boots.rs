//! Booting machines, and how long boots take.

use super::CloudRequests;
use crate::consts::*;
use crate::event::Secs;
use crate::provision::MachineOffer;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::{MachineType, Rent};
use std::collections::BTreeMap;

/// A machine that was rented or listed, and hasn't reported.
#[derive(Debug)]
pub(crate) struct Booting {
    /// Name of its type.
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// When it was rented.
    pub(crate) since: Secs,
    /// When the machine list last named it.
    pub(crate) listed_at: Option<Secs>,
    /// The cloud says that it runs, though it hasn't reported.
    pub(crate) up: bool,
    /// The cloud says that it failed.
    pub(crate) failed: bool,
}

impl Booting {
    /// A machine of a request that was sent then.
    pub(crate) fn rented(rent: &Rent, since: Secs) -> Self {
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

/// Machines of one type in one zone, whose boots are thought to be alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MachinePool {
    machine_type: String,
    zone: String,
}

impl CloudRequests {
    /// A machine reported: it is up.
    pub(crate) fn heard(&mut self, now: Secs, id: &MachineId) {
        let Some(machine) = self.booting.remove(id) else { return };
        let usual = self.usual_boot(&machine.kind);
        if usual > 0.0 && !machine.failed {
            let seen = ((now - machine.since) / usual).clamp(0.0, BOOT_SLOWEST);
            let pool = MachinePool { machine_type: machine.kind, zone: machine.zone };
            let factor = self.boot_factors.entry(pool).or_insert(1.0);
            *factor += (seen - *factor) * BOOT_WEIGHT;
        }
    }

    fn usual_boot(&self, machine_type: &str) -> Secs {
        self.machine_type(machine_type).map_or(0.0, |t| t.boot_s)
    }

    /// What a machine of that type and zone takes to boot, seconds, by what was seen
    /// lately.
    pub(crate) fn boot(&self, t: &MachineType, zone: &str) -> Secs {
        let pool = MachinePool { machine_type: t.name.clone(), zone: zone.to_owned() };
        t.boot_s * self.boot_factor(&pool)
    }

    fn boot_factor(&self, pool: &MachinePool) -> f64 {
        self.boot_factors.get(pool).copied().unwrap_or(1.0)
    }

    /// The same in the zone where it boots soonest.
    pub(crate) fn boot_anywhere(&self, t: &MachineType) -> Secs {
        t.zones.iter().map(|zone| self.boot(t, zone)).reduce(f64::min).unwrap_or(t.boot_s)
    }

    /// Machines that are overdue say so before any of them is up: where most are, the others
    /// will be, and the backlog would be rented for again and again.
    pub(super) fn watch_boots(&mut self, now: Secs) {
        for (pool, ages) in self.boot_ages(now) {
            let usual = self.usual_boot(&pool.machine_type);
            let expected = usual * self.boot_factor(&pool) * BOOT_SPREAD;
            let late: Vec<Secs> = ages.iter().filter(|age| **age > expected).copied().collect();
            let most_are_late = late.len() >= BOOTS_LATE && late.len() * 2 > ages.len();
            if usual > 0.0 && most_are_late {
                let least = late.into_iter().fold(f64::INFINITY, f64::min);
                self.boot_factors.insert(pool, (least / usual).min(BOOT_SLOWEST));
            }
        }
    }

    /// For how long the machines of each pool have been booting, seconds.
    fn boot_ages(&self, now: Secs) -> BTreeMap<MachinePool, Vec<Secs>> {
        let mut ages: BTreeMap<MachinePool, Vec<Secs>> = BTreeMap::new();
        for machine in self.booting.values().filter(|machine| !machine.failed && !machine.up) {
            let pool =
                MachinePool { machine_type: machine.kind.clone(), zone: machine.zone.clone() };
            ages.entry(pool).or_default().push(now - machine.since);
        }
        ages
    }

    /// Whether such a machine can be had now, as far as known.
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
