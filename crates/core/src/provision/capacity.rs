//! Free capacity of the fleet: machines that are up, and machines that are booting.

use super::bin_packing::{Capacity, Location};
use crate::cloud_requests::{Booting, UnansweredRent};
use crate::consts::*;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::wire::MachineType;
use std::collections::BTreeMap;

/// Machine types and their indexes, by name.
type TypesByName<'a> = BTreeMap<&'a str, (usize, &'a MachineType)>;

/// Allowance in seconds for a machine's first report after the end of its boot.
const BOOT_REPORT_ALLOWANCE_S: f64 = 5.0;

impl Leader {
    /// Free capacity of machines that are up (except `without`), booting or being rented. Usable
    /// machines come first, in the order of the machine map.
    pub(super) fn capacity(&self, now: Secs, without: Option<&MachineId>) -> Vec<Capacity> {
        let types: TypesByName = self
            .cloud_requests
            .types
            .iter()
            .enumerate()
            .map(|(index, t)| (t.name.as_str(), (index, t)))
            .collect();
        let up = |m: &Machine| {
            let (index, t) = types.get(m.info.kind.as_str())?;
            let location = location(*index, t, &m.info.zone, m.info.spot);
            Some(Capacity { available_at: now, free: m.free(), location })
        };
        let others = || self.machines.iter().filter(|(id, _)| Some(*id) != without).map(|(_, m)| m);
        let usable = others().filter(|m| m.usable(now, self.facts.heartbeat_interval_s));
        // Machines that have just come up are no longer in the booting list and become usable
        // within a second. When they were counted in neither group, twelve of them were rented a
        // second time.
        let just_up = others().filter(|m| m.has_just_booted(now));
        let mut capacity: Vec<Capacity> = usable.chain(just_up).filter_map(up).collect();
        for machine in self.cloud_requests.booting.values().filter(|b| !b.failed) {
            let found = types.get(machine.kind.as_str());
            capacity.extend(found.and_then(|(index, t)| self.booting(now, machine, *index, t)));
        }
        for UnansweredRent { rent, since } in self.cloud_requests.unanswered_rents() {
            let Some((index, t)) = types.get(rent.kind.as_str()) else { continue };
            let machine = self.booting(now, &Booting::rented(rent, *since), *index, t);
            capacity.extend(machine.into_iter().flat_map(|m| vec![m; rent.count as usize]));
        }
        capacity
    }

    /// The capacity of a booting machine; `None` if it is unlikely to come up.
    fn booting(
        &self,
        now: Secs,
        machine: &Booting,
        index: usize,
        t: &MachineType,
    ) -> Option<Capacity> {
        let boot = self.cloud_requests.boot(t, &machine.zone);
        let counted = t.boot_s.max(boot) * BOOT_COUNTED + BOOT_REPORT_ALLOWANCE_S;
        let since_takeover = now - self.cloud_requests.leader_since;
        let may_report = machine.up && since_takeover < RENT_AFTER_S * 2.0;
        if now - machine.since >= counted && !may_report {
            return None;
        }
        let overdue = now > machine.since + boot && !machine.up;
        let more = boot.min(t.boot_s) * BOOT_MORE;
        Some(Capacity {
            available_at: if overdue { now + more } else { machine.since + boot },
            free: [t.cpus, t.gpus, t.memory_gb],
            location: location(index, t, &machine.zone, machine.spot),
        })
    }

    /// The machine's location, if its type and zone are known.
    pub(super) fn location_of(&self, machine: &MachineId) -> Option<Location> {
        let info = &self.machines.get(machine)?.info;
        let types = &self.cloud_requests.types;
        let machine_type = types.iter().position(|t| t.name == info.kind)?;
        let zone = types[machine_type].zones.iter().position(|z| *z == info.zone)?;
        Some(Location { machine_type, zone, spot: info.spot })
    }

    /// Adds the capacity that preemptible array tasks occupy on machines that are up.
    pub(super) fn add_preemptible_capacity(&self, now: Secs, capacity: &mut [Capacity]) {
        // `capacity` lists the usable machines first, in the order of `machines`.
        let usable = self.machines.values().filter(|m| {
            m.usable(now, self.facts.heartbeat_interval_s)
                && self.cloud_requests.types.iter().any(|t| t.name == m.info.kind)
        });
        for (machine, capacity) in usable.zip(capacity) {
            self.add_preemptible(machine, &mut capacity.free);
        }
    }
}

fn location(machine_type: usize, t: &MachineType, zone: &str, spot: bool) -> Location {
    let zone = t.zones.iter().position(|z| z == zone).unwrap_or(0);
    Location { machine_type, zone, spot }
}
