//! Sweeps over seeds in which leaders of a full home cell, or of a target, crash or are suspended
//! at any step of a transfer. Each job that another cell has room for must start soon, and each
//! final state must become known in the home cell.

use marblebarrow_rehearsal::fleet_of_cells::{CellFault, FleetOfCells, Plan};
use marblebarrow_rehearsal::sweep::sweep;
use marblebarrow_rehearsal::world::Fault;

/// Steps within which a job starts that no fault affects: the time before its home cell offers it,
/// and about 20 s for refusals, boots and image fetches.
const BEGINS_WITHIN_STEPS: u32 = 250;
/// Upper bound of the steps of a failover and a worker's lease together.
const FAILOVER_STEPS: u32 = 200;
/// Longest suspension of a leader, in steps: 15 s.
const PAUSE_MAX_STEPS: u32 = 150;
/// Heartbeat interval and lease of workers, in seconds. The leases are short enough to expire while
/// a leader is replaced.
const SHORT_LEASES: (f64, f64) = (1.0, 4.0);
/// The first step at which a fault begins, when transfers are in flight.
const FIRST_FAULT: u32 = 100;
/// Steps over which the faults of different seeds are spread.
const FAULTS_SPREAD: u32 = 250;

/// A service fills the home cell. Two other cells have room for all of its other jobs.
fn home_filled(seed: u64, faults: Vec<(u32, CellFault)>) -> Plan {
    Plan {
        machines: vec![2, 12, 12],
        paces: vec![2, 0, 0],
        until: 400,
        patience_s: 1.0,
        filled: true,
        faults,
        ..Plan::one_full(seed)
    }
}

/// Faults of the home cell or of a target, by seed.
fn faults(seed: u64) -> Vec<(u32, CellFault)> {
    let at = FIRST_FAULT + (seed as u32 * 37) % FAULTS_SPREAD;
    let pause = 10 + (seed as u32 * 11) % (PAUSE_MAX_STEPS - 10);
    let at_leader = |fault| Fault::OnLeader(Box::new(fault));
    let home = |fault| CellFault::Within(0, fault);
    match seed % 6 {
        // Two crashes within a second.
        0 => vec![
            (at, home(at_leader(Fault::Crash(0, 100)))),
            (at + 7, home(at_leader(Fault::Crash(0, 100)))),
        ],
        // A controller that is restarted at once.
        1 => vec![(at, home(at_leader(Fault::Crash(0, 2))))],
        2 => vec![(at, home(at_leader(Fault::Pause(0, pause))))],
        3 => vec![(at, CellFault::Within(1, at_leader(Fault::Pause(0, pause))))],
        // All controllers of the home cell crash, and its machines are unreachable for 5 s.
        4 => vec![
            (at, home(Fault::CrashAll(pause))),
            (at, home(Fault::MachinePartitioned(0, 50))),
            (at, home(Fault::MachinePartitioned(1, 50))),
        ],
        _ => vec![
            (at, home(at_leader(Fault::Pause(0, pause)))),
            (at + 3, home(Fault::AgentRestarts(0))),
            (at + 5, CellFault::Within(2, at_leader(Fault::Crash(0, 100)))),
        ],
    }
}

/// Guards against a job that waits forever at its full home cell, as some of the jobs of the test
/// `a_thousand_jobs_leave_a_full_cell_once_each` did. The leaders crash at moments that no other
/// test covers.
#[test]
fn sweep_leaders_that_fail_at_any_moment_leave_no_job_behind() {
    sweep("moments", &[0, 1, 2, 3, 4, 5], |seed| {
        let plan = home_filled(seed, faults(seed));
        let mut fleet = FleetOfCells::new(&plan);
        fleet.cells.iter_mut().for_each(|cell| cell.heartbeat_and_lease_s = SHORT_LEASES);
        fleet.run(FleetOfCells::steps_of(&plan));
        if !fleet.violations.is_empty() {
            return Err(format!("{:?}", fleet.violations));
        }
        let bound = BEGINS_WITHIN_STEPS + FAILOVER_STEPS + PAUSE_MAX_STEPS;
        let late = fleet.waits(0).into_iter().filter(|wait| *wait > bound).count();
        let unknown = fleet.moved_ends(0).filter(|(_, end)| end.at_home.is_none()).count();
        if late + unknown == 0 {
            return Ok(());
        }
        Err(format!("{late} jobs began late, {unknown} ends not known at home"))
    });
}

/// Guards against a job that moved although its home cell had rented machines for it: machines that
/// had just come up counted neither as booting nor as room. The service meant to fill the home cell
/// in the test `a_thousand_jobs_leave_a_full_cell_once_each` moved away, when the machine was under
/// load.
#[test]
fn sweep_a_job_whose_machines_have_just_come_up_stays() {
    sweep("just_up", &[0, 1, 2, 3], |seed| {
        let plan = Plan { until: 20, ..home_filled(seed, Vec::new()) };
        let mut fleet = FleetOfCells::new(&plan);
        fleet.run(FleetOfCells::steps_of(&plan));
        if !fleet.violations.is_empty() {
            return Err(format!("{:?}", fleet.violations));
        }
        let service = fleet.cells[0].submitted().keys().next().cloned();
        let service = service.ok_or("no job was submitted")?;
        let moved = fleet.cells[1..].iter().any(|cell| cell.inbound().any(|job| job == service));
        if moved { Err("the service left a home that has its machines".into()) } else { Ok(()) }
    });
}
