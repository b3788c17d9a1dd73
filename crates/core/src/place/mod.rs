//! Task placement: which waiting task starts on which machine.
//!
//! A scheduling pass serves services first, by priority and arrival; then gangs; then
//! array jobs that have waited too long for their first task; then all other array jobs
//! from the weighted queues ([`array_jobs`]). Where jobs may move to other cells, some arrays
//! go first, and some capacity is withheld ([`bound_to_cell`]). Team quotas bound every step ([`quota`]).
//!
//! A full pass looks at all machines. A machine that becomes free between two full passes
//! is filled by a pass over this machine alone, from the queue snapshot of the last full
//! pass, so that a heartbeat costs no scan of all jobs.

mod array_jobs;
mod assign;
mod bound_to_cell;
mod candidates;
mod deadlines;
mod image_demand;
mod pass;
mod queues;
mod quota;
mod services;

pub(crate) use candidates::{fits, machine_allowed, matches_spec};
pub(crate) use image_demand::Demand;
pub(crate) use pass::{ImagePolicy, PreemptionReason, RequestShape, SchedulingPass};
pub(crate) use queues::QueueSnapshot;
pub(crate) use quota::exceeds_limit;

use crate::event::Secs;
use crate::leader::Leader;
use array_jobs::ArrayRound;
use image_demand::image_demand;
use marblebarrow_proto::ids::MachineId;

impl Leader {
    /// Places what can be placed now, on any machine or on one only.
    pub(crate) fn place(&mut self, now: Secs, only_machine: Option<&MachineId>) {
        if self.cloud_requests.types.is_empty() {
            return;
        }
        let available = self.available_machines(now, only_machine);
        if only_machine.is_some() && available.is_empty() {
            return;
        }
        if only_machine.is_none() {
            self.images =
                image_demand(&self.jobs, &self.machines, now, self.facts.heartbeat_interval_s);
            self.queue_snapshot = QueueSnapshot::of(&self.jobs);
        }
        let usage = self.team_usage();
        let spare_running = self.queue_snapshot.spare_running;
        let mut pass =
            SchedulingPass::new(now, usage, available, only_machine.cloned(), spare_running);
        self.place_left_behind(&mut pass);
        self.place_services(&mut pass);
        self.withhold_for_unfound_replicas(&mut pass);
        if pass.is_full() {
            self.place_gangs(&mut pass);
        }
        self.place_overdue_arrays(&mut pass);
        self.place_array_rounds(&mut pass);
        if pass.is_full() {
            self.finish_full_pass(&pass);
        }
    }

    /// Array jobs within their team's guarantee, then all array jobs, and last those that
    /// run only on spare capacity.
    fn place_array_rounds(&mut self, pass: &mut SchedulingPass) {
        let any_guarantee = self.facts.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        for round in [ArrayRound::Guaranteed, ArrayRound::Regular, ArrayRound::SpareCapacity] {
            if round == ArrayRound::Guaranteed && !any_guarantee {
                continue;
            }
            // When machines are scarce, image fetches are what they are scarce for:
            // tasks whose image is cached go before tasks that must fetch it.
            for images in [ImagePolicy::Cached, ImagePolicy::FetchIfWorthwhile] {
                self.place_arrays(pass, round, images);
            }
        }
    }

    fn finish_full_pass(&mut self, pass: &SchedulingPass) {
        if pass.preemptions_left == 0 && self.queue_snapshot.spare_running {
            self.place_due = true;
        }
        self.backlog = self.jobs.values().any(|job| job.waiting() > 0);
    }
}
