//! Placement of array jobs from weighted queues, sized by task sampling.
//!
//! Jobs of few tasks are in the top queue. A wide job's pilot tasks are served from the
//! pilot queue; once they have run, mean run time × tasks picks the job's queue. Queues
//! share the machines by weight, and each serves its jobs first come, first served. What
//! is still idle then takes tasks of jobs whose pilots haven't run yet, by arrival.

use super::deadlines::{Urgency, urgency};
use super::queues::{by_rank_arrival_id, queue_of_job, queued_cpus};
use super::{ImagePolicy, PreemptionReason, SchedulingPass};
use crate::consts::*;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Priority;

/// Which array jobs a round serves.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ArrayRound {
    /// Those within their team's guarantee.
    Guaranteed,
    /// All but those that run only on spare capacity.
    Regular,
    /// All that are left.
    SpareCapacity,
}

/// Which of a job's tasks may be served.
#[derive(Clone, Copy, PartialEq)]
enum Eligible {
    Pilots,
    AllTasks,
}

impl Eligible {
    /// Only pilots until the job's size is known.
    fn of(job: &Job) -> Self {
        if job.queue.is_none() { Self::Pilots } else { Self::AllTasks }
    }
}

/// A job that waits in a queue.
#[derive(Clone)]
struct QueuedJob {
    /// The least goes first.
    order: (u8, Secs, JobId),
    eligible: Eligible,
}

/// The jobs of one round.
#[derive(Default)]
struct RoundQueues {
    /// Each queue's jobs, the first one last.
    queues: [Vec<QueuedJob>; QUEUES],
    /// Jobs whose size isn't known yet.
    unsized_jobs: Vec<(u8, Secs, JobId)>,
}

impl RoundQueues {
    fn add(&mut self, id: &JobId, job: &Job, urgency: Urgency) {
        // A higher priority goes first in its queue.
        let priority_rank = Priority::Production as u8 - job.priority() as u8;
        let eligible = Eligible::of(job);
        // Sized by its work, a wide job waits behind all smaller ones; one that runs out of
        // time moves up to the top queue, or its deadline would mean nothing.
        let queue = if urgency == Urgency::Urgent { 0 } else { queue_of_job(job) };
        let rank = priority_rank * 3 + urgency as u8;
        let order = (rank, job.arrived, id.clone());
        self.queues[queue].push(QueuedJob { order, eligible });
        if eligible == Eligible::Pilots {
            self.unsized_jobs.push((priority_rank, job.arrived, id.clone()));
        }
    }

    fn sort(&mut self) {
        for queue in &mut self.queues {
            // Kept reversed: the head is popped from the end.
            queue.sort_by(|a, b| by_rank_arrival_id(&b.order, &a.order));
        }
        self.unsized_jobs.sort_by(by_rank_arrival_id);
    }

    /// The queue that uses least for its weight, of those with jobs.
    fn next_queue(&self, used: &[f64; QUEUES]) -> Option<usize> {
        let weight = |queue: usize| QUEUE_GROWTH.powi(-(queue as i32));
        let share = |queue: usize| used[queue] / weight(queue);
        let waiting = (0..QUEUES).filter(|&queue| !self.queues[queue].is_empty());
        waiting.min_by(|&a, &b| share(a).total_cmp(&share(b)))
    }
}

impl Leader {
    /// Places one task of each array job that has waited too long for its first.
    pub(super) fn place_overdue_arrays(&mut self, pass: &mut SchedulingPass) {
        for id in self.overdue_arrays(pass.now) {
            let eligible = self.jobs.get(&id).map_or(Eligible::AllTasks, Eligible::of);
            self.place_next(pass, &id, eligible, false, ImagePolicy::Any);
        }
    }

