//! Computes this cell's free capacity, for its own decisions and for the reports to other cells.

use crate::cells::Cells;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_cells::capacity::{Amounts, CapacityReport, REPORT_ITEMS_MAX, Room};
use marblebarrow_proto::job::JobSpec;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds for which a report is reused, because making one scans all machines and jobs.
const REPORT_INTERVAL_S: f64 = 0.5;
/// Number of machines of a type and zone assumed to be rentable while no request for them was
/// refused recently. The cloud's real capacity only shows in its answers to rent requests.
const RENTABLE_ESTIMATE: u32 = 8;
/// Seconds beyond the cell's patience setting for which a job waits for machines that are booting
/// or may be rented: enough for several requests to the cloud, a boot and an image fetch.
const RENTING_WAIT_MAX_S: f64 = 60.0;
/// Seconds after which waiting tasks of the cell's own jobs count as backlog. Where there is room,
/// a task is placed within half a second.
const BACKLOG_AGE_S: f64 = 2.0;

impl Leader {
    /// Returns whether machines that the job may use are becoming available or can probably be
    /// rented. The wait is bounded, because this cell may never request such machines, or may need
    /// all of them for other jobs.
    pub(super) fn renting_may_help(&self, now: Secs, job: &Job, patience_s: Secs) -> bool {
        if now - job.arrived > patience_s + RENTING_WAIT_MAX_S {
            return false;
        }
        // Until the cloud has reported its machine types, it is unknown what can be rented.
        self.cloud_requests.types.is_empty()
            || self.machines_becoming_available(now, job.spec())
            || self.cloud_may_have_capacity(now, job.spec())
    }

    /// Returns whether machines that the job may use are booting, are requested, or have only just
    /// become available.
    fn machines_becoming_available(&self, now: Secs, spec: &JobSpec) -> bool {
        let cloud = &self.cloud_requests;
        let boots = cloud.booting.values().any(|b| may_use(spec, &b.kind, &b.zone, b.spot));
        let mut requested = cloud.unanswered_rents().map(|unanswered| &unanswered.rent);
        let mut recently_up = self.machines.values().filter(|machine| machine.has_just_booted(now));
        boots
            || requested.any(|r| may_use(spec, &r.kind, &r.zone, r.spot))
            || recently_up.any(|m| may_use(spec, &m.info.kind, &m.info.zone, m.info.spot))
    }

    /// Returns whether the cloud offers a machine that fits a task of the job and that it has not
    /// refused recently.
    fn cloud_may_have_capacity(&self, now: Secs, spec: &JobSpec) -> bool {
        let cloud = &self.cloud_requests;
        let fitting = cloud.types.iter().filter(|t| crate::user_api::type_allows(spec, t));
        let mut offers =
            fitting.flat_map(|t| t.zones.iter().flat_map(move |z| [(t, z, true), (t, z, false)]));
        offers.any(|(t, zone, spot)| {
            may_use(spec, &t.name, zone, spot) && cloud.has_capacity(now, &t.name, zone, spot)
        })
    }

    /// Returns the cell's current free capacity, without subtracting reservations for accepted
    /// jobs.
    pub(super) fn capacity_report(&mut self, now: Secs) -> CapacityReport {
        let last = self.cells.as_ref().and_then(|cells| cells.report.as_ref());
        if let Some((at, report)) = last
            && now - at < REPORT_INTERVAL_S
        {
            return report.clone();
        }
        let (rooms, images) = self.room_by_kind(now);
        let backlog = self.own_backlog(now);
        let mut report = CapacityReport {
            term: self.term.0,
            sequence: 0,
            backlog,
            rooms,
            teams: self.facts.teams.iter().map(|team| team.name.clone()).collect(),
            images: images.into_iter().take(REPORT_ITEMS_MAX).collect(),
        };
        if let Some(cells) = &mut self.cells {
            cells.sequence += 1;
            report.sequence = cells.sequence;
            subtract_cpus(&mut report.rooms, cells.settings.reserve_cpus);
            cells.report = Some((now, report.clone()));
        }
        report
    }

