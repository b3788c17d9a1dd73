//! Sweeps of a full home cell over seeds: each job that another cell has room for begins soon.
//! See [`marblebarrow_rehearsal::sweep`].

use marblebarrow_rehearsal::fleet_of_cells::{FleetOfCells, Plan};
use marblebarrow_rehearsal::sweep::sweep;

/// A job that no fault concerns begins within so many steps: its home's patience, and some
/// twenty seconds for refusals, boots and fetches.
const BEGINS_WITHIN_STEPS: u32 = 250;

/// A job for which its home rents in vain begins within so many steps: the same, after the minute
/// for which renting is believed to help.
const GIVEN_UP_WITHIN_STEPS: u32 = BEGINS_WITHIN_STEPS + 600;

/// Replicas that take the whole of the team's limit, more than any of the cells has room for.
const REPLICAS_TOO_MANY: u32 = 200;

/// A service fills the home cell; two others have room for all that comes to it.
fn home_filled(seed: u64) -> Plan {
    Plan {
        machines: vec![2, 12, 12],
        paces: vec![2, 0, 0],
        until: 400,
        patience_s: 1.0,
        filled: true,
        ..Plan::one_full(seed)
    }
}

/// Plays a plan to its end.
fn play(fleet: &mut FleetOfCells, plan: &Plan) -> Result<(), String> {
    fleet.run(FleetOfCells::steps_of(plan));
    if fleet.broken.is_empty() { Ok(()) } else { Err(format!("{:?}", fleet.broken)) }
}

/// Jobs of the first cell that waited for longer than that.
fn late_jobs(fleet: &FleetOfCells, steps: u32) -> usize {
    fleet.waits(0).into_iter().filter(|wait| *wait > steps).count()
}

/// What happened: a machine that was not refused lately counted as one that the home can rent,
/// also when nobody asked for it. Arrays that may use spot machines waited for ever at a home
/// that asked for ordinary ones alone, for a service that was never whole.
#[test]
fn sweep_a_machine_that_nobody_asks_for_keeps_no_job_at_home() {
    sweep("never_asked_for", &[0, 1, 2, 3], |seed| {
        let plan = home_filled(seed);
        let mut fleet = FleetOfCells::new(&plan);
        fleet.cells[0].filled_by = Some(REPLICAS_TOO_MANY);
        fleet.cells[0].spot_arrays = true;
        play(&mut fleet, &plan)?;
        let late = late_jobs(&fleet, GIVEN_UP_WITHIN_STEPS);
        if late == 0 { Ok(()) } else { Err(format!("{late} jobs began late")) }
    });
}