    /// Array jobs that have waited too long for their first task, by arrival.
    fn overdue_arrays(&self, now: Secs) -> Vec<JobId> {
        let overdue = |job: &Job| {
            job.started.is_empty() && now - job.arrived > BEGIN_LATEST_S && job.waiting() > 0
        };
        let mut jobs: Vec<(Secs, &JobId)> = self
            .queue_snapshot
            .arrays
            .iter()
            .filter_map(|id| Some((id, self.jobs.get(id)?)))
            .filter(|(_, job)| overdue(job))
            .map(|(id, job)| (job.arrived, id))
            .collect();
        jobs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        jobs.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Serves the queues by weight, then jobs whose size isn't known.
    pub(super) fn place_arrays(
        &mut self,
        pass: &mut SchedulingPass,
        round: ArrayRound,
        images: ImagePolicy,
    ) {
        let may_preempt = may_preempt(pass, round, images);
        // Without preemption nothing can be placed where no machine has free capacity.
        if pass.available.is_empty() && !may_preempt {
            return;
        }
        let guaranteed = round == ArrayRound::Guaranteed;
        let mut jobs = self.round_queues(pass, round);
        while let Some(queue) = jobs.next_queue(&self.queue_snapshot.used) {
            if pass.available.is_empty() && !may_preempt {
                break;
            }
            let Some(head) = jobs.queues[queue].last().cloned() else { break };
            let (_, _, id) = head.order;
            match self.place_next(pass, &id, head.eligible, guaranteed, images) {
                Some(cpus) => self.queue_snapshot.used[queue] += cpus,
                None => {
                    jobs.queues[queue].pop();
                }
            }
        }
        for (_, _, id) in jobs.unsized_jobs {
            while self.place_next(pass, &id, Eligible::AllTasks, guaranteed, images).is_some() {}
        }
    }

    fn round_queues(&self, pass: &SchedulingPass, round: ArrayRound) -> RoundQueues {
        let mut jobs = RoundQueues::default();
        for id in &self.queue_snapshot.arrays {
            let Some(job) = self.jobs.get(id) else { continue };
            if job.waiting() > 0 && self.is_in_round(pass, round, job) {
                jobs.add(id, job, urgency(job, &self.facts, pass.now));
            }
        }
        jobs.sort();
        jobs
    }

    fn is_in_round(&self, pass: &SchedulingPass, round: ArrayRound, job: &Job) -> bool {
        match round {
            ArrayRound::Guaranteed => self.within_guarantee(pass, job),
            ArrayRound::Regular => !job.spare(),
            ArrayRound::SpareCapacity => true,
        }
    }

    /// Places the job's next task, if need be by preemption; the CPUs that it counts in its
    /// queue, or `None` if it found no machine.
    fn place_next(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        eligible: Eligible,
        guaranteed: bool,
        images: ImagePolicy,
    ) -> Option<f64> {
        let job = self.jobs.get(id)?;
        if guaranteed && !self.within_guarantee(pass, job) {
            return None;
        }
        let job = self.jobs.get_mut(id)?;
        let index = match eligible {
            Eligible::Pilots => job.next_pilot(pass.now)?,
            Eligible::AllTasks => job.next_task(pass.now)?,
        };
        let cpus = queued_cpus(job);
        let allowed = self.allowed_images(pass.now, id, images)?;
        if self.place_task(pass, id, index, allowed) {
            return Some(cpus);
        }
        // Preemption is for the last try only.
        if images == ImagePolicy::Cached {
            return None;
        }
        let placed = self.preempt_spare_capacity(pass, id, index, allowed)?
            || self.preempt_for_guarantee(pass, id, index, guaranteed)?;
        placed.then_some(cpus)
    }

    /// The machines that the job's next task may start on: after a while any, or a rare
    /// image would never be fetched.
    fn allowed_images(&self, now: Secs, id: &JobId, images: ImagePolicy) -> Option<ImagePolicy> {
        let waited = now - self.jobs.get(id)?.arrived > IMAGE_PATIENCE_S;
        Some(match images {
            ImagePolicy::Cached if !waited => ImagePolicy::Cached,
            ImagePolicy::Any => ImagePolicy::Any,
            _ if waited && self.worth_fetch_after_wait(id) => ImagePolicy::Any,
            _ if self.worth_fetch(id) => ImagePolicy::Any,
            _ => ImagePolicy::Cached,
        })
    }

    /// Spare-capacity work gives way to all other at once: where it was left to run on,
    /// others waited for minutes beside it.
    fn preempt_spare_capacity(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        images: ImagePolicy,
    ) -> Option<bool> {
        if pass.preemptions_left == 0 || self.jobs.get(id)?.spare() {
            return Some(false);
        }
        let reason = PreemptionReason::SpareCapacity;
        let preempted = self.preempt_for(pass, id, index, images, reason);
        if preempted {
            pass.preemptions_left -= 1;
        }
        Some(preempted)
    }

    /// A job within its team's guarantee preempts teams beyond theirs, once it has waited.
    fn preempt_for_guarantee(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        guaranteed: bool,
    ) -> Option<bool> {
        let patient = pass.now - self.jobs.get(id)?.arrived < GUARANTEE_PATIENCE_S;
        if !guaranteed || patient {
            return Some(false);
        }
        let reason = PreemptionReason::Guarantee;
        Some(self.preempt_for(pass, id, index, ImagePolicy::Cached, reason))
    }
}

/// Whether tasks of this round may preempt others.
fn may_preempt(pass: &SchedulingPass, round: ArrayRound, images: ImagePolicy) -> bool {
    let round_preempts = match round {
        ArrayRound::Guaranteed => true,
        ArrayRound::Regular => pass.preemptions_left > 0,
        ArrayRound::SpareCapacity => false,
    };
    round_preempts && images != ImagePolicy::Cached && pass.is_full()
}
