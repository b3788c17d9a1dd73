//! Search for a task's machine: which machines qualify, and which of them is best.

use super::{ImagePolicy, SchedulingPass};
use crate::consts::{AMOUNT_TOLERANCE, START_OBJECTIVE_SHARE};
use crate::event::Secs;
use crate::fleet::{Machine, Machines};
use crate::jobs::{Job, Live};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::job::JobSpec;
use std::collections::BTreeMap;

/// Upper bound on the smallest task's CPUs, used while no task is known.
const LEAST_CPUS_MAX: f64 = 1e6;

/// Rank of a machine for a task; the lowest is best. Fields are compared in declaration order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineScore {
    /// Whether a task of the job has failed on the machine.
    failed_before: bool,
    /// Whether its next heartbeat, whose answer carries the start, probably comes too late for the
    /// start objective of the task's class.
    heard_too_late: bool,
    capacity_cost: CapacityCost,
    /// Time until the task can run, in tenths of a second: the wait for the heartbeat whose answer
    /// carries the start, and the image fetch.
    start_delay: u64,
    /// Free CPUs in hundredths. The fullest machine ranks first, so that idle ones can be released.
    free_cpus: i64,
}

/// Relative cost of occupying a machine's capacity.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum CapacityCost {
    /// An ordinary (on-demand) machine that runs a service and is therefore retained anyway.
    HostsServices,
    /// A spot machine.
    Spot,
    /// An ordinary (on-demand) machine that could otherwise be released.
    Releasable,
}

impl CapacityCost {
    fn of(machine: &Machine) -> Self {
        if machine.services > 0 {
            Self::HostsServices
        } else if machine.info.spot {
            Self::Spot
        } else {
            Self::Releasable
        }
    }
}

/// The result of a search for a machine.
pub(super) struct MachineSearch {
    /// The best machine, if any qualifies.
    pub(super) best: Option<MachineId>,
    /// Whether some machine was rejected only because it still lists an ended attempt of the task.
    pub(super) attempt_listed: bool,
}

/// A task to find a machine for.
pub(super) struct TaskRequest<'a> {
    /// The task's job.
    pub(super) job: &'a Job,
    /// The task.
    pub(super) task: TaskId,
    /// Which machines qualify with regard to the task's image.
    pub(super) images: ImagePolicy,
}

impl TaskRequest<'_> {
    /// Searches the machines with free capacity for the best one.
    pub(super) fn search(&self, pass: &SchedulingPass, machines: &Machines) -> MachineSearch {
        let mut attempt_listed = false;
        let mut best: Option<(MachineScore, &MachineId)> = None;
        for (id, free) in &pass.available {
            if !fits(self.job.spec(), free) {
                continue;
            }
            let allowed = |machine: &&Machine| machine_allowed(self.job, machine, machines);
            let Some(machine) = machines.get(id).filter(allowed) else { continue };
            if self.keeps_machine_for_spare_work(machine, pass.now) {
                continue;
            }
            if self.is_listed_on(machine) {
                attempt_listed = true;
                continue;
            }
            let Some(score) = self.score(id, machine, free, pass) else { continue };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, id));
            }
        }
        MachineSearch { best: best.map(|(_, id)| id.clone()), attempt_listed }
    }

    /// Whether placing the task would keep an ordinary machine in use for spare-capacity work
    /// alone. This is permitted only for the first task of a job.
    fn keeps_machine_for_spare_work(&self, machine: &Machine, now: Secs) -> bool {
        let alone = machine.tasks.is_empty() || machine.spare_since.is_some();
        let has_begun = !self.job.started.is_empty();
        alone && !machine.info.spot && self.job.spot_only(now) && has_begun
    }

    /// Whether the machine still lists an ended attempt of the task, in which case the worker would
    /// refuse a new one. The entry is cleared by the answer to the next heartbeat.
    fn is_listed_on(&self, machine: &Machine) -> bool {
        machine.ended_attempts.keys().any(|(ended, _)| *ended == self.task)
    }

    /// Scores the machine; `None` if the image policy rules it out.
    fn score(
        &self,
        id: &MachineId,
        machine: &Machine,
        free: &[f64; 3],
        pass: &SchedulingPass,
    ) -> Option<MachineScore> {
        let spec = self.job.spec();
        let fetch = machine.fetch_time(&spec.image, spec.image_gb, pass.now);
        let heartbeat_wait = machine.expected_heartbeat_wait(pass.now, pass.heartbeat);
        self.images.allows(fetch).then(|| MachineScore {
            failed_before: self.job.has_failed_on(id),
            heard_too_late: self
                .job
                .start_within
                .is_some_and(|within| heartbeat_wait > within * START_OBJECTIVE_SHARE),
            capacity_cost: CapacityCost::of(machine),
            start_delay: ((fetch + heartbeat_wait) * 10.0) as u64,
            free_cpus: (free[0] * 100.0) as i64,
        })
    }
}

