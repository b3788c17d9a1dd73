//! Benefit and cost of several cells, in simulated time: waits at a full cell with transfers
//! enabled and disabled, messages and store changes per transfer, and how long jobs stay in doubt
//! when a link is cut.
//!
//! Run with `cargo bench -p marblebarrow-rehearsal --bench cells`. The figures don't depend on the
//! machine.

use marblebarrow_rehearsal::fleet_of_cells::{CellFault, FleetOfCells, Plan};

/// Runs of each configuration.
const SEEDS: u64 = 12;
/// Steps per second.
const STEPS: f64 = 10.0;

/// Three cells of which the first is overloaded.
fn plan(seed: u64, moving: bool) -> Plan {
    Plan { paces: vec![6, 60, 60], moving, ..Plan::one_full(seed) }
}

/// A quantile of durations in steps, in seconds.
fn quantile_s(steps: &mut [u32], share: f64) -> f64 {
    steps.sort_unstable();
    let index = ((steps.len() - 1) as f64 * share) as usize;
    f64::from(steps[index]) / STEPS
}

/// Prints waits, messages and store changes with transfers disabled and enabled.
fn print_transfer_costs() {
    for moving in [false, true] {
        let (mut waits, mut accepted) = (Vec::new(), 0);
        let (mut moved, mut refused, mut messages, mut changes, mut bytes) = (0, 0, 0, 0, 0);
        for seed in 0..SEEDS {
            let plan = plan(seed, moving);
            let mut fleet = FleetOfCells::new(&plan);
            fleet.run(FleetOfCells::steps_of(&plan));
            assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
            waits.extend(fleet.waits(0));
            accepted += fleet.ends(0).accepted;
            moved += fleet.observed.moved;
            refused += fleet.observed.refused;
            messages += fleet.observed.messages;
            changes += fleet.cells.iter().map(|cell| cell.store_work.changes).sum::<usize>();
            bytes += fleet.cells.iter().map(|cell| cell.store_work.bytes).sum::<usize>();
        }
        println!(
            "moving={moving} accepted={accepted} begun={} wait p50={:.1} p90={:.1} max={:.1} s; \
             moved={moved} refused={refused} messages={messages} store changes={changes} \
             bytes={bytes}",
            waits.len(),
            quantile_s(&mut waits, 0.5),
            quantile_s(&mut waits, 0.9),
            quantile_s(&mut waits, 1.0),
        );
    }
}

/// Prints how long jobs of the full cell were in doubt, when two links are cut in one direction
/// each for this many steps, or not at all for 0.
fn print_times_in_doubt(cut: u32) {
    let mut ages = Vec::new();
    for seed in 0..SEEDS {
        let mut plan = plan(seed, true);
        if cut > 0 {
            plan.faults = vec![(150, CellFault::Cut(0, 1, cut)), (150, CellFault::Cut(2, 0, cut))];
        }
        let mut fleet = FleetOfCells::new(&plan);
        fleet.run(FleetOfCells::steps_of(&plan));
        assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        ages.extend(fleet.times_in_doubt());
    }
    println!(
        "cut={} s: in doubt {} times, p50={:.1} p90={:.1} max={:.1} s",
        f64::from(cut) / STEPS,
        ages.len(),
        quantile_s(&mut ages, 0.5),
        quantile_s(&mut ages, 0.9),
        quantile_s(&mut ages, 1.0),
    );
}

fn main() {
    print_transfer_costs();
    print_times_in_doubt(0);
    print_times_in_doubt(200);
}
