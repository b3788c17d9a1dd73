//! Scale in: which machines to release.
//!
//! Machines that never came up ([`boots`]), fell silent ([`silence`]), fail, are slow or
//! idle ([`idle`]), and those whose work does better elsewhere ([`consolidation`]). Machines
//! with a spot interruption notice are evicted gracefully ([`spot_notices`]).

mod boots;
mod consolidation;
mod health;
mod idle;
mod replica_failover;
mod silence;
mod spot_notices;

use crate::event::Secs;
use crate::leader::Leader;
use idle::ImageHolders;
use marblebarrow_proto::ids::{MachineId, TaskId};
use silence::SilenceDetector;

/// Machines that a round may release.
#[derive(Default)]
struct Candidates {
    /// Idle for longer than they are worth keeping.
    idle: Vec<MachineId>,
    /// Ordinary machines that have run nothing but spare-capacity work for long.
    spare_only: Vec<MachineId>,
}

impl Leader {
    /// Picks the machines to release.
    pub(crate) fn scale_in(&mut self, now: Secs) {
        self.give_up_boots(now);
        let candidates = self.check_machines(now);
        if self.recovering {
            return;
        }
        self.evict_spare_work(now, candidates.spare_only);
        self.release_idle(now, candidates.idle);
    }

    /// Checks each machine: releases those that are gone, cordons those that are faulty, and
    /// finds those that may be released.
    fn check_machines(&mut self, now: Secs) -> Candidates {
        let silence = SilenceDetector::new(self, now);
        let holders = ImageHolders::of(&self.machines);
        let mut candidates = Candidates::default();
        for (id, machine) in &mut self.machines {
            if silence.is_gone(machine) && machine.lapsed.is_none() && !machine.releasing {
                self.log.push(|| format!("event=silent machine={id} spot={}", machine.info.spot));
                machine.releasing = true;
                self.cloud_requests.to_release.insert(id.clone());
            }
            if silence.is_lost(machine) {
                // Silent past its lease. Should it be back by then, it will have nothing on
                // it that counts.
                machine.cordoned = true;
                self.cloud_requests.to_release.insert(id.clone());
            } else if health::is_faulty(machine) {
                health::cordon(id, machine, &mut self.log);
            }
            if health::is_stuck(machine, &self.jobs) {
                machine.releasing = true;
                self.cloud_requests.to_release.insert(id.clone());
            }
            health::note_spare_only(machine, &self.jobs, now);
            if machine.spare_since.is_some_and(|at| now - at > self.facts.tuning.idle_s) {
                candidates.spare_only.push(id.clone());
            }
            if idle::is_idle(machine, now)
                && now - machine.idle_since > idle::patience(machine, &holders, &self.facts)
            {
                candidates.idle.push(id.clone());
            }
        }
        candidates
    }

    /// Has a machine released; nothing new is placed there.
    fn release(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.cordoned = true;
            machine.releasing = true;
        }
        self.cloud_requests.to_release.insert(id.clone());
    }

    /// Stops all tasks on a machine, with time to save their work; nothing new is placed
    /// there.
    fn evict_all(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.cordoned = true;
        machine.push = true;
        for task in machine.tasks.clone() {
            self.evict(&task);
        }
    }

    /// Stops a task, with time to save its work.
    fn evict(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let grace = job.eviction_grace();
        if let Some(live) = job.live.get_mut(&task.index) {
            live.stop.get_or_insert(grace);
        }
    }
}
