//! Conversion of capacity reports. Since a report is only advisory, invalid numbers are replaced by
//! zero and long lists are truncated instead of being rejected.

use crate::capacity::{Amounts, CapacityReport, REPORT_ITEMS_MAX, Room};
use crate::rpc::identity::NAME_MAX;
use crate::wire;

fn amounts_to_wire(amounts: &Amounts) -> wire::Amounts {
    wire::Amounts { cpus: amounts.cpus, gpus: amounts.gpus, memory_gb: amounts.memory_gb }
}

fn amounts_from_wire(amounts: Option<wire::Amounts>) -> Amounts {
    let amount = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
    let amounts = amounts.unwrap_or_default();
    Amounts {
        cpus: amount(amounts.cpus),
        gpus: amount(amounts.gpus),
        memory_gb: amount(amounts.memory_gb),
    }
}

impl From<&CapacityReport> for wire::CapacityReport {
    fn from(report: &CapacityReport) -> Self {
        let rooms = report.rooms.iter().take(REPORT_ITEMS_MAX).map(|room| wire::Room {
            machine_type: room.machine_type.clone(),
            zone: room.zone.clone(),
            spot: room.spot,
            free: Some(amounts_to_wire(&room.free)),
            machine: Some(amounts_to_wire(&room.machine)),
            rentable: room.rentable,
        });
        Self {
            term: report.term,
            sequence: report.sequence,
            backlog: report.backlog,
            rooms: rooms.collect(),
            teams: report.teams.iter().take(REPORT_ITEMS_MAX).cloned().collect(),
            images: report.images.iter().take(REPORT_ITEMS_MAX).cloned().collect(),
        }
    }
}

fn names_from_wire(names: Vec<String>) -> Vec<String> {
    names.into_iter().filter(|name| name.len() <= NAME_MAX).take(REPORT_ITEMS_MAX).collect()
}

pub(super) fn capacity_from_wire(report: wire::CapacityReport) -> CapacityReport {
    let rooms = report.rooms.into_iter().take(REPORT_ITEMS_MAX).map(|room| Room {
        free: amounts_from_wire(room.free),
        machine: amounts_from_wire(room.machine),
        machine_type: room.machine_type,
        zone: room.zone,
        spot: room.spot,
        rentable: room.rentable,
    });
    CapacityReport {
        term: report.term,
        sequence: report.sequence,
        backlog: report.backlog,
        rooms: rooms.collect(),
        teams: names_from_wire(report.teams),
        images: names_from_wire(report.images),
    }
}
