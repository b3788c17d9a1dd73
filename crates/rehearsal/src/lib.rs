//! Deterministic simulation of faults: the real state machines of controllers run in simulated
//! time, against simulated workers, state service, cloud, users and links.
//!
//! All random decisions come from one seed, and no real clock is read: the same seed and sources
//! repeat a run event for event, which the digest of its verdict shows. A step is 0.1 s of
//! simulated time. After each step the safety rules are checked against the records of the
//! simulated parts, never against what a controller reports about itself.
//!
//! # Modules
//!
//! - [`world`]: one cell, with its [`Fault`](world::Fault)s.
//! - [`fleet_of_cells`]: several cells, and faulty links between them.
//! - [`held_commands`]: a simulation of one cell in which commands to workers are delayed.
//! - [`repeated_commands`]: a simulation of one cell in which commands are delivered again.
//! - [`single_cell`]: runs of scenarios of one cell.
//! - [`scenario`]: the named scenarios of `marblebarrow rehearse`, and their verdicts.
//! - [`sweep`]: checks that run over ranges of seeds.
//!
//! # How to write a simulation
//!
//! 1. List the faults, each with the step at which it begins. Durations are in steps too. A
//!    fault aimed at whichever controller leads at that step is wrapped in
//!    [`Fault::OnLeader`](world::Fault::OnLeader).
//! 2. Create a [`World`](world::World) from a seed and these faults, and set the public fields
//!    that the case needs, such as the interval between submissions.
//! 3. Run it long enough: work must end after the last fault, or the run is reported as
//!    broken. [`World::run`](world::World::run) checks at its end that all work was done.
//! 4. Assert that [`World::violations`](world::World::violations) is empty, and that the faults
//!    took effect, by the counts of [`World::observed`](world::World::observed): a fault without
//!    effect proves nothing. Then repeat it with other seeds.
//!
//! ```
//! use marblebarrow_rehearsal::world::{Fault, World};
//!
//! // The leader crashes 20 s after the start, and is restarted 4 s later.
//! let crash = Fault::OnLeader(Box::new(Fault::Crash(0, 40)));
//! let mut world = World::new(1, vec![(200, crash)]);
//! world.run(1_600);
//! assert_eq!(world.violations, Vec::<String>::new());
//! assert!(world.starts > 20);
//! assert!(!world.observed.changes_of_leader.is_empty());
//! ```
//!
//! Several cells are simulated in the same way, from a [`Plan`](fleet_of_cells::Plan). To make a
//! new simulation available by name, add a variant to [`Scenario`](scenario::Scenario).

pub mod fleet_of_cells;
pub mod held_commands;
pub mod repeated_commands;
pub mod scenario;
pub mod single_cell;
pub mod sweep;
pub mod world;
