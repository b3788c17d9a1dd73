//! Placement of array jobs from weighted queues, sized by task sampling.
//!
//! Jobs with few tasks go to the top queue. A wide job first runs a few pilot tasks from the pilot
//! queue; once they have run, their mean run time times the number of tasks selects the job's
//! queue. The queues share the machines by weight, and each serves its jobs first come, first
//! served. Capacity that is still idle after that goes, in order of arrival, to tasks of jobs whose
//! pilots haven't run yet.

use super::deadlines::{Urgency, urgency};
use super::queues::{by_rank_arrival_id, queue_of_job, queued_cpus};
use super::{ImagePolicy, PreemptionReason, SchedulingPass};
use crate::consts::*;
use crate::event::Secs;
use crate::jobs::Job;
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Priority;

/// Which array jobs a round of a pass serves.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ArrayRound {
    /// Jobs within their team's guarantee.
    Guaranteed,
    /// All jobs except those that run only on spare capacity.
    Regular,
    /// All remaining jobs.
    SpareCapacity,
}

/// Which of a job's tasks may be placed.
#[derive(Clone, Copy, PartialEq)]
enum Eligible {
    Pilots,
    AllTasks,
}

impl Eligible {
    /// Only pilot tasks until the job's size is known.
    fn of(job: &Job) -> Self {
        if job.queue.is_none() { Self::Pilots } else { Self::AllTasks }
    }
}

/// A job waiting in a queue.
#[derive(Clone)]
struct QueuedJob {
    /// Rank, arrival and id; the lowest goes first.
    order: (u8, Secs, JobId),
    eligible: Eligible,
}

/// The waiting jobs of one round, by queue.
#[derive(Default)]
struct RoundQueues {
    /// Each queue's jobs in reverse order: the head is the last element.
    queues: [Vec<QueuedJob>; QUEUES],
    /// Jobs whose size isn't known yet.
    unsized_jobs: Vec<(u8, Secs, JobId)>,
}

impl RoundQueues {
    fn add(&mut self, id: &JobId, job: &Job, urgency: Urgency) {
        // A higher priority goes first in its queue.
        let priority_rank = Priority::Production as u8 - job.priority() as u8;
        let eligible = Eligible::of(job);
        // A wide job waits in its size queue behind all smaller ones. When its deadline becomes
        // urgent it moves to the top queue, as it would otherwise miss the deadline.
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
            // Sorted in reverse, so that the head can be popped from the end.
            queue.sort_by(|a, b| by_rank_arrival_id(&b.order, &a.order));
        }
        self.unsized_jobs.sort_by(by_rank_arrival_id);
    }

    /// The non-empty queue with the lowest usage relative to its weight.
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

    /// Array jobs that have waited too long for their first task, in order of arrival.
    fn overdue_arrays(&self, now: Secs) -> Vec<JobId> {
        let overdue = |job: &Job| {
            job.started.is_empty() && now - job.arrived > FIRST_TASK_DEADLINE_S && job.waiting() > 0
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

    /// Places tasks from the queues by weight, then tasks of jobs whose size isn't known.
    pub(super) fn place_arrays(
        &mut self,
        pass: &mut SchedulingPass,
        round: ArrayRound,
        images: ImagePolicy,
    ) {
        let may_preempt = may_preempt(pass, round, images);
        // Without preemption, nothing can be placed when no machine has free capacity.
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

    /// Collects the waiting array jobs that take part in the round.
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
            ArrayRound::Regular => !job.is_spare_capacity_work(),
            ArrayRound::SpareCapacity => true,
        }
    }

    /// Places the job's next task, by preemption if necessary. Returns the CPUs to count toward its
    /// queue, or `None` if no machine was found.
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
        // Preemption is only tried in the last round of image policies.
        if images == ImagePolicy::Cached {
            return None;
        }
        let placed = self.preempt_spare_capacity(pass, id, index, allowed)?
            || self.preempt_for_guarantee(pass, id, index, guaranteed)?;
        placed.then_some(cpus)
    }

    /// The image policy for the job's next task. It is relaxed once the job has waited for
    /// `IMAGE_PATIENCE_S`; otherwise a rarely used image would never be fetched.
    fn allowed_images(&self, now: Secs, id: &JobId, images: ImagePolicy) -> Option<ImagePolicy> {
        let waited_long = now - self.jobs.get(id)?.arrived > IMAGE_PATIENCE_S;
        Some(match images {
            ImagePolicy::Cached if !waited_long => ImagePolicy::Cached,
            ImagePolicy::Any => ImagePolicy::Any,
            _ if waited_long && self.worth_fetch_after_wait(id) => ImagePolicy::Any,
            _ if self.worth_fetch(id) => ImagePolicy::Any,
            _ => ImagePolicy::Cached,
        })
    }

    /// Preempts spare-capacity work for the task, without any waiting time: when that work was left
    /// running, other tasks waited for minutes next to it.
    fn preempt_spare_capacity(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        images: ImagePolicy,
    ) -> Option<bool> {
        if pass.preemptions_left == 0 || self.jobs.get(id)?.is_spare_capacity_work() {
            return Some(false);
        }
        let reason = PreemptionReason::SpareCapacity;
        let preempted = self.preempt_for(pass, id, index, images, reason);
        if preempted {
            pass.preemptions_left -= 1;
        }
        Some(preempted)
    }

    /// Preempts tasks of teams that exceed their guarantee, for a job within its team's guarantee
    /// that has waited for `GUARANTEE_PATIENCE_S`.
    fn preempt_for_guarantee(
        &mut self,
        pass: &mut SchedulingPass,
        id: &JobId,
        index: u32,
        guaranteed: bool,
    ) -> Option<bool> {
        let within_patience = pass.now - self.jobs.get(id)?.arrived < GUARANTEE_PATIENCE_S;
        if !guaranteed || within_patience {
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
