//! Gang scheduling: the tasks of a gang are placed all at once or not at all.

use crate::fleet::Machine;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::place::{SchedulingPass, fits, machine_allowed};
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::job::{JobSpec, Kind};
use std::collections::BTreeMap;

/// A machine that may run members of a gang.
struct Candidate<'a> {
    id: &'a MachineId,
    zone: &'a str,
    /// Free CPUs, GPUs and memory (GB).
    free: [f64; 3],
    has_image: bool,
}

/// The machine chosen for a member of a gang.
struct Assignment {
    /// Index of the member's task.
    member: u32,
    machine: MachineId,
}

impl Leader {
    /// Places the gangs whose members all fit now. A gang that doesn't fit does not hold up
    /// other jobs of its queue.
    pub(crate) fn place_gangs(&mut self, pass: &mut SchedulingPass) {
        for id in self.waiting_by_priority(Kind::Gang) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let members = job.gang_members(pass.now);
            if members.is_empty() {
                continue;
            }
            // Members of a gang find each other by their common attempt number.
            let assignments = self.assign_members(pass, job, &members);
            let attempt = self.new_attempt();
            for Assignment { member, machine } in assignments {
                self.assign(pass, &id, member, &machine, attempt);
            }
        }
    }

    /// Machines for all members; empty if they don't all fit.
    fn assign_members(&self, pass: &SchedulingPass, job: &Job, members: &[u32]) -> Vec<Assignment> {
        let spec = job.spec();
        let size = members.len() as f64;
        let whole = JobSpec { cpus: spec.cpus * size, gpus: spec.gpus * size, ..spec.clone() };
        if members.is_empty() || !self.within_limit(pass, &whole) {
            return Vec::new();
        }
        for zone in self.gang_zones(spec) {
            let candidates = self.gang_candidates(pass, job, zone);
            let assignments = pack_members(spec, members, candidates);
            if assignments.len() == members.len() {
                return assignments;
            }
        }
        Vec::new()
    }

    /// The zones to try one after another; `None` stands for all zones together.
    fn gang_zones(&self, spec: &JobSpec) -> Vec<Option<&str>> {
        if !spec.one_zone {
            return vec![None];
        }
        let mut zones: Vec<_> =
            self.machines.values().map(|m| Some(m.info.zone.as_str())).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Machines that may run members: those that hold the image first, then those with the
    /// fewest free CPUs.
    fn gang_candidates(
        &self,
        pass: &SchedulingPass,
        job: &Job,
        zone: Option<&str>,
    ) -> Vec<Candidate<'_>> {
        let spec = job.spec();
        let allowed = |m: &Machine| {
            m.usable(pass.now, self.facts.heartbeat_interval_s)
                && zone.is_none_or(|zone| zone == m.info.zone)
                && machine_allowed(job, m, &self.machines)
                && !m.ended_attempts.keys().any(|(task, _)| task.job == spec.id)
        };
        let mut candidates: Vec<Candidate> = self
            .machines
            .iter()
            .filter(|(_, m)| allowed(m))
            .map(|(id, m)| Candidate {
                id,
                zone: &m.info.zone,
                free: m.free(),
                has_image: m.has_image(&spec.image),
            })
            .collect();
        candidates
            .sort_by(|a, b| b.has_image.cmp(&a.has_image).then(a.free[0].total_cmp(&b.free[0])));
        candidates
    }
}

/// Packs members onto the candidates by first fit; stops at the first member that doesn't fit.
fn pack_members(
    spec: &JobSpec,
    members: &[u32],
    mut candidates: Vec<Candidate>,
) -> Vec<Assignment> {
    let max_in_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
    let mut in_zone: BTreeMap<&str, u32> = BTreeMap::new();
    let mut assignments = Vec::new();
    for &member in members {
        let candidate = candidates.iter_mut().find(|candidate| {
            let placed = in_zone.get(candidate.zone).copied().unwrap_or(0);
            fits(spec, &candidate.free) && placed < max_in_zone
        });
        let Some(candidate) = candidate else { break };
        candidate.free[0] -= spec.cpus;
        candidate.free[1] -= spec.gpus;
        candidate.free[2] -= spec.memory_gb;
        *in_zone.entry(candidate.zone).or_default() += 1;
        assignments.push(Assignment { member, machine: candidate.id.clone() });
    }
    assignments
}
