//! Queues of waiting tasks.

use crate::consts::{PILOT_QUEUE, QUEUES};
use crate::event::Secs;
use crate::jobs::{Job, Jobs};
use crate::leader::Leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::Kind;
use std::cmp::{Ordering, Reverse};

/// The waiting jobs, and the CPUs used by each queue's array jobs. Every full pass takes a
/// snapshot; machines that become free before the next full pass are filled from it.
#[derive(Debug, Default)]
pub(crate) struct QueueSnapshot {
    /// Services with waiting tasks, by priority and arrival.
    pub(super) services: Vec<JobId>,
    /// Array jobs with waiting tasks.
    pub(super) arrays: Vec<JobId>,
    /// CPUs used by each queue's tasks.
    pub(super) used: [f64; QUEUES],
    /// Whether any spare-capacity work is running.
    pub(super) spare_running: bool,
}

impl QueueSnapshot {
    /// Collects the jobs that have waiting tasks.
    pub(super) fn of(jobs: &Jobs) -> Self {
        let mut snapshot = Self { services: waiting_jobs(jobs, Kind::Service), ..Self::default() };
        for (id, job) in jobs.iter().filter(|(_, job)| job.spec().kind == Kind::Array) {
            let cpus = job.live.len() as f64 * queued_cpus(job);
            snapshot.used[queue_of_job(job)] += cpus;
            snapshot.spare_running |= job.is_spare_capacity_work() && !job.live.is_empty();
            if job.waiting() > 0 {
                snapshot.arrays.push(id.clone());
            }
        }
        snapshot
    }
}

/// The index of the queue that serves an array job; the pilot queue until the job's size is known.
pub(super) fn queue_of_job(job: &Job) -> usize {
    job.queue.map_or(PILOT_QUEUE, usize::from)
}

/// CPUs that one task of the job counts toward its queue's usage.
pub(super) fn queued_cpus(job: &Job) -> f64 {
    job.spec().cpus.max(1e-3)
}

/// Jobs of a kind that have tasks waiting, by priority and arrival.
fn waiting_jobs(jobs: &Jobs, kind: Kind) -> Vec<JobId> {
    let mut waiting: Vec<_> = jobs
        .iter()
        .filter(|(_, job)| job.spec().kind == kind && job.waiting() > 0)
        .map(|(id, job)| (Reverse(job.priority()), job.arrived, id))
        .collect();
    waiting.sort_by(by_rank_arrival_id);
    waiting.into_iter().map(|(_, _, id)| id.clone()).collect()
}

/// Compares jobs by rank, then by arrival, then by id.
pub(super) fn by_rank_arrival_id<R: Ord, I: Ord>(a: &(R, Secs, I), b: &(R, Secs, I)) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
}

impl Leader {
    /// Jobs of a kind that have tasks waiting, by priority and arrival.
    pub(crate) fn waiting_by_priority(&self, kind: Kind) -> Vec<JobId> {
        waiting_jobs(&self.jobs, kind)
    }
}
