//! What cells gain and cost, in simulated time: waits at a full cell with moving on and off,
//! messages and store changes for each move, and how long a cut leaves jobs in doubt.
//!
//! `cargo bench -p marblebarrow-rehearsal --bench cells`. Nothing of it depends on the machine.

use marblebarrow_rehearsal::fleet_of_cells::{CellTrouble, FleetOfCells, Plan};

/// Runs of each kind.
const SEEDS: u64 = 12;
/// Steps in a second.
const STEPS: f64 = 10.0;

fn plan(seed: u64, moving: bool) -> Plan {
    Plan { paces: vec![6, 60, 60], moving, ..Plan::one_full(seed) }
}

fn seconds(steps: &mut [u32], share: f64) -> f64 {
    steps.sort_unstable();
    let index = ((steps.len() - 1) as f64 * share) as usize;
    f64::from(steps[index]) / STEPS
}

fn compare() {
    for moving in [false, true] {
        let (mut waits, mut accepted) = (Vec::new(), 0);
        let (mut moved, mut refused, mut messages, mut changes, mut bytes) = (0, 0, 0, 0, 0);
        for seed in 0..SEEDS {
            let plan = plan(seed, moving);
            let mut fleet = FleetOfCells::new(&plan);
            fleet.run(FleetOfCells::steps_of(&plan));
            assert!(fleet.broken.is_empty(), "{:?}", fleet.broken);
            waits.extend(fleet.waits(0));
            accepted += fleet.ends(0).accepted;
            moved += fleet.met.moved;
            refused += fleet.met.refused;
            messages += fleet.met.messages;
            changes += fleet.cells.iter().map(|cell| cell.store_work.changes).sum::<usize>();
            bytes += fleet.cells.iter().map(|cell| cell.store_work.bytes).sum::<usize>();
        }
        println!(
            "moving={moving} accepted={accepted} begun={} wait p50={:.1} p90={:.1} max={:.1} s; \
             moved={moved} refused={refused} messages={messages} store changes={changes} \
             bytes={bytes}",
            waits.len(),
            seconds(&mut waits, 0.5),
            seconds(&mut waits, 0.9),
            seconds(&mut waits, 1.0),
        );
    }
}

/// For how long jobs at the full cell were in doubt, with and without a cut of so many steps
/// in one direction.
fn doubt(cut: u32) {
    let mut ages = Vec::new();
    for seed in 0..SEEDS {
        let mut plan = plan(seed, true);
        if cut > 0 {
            plan.troubles =
                vec![(150, CellTrouble::Cut(0, 1, cut)), (150, CellTrouble::Cut(2, 0, cut))];
        }
        let mut fleet = FleetOfCells::new(&plan);
        fleet.run(FleetOfCells::steps_of(&plan));
        assert!(fleet.broken.is_empty(), "{:?}", fleet.broken);
        ages.extend(fleet.times_in_doubt());
    }
    println!(
        "cut={} s: in doubt {} times, p50={:.1} p90={:.1} max={:.1} s",
        f64::from(cut) / STEPS,
        ages.len(),
        seconds(&mut ages, 0.5),
        seconds(&mut ages, 0.9),
        seconds(&mut ages, 1.0),
    );
}

fn main() {
    compare();
    doubt(0);
    doubt(200);
}