    /// Returns the free capacity to report to other cells, with the reservations for accepted jobs
    /// subtracted.
    pub(super) fn capacity_report_for_others(&mut self, now: Secs) -> CapacityReport {
        let mut report = self.capacity_report(now);
        if let Some(cells) = &mut self.cells {
            subtract_cpus(&mut report.rooms, cells.inbound.total_reserved().cpus);
        }
        report
    }

    fn room_by_kind(&self, now: Secs) -> (Vec<Room>, BTreeSet<String>) {
        let mut images = BTreeSet::new();
        let mut rooms: BTreeMap<(String, String, bool), Room> = BTreeMap::new();
        let cloud = &self.cloud_requests;
        for machine_type in &cloud.types {
            let machine = Amounts {
                cpus: machine_type.cpus,
                gpus: machine_type.gpus,
                memory_gb: machine_type.memory_gb,
            };
            for (zone, spot) in machine_type.zones.iter().flat_map(|z| [(z, true), (z, false)]) {
                let name = &machine_type.name;
                let refused = !cloud.has_capacity(now, name, zone, spot);
                let place = (name.clone(), zone.clone(), spot);
                let room = Room {
                    machine_type: name.clone(),
                    zone: zone.clone(),
                    spot,
                    free: Amounts::default(),
                    machine,
                    rentable: if refused || now < cloud.retry_at { 0 } else { RENTABLE_ESTIMATE },
                };
                rooms.insert(place, room);
            }
        }
        for machine in
            self.machines.values().filter(|m| m.usable(now, self.facts.heartbeat_interval_s))
        {
            let info = &machine.info;
            let place = (info.kind.clone(), info.zone.clone(), info.spot);
            if let Some(room) = rooms.get_mut(&place) {
                let [cpus, gpus, memory_gb] = machine.free();
                room.free.add(&Amounts { cpus, gpus, memory_gb });
            }
            images.extend(machine.images.iter().map(|(image, _)| image.clone()));
        }
        (rooms.into_values().collect(), images)
    }

    /// Counts the tasks of this cell's own jobs that have waited for a place beyond the backlog
    /// threshold.
    fn own_backlog(&self, now: Secs) -> u32 {
        self.jobs
            .values()
            .filter(|job| job.record.origin.is_none() && now - job.arrived > BACKLOG_AGE_S)
            .filter(|job| {
                !job.is_spare_capacity_work()
                    && !job.suspected_broken()
                    && self.team_has_room(job.spec())
            })
            .map(|job| job.waiting())
            .fold(0, u32::saturating_add)
    }

    /// Releases the reservations of accepted jobs that have started.
    pub(super) fn release_reservations(&mut self) {
        let Some(Cells { inbound, .. }) = &mut self.cells else { return };
        let waits = |id: &_| self.jobs.get(id).is_some_and(|job| job.started.is_empty());
        inbound.release_reservations(waits);
    }
}

/// Returns whether a job may run on machines of this type, zone and pricing model (spot or not).
fn may_use(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|t| t == machine_type))
}

/// Subtracts CPUs from the free capacity, then from the rentable machines. Free GPUs and memory
/// shrink in proportion.
fn subtract_cpus(rooms: &mut [Room], mut cpus: f64) {
    for room in rooms.iter_mut().filter(|room| room.free.cpus > 0.0) {
        let taken = cpus.min(room.free.cpus);
        let left = 1.0 - taken / room.free.cpus;
        room.free.cpus -= taken;
        room.free.gpus *= left;
        room.free.memory_gb *= left;
        cpus -= taken;
    }
    for room in rooms.iter_mut().filter(|room| room.machine.cpus > 0.0) {
        let machines = (cpus / room.machine.cpus).ceil().clamp(0.0, f64::from(room.rentable));
        room.rentable -= machines as u32;
        cpus = (cpus - machines * room.machine.cpus).max(0.0);
    }
}
