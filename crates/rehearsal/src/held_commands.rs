//! Simulation of one cell in which some direct commands are delayed for longer than the tasks of a
//! cancelled job may keep running, and answers that start tasks for up to 6 s, while all other
//! messages arrive normally.
//!
//! It has three parts: without other faults, with leaders that crash, and with a state service that
//! refuses the leader and is then down for longer than the tasks of a cancelled job may run. Users cancel jobs one second after acceptance, while they
//! run, and while their start command is delayed.

use crate::single_cell::{self, Counts, SingleCellRun};
use crate::world::{Fault, HoldPlan, World};
use std::fmt;

/// How commands are delayed: for at least 15 s, against the 20 s in which the tasks of a cancelled
/// job must stop, and for up to 90 s.
pub const HELD: HoldPlan =
    HoldPlan { one_in: 6, min_steps: 150, max_steps: 900, answers: true, cancelled: true };
/// Length of each part, in steps.
const STEPS: u32 = 2_200;

/// Counts over all parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldOutcome {
    /// Tasks started.
    pub starts: u32,
    /// Direct commands that arrived after their sender had timed out.
    pub late_commands: u32,
    /// Commands in them that name a task of a job all of whose tasks had to be gone.
    pub commands_past_cancellation: u32,
    /// Starts in answers to heartbeats that were delayed.
    pub delayed_starts: u32,
    /// Starts in answers that reached a worker which no longer waited for them.
    pub discarded_starts: u32,
    /// Changes of leader.
    pub changes_of_leader: u32,
    /// Fencing tokens raised by leaders during their term.
    pub fencing_tokens_raised: u32,
    /// Agent epochs that ended with tasks because the lease expired.
    pub epochs_ended: u32,
}

impl fmt::Display for HeldOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { starts, late_commands, commands_past_cancellation, .. } = self;
        let Self { delayed_starts, discarded_starts, .. } = self;
        let Self { changes_of_leader, fencing_tokens_raised, epochs_ended, .. } = self;
        writeln!(
            f,
            "starts={starts} late_commands={late_commands} \
             commands_past_cancellation={commands_past_cancellation} \
             delayed_starts={delayed_starts} discarded_starts={discarded_starts}"
        )?;
        writeln!(
            f,
            "changes_of_leader={changes_of_leader} tokens_raised={fencing_tokens_raised} \
             sessions_ended={epochs_ended}"
        )
    }
}

/// A simulated cell with delayed commands, cancelled jobs and the other faults given.
pub fn held_commands_world(seed: u64, held: HoldPlan, others: &[(u32, Fault)]) -> World {
    let mut faults = vec![(60, Fault::HeldCommands(held, 600))];
    faults.extend((150..600).step_by(90).map(|at| (at, Fault::CancelNow(3))));
    faults.extend_from_slice(others);
    let mut world = World::new(seed, faults);
    (
        world.staggered_tasks,
        world.max_tasks,
        world.submission_interval_and_end,
        world.cancel_every_fourth,
    ) = (true, 3, (9, 640), true);
    world
}

/// Aims a fault at the controller that leads when the fault begins.
fn at_leader(fault: Fault) -> Fault {
    Fault::OnLeader(Box::new(fault))
}

/// Crashes of leaders. Some controllers are back within a second.
pub fn leader_crashes() -> Vec<(u32, Fault)> {
    let crash = |at, steps| (at, at_leader(Fault::Crash(0, steps)));
    vec![crash(155, 40), crash(250, 3), crash(342, 40), crash(440, 2), crash(520, 60)]
}

/// The state service refuses the leader alone while jobs are cancelled, and is then down for all
/// controllers for longer than the tasks of these jobs may run.
pub fn outage() -> Vec<(u32, Fault)> {
    let spell = |at| {
        [
            (at, at_leader(Fault::StoreRefuses(0, 16))),
            (at + 2, Fault::CancelNow(6)),
            (at + 14, Fault::StoreDown(260)),
        ]
    };
    [spell(238), spell(560)].concat()
}

/// Runs the three parts. The same seed and sources give the same result.
pub fn run(seed: u64) -> SingleCellRun<HeldOutcome> {
    let part = |name, others: Vec<(u32, Fault)>| (name, held_commands_world(seed, HELD, &others));
    let parts = vec![
        part("alone", Vec::new()),
        part("leaders-end", leader_crashes()),
        part("outage", outage()),
    ];
    single_cell::run_parts(parts, STEPS)
}

impl Counts for HeldOutcome {
    fn add(&mut self, world: &World) {
        let logged = |event: &str| world.info.iter().filter(|l| l.contains(event)).count() as u32;
        self.starts += world.starts;
        self.late_commands += world.observed.late_commands;
        self.commands_past_cancellation += world.observed.commands_past_cancellation;
        self.delayed_starts += world.observed.delayed_starts;
        self.discarded_starts += world.observed.discarded_starts;
        self.changes_of_leader += world.observed.changes_of_leader.len() as u32;
        self.fencing_tokens_raised += logged("event=token_raised ");
        self.epochs_ended += world.expired_leases;
    }
}
