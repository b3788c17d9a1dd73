//! Scale-out: decides which machines to rent from the cloud.
//!
//! Each round packs the waiting tasks onto capacity that is up or booting ([`bin_packing`]) and
//! rents machines for what doesn't fit: services, the warm reserve ([`warm_reserve`]), gangs, array
//! tasks that would start too late ([`late_tasks`]), spare-capacity work ([`spare_work`]), a
//! persistent backlog ([`backlog`]), and spot machines that replace ordinary ones
//! ([`spot_replacement`]). [`offers`] selects the cheapest machine for each.

mod backlog;
mod bin_packing;
mod capacity;
mod cpu_timeline;
mod late_tasks;
mod offers;
mod spare_work;
mod spot_replacement;
mod warm_reserve;

pub(crate) use offers::MachineOffer;

use crate::cloud_requests::UnansweredRent;
use crate::consts::*;
use crate::event::{ActionSink, Secs};
use crate::facts::Facts;
use crate::jobs::Job;
use crate::leader::Leader;
use bin_packing::{Capacity, TaskNeeds};
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::RentalRequest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tasks of a job for which there is no capacity.
#[derive(Debug)]
struct Shortage {
    /// Spec of the job.
    spec: JobSpec,
    /// Number of its tasks without capacity.
    tasks: u32,
}

/// The machines to rent in one round.
#[derive(Debug, Default)]
struct RentPlan {
    machines: BTreeMap<MachineOffer, u32>,
}

impl RentPlan {
    fn add(&mut self, offer: MachineOffer) {
        *self.machines.entry(offer).or_default() += 1;
    }
}

/// Tracks what teams may still start within their CPU limits. Tasks beyond a limit won't start, so
/// no machines are rented for them.
struct QuotaBudget {
    facts: Arc<Facts>,
    /// CPUs and GPUs in use, by team.
    usage: BTreeMap<String, [f64; 2]>,
}

impl QuotaBudget {
    /// Reserves quota for one more task. Returns false if the team's limit doesn't allow it.
    fn reserve(&mut self, spec: &JobSpec) -> bool {
        let Some(team) = self.facts.teams.iter().find(|t| t.name == spec.team) else {
            return false;
        };
        let used = self.usage.entry(spec.team.clone()).or_default();
        if team.cpus_max > 0.0 && used[0] + spec.cpus > team.cpus_max + AMOUNT_TOLERANCE {
            return false;
        }
        used[0] += spec.cpus;
        true
    }

    /// Reserves quota for up to `tasks` tasks. Returns how many of them may start.
    fn reserve_up_to(&mut self, spec: &JobSpec, tasks: u32) -> u32 {
        (0..tasks).take_while(|_| self.reserve(spec)).count() as u32
    }
}

impl Leader {
    /// Rents machines for waiting tasks that find no capacity.
    pub(crate) fn scale_out(&mut self, now: Secs, out: &mut ActionSink) {
        if !self.may_rent(now) {
            return;
        }
        let mut capacity = self.capacity(now, None);
        let mut quota = QuotaBudget { facts: self.facts.clone(), usage: self.team_usage() };
        let mut shortages = self.service_shortages(&mut capacity, &mut quota);
        shortages.extend(self.warm_shortages(now, &capacity));
        shortages.extend(self.gang_shortages(&mut capacity, &mut quota));
        let late = self.late_tasks(now, &capacity, |spec| quota.reserve(spec));
        shortages.extend(late.shortages);
        let mut plan = RentPlan::default();
        self.replace_with_spot(now, &capacity, &mut plan);
        let free_cpus: f64 = capacity.iter().map(Capacity::free_cpus).sum();
        self.plan_shortages(now, &shortages, &mut plan);
        self.plan_spare_work(now, &mut capacity, &mut quota, &mut plan);
        let backlog_cpus = late.cpus_wanted - free_cpus - self.planned_cpus(&plan);
        let ceiling = self.plan_ceiling();
        self.plan_for_backlog(now, backlog_cpus, ceiling, &mut plan);
        for (offer, count) in plan.machines {
            self.send_rent(now, offer, count, out);
        }
    }

