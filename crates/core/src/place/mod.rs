//! Task placement: decides which waiting task starts on which machine.
//!
//! A scheduling pass serves services first, by priority and arrival; then gangs; then array jobs
//! that have waited too long for their first task; then all other array jobs from the weighted
//! queues ([`array_jobs`]). In a multi-cell deployment, a starved array may go first, and a
//! recovering leader withholds some capacity ([`bound_to_cell`]). Team quotas limit every step
//! ([`quota`]).
//!
//! A full pass considers all machines. When a machine becomes free between two full passes, a pass
//! over that machine alone fills it from the queue snapshot of the last full pass, so that a
//! heartbeat never requires a scan of all jobs.

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
pub(crate) use image_demand::ImageDemand;
pub(crate) use pass::{ImagePolicy, PreemptionReason, RequestShape, SchedulingPass};
pub(crate) use queues::QueueSnapshot;
pub(crate) use quota::exceeds_limit;

use crate::event::Secs;
use crate::leader::Leader;
use array_jobs::ArrayRound;
use image_demand::image_demand;
use marblebarrow_proto::ids::MachineId;

impl Leader {
    /// Runs a scheduling pass over all machines, or over a single one.
    pub(crate) fn place(&mut self, now: Secs, only_machine: Option<&MachineId>) {
        if self.cloud_requests.types.is_empty() {
            return;
        }
        let available = self.available_machines(now, only_machine);
        if only_machine.is_some() && available.is_empty() {
            return;
        }
        if only_machine.is_none() {
            self.image_demand =
                image_demand(&self.jobs, &self.machines, now, self.facts.heartbeat_interval_s);
            self.queue_snapshot = QueueSnapshot::of(&self.jobs);
        }
        let usage = self.team_usage();
        let spare_running = self.queue_snapshot.spare_running;
        let mut pass = SchedulingPass::new(
            now,
            self.facts.heartbeat_timing(),
            usage,
            available,
            only_machine.cloned(),
            spare_running,
        );
        self.place_starved_array(&mut pass);
        self.place_services(&mut pass);
        self.withhold_for_unlocated_replicas(&mut pass);
        if pass.is_full() {
            self.place_gangs(&mut pass);
        }
        self.place_overdue_arrays(&mut pass);
        self.place_array_rounds(&mut pass);
        if pass.is_full() {
            self.finish_full_pass(&pass);
        }
    }

    /// Places array jobs: first those within their team's guarantee, then all regular ones, and
    /// last those that run only on spare capacity.
    fn place_array_rounds(&mut self, pass: &mut SchedulingPass) {
        let any_guarantee = self.facts.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        for round in [ArrayRound::Guaranteed, ArrayRound::Regular, ArrayRound::SpareCapacity] {
            if round == ArrayRound::Guaranteed && !any_guarantee {
                continue;
            }
            // On a busy fleet, image fetches consume a significant share of machine time, so tasks
            // whose image is cached go before tasks that must fetch it.
            for images in [ImagePolicy::Cached, ImagePolicy::FetchIfWorthwhile] {
                self.place_arrays(pass, round, images);
            }
        }
    }

    /// Requests another pass if this one used up its preemptions, and updates `backlog`.
    fn finish_full_pass(&mut self, pass: &SchedulingPass) {
        if pass.preemptions_left == 0 && self.queue_snapshot.spare_running {
            self.place_due = true;
        }
        self.backlog = self.jobs.values().any(|job| job.waiting() > 0);
    }
}
