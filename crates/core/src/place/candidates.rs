//! Which machines a task may start on, and which of them is best.

use super::{ImagePolicy, SchedulingPass};
use crate::consts::AMOUNT_TOLERANCE;
use crate::event::Secs;
use crate::fleet::{Machine, Machines};
use crate::jobs::{Job, Live};
use crate::leader::Leader;
use marblebarrow_proto::ids::{MachineId, TaskId};
use marblebarrow_proto::job::JobSpec;
use std::collections::BTreeMap;

/// Bound on the smallest task's CPUs while no task is known.
const LEAST_CPUS_MAX: f64 = 1e6;

/// How good a machine is for a task; the least is best. The fields count in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MachineScore {
    /// A task of the job failed there.
    failed_before: bool,
    scarcity: Scarcity,
    /// Time to fetch the image, tenths of a second.
    fetch: u64,
    /// Free CPUs, hundredths: the fullest machine first, so that idle ones can be returned.
    free_cpus: i64,
}

/// What using up a machine's capacity costs.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Scarcity {
    /// An ordinary machine that runs a service stays anyway.
    StaysAnyway,
    /// A spot machine.
    Spot,
    /// An ordinary machine that could be returned.
    Returnable,
}

impl Scarcity {
    fn of(machine: &Machine) -> Self {
        if machine.services > 0 {
            Self::StaysAnyway
        } else if machine.info.spot {
            Self::Spot
        } else {
            Self::Returnable
        }
    }
}

/// The outcome of a search for a machine.
pub(super) struct MachineSearch {
    /// The best machine, if any qualifies.
    pub(super) best: Option<MachineId>,
    /// Some machine didn't qualify only as it still lists an ended attempt of the task.
    pub(super) attempt_listed: bool,
}

/// A task to find a machine for.
pub(super) struct TaskRequest<'a> {
    /// Its job.
    pub(super) job: &'a Job,
    /// The task.
    pub(super) task: TaskId,
    /// Which machines its image allows.
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
            if self.too_costly(machine, pass.now) {
                continue;
            }
            if self.listed_on(machine) {
                attempt_listed = true;
                continue;
            }
            let Some(score) = self.score(id, machine, free, pass.now) else { continue };
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, id));
            }
        }
        MachineSearch { best: best.map(|(_, id)| id.clone()), attempt_listed }
    }

    /// Spare-capacity work doesn't keep an ordinary machine by itself, except to begin.
    fn too_costly(&self, machine: &Machine, now: Secs) -> bool {
        let alone = machine.tasks.is_empty() || machine.spare_since.is_some();
        let has_begun = !self.job.started.is_empty();
        alone && !machine.info.spot && self.job.cheap_only(now) && has_begun
    }

    /// Where an ended attempt of the task is still listed the worker would refuse it. The
    /// entry is cleared within seconds, once no start of it is unconfirmed any more.
    fn listed_on(&self, machine: &Machine) -> bool {
        machine.exited.keys().any(|(ended, _)| *ended == self.task)
    }

    /// How good the machine is, unless its image cache rules it out.
    fn score(
        &self,
        id: &MachineId,
        machine: &Machine,
        free: &[f64; 3],
        now: Secs,
    ) -> Option<MachineScore> {
        let spec = self.job.spec();
        let fetch = machine.fetch_time(&spec.image, spec.image_gb, now);
        self.images.allows(fetch).then(|| MachineScore {
            failed_before: self.job.avoids(id),
            scarcity: Scarcity::of(machine),
            fetch: (fetch * 10.0) as u64,
            free_cpus: (free[0] * 100.0) as i64,
        })
    }
}

/// Whether a task fits into free capacity: CPUs, GPUs, memory (GB).
pub(crate) fn fits(spec: &JobSpec, free: &[f64; 3]) -> bool {
    spec.cpus <= free[0] + AMOUNT_TOLERANCE
        && spec.gpus <= free[1] + AMOUNT_TOLERANCE
        && spec.memory_gb <= free[2] + AMOUNT_TOLERANCE
}

/// Whether a task of the job may start on a machine as far as type, zone and spot go,
/// given where the job's other tasks run.
pub(crate) fn machine_allowed(job: &Job, machine: &Machine, machines: &Machines) -> bool {
    let spec = job.spec();
    if !matches_spec(spec, machine) {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    // Some tasks may run on machines unknown: nothing can be promised about zones.
    if !job.maybe_running.is_empty() {
        return false;
    }
    zone_allowed(job, &machine.info.zone, machines)
}

/// Whether tasks of the job may run on such a machine: spot, zone and type.
pub(crate) fn matches_spec(spec: &JobSpec, machine: &Machine) -> bool {
    let info = &machine.info;
    (spec.spot || !info.spot)
        && spec.zone.as_ref().is_none_or(|zone| *zone == info.zone)
        && spec.types.as_ref().is_none_or(|types| types.contains(&info.kind))
}

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
    /// The free capacity of the usable machines that have room for the smallest task: in a
    /// full fleet these are few.
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
