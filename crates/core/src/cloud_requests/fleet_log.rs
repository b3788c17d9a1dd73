//! The periodic log line with the fleet's size and usage.

use crate::consts::FLEET_LOG_S;
use crate::event::Secs;
use crate::leader::Leader;

impl Leader {
    /// Logs the fleet's size and usage every `FLEET_LOG_S` seconds.
    pub(super) fn log_fleet(&mut self, now: Secs) {
        if now < self.cloud_requests.next_log {
            return;
        }
        self.cloud_requests.next_log = now + FLEET_LOG_S;
        let ordinary = self.describe_machines("ordinary", false);
        let spot = self.describe_machines("spot", true);
        let waiting: u32 = self.jobs.values().map(|job| job.waiting()).sum();
        self.log.debug(|| format!("event=fleet {ordinary} {spot} waiting={waiting}"));
    }

    fn describe_machines(&self, name: &str, spot: bool) -> String {
        let machines = || self.machines.values().filter(move |m| m.info.spot == spot);
        let count = machines().count();
        let total: f64 = machines().map(|m| m.size[0]).sum();
        let used: f64 = machines().map(|m| m.used[0]).sum();
        let idle = machines().filter(|m| m.tasks.is_empty()).count();
        let booting = self.cloud_requests.booting.values().filter(|b| b.spot == spot).count();
        format!(
            "{name}={count} {name}_cpus={total} {name}_used={used:.0} {name}_idle={idle} \
             {name}_booting={booting}"
        )
    }
}
