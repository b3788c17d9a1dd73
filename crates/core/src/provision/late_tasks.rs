//! Array tasks that will be late unless machines are rented: waiting tasks are laid, most
//! pressing job first, onto the CPUs as they become free.

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

/// The outcome of laying out the waiting array tasks.
pub(super) struct LateTasks {
    /// Tasks that will be late, and that a machine rented now would start sooner.
    pub(super) shortages: Vec<Shortage>,
    /// CPUs that all hurried tasks laid out want.
    pub(super) cpus_wanted: f64,
}

/// Tasks of a job that wait, or that will once the jobs that it needs are done.
struct WaitingTasks<'a> {
    job: &'a Job,
    count: u32,
    /// No task starts before.
    ready_at: Secs,
    due: Secs,
}

/// The layout of waiting tasks onto CPUs.
struct Layout {
    now: Secs,
    cpus: CpuTimeline,
    /// From the placement of a task to its running, seconds.
    start_lag: Secs,
    /// The shortest boot of a machine rented now, seconds.
    boot: Secs,
    /// Tasks that may still be laid out.
    left: u32,
    cpus_wanted: f64,
}

impl Layout {
    /// Lays out a job's waiting tasks; how many of them will be late.
    fn lay_out(
        &mut self,
        waiting: &WaitingTasks<'_>,
        allowed: impl Fn(&Location) -> bool,
        mut book: impl FnMut(&JobSpec) -> bool,
    ) -> u32 {
        let spec = waiting.job.spec();
        let cpus_wanted = if waiting.job.unhurried(self.now) { 0.0 } else { spec.cpus };
        let mut late = 0;
        for _ in 0..waiting.count {
            if self.left == 0 || !book(spec) {
                break;
            }
            self.left -= 1;
            self.cpus_wanted += cpus_wanted;
            late += u32::from(self.lay_out_task(waiting, &allowed));
        }
        late
    }

    /// Lays out one task; whether it will be late.
    fn lay_out_task(
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
        // A machine rented now would start it sooner.
        let late = ends_late && start > waiting.ready_at.max(self.now + self.boot);
        let free = millis(self.now, start + self.start_lag + run);
        for cpu in taken {
            self.cpus.add(cpu.location, 1, if late { cpu.at } else { free });
        }
        late
    }
}

/// A time of at least now, milliseconds.
fn millis(now: Secs, at: Secs) -> u64 {
    (at.max(now) * 1e3) as u64
}

/// Whole CPUs that a task takes.
fn task_width(job: &Job) -> u32 {
    job.spec().cpus.ceil().max(1.0) as u32
}

/// Whether the job's waiting tasks are laid out.
fn is_laid_out(job: &Job) -> bool {
    job.waiting() > 0 && !job.mistaken() && !job.spare()
}

/// When an attempt is expected to end.
fn expected_end(job: &Job, live: &Live, now: Secs, start_lag: Secs) -> Secs {
    let run = job.likely_run();
    match live.ran_from {
        // Gives way at once.
        _ if job.spare() => now,
        // Under way at the failover: half done, for all we know. Taken for just begun, they
        // once made a new leader rent hundreds of machines that came up when the work was
        // over.
        _ if live.adopted => (live.since + run * 0.5).max(now + run * OVERDUE_SHARE),
        // A task past the mean isn't about to end: half of all run longer. Taken for free
        // capacity at once, they once hid a backlog.
        Some(from) => (from + run).max(now + run * OVERDUE_SHARE),
        None => live.since.max(now - start_lag) + start_lag + run,
    }
}

impl Leader {
    /// Lays out the waiting array tasks. `book` tells whether the team's limit allows one
    /// more task, and counts it.
    pub(super) fn late_tasks(
        &self,
        now: Secs,
        capacity: &[Capacity],
        mut book: impl FnMut(&JobSpec) -> bool,
    ) -> LateTasks {
        let cpus = self.cpu_timeline(now, capacity);
        // Those beyond need no laying out: they wait longer than a boot anyway.
        let left = LAID_OUT_MIN.max((f64::from(cpus.total()) * LAID_OUT_SHARE) as u32);
        let boot = self.shortest_boot(now);
        let start_lag = self.start_lag;
        let mut layout = Layout { now, cpus, start_lag, boot, left, cpus_wanted: 0.0 };
        let mut shortages = Vec::new();
        for waiting in self.waiting_by_due_time(now, now + boot) {
            let spec = waiting.job.spec();
            let needs = self.task_needs(spec);
            let tasks = layout.lay_out(&waiting, |location| needs.allows(*location), &mut book);
            shortages.push(Shortage { spec: spec.clone(), tasks });
        }
        LateTasks { shortages, cpus_wanted: layout.cpus_wanted }
    }

    /// When CPUs become free: now, at the end of a boot, or with the task that uses them.
    fn cpu_timeline(&self, now: Secs, capacity: &[Capacity]) -> CpuTimeline {
        // One timeline serves all, unless some wait that can't use every machine.
        let by_location = self.arrays().any(|job| is_laid_out(job) && job.spec().bound());
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

    /// Array tasks to lay out, the soonest due first: those that wait for room, and those of
    /// jobs that will probably be ready before `until`.
    fn waiting_by_due_time(&self, now: Secs, until: Secs) -> Vec<WaitingTasks<'_>> {
        let ready = self.arrays().filter(|job| is_laid_out(job)).map(|job| {
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

    /// The shortest boot of the types that can be had: the quickest may be used up.
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
