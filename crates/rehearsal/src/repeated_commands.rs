//! Simulation of one cell in which many direct commands are delivered again, up to many leases after
//! they were executed and answered.
//!
//! It has three parts: without other faults, with controllers that restart within a second, and with
//! workers that restart and a state service that is down for longer than the tasks of a cancelled
//! job may run. The first attempt of each task fails, most tasks are placed on another machine then,
//! and users cancel jobs.

use crate::single_cell::{self, Counts, SingleCellRun};
use crate::world::{Fault, RepeatCounts, RepeatPlan, World};
use std::fmt;

/// How commands are repeated: all of them.
pub const REPEATED: RepeatPlan = RepeatPlan { one_in: 1, ..RepeatPlan::USUAL };
/// Duration of the repeats, in steps.
const REPEATED_STEPS: u32 = 1_000;
/// Length of each part, in steps.
const STEPS: u32 = 2_200;

/// Counts over all parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RepeatedOutcome {
    /// Tasks started.
    pub starts: u32,
    /// Copies of commands.
    pub repeats: RepeatCounts,
    /// Changes of leader.
    pub changes_of_leader: u32,
    /// Blocks of fencing tokens that leaders reserved during their term.
    pub blocks_reserved: u32,
    /// Agent epochs that ended with tasks because the lease expired.
    pub epochs_ended: u32,
}

impl fmt::Display for RepeatedOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { starts, repeats, changes_of_leader, blocks_reserved, epochs_ended } = self;
        let RepeatCounts { delivered, refused, of_cleared_attempts, without_token, .. } = repeats;
        let RepeatCounts { of_cancelled_jobs, of_moved_tasks, .. } = repeats;
        let RepeatCounts { after_restart, from_ended_process, .. } = repeats;
        writeln!(f, "starts={starts} copies={delivered} refused={refused}")?;
        writeln!(
            f,
            "of_cleared_attempts={of_cleared_attempts} of_cancelled_jobs={of_cancelled_jobs} \
             of_moved_tasks={of_moved_tasks} without_token={without_token}"
        )?;
        writeln!(f, "after_restart={after_restart} from_ended_process={from_ended_process}")?;
        writeln!(
            f,
            "changes_of_leader={changes_of_leader} blocks_reserved={blocks_reserved} \
             sessions_ended={epochs_ended}"
        )
    }
}

impl Counts for RepeatedOutcome {
    fn add(&mut self, world: &World) {
        let reserved = world.info.iter().filter(|line| line.contains("event=token_raised "));
        self.starts += world.starts;
        self.repeats.add(&world.observed.repeats);
        self.changes_of_leader += world.observed.changes_of_leader.len() as u32;
        self.blocks_reserved += reserved.count() as u32;
        self.epochs_ended += world.expired_leases;
    }
}

/// A simulated cell with repeated commands, failing tasks, cancelled jobs and the other faults
/// given.
pub fn repeated_commands_world(seed: u64, others: &[(u32, Fault)]) -> World {
    let mut faults = vec![(20, Fault::RepeatedCommands(REPEATED, REPEATED_STEPS))];
    faults.extend((150..600).step_by(90).map(|at| (at, Fault::CancelNow(3))));
    faults.extend_from_slice(others);
    let mut world = World::new(seed, faults);
    (world.first_attempts_fail, world.cancel_every_fourth) = (true, true);
    (world.size, world.submission_interval_and_end) = ((12, 30.0), (9, 640));
    world
}

/// Crashes of leaders, which are back within a second, and one of all controllers.
pub fn quick_restarts() -> Vec<(u32, Fault)> {
    let crash = |at, steps| (at, Fault::OnLeader(Box::new(Fault::Crash(0, steps))));
    vec![
        crash(155, 3),
        crash(230, 8),
        crash(342, 2),
        (440, Fault::CrashAll(6)),
        crash(520, 5),
        crash(600, 9),
    ]
}

/// Workers that restart at once, outages of the cloud, in which their machines can't be released,
/// and an outage of the state service.
pub fn worker_restarts_and_outage() -> Vec<(u32, Fault)> {
    let mut faults = vec![
        (180, Fault::CloudDown(120)),
        (330, Fault::StoreDown(260)),
        (620, Fault::CloudDown(120)),
    ];
    faults.extend((100..700).step_by(12).map(|at| (at, Fault::AgentRestarts(at as usize % 7))));
    faults
}

/// Runs the three parts. The same seed and sources give the same result.
pub fn run(seed: u64) -> SingleCellRun<RepeatedOutcome> {
    let part = |name, others: Vec<(u32, Fault)>| (name, repeated_commands_world(seed, &others));
    let parts = vec![
        part("alone", Vec::new()),
        part("quick-restarts", quick_restarts()),
        part("workers-restart", worker_restarts_and_outage()),
    ];
    single_cell::run_parts(parts, STEPS)
}
