//! Scale-in: decides which machines to release.
//!
//! These are machines that never came up ([`boots`]), that became unreachable
//! ([`failure_detector`]), that fail, are slow ([`health`]) or idle ([`idle`]), and those whose
//! work is better run elsewhere ([`consolidation`]). Tasks on machines with a spot interruption
//! notice are evicted gracefully ([`spot_notices`]).

mod boots;
mod consolidation;
mod failure_detector;
mod health;
mod idle;
mod replica_failover;
mod spot_notices;

use crate::event::Secs;
use crate::leader::Leader;
use failure_detector::{FailureDetector, majority_heard};
use idle::ImageHolders;
use marblebarrow_proto::ids::{MachineId, TaskId};

/// Machines that a scaling round may release.
#[derive(Default)]
struct Candidates {
    /// Machines idle for longer than they are worth keeping.
    idle: Vec<MachineId>,
    /// Ordinary machines that have run only spare-capacity work for a long time.
    spare_only: Vec<MachineId>,
}

impl Leader {
    /// Runs one scale-in round.
    pub(crate) fn scale_in(&mut self, now: Secs) {
        self.release_failed_boots(now);
        let candidates = self.check_machines(now);
        if self.recovering {
            return;
        }
        self.evict_spare_work(now, candidates.spare_only);
        self.release_idle(now, candidates.idle);
    }

    /// Checks each machine: marks those that are presumed dead for release, cordons faulty ones,
    /// and collects those that may be released.
    fn check_machines(&mut self, now: Secs) -> Candidates {
        let heard = majority_heard(&self.machines, now, self.facts.heartbeat_interval_s);
        self.majority_heard_since = self.majority_heard_since.or(Some(now)).filter(|_| heard);
        let detector = FailureDetector::new(self, now);
        let holders = ImageHolders::of(&self.machines);
        let mut candidates = Candidates::default();
        for (id, machine) in &mut self.machines {
            if detector.is_presumed_dead(machine)
                && machine.expired_epoch.is_none()
                && !machine.releasing
            {
                self.log.debug(|| format!("event=silent machine={id} spot={}", machine.info.spot));
                machine.releasing = true;
                self.cloud_requests.to_release.insert(id.clone());
            }
            if detector.is_lost(machine) {
                // Unreachable past the end of its lease. If it comes back before the release, it no
                // longer runs any task that counts.
                machine.cordoned = true;
                self.cloud_requests.to_release.insert(id.clone());
            } else if health::is_faulty(machine) {
                health::cordon(id, machine, &mut self.log);
            }
            health::track_spare_only(machine, &self.jobs, now);
            if machine.spare_since.is_some_and(|at| now - at > self.facts.tuning.idle_s) {
                candidates.spare_only.push(id.clone());
            }
            if idle::is_idle(machine, now)
                && now - machine.idle_since > idle::idle_timeout(machine, &holders, &self.facts)
            {
                candidates.idle.push(id.clone());
            }
        }
        candidates
    }

    /// Queues a machine for release; nothing new is placed there.
    fn release(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.cordoned = true;
            machine.releasing = true;
        }
        self.cloud_requests.to_release.insert(id.clone());
    }

    /// Cordons a machine and stops all its tasks, with time to save their work.
    fn evict_all(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.cordoned = true;
        machine.direct_send_due = true;
        for task in machine.tasks.clone() {
            self.evict(&task);
        }
    }

    /// Stops a task, with time to save its work.
    fn evict(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let grace = job.eviction_grace();
        if let Some(live) = job.live.get_mut(&task.index) {
            live.stop_grace_s.get_or_insert(grace);
        }
    }
}
