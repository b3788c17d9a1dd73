//! Failure detection: decides which unreachable machines are gone.

use crate::consts::*;
use crate::event::Secs;
use crate::fleet::{Machine, Machines};
use crate::leader::Leader;
use std::collections::BTreeMap;

/// Number of machines in a zone, and how many of them are unreachable.
#[derive(Clone, Copy, Default)]
struct ZoneCount {
    all: u32,
    unreachable: u32,
}

/// The state of the fleet's heartbeats in one scaling round. A missing heartbeat is evidence about
/// a machine only if this controller receives heartbeats from the other machines.
pub(super) struct FailureDetector {
    now: Secs,
    leader_since: Secs,
    /// Seconds without a heartbeat after which a spot machine is presumed dead.
    presumed_dead_after: Secs,
    /// Seconds without a heartbeat after which a machine has missed one.
    heartbeat_missed_after: Secs,
    /// Seconds without an answered heartbeat after which a machine whose lease ended is lost.
    lost_after: Secs,
    /// Whether most machines were heard recently.
    majority_heard: bool,
    /// Whether this leader has led, heard most machines and run without delay for long enough for
    /// their silence to be reliable. A leader that was elected while all workers were cut off gave
    /// up a third of its machines, which had not found it yet after the cut.
    observations_reliable: bool,
    /// Whether this process ran without delay for `presumed_dead_after`.
    undelayed: bool,
    /// Whether enough machines are heard right now to declare a machine dead early. Without this
    /// check, a leader partitioned from the workers released half the fleet in the seconds before
    /// it detected the partition.
    enough_heard_now: bool,
    zones: BTreeMap<String, ZoneCount>,
}

impl FailureDetector {
    pub(super) fn new(leader: &Leader, now: Secs) -> Self {
        let heartbeat_interval_s = leader.facts.heartbeat_interval_s;
        let presumed_dead_after =
            heartbeat_interval_s * PRESUMED_DEAD_HEARTBEATS + PRESUMED_DEAD_MARGIN_S;
        let heartbeat_missed_after =
            heartbeat_interval_s * MISSED_HEARTBEAT_INTERVALS + MISSED_HEARTBEAT_MARGIN_S;
        let leader_since = leader.cloud_requests.leader_since;
        Self {
            now,
            leader_since,
            presumed_dead_after,
            heartbeat_missed_after,
            lost_after: leader.facts.lease_s + EXPIRED_LEASE_KEPT_S,
            majority_heard: leader.majority_heard_since.is_some(),
            observations_reliable: leader
                .majority_heard_since
                .is_some_and(|since| now - since.max(leader_since) > PRESUMED_DEAD_AFTER_S)
                && leader.unstalled_for(now, heartbeat_missed_after),
            undelayed: leader.unstalled_for(now, presumed_dead_after),
            enough_heard_now: enough_heard_now(&leader.machines, now, heartbeat_interval_s),
            zones: count_zones(&leader.machines, now, heartbeat_missed_after),
        }
    }

    /// Whether the machine is most probably gone. Releasing it proves at once that its tasks are
    /// gone, while waiting for its lease would delay their restart until the lease ends.
    pub(super) fn is_presumed_dead(&self, machine: &Machine) -> bool {
        self.was_never_reached(machine)
            || self.observations_reliable
                && (self.is_unreachable_for_long(machine) || self.is_unresponsive(machine))
    }

    /// Whether a spot machine was neither heard in this term nor reached by direct commands.
    fn was_never_reached(&self, machine: &Machine) -> bool {
        machine.info.spot
            && !machine.confirmed
            && machine.failed_direct_sends >= PROBES
            && self.majority_heard
            && self.undelayed
    }

    /// Whether the machine has been unreachable for long and needn't be waited for. An ordinary
    /// machine may be partitioned while its replicas keep serving; but if it was never heard in
    /// this term, its lease is mostly over.
    fn is_unreachable_for_long(&self, machine: &Machine) -> bool {
        let needs_no_wait = machine.info.spot || !machine.confirmed;
        self.unreachable_for(machine) > self.presumed_dead_after && needs_no_wait && self.undelayed
    }

