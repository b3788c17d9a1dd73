//! Spot interruption notices: evicts tasks that can save their work in time, and withdraws starts
//! that were never sent.

use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Outcome, live_attempt};
use crate::leader::Leader;
use marblebarrow_proto::ids::TaskId;

impl Leader {
    /// Evicts, in time, tasks on machines with a notice that can save their work. Other tasks keep
    /// running, and no new ones are placed there.
    pub(crate) fn drain_machines_with_notice(&mut self, now: Secs) {
        for task in self.due_for_eviction(now) {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let grace = job.eviction_grace();
            let live = job.live.get_mut(&task.index).filter(|live| live.stop_grace_s.is_none());
            let Some(live) = live else { continue };
            live.stop_grace_s = Some(grace);
            if let Some(machine) = self.machines.get_mut(&live.machine) {
                machine.direct_send_due = true;
            }
        }
    }

    /// Tasks on machines with a notice that must start to save now to finish before the machine is
    /// interrupted.
    fn due_for_eviction(&self, now: Secs) -> Vec<TaskId> {
        let mut due = Vec::new();
        for machine in self.machines.values() {
            let Some(until) = machine.notice else { continue };
            let must_save = |task: &&TaskId| {
                let Some(job) = self.jobs.get(&task.job) else { return false };
                let spec = job.spec();
                spec.checkpoint_s > 0.0
                    && until - now < spec.save_s + self.facts.heartbeat_interval_s
            };
            due.extend(machine.tasks.iter().filter(must_save).cloned());
        }
        due
    }

    /// Withdraws starts that were never sent because their machine got a notice, was cordoned, or
    /// isn't reachable.
    pub(crate) fn withdraw_unsent_starts(&mut self, now: Secs) {
        let mut unsent = Vec::new();
        let reachable = |m: &Machine| m.is_reachable(now, self.facts.heartbeat_interval_s);
        for m in
            self.machines.values().filter(|m| m.notice.is_some() || m.cordoned || !reachable(m))
        {
            for task in &m.tasks {
                let live = live_attempt(&self.jobs, task);
                if live.is_some_and(|live| live.never_sent(now)) {
                    unsent.push(task.clone());
                }
            }
        }
        for task in unsent {
            self.end_attempt(&task.job, task.index, Outcome::Lost, now);
        }
    }
}
