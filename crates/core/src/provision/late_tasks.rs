//! Finds array tasks that will be late unless machines are rented. Waiting tasks are projected onto
//! the CPUs as these become free, the job that is due first going first.

use super::Shortage;
use super::bin_packing::{Capacity, Location};
use super::cpu_timeline::CpuTimeline;
use crate::consts::*;
use crate::event::Secs;
use crate::jobs::{Job, Live};
use crate::leader::Leader;
use crate::pipelines::NextStage;
use marblebarrow_proto::job::{JobSpec, Kind};
use marblebarrow_proto::wire::MachineType;

/// The result of projecting the waiting array tasks.
pub(super) struct LateTasks {
    /// Tasks that will be late and that a machine rented now would start sooner.
    pub(super) shortages: Vec<Shortage>,
    /// CPUs that the projected tasks need, except those of jobs that can wait.
    pub(super) cpus_wanted: f64,
}

/// Waiting tasks of a job, or tasks that will wait once the jobs that it depends on are done.
struct WaitingTasks<'a> {
    job: &'a Job,
    count: u32,
    /// Earliest time at which a task can start.
    ready_at: Secs,
    due: Secs,
}

/// A projection of waiting tasks onto CPUs.
struct Projection {
    now: Secs,
    cpus: CpuTimeline,
    /// Delay in seconds between a task's placement and the moment it runs.
    start_lag: Secs,
    /// Shortest boot time in seconds of a machine rented now.
    boot: Secs,
    /// Number of tasks that may still be projected.
    left: u32,
    cpus_wanted: f64,
}

impl Projection {
    /// Projects a job's waiting tasks. Returns the number of tasks that will be late.
    fn project(
        &mut self,
        waiting: &WaitingTasks<'_>,
        allowed: impl Fn(&Location) -> bool,
        mut reserve: impl FnMut(&JobSpec) -> bool,
    ) -> u32 {
        let spec = waiting.job.spec();
        let cpus_wanted = if waiting.job.has_time_left(self.now) { 0.0 } else { spec.cpus };
        let mut late = 0;
        for _ in 0..waiting.count {
            if self.left == 0 || !reserve(spec) {
                break;
            }
            self.left -= 1;
            self.cpus_wanted += cpus_wanted;
            late += u32::from(self.project_task(waiting, &allowed));
        }
        late
    }

    /// Projects one task. Returns whether it will be late.
    fn project_task(
        &mut self,
        waiting: &WaitingTasks<'_>,
        allowed: impl Fn(&Location) -> bool,
    ) -> bool {
        let run = waiting.job.likely_run();
        let width = task_width(waiting.job);
        let taken = self.cpus.take(width, allowed);
        let complete = taken.len() == width as usize;
        let last = taken.iter().map(|cpu| cpu.at).max().filter(|_| complete);
        let free_at = last.map_or(f64::INFINITY, |at| at as f64 / 1e3);
        let start = free_at.max(waiting.ready_at);
        let ends_late = start + self.start_lag + run * RENT_SPREAD > waiting.due;
        // Counts as late only if a machine rented now would start it sooner.
        let late = ends_late && start > waiting.ready_at.max(self.now + self.boot);
        let free = millis(self.now, start + self.start_lag + run);
        for cpu in taken {
            self.cpus.add(cpu.location, 1, if late { cpu.at } else { free });
        }
        late
    }
}

/// Converts a time to milliseconds; earlier times count as `now`.
fn millis(now: Secs, at: Secs) -> u64 {
    (at.max(now) * 1e3) as u64
}

/// Number of whole CPUs that a task occupies.
fn task_width(job: &Job) -> u32 {
    job.spec().cpus.ceil().max(1.0) as u32
}

/// Whether the job's waiting tasks take part in the projection.
fn is_projected(job: &Job) -> bool {
    job.waiting() > 0 && !job.suspected_broken() && !job.is_spare_capacity_work()
}

