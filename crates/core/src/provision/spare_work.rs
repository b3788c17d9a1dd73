//! Scale-out for spare-capacity work.

use super::bin_packing::Capacity;
use super::{MachineOffer, QuotaBudget, RentPlan};
use crate::consts::*;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::job::JobSpec;

/// A spare-capacity job with waiting tasks.
struct SpareJob {
    arrived: Secs,
    spec: JobSpec,
    waiting: u32,
    /// Expected run time of a task as a share of the machine's minimum billing time, at most 1.
    busy_share: f64,
    has_begun: bool,
}

impl SpareJob {
    fn of(job: &Job) -> Self {
        Self {
            arrived: job.arrived,
            spec: job.spec().clone(),
            waiting: job.waiting(),
            busy_share: (job.likely_run() / SPARE_BUSY_S).min(1.0),
            has_begun: !job.started.is_empty(),
        }
    }
}

impl Leader {
    /// Plans spot machines for spare-capacity work, which is worth running at their price. Plans no
    /// more machines than the work keeps busy for longer than their minimum billing time, as all
    /// other work preempts it at once. An ordinary machine is planned only for a job's first task,
    /// or for a job that has waited for a very long time.
    pub(super) fn plan_spare_work(
        &mut self,
        now: Secs,
        capacity: &mut [Capacity],
        quota: &mut QuotaBudget,
        plan: &mut RentPlan,
    ) {
        let mut planned: Vec<Capacity> = Vec::new();
        for job in self.spare_jobs() {
            let needs = self.task_needs(&job.spec);
            let tasks = quota.reserve_up_to(&job.spec, job.waiting.min(PROJECTED_TASKS_MIN));
            let unpacked = needs.pack(capacity, tasks);
            let worth = (f64::from(unpacked) * job.busy_share).ceil() as u32;
            let age = now - job.arrived;
            let begins = unpacked == tasks && !job.has_begun && age > SPARE_BEGIN_S;
            for left in (1..=worth).rev() {
                if needs.pack_one(&mut planned) {
                    continue;
                }
                if planned.len() >= PLAN_MAX {
                    return;
                }
                let ordinary = age > SPARE_LATEST_S || begins && left == worth;
                let offer = self.spare_work_offer(now, &job.spec, left, ordinary);
                let Some((machine, offer)) = offer else { break };
                planned.push(machine);
                needs.pack_one(&mut planned);
                plan.add(offer);
            }
        }
    }

    /// Spare-capacity jobs with waiting tasks, by arrival.
    fn spare_jobs(&self) -> Vec<SpareJob> {
        let waits = |job: &&Job| {
            job.is_spare_capacity_work() && job.waiting() > 0 && !job.suspected_broken()
        };
        let mut jobs: Vec<SpareJob> = self.jobs.values().filter(waits).map(SpareJob::of).collect();
        jobs.sort_by(|a, b| a.arrived.total_cmp(&b.arrived).then(a.spec.id.cmp(&b.spec.id)));
        jobs
    }

    /// The cheapest spot machine, or, if none is available and `ordinary` is set, the cheapest
    /// machine of any kind.
    fn spare_work_offer(
        &mut self,
        now: Secs,
        spec: &JobSpec,
        tasks: u32,
        ordinary: bool,
    ) -> Option<(Capacity, MachineOffer)> {
        match self.cheapest_offer(now, spec, tasks, true) {
            None if ordinary => self.cheapest_offer(now, spec, tasks, false),
            spot => spot,
        }
    }
}
