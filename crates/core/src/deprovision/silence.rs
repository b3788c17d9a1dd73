//! Failure detection: which silent machines are gone.

use crate::consts::*;
use crate::event::Secs;
use crate::fleet::{Machine, Machines};
use crate::leader::Leader;
use std::collections::BTreeMap;

/// Machines of a zone.
#[derive(Clone, Copy, Default)]
struct ZoneCount {
    all: u32,
    silent: u32,
}

/// What one round knows of the fleet's heartbeats. The silence of a machine speaks of the
/// machine only if this controller hears the others.
pub(super) struct SilenceDetector {
    now: Secs,
    leader_since: Secs,
    /// A spot machine that is silent for this long is gone, seconds.
    gone_after: Secs,
    /// A machine that is silent for this long missed a heartbeat, seconds.
    quiet_after: Secs,
    /// A machine whose lease ended this long ago won't be waited for, seconds.
    back_by: Secs,
    /// Most machines were heard lately.
    most_heard: bool,
    /// The same, by a leader that has led and run without delay for long enough.
    heard_lately: bool,
    /// This process ran without delay for `gone_after`.
    prompt_for_gone: bool,
    /// Enough machines are heard right now for an early verdict: cut off from the workers, a
    /// leader once gave up half the fleet in the seconds before it found out.
    hears_now: bool,
    zones: BTreeMap<String, ZoneCount>,
}

impl SilenceDetector {
    pub(super) fn new(leader: &Leader, now: Secs) -> Self {
        let heartbeat_interval_s = leader.facts.heartbeat_interval_s;
        let gone_after = heartbeat_interval_s * GONE_HEARTBEATS + GONE_MARGIN_S;
        let quiet_after = heartbeat_interval_s * QUIET_HEARTBEATS + QUIET_MARGIN_S;
        let leader_since = leader.cloud_requests.leader_since;
        let most_heard = most_heard(&leader.machines, now, heartbeat_interval_s);
        Self {
            now,
            leader_since,
            gone_after,
            quiet_after,
            back_by: leader.facts.lease_s + LAPSED_KEPT_S,
            most_heard,
            heard_lately: now - leader_since > GONE_AFTER_S
                && most_heard
                && leader.prompt_for(now, quiet_after),
            prompt_for_gone: leader.prompt_for(now, gone_after),
            hears_now: hears_now(&leader.machines, now, heartbeat_interval_s),
            zones: count_zones(&leader.machines, now, quiet_after),
        }
    }

    /// Whether the machine is most probably gone: a release is proof at once, while its lease
    /// would keep its tasks away for as long as it lasts.
    pub(super) fn is_gone(&self, machine: &Machine) -> bool {
        self.is_unreached(machine)
            || self.heard_lately && (self.is_silent_for_long(machine) || self.is_dead(machine))
    }

    /// A spot machine that was not heard under this term, nor reached by direct commands.
    fn is_unreached(&self, machine: &Machine) -> bool {
        machine.info.spot
            && !machine.confirmed
            && machine.unreached >= PROBES
            && self.most_heard
            && self.prompt_for_gone
    }

    /// An ordinary machine may be cut off and its replicas serve on; but if it was never
    /// heard in this term, its lease is mostly over by now.
    fn is_silent_for_long(&self, machine: &Machine) -> bool {
        let worth_no_wait = machine.info.spot || !machine.confirmed;
        self.silence(machine) > self.gone_after && worth_no_wait && self.prompt_for_gone
    }

    /// One that missed a heartbeat and two questions is dead, hung or cut off: its lease
    /// tells none of them apart. (Dead machines once kept a tenth of all replicas away for a
    /// whole lease.)
    fn is_dead(&self, machine: &Machine) -> bool {
        self.hears_now
            && machine.unreached >= QUIET_PROBES
            && self.silence(machine) > self.quiet_after
            && !self.is_cut_off(&machine.info.zone)
    }

    /// For how long the machine has been silent, seconds.
    ///
    /// Recorded and never heard in this term counts from the start of leadership: such a
    /// machine held up recovery for a whole lease. (What is heard of an unconfirmed one may
    /// be late copies.) Nor can one that came up just now have been silent for long: where
    /// direct commands were crowded, hundreds of new machines once were given up before
    /// anybody had asked them.
    fn silence(&self, machine: &Machine) -> Secs {
        let asked_since = self.leader_since.max(machine.first_heard);
        self.now - machine.heard.filter(|_| machine.confirmed).unwrap_or(asked_since)
    }

    /// Whether the zone is cut off, rather than its machines dead.
    fn is_cut_off(&self, zone: &str) -> bool {
        let count = self.zones.get(zone).copied().unwrap_or_default();
        let most_silent = f64::from(count.silent) > f64::from(count.all) * ZONE_CUT_SHARE;
        self.zones.len() > 1 && most_silent
    }

    /// Whether the machine's lease ended too long ago to wait for it.
    pub(super) fn is_lost(&self, machine: &Machine) -> bool {
        let lapsed = machine.lapsed.is_some() && self.now - machine.answered > self.back_by;
        lapsed || self.is_deaf(machine) && machine.heard.is_some()
    }

    /// Heard, but nothing reaches it: its lease ends all the same.
    ///
    /// (Where machines report too seldom to prove by it that they hear us, and there were too
    /// few threads to ask them all, idle ones nobody had asked and others with their work
    /// were once returned as deaf, a dozen a second.)
    fn is_deaf(&self, machine: &Machine) -> bool {
        let since = machine.reached.unwrap_or(machine.first_heard).max(self.leader_since);
        self.now - since > self.back_by && machine.asked_in_vain()
    }
}

fn most_heard(machines: &Machines, now: Secs, heartbeat_interval_s: f64) -> bool {
    let heard = |m: &&Machine| {
        m.heard.is_some_and(|at| now - at < heartbeat_interval_s * SILENT_HEARTBEATS)
    };
    machines.values().filter(heard).count() * 2 > machines.len()
}

fn hears_now(machines: &Machines, now: Secs, heartbeat_interval_s: f64) -> bool {
    let window = heartbeat_interval_s * HEARING_HEARTBEATS;
    let mut all = 0u32;
    let mut heard = 0u32;
    for machine in machines.values().filter(|m| m.lapsed.is_none()) {
        all += 1;
        heard += u32::from(machine.heard.is_some_and(|at| now - at < window));
    }
    f64::from(heard) > f64::from(all) * HEARING_SHARE
}

fn count_zones(machines: &Machines, now: Secs, quiet_after: Secs) -> BTreeMap<String, ZoneCount> {
    let mut zones: BTreeMap<String, ZoneCount> = BTreeMap::new();
    for machine in machines.values().filter(|m| m.lapsed.is_none()) {
        let silent = machine.heard.is_none_or(|at| now - at > quiet_after);
        let count = match zones.get_mut(&machine.info.zone) {
            Some(count) => count,
            None => zones.entry(machine.info.zone.clone()).or_default(),
        };
        count.all += 1;
        count.silent += u32::from(silent);
    }
    zones
}