/// Time at which an attempt is expected to end.
fn expected_end(job: &Job, live: &Live, now: Secs, start_lag: Secs) -> Secs {
    let run = job.likely_run();
    match live.ran_from {
        // Spare-capacity work is preempted at once.
        _ if job.is_spare_capacity_work() => now,
        // An attempt that was running at the takeover is assumed to be half done, as its start
        // isn't known. When such attempts counted as just begun, a new leader rented hundreds of
        // machines that came up after the work was over.
        _ if live.adopted => (live.placed_at + run * 0.5).max(now + run * OVERDUE_SHARE),
        // A task that has run for longer than the mean isn't about to end, as half of all tasks run
        // longer. When its CPUs counted as free at once, they hid a backlog.
        Some(from) => (from + run).max(now + run * OVERDUE_SHARE),
        None => live.placed_at.max(now - start_lag) + start_lag + run,
    }
}

impl Leader {
    /// Projects the waiting array tasks. `reserve` returns whether the team's limit allows one more
    /// task, and counts the task if so.
    pub(super) fn late_tasks(
        &self,
        now: Secs,
        capacity: &[Capacity],
        mut reserve: impl FnMut(&JobSpec) -> bool,
    ) -> LateTasks {
        let cpus = self.cpu_timeline(now, capacity);
        // Tasks beyond this number need no projection: they wait longer than a boot in any case.
        let left =
            PROJECTED_TASKS_MIN.max((f64::from(cpus.total()) * PROJECTED_TASKS_SHARE) as u32);
        let boot = self.shortest_boot(now);
        let start_lag = self.start_lag;
        let mut projection = Projection { now, cpus, start_lag, boot, left, cpus_wanted: 0.0 };
        let mut shortages = Vec::new();
        for waiting in self.waiting_by_due_time(now, now + boot) {
            let spec = waiting.job.spec();
            let needs = self.task_needs(spec);
            let tasks =
                projection.project(&waiting, |location| needs.allows(*location), &mut reserve);
            shortages.push(Shortage { spec: spec.clone(), tasks });
        }
        LateTasks { shortages, cpus_wanted: projection.cpus_wanted }
    }

    /// Builds the timeline of when CPUs become free: now, at the end of a boot, or when the task
    /// that uses them ends.
    fn cpu_timeline(&self, now: Secs, capacity: &[Capacity]) -> CpuTimeline {
        // CPUs are distinguished by location only if some waiting task can't use every machine.
        let by_location =
            self.arrays().any(|job| is_projected(job) && job.spec().has_placement_constraints());
        let mut cpus = CpuTimeline::default();
        for machine in capacity {
            let location = by_location.then_some(machine.location);
            cpus.add(location, machine.free_cpus() as u32, millis(now, machine.available_at));
        }
        for job in self.arrays() {
            for live in job.live.values() {
                let location = if by_location { self.location_of(&live.machine) } else { None };
                if by_location && location.is_none() {
                    continue;
                }
                let ends = expected_end(job, live, now, self.start_lag);
                cpus.add(location, task_width(job), millis(now, ends));
            }
        }
        cpus
    }

    fn arrays(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.spec().kind == Kind::Array)
    }

    /// Array tasks to project, the soonest due first: those that wait for capacity, and those of
    /// jobs that will probably become ready before `until`.
    fn waiting_by_due_time(&self, now: Secs, until: Secs) -> Vec<WaitingTasks<'_>> {
        let ready = self.arrays().filter(|job| is_projected(job)).map(|job| {
            let (count, due) = (job.waiting(), job.due());
            WaitingTasks { job, count, ready_at: now, due }
        });
        let next = self.next_stages(now, until);
        let next = next.into_iter().filter(|stage| stage.ready_at > now).map(|stage| {
            let NextStage { job, ready_at, due } = stage;
            WaitingTasks { job, count: job.spec().tasks, ready_at, due }
        });
        let mut waiting: Vec<WaitingTasks<'_>> = ready.chain(next).collect();
        waiting.sort_by(|a, b| a.due.total_cmp(&b.due));
        waiting
    }

    /// Shortest boot time among the machine types that are available; the fastest type may be out
    /// of stock.
    fn shortest_boot(&self, now: Secs) -> Secs {
        let cloud = &self.cloud_requests;
        let in_stock = |t: &&MachineType| {
            let has = |zone: &str, spot| cloud.has_capacity(now, &t.name, zone, spot);
            t.zones.iter().any(|zone| has(zone, true) || has(zone, false))
        };
        let boots = cloud.types.iter().filter(in_stock).map(|t| cloud.boot_anywhere(t));
        boots.fold(f64::INFINITY, f64::min)
    }
}
