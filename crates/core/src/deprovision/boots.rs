//! Boots that are given up.

use crate::cloud_requests::Booting;
use crate::consts::*;
use crate::event::Secs;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;

impl Leader {
    /// Releases machines that failed, or that didn't come up in time.
    pub(super) fn give_up_boots(&mut self, now: Secs) {
        let booting = self.cloud_requests.booting.iter();
        let given_up: Vec<MachineId> = booting
            .filter(|(_, machine)| self.is_boot_over(now, machine))
            .map(|(id, _)| id.clone())
            .collect();
        self.cloud_requests.to_release.extend(given_up);
    }

    fn is_boot_over(&self, now: Secs, machine: &Booting) -> bool {
        let lag = self.facts.list_lag_s;
        let age = now - machine.since;
        // Taken back before it reported, or never more than a promise.
        let unlisted = machine.listed_at.map_or(age, |at| now - at);
        let vanished = unlisted > lag * 3.0 + LIST_EVERY_S * 2.0;
        machine.failed || age > self.longest_boot(machine) + lag || vanished
    }

    /// After so long, seconds, a boot is given up; not before the others in its zone are
    /// expected.
    fn longest_boot(&self, machine: &Booting) -> Secs {
        let cloud = &self.cloud_requests;
        cloud.machine_type(&machine.kind).map_or(0.0, |t| {
            let expected = cloud.boot(t, &machine.zone) * BOOT_COUNTED;
            (t.boot_s * BOOT_GIVE_UP).max(expected)
        })
    }
}
