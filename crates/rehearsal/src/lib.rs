//! Rehearsals of failures: the real state machines of controllers run in simulated time,
//! among stand-ins of workers, state service, cloud, users and links.
//!
//! Everything random comes from one seed, and no clock of the machine is read: the same seed
//! and sources repeat a run event for event, which the digest of its verdict shows. A step is
//! 0.1 s of simulated time, and after each one the safety rules are checked from the
//! stand-ins' own records, never from what a controller says of itself.
//!
//! # Modules
//!
//! - [`world`]: one cell, with its [`Trouble`](world::Trouble)s (faults).
//! - [`fleet_of_cells`]: several cells, and faulty links between them.
//! - [`held_commands`]: a rehearsal of one cell in which commands to workers arrive late.
//! - [`scenario`]: the named rehearsals of `marblebarrow rehearse`, and their verdicts.
//!
//! # How to write a rehearsal
//!
//! 1. List the faults, each with the step at which it begins. Lengths are in steps too. A
//!    fault meant for whichever controller leads by then is wrapped in
//!    [`Trouble::AtLeader`](world::Trouble::AtLeader).
//! 2. Make a [`World`](world::World) of a seed and these faults, and set those of its public
//!    fields that the case needs, such as the pace of submissions.
//! 3. Run it long enough: work must end after the last fault, or the run is reported as
//!    broken. [`World::run`](world::World::run) checks at its end that all work was done.
//! 4. Assert that [`World::broken`](world::World::broken) is empty, and that the faults had an
//!    effect, by the counts of [`World::met`](world::World::met): a fault that met nothing
//!    proves nothing. Then repeat it with other seeds.
//!
//! ```
//! use marblebarrow_rehearsal::world::{Trouble, World};
//!
//! // The leader ends 20 s after the start, and is started again 4 s later.
//! let crash = Trouble::AtLeader(Box::new(Trouble::Crash(0, 40)));
//! let mut world = World::new(1, vec![(200, crash)]);
//! world.run(1_600);
//! assert_eq!(world.broken, Vec::<String>::new());
//! assert!(world.starts > 20);
//! assert!(!world.met.changes_of_leader.is_empty());
//! ```
//!
//! Several cells are played the same way, from a [`Plan`](fleet_of_cells::Plan). To run a new
//! rehearsal by its name, add a variant to [`Scenario`](scenario::Scenario).

pub mod fleet_of_cells;
pub mod held_commands;
pub mod scenario;
pub mod sweep;
pub mod world;
