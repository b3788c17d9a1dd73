//! Boots that failed or timed out.

use crate::cloud_requests::Booting;
use crate::consts::*;
use crate::event::Secs;
use crate::leader::Leader;
use marblebarrow_proto::ids::MachineId;

impl Leader {
    /// Releases machines whose boot failed or didn't finish in time.
    pub(super) fn release_failed_boots(&mut self, now: Secs) {
        let booting = self.cloud_requests.booting.iter();
        let failed_boots: Vec<MachineId> = booting
            .filter(|(_, machine)| self.has_boot_failed(now, machine))
            .map(|(id, _)| id.clone())
            .collect();
        self.cloud_requests.to_release.extend(failed_boots);
    }

    /// Whether the boot failed, timed out, or its machine vanished from the machine list.
    fn has_boot_failed(&self, now: Secs, machine: &Booting) -> bool {
        let lag = self.facts.list_lag_s;
        let age = now - machine.since;
        // Time since the machine list last included the machine, or since it was rented if the list
        // never did. A machine that stays unlisted was interrupted before it reported, or was never
        // created.
        let unlisted = machine.listed_at.map_or(age, |at| now - at);
        let vanished = unlisted > lag * 3.0 + LIST_EVERY_S * 2.0;
        machine.failed || age > self.boot_timeout(machine) + lag || vanished
    }

    /// Time in seconds after which a boot counts as failed. It is at least [`BOOT_COUNTED`] times
    /// the boot time currently expected in the machine's zone.
    fn boot_timeout(&self, machine: &Booting) -> Secs {
        let cloud = &self.cloud_requests;
        cloud.machine_type(&machine.kind).map_or(0.0, |t| {
            let expected = cloud.boot(t, &machine.zone) * BOOT_COUNTED;
            (t.boot_s * BOOT_TIMEOUT_FACTOR).max(expected)
        })
    }
}
