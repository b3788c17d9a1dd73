//! Tests of three controllers on a simulated state service, cloud and workers, with crashes,
//! outages, network partitions, lost answers and late messages. The simulation checks its
//! rules at every start, stop and answer.

mod fault_combinations;
mod gap;
mod generated_faults;
mod held_commands;
mod large_fleet;
mod named_fault_combinations;
mod pipelines;
mod repeated_commands;
mod serving_fleets;
mod store_limits;
mod sweeps;
mod takeovers;
mod upgrade;
mod workloads;

use marblebarrow_rehearsal::world::Fault;

fn at_leader(fault: Fault) -> Fault {
    Fault::OnLeader(Box::new(fault))
}