/// Whether a task fits into the free capacity: CPUs, GPUs, memory (GB).
pub(crate) fn fits(spec: &JobSpec, free: &[f64; 3]) -> bool {
    spec.cpus <= free[0] + AMOUNT_TOLERANCE
        && spec.gpus <= free[1] + AMOUNT_TOLERANCE
        && spec.memory_gb <= free[2] + AMOUNT_TOLERANCE
}

/// Whether a task of the job may start on the machine with regard to type, zone and spot, given
/// where the job's other tasks run.
pub(crate) fn machine_allowed(job: &Job, machine: &Machine, machines: &Machines) -> bool {
    let spec = job.spec();
    if !matches_spec(spec, machine) {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    // Some tasks may be running on unidentified machines, so zone constraints can't be guaranteed.
    if !job.maybe_running.is_empty() {
        return false;
    }
    zone_allowed(job, &machine.info.zone, machines)
}

/// Whether the machine satisfies the job's spot, zone and type requirements.
pub(crate) fn matches_spec(spec: &JobSpec, machine: &Machine) -> bool {
    let info = &machine.info;
    (spec.spot || !info.spot)
        && spec.zone.as_ref().is_none_or(|zone| *zone == info.zone)
        && spec.types.as_ref().is_none_or(|types| types.contains(&info.kind))
}

/// Whether one more task of the job may run in the zone: with `one_zone`, all tasks share a zone;
/// with `spread`, no zone gets more than half of them (rounded up).
fn zone_allowed(job: &Job, zone: &str, machines: &Machines) -> bool {
    let spec = job.spec();
    let zone_of = |live: &Live| machines.get(&live.machine).map(|m| m.info.zone.as_str());
    let tasks_in_zone = job.live.values().filter(|live| zone_of(live) == Some(zone)).count();
    if spec.one_zone && tasks_in_zone != job.live.len() {
        return false;
    }
    !spec.spread || (tasks_in_zone as u32) < spec.tasks.div_ceil(2)
}

impl Leader {
    /// Free capacity of the usable machines that have room for the smallest task. On a full fleet
    /// these are few.
    pub(super) fn available_machines(
        &self,
        now: Secs,
        only_machine: Option<&MachineId>,
    ) -> BTreeMap<MachineId, [f64; 3]> {
        let least = self.least_cpus.min(LEAST_CPUS_MAX) - AMOUNT_TOLERANCE;
        let heartbeat_interval_s = self.facts.heartbeat_interval_s;
        let has_room = |m: &Machine| m.usable(now, heartbeat_interval_s) && m.free()[0] >= least;
        match only_machine {
            None => self
                .machines
                .iter()
                .filter(|(_, m)| has_room(m))
                .map(|(id, m)| (id.clone(), m.free()))
                .collect(),
            Some(id) => self
                .machines
                .get(id)
                .filter(|m| has_room(m))
                .map(|m| (id.clone(), m.free()))
                .into_iter()
                .collect(),
        }
    }
}
