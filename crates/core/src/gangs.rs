//! Gangs: placed whole or not at all.

use crate::jobs::Job;
use crate::leader::Leader;
use crate::place::{SchedulingPass, fits, machine_allowed};
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::job::{JobSpec, Kind};
use std::collections::BTreeMap;

impl Leader {
    /// A gang starts when all its tasks fit at once; until then the others of
    /// its queue are served.
    pub(crate) fn place_gangs(&mut self, pass: &mut SchedulingPass) {
        for id in self.waiting_by_priority(Kind::Gang) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let members = job.gang_members(pass.now);
            if members.is_empty() {
                continue;
            }
            // The members of a gang find each other by their common attempt.
            let places = self.gang_places(pass, job, &members);
            let attempt = self.new_attempt();
            for (n, machine) in places {
                self.assign(pass, &id, n, &machine, attempt);
            }
        }
    }

    /// Machines for all members, or none.
    fn gang_places(
        &self,
        pass: &SchedulingPass,
        job: &Job,
        members: &[u32],
    ) -> Vec<(u32, MachineId)> {
        let spec = job.spec();
        let n = members.len() as f64;
        let whole = JobSpec { cpus: spec.cpus * n, gpus: spec.gpus * n, ..spec.clone() };
        if members.is_empty() || !self.within_limit(pass, &whole) {
            return Vec::new();
        }
        let mut zones: Vec<Option<&str>> = vec![None];
        if spec.one_zone {
            zones = self.machines.values().map(|m| Some(m.info.zone.as_str())).collect();
            zones.sort_unstable();
            zones.dedup();
        }
        for zone in zones {
            let mut rooms: Vec<(&MachineId, &str, [f64; 3], bool)> = self
                .machines
                .iter()
                .filter(|(_, m)| {
                    m.usable(pass.now, self.facts.report_s)
                        && zone.is_none_or(|z| z == m.info.zone)
                        && machine_allowed(job, m, &self.machines)
                        && !m.exited.keys().any(|(t, _)| t.job == spec.id)
                })
                .map(|(id, m)| (id, m.info.zone.as_str(), m.free(), m.has_image(&spec.image)))
                .collect();
            // Machines with the image first, then the fullest.
            rooms.sort_by(|a, b| b.3.cmp(&a.3).then(a.2[0].total_cmp(&b.2[0])));
            let mut in_zone: BTreeMap<&str, u32> = BTreeMap::new();
            let mut places = Vec::new();
            for &member in members {
                let most = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
                let room = rooms.iter_mut().find(|(_, z, free, _)| {
                    fits(spec, free) && in_zone.get(z).copied().unwrap_or(0) < most
                });
                let Some((id, z, free, _)) = room else { break };
                free[0] -= spec.cpus;
                free[1] -= spec.gpus;
                free[2] -= spec.memory_gb;
                *in_zone.entry(z).or_default() += 1;
                places.push((member, (*id).clone()));
            }
            if places.len() == members.len() {
                return places;
            }
        }
        Vec::new()
    }
}
