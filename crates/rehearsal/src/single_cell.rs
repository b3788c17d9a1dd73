//! Runs of scenarios that simulate one cell, in several parts with different faults.

use crate::world::World;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

/// Log lines of each part that are shown for a failed run.
const LINES_SHOWN: usize = 40;

/// The counts of a scenario, summed over its parts.
pub trait Counts: Default {
    /// Adds the counts of a part that has run.
    fn add(&mut self, world: &World);
}

/// Result of a run of all parts.
#[derive(Clone, Debug)]
pub struct SingleCellRun<C> {
    /// Counts over all parts.
    pub outcome: C,
    /// Digest of the log lines, the starts and the violations: equal only for equal runs.
    pub digest: u64,
    /// The last lines that the controllers logged in each part.
    pub events: Vec<String>,
    /// Violations of the safety rules.
    pub violations: Vec<String>,
}

/// Runs each part for the given number of steps.
pub fn run_parts<C: Counts>(parts: Vec<(&'static str, World)>, steps: u32) -> SingleCellRun<C> {
    let mut outcome = C::default();
    let mut hasher = DefaultHasher::new();
    let (mut violations, mut events) = (Vec::new(), Vec::new());
    for (name, mut world) in parts {
        world.run(steps);
        outcome.add(&world);
        (&world.info, world.starts, &world.violations).hash(&mut hasher);
        violations.extend(world.violations.iter().map(|rule| format!("{name}: {rule}")));
        let from = world.info.len().saturating_sub(LINES_SHOWN);
        events.extend(world.info[from..].iter().map(|line| format!("{name}: {line}")));
    }
    SingleCellRun { outcome, digest: hasher.finish(), events, violations }
}
