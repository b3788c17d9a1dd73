//! Consolidation: moves work off machines so that they can be released.

use super::failure_detector::enough_heard_now;
use crate::consts::*;
use crate::event::Secs;
use crate::fleet::Machine;
use crate::jobs::{Job, Live};
use crate::leader::Leader;
use crate::place::{fits, matches_spec};
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::job::{JobSpec, Kind};

/// A machine that may receive replicas.
struct Target<'a> {
    machine: &'a Machine,
    /// Free CPUs, GPUs and memory (GB).
    free: [f64; 3],
}

impl Target<'_> {
    /// Whether a replica could start there without an image fetch.
    fn holds(&self, spec: &JobSpec) -> bool {
        self.machine.has_image(&spec.image)
            && matches_spec(spec, self.machine)
            && fits(spec, &self.free)
    }

    fn take(&mut self, spec: &JobSpec) {
        self.free[0] -= spec.cpus;
        self.free[1] -= spec.gpus;
        self.free[2] -= spec.memory_gb;
    }
}

/// Whether a replica may be moved: it has run for long enough, and the placement of other replicas
/// doesn't depend on its location.
fn is_movable(job: &Job, index: u32, now: Secs) -> bool {
    let spec = job.spec();
    let settled = |live: &Live| {
        let ran_long = live.ran_from.is_some_and(|from| now - from > CONSOLIDATE_AGE_S);
        live.stop_grace_s.is_none() && ran_long
    };
    spec.kind == Kind::Service
        && !spec.spread
        && !spec.one_zone
        && job.live.get(&index).is_some_and(settled)
}

impl Leader {
    /// Moves the replicas off a lightly used machine, to machines that are retained anyway and hold
    /// their images, so that the machine can be released.
    pub(crate) fn consolidate(&mut self, now: Secs) {
        if self.recovering || now < self.cloud_requests.next_consolidation {
            return;
        }
        // A leader that is cut off from its workers would stop replicas and couldn't start them
        // elsewhere.
        let interval = self.facts.heartbeat_interval_s;
        if !enough_heard_now(&self.machines, now, interval) {
            return;
        }
        // No consolidation while spare-capacity work is waiting either, as it would fill the
        // capacity that the replicas free. Mistaken jobs are ignored: they wait until their users
        // act, and counting them blocked all consolidation.
        if self.jobs.values().any(|job| job.waiting() > 0 && !job.suspected_broken()) {
            return;
        }
        let Some(id) = self.least_used(now) else { return };
        if !self.fits_elsewhere(now, &id) || !self.is_warm_without(now, &id) {
            return;
        }
        let fleet_factor = (self.machines.len() as f64 / CONSOLIDATE_FLEET).max(1.0);
        self.cloud_requests.next_consolidation = now + CONSOLIDATE_EVERY_S / fleet_factor;
        let replicas = self.machines.get(&id).map_or(0, |machine| machine.tasks.len());
        self.log.debug(|| format!("event=gather machine={id} replicas={replicas}"));
        self.evict_all(&id);
    }

    /// The ordinary machine with the lowest CPU usage, among those that run only replicas that may
    /// be moved.
    fn least_used(&self, now: Secs) -> Option<MachineId> {
        let movable = |task: &TaskId| {
            self.jobs.get(&task.job).is_some_and(|job| is_movable(job, task.index, now))
        };
        let share = |m: &Machine| m.used[0] / m.size[0].max(1e-3);
        self.machines
            .iter()
            .filter(|(_, m)| {
                self.is_replica_host(m, now)
                    && m.direct_in_flight.is_none()
                    && m.tasks.iter().all(movable)
            })
            .map(|(id, m)| (share(m), id))
            .filter(|(share, _)| *share <= CONSOLIDATE_SHARE)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id.clone())
    }

    /// Whether a machine is an ordinary one that runs replicas and could start more.
    fn is_replica_host(&self, machine: &Machine, now: Secs) -> bool {
        !machine.info.spot
            && machine.services > 0
            && machine.usable(now, self.facts.heartbeat_interval_s)
            && !machine.is_heartbeat_overdue(now, self.facts.heartbeat_interval_s)
    }

    /// Whether all tasks of a machine fit on other machines that run replicas and hold the images.
    fn fits_elsewhere(&self, now: Secs, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get(id) else { return false };
        let mut targets: Vec<Target> = self
            .machines
            .iter()
            .filter(|(other, m)| *other != id && self.is_replica_host(m, now))
            .map(|(_, m)| Target { machine: m, free: m.free() })
            .collect();
        machine.tasks.iter().all(|task| {
            let Some(spec) = self.jobs.get(&task.job).map(|job| job.spec()) else { return false };
            let Some(target) = targets.iter_mut().find(|target| target.holds(spec)) else {
                return false;
            };
            target.take(spec);
            true
        })
    }

    /// Evicts the tasks of ordinary machines that run only spare-capacity work, a few machines per
    /// round, unless other work waits for capacity or the warm reserve needs the machines. The
    /// tasks save their progress and continue on cheaper machines.
    pub(super) fn evict_spare_work(&mut self, now: Secs, machines: Vec<MachineId>) {
        if self.has_waiting_regular_work() {
            return;
        }
        let most = (machines.len() as f64 * SCALE_IN_SHARE).ceil() as usize;
        for id in machines.into_iter().take(most) {
            if !self.is_warm_without(now, &id) {
                continue;
            }
            let Some(machine) = self.machines.get(&id) else { continue };
            let tasks = machine.tasks.len();
            self.log.debug(|| format!("event=clear machine={id} tasks={tasks}"));
            self.evict_all(&id);
        }
    }

    /// Whether any work is waiting other than spare-capacity work and jobs suspected to be broken.
    fn has_waiting_regular_work(&self) -> bool {
        self.jobs.values().any(|job| {
            job.waiting() > 0 && !job.is_spare_capacity_work() && !job.suspected_broken()
        })
    }
}
