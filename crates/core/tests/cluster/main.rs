//! Three controllers over a stand-in of state service, cloud and workers, with
//! crashes, outages, cuts, lost answers and late messages at generated times.
//! The rules are checked at every start, stop and answer.

mod gap;
mod generated_troubles;
mod held_commands;
mod large_fleet;
mod meetings;
mod named_meetings;
mod pipelines;
mod serving_fleets;
mod store_limits;
mod sweeps;
mod takeovers;
mod upgrade;
mod workloads;

use marblebarrow_rehearsal::world::Trouble;

fn at_leader(trouble: Trouble) -> Trouble {
    Trouble::AtLeader(Box::new(trouble))
}