    /// Whether machines may be rented now: not while many rent requests are in flight, nor just
    /// after a takeover, before the machines that are up have reported.
    fn may_rent(&self, now: Secs) -> bool {
        let cloud = &self.cloud_requests;
        if cloud.unanswered_rents().count() >= RENTS_UNANSWERED_MAX || cloud.types.is_empty() {
            return false;
        }
        let fleet_known = !self.machines.is_empty() || !cloud.booting.is_empty();
        now - cloud.leader_since >= RENT_AFTER_S || !fleet_known
    }

    fn service_shortages(
        &self,
        capacity: &mut [Capacity],
        quota: &mut QuotaBudget,
    ) -> Vec<Shortage> {
        self.waiting_services().map(|job| self.shortage(job, capacity, quota)).collect()
    }

    fn gang_shortages(&self, capacity: &mut [Capacity], quota: &mut QuotaBudget) -> Vec<Shortage> {
        let gangs = self
            .jobs
            .values()
            .filter(|job| job.spec().kind == Kind::Gang && !job.suspected_broken());
        gangs.map(|job| self.shortage(job, capacity, quota)).collect()
    }

    /// Packs the job's waiting tasks. Returns those that find no capacity.
    fn shortage(&self, job: &Job, capacity: &mut [Capacity], quota: &mut QuotaBudget) -> Shortage {
        let spec = job.spec();
        let tasks = quota.reserve_up_to(spec, job.waiting());
        let tasks = self.task_needs(spec).pack(capacity, tasks);
        Shortage { spec: spec.clone(), tasks }
    }

    fn task_needs(&self, spec: &JobSpec) -> TaskNeeds {
        TaskNeeds::of(spec, &self.cloud_requests.types)
    }

    /// Plans machines for the shortages. Capacity left over on a machine planned for one job is
    /// used for the next.
    fn plan_shortages(&mut self, now: Secs, shortages: &[Shortage], plan: &mut RentPlan) {
        let most = self.plan_limit(shortages);
        let mut planned: Vec<Capacity> = Vec::new();
        for Shortage { spec, tasks } in shortages {
            let needs = self.task_needs(spec);
            for left in (1..=*tasks).rev() {
                if needs.pack_one(&mut planned) {
                    continue;
                }
                if planned.len() >= most {
                    break;
                }
                let Some((machine, offer)) = self.cheapest_offer(now, spec, left, false) else {
                    break;
                };
                planned.push(machine);
                needs.pack_one(&mut planned);
                plan.add(offer);
            }
        }
    }

    /// Maximum number of machines that one round plans for shortages.
    fn plan_limit(&self, shortages: &[Shortage]) -> usize {
        let tasks: f64 = shortages.iter().map(|s| f64::from(s.tasks)).sum();
        PLAN_MAX.max((tasks * PLAN_SHARE) as usize).min(self.plan_ceiling())
    }

    /// Maximum number of machines per round: what one second's worth of cloud requests can rent.
    fn plan_ceiling(&self) -> usize {
        let ceiling = (self.facts.cloud_rps * CLOUD_SHARE * f64::from(RENT_MAX)) as usize;
        ceiling.max(PLAN_MAX)
    }

    fn planned_cpus(&self, plan: &RentPlan) -> f64 {
        let cloud = &self.cloud_requests;
        let cpus =
            |offer: &MachineOffer| cloud.machine_type(&offer.machine_type).map_or(0.0, |t| t.cpus);
        plan.machines.iter().map(|(offer, count)| cpus(offer) * f64::from(*count)).sum()
    }

    /// Sends a rent request for up to `RENT_MAX` machines, if the rate limit allows it.
    fn send_rent(&mut self, now: Secs, offer: MachineOffer, count: u32, out: &mut ActionSink) {
        if !self.cloud_requests.take_request() {
            return;
        }
        let request = self.cloud_requests.new_request_name(self.term);
        let MachineOffer { machine_type: kind, zone, spot } = offer;
        self.log.debug(|| {
            format!(
                "event=rent request={request} type={kind} zone={zone} spot={spot} count={count}"
            )
        });
        let rent = RentalRequest { request, kind, zone, spot, count: count.min(RENT_MAX) };
        self.cloud_requests.send_rent(UnansweredRent { rent, since: now }, out);
    }
}

#[cfg(test)]
#[path = "../tests/provision.rs"]
mod tests;
