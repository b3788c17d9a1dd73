//! Rehearsals of failures: the real state machines of controllers in simulated time, among
//! stand-ins of workers, state service, cloud, users and links. [`world`] is one cell,
//! [`fleet_of_cells`] several with links between them, [`held_commands`] a rehearsal of one;
//! [`scenario`] names the rehearsals that can be run and tells their verdict.

pub mod fleet_of_cells;
pub mod held_commands;
pub mod scenario;
pub mod world;