    /// Whether the machine missed a heartbeat and, since then, two probes (`FAILED_PROBES_MIN`). It is
    /// then
    /// dead, hung or partitioned; its lease treats all of these alike. Without this rule, dead
    /// machines kept a tenth of all replicas down for a whole lease.
    fn is_unresponsive(&self, machine: &Machine) -> bool {
        self.enough_heard_now
            && machine.failed_while_overdue >= FAILED_PROBES_MIN
            && self.unreachable_for(machine) > self.heartbeat_missed_after
            && !self.is_zone_partitioned(&machine.info.zone)
    }

    /// Time in seconds for which the machine has been unreachable.
    ///
    /// For a machine that is recorded but unconfirmed in this term, it counts from the start of
    /// leadership; otherwise such a machine held up recovery for a whole lease. (Messages from an
    /// unconfirmed machine may be late copies and don't count.) It never counts from before the
    /// machine was first heard: when direct commands were congested, hundreds of new machines were
    /// released before any of them had been probed.
    fn unreachable_for(&self, machine: &Machine) -> Secs {
        let probed_since = self.leader_since.max(machine.first_heard);
        self.now - machine.last_heard_at.filter(|_| machine.confirmed).unwrap_or(probed_since)
    }

    /// Whether the zone is partitioned, rather than its machines dead.
    fn is_zone_partitioned(&self, zone: &str) -> bool {
        let count = self.zones.get(zone).copied().unwrap_or_default();
        let mostly_unreachable =
            f64::from(count.unreachable) > f64::from(count.all) * ZONE_PARTITION_SHARE;
        self.zones.len() > 1 && mostly_unreachable
    }

    /// Whether the machine's lease ended too long ago to keep waiting for it.
    pub(super) fn is_lost(&self, machine: &Machine) -> bool {
        let lapsed = machine.expired_epoch.is_some()
            && self.now - machine.last_answered_at > self.lost_after;
        lapsed || self.is_one_way_partitioned(machine) && machine.last_heard_at.is_some()
    }

    /// Whether heartbeats arrive from the machine while nothing reaches it; its lease ends
    /// regardless.
    ///
    /// Requires a command that failed, not just the absence of a proof of contact: machines may
    /// report too rarely to prove that commands reach them. When there were also too few threads to
    /// probe them all, idle machines that had never been probed, and others with their work, were
    /// released as unreachable, a dozen per second.
    fn is_one_way_partitioned(&self, machine: &Machine) -> bool {
        let since = machine.last_reached_at.unwrap_or(machine.first_heard).max(self.leader_since);
        self.now - since > self.lost_after && machine.has_failed_direct_send()
    }
}

/// Whether more than half of all machines were heard within `UNREACHABLE_HEARTBEATS` intervals.
pub(super) fn majority_heard(machines: &Machines, now: Secs, heartbeat_interval_s: f64) -> bool {
    let heard = |m: &&Machine| {
        m.last_heard_at.is_some_and(|at| now - at < heartbeat_interval_s * UNREACHABLE_HEARTBEATS)
    };
    machines.values().filter(heard).count() * 2 > machines.len()
}

/// Whether the share of machines heard within `HEARD_NOW_HEARTBEATS` intervals exceeds
/// `HEARD_NOW_SHARE`. Machines whose lease lapsed aren't counted.
pub(super) fn enough_heard_now(machines: &Machines, now: Secs, heartbeat_interval_s: f64) -> bool {
    let window = heartbeat_interval_s * HEARD_NOW_HEARTBEATS;
    let mut all = 0u32;
    let mut heard = 0u32;
    for machine in machines.values().filter(|m| m.expired_epoch.is_none()) {
        all += 1;
        heard += u32::from(machine.last_heard_at.is_some_and(|at| now - at < window));
    }
    f64::from(heard) > f64::from(all) * HEARD_NOW_SHARE
}

/// Counts the machines of each zone, except those whose lease lapsed.
fn count_zones(
    machines: &Machines,
    now: Secs,
    heartbeat_missed_after: Secs,
) -> BTreeMap<String, ZoneCount> {
    let mut zones: BTreeMap<String, ZoneCount> = BTreeMap::new();
    for machine in machines.values().filter(|m| m.expired_epoch.is_none()) {
        let unreachable = machine.last_heard_at.is_none_or(|at| now - at > heartbeat_missed_after);
        let count = match zones.get_mut(&machine.info.zone) {
            Some(count) => count,
            None => zones.entry(machine.info.zone.clone()).or_default(),
        };
        count.all += 1;
        count.unreachable += u32::from(unreachable);
    }
    zones
}
