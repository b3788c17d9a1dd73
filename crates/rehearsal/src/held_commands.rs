//! Direct commands held for longer than cancelled tasks may take, while all else flows.
//!
//! Three times over: with nothing else, as leaders end, and as the state service refuses the
//! leader and is then down for longer than cancelled tasks may take, so that no token can be
//! raised. Jobs are called off a second after they were accepted, as they run, and as
//! their start is held.

use crate::world::{Held, Trouble, World};
use std::fmt;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// How commands are held: longer than the world's cancelled tasks may take, which is 20 s.
pub const HELD: Held = Held { one_in: 6, least: 150, most: 900, called_off: true };
/// How long a day lasts, steps.
const STEPS: u32 = 2_200;
/// Lines of the log that a failed rehearsal shows of each day.
const LINES_SHOWN: usize = 40;

/// What came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldOutcome {
    /// Tasks started.
    pub starts: u32,
    /// Direct commands that arrived after their sender had given them up.
    pub late_commands: u32,
    /// Starts in such commands that arrived in their epoch after their job's tasks had to
    /// be gone.
    pub starts_past_cancellation: u32,
    /// Changes of leader.
    pub changes_of_leader: u32,
    /// Tokens raised by leaders in office.
    pub fencing_tokens_raised: u32,
    /// Machines whose heartbeats went unanswered so that their lease ran out.
    pub machines_withheld: u32,
    /// Agent epochs with tasks that ended as their lease ran out.
    pub epochs_ended: u32,
}

impl fmt::Display for HeldOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { starts, late_commands, starts_past_cancellation, .. } = self;
        let Self {
            changes_of_leader, fencing_tokens_raised, machines_withheld, epochs_ended, ..
        } = self;
        writeln!(
            f,
            "starts={starts} late_commands={late_commands} \
             starts_past_cancellation={starts_past_cancellation}"
        )?;
        writeln!(
            f,
            "changes_of_leader={changes_of_leader} tokens_raised={fencing_tokens_raised} \
             machines_withheld={machines_withheld} sessions_ended={epochs_ended}"
        )
    }
}

/// A day on which commands are held and jobs are called off, besides other troubles.
pub fn day(seed: u64, held: Held, others: &[(u32, Trouble)]) -> World {
    let mut troubles = vec![(60, Trouble::HeldCommands(held, 600))];
    troubles.extend((150..600).step_by(90).map(|at| (at, Trouble::CancelNow(3))));
    troubles.extend_from_slice(others);
    let mut world = World::new(seed, troubles);
    (world.gaps, world.width, world.pace, world.quarter) = (true, 3, (9, 640), true);
    world
}

fn at_leader(trouble: Trouble) -> Trouble {
    Trouble::AtLeader(Box::new(trouble))
}

/// Leaders end, also within a second.
pub fn leaders_end() -> Vec<(u32, Trouble)> {
    let crash = |at, steps| (at, at_leader(Trouble::Crash(0, steps)));
    vec![crash(155, 40), crash(250, 3), crash(342, 40), crash(440, 2), crash(520, 60)]
}

/// The state service refuses the leader alone as jobs are called off, and is then down for
/// all for longer than their tasks may take.
pub fn outage() -> Vec<(u32, Trouble)> {
    let spell = |at| {
        [
            (at, at_leader(Trouble::StoreRefuses(0, 16))),
            (at + 2, Trouble::CancelNow(6)),
            (at + 14, Trouble::StoreDown(260)),
        ]
    };
    [spell(238), spell(560)].concat()
}

/// The three days of the rehearsal, with the troubles of each.
fn days() -> [(&'static str, Vec<(u32, Trouble)>); 3] {
    [("alone", Vec::new()), ("leaders-end", leaders_end()), ("outage", outage())]
}

/// How a run of the three days went.
#[derive(Clone, Debug)]
pub struct HeldRun {
    /// The counts over all days.
    pub outcome: HeldOutcome,
    /// Two runs share it only if everything logged and counted was the same.
    pub digest: u64,
    /// The last lines that the controllers logged on each day.
    pub events: Vec<String>,
    /// Violations of the rules that were found.
    pub broken: Vec<String>,
}

/// Plays the three days; the same seed and sources give the same run.
pub fn run(seed: u64) -> HeldRun {
    let mut outcome = HeldOutcome::default();
    let mut hasher = DefaultHasher::new();
    let (mut broken, mut events) = (Vec::new(), Vec::new());
    for (name, others) in days() {
        let mut world = day(seed, HELD, &others);
        world.run(STEPS);
        outcome.add(&world);
        (&world.info, world.starts, &world.broken).hash(&mut hasher);
        broken.extend(world.broken.iter().map(|rule| format!("{name}: {rule}")));
        let from = world.info.len().saturating_sub(LINES_SHOWN);
        events.extend(world.info[from..].iter().map(|line| format!("{name}: {line}")));
    }
    HeldRun { outcome, digest: hasher.finish(), events, broken }
}

impl HeldOutcome {
    fn add(&mut self, world: &World) {
        let told = |event: &str| world.info.iter().filter(|l| l.contains(event)).count() as u32;
        self.starts += world.starts;
        self.late_commands += world.met.late_commands;
        self.starts_past_cancellation += world.met.starts_past_cancellation;
        self.changes_of_leader += world.met.changes_of_leader.len() as u32;
        self.fencing_tokens_raised += told("event=token_raised ");
        self.machines_withheld += told("event=answers_withheld ");
        self.epochs_ended += world.lapses;
    }
}
