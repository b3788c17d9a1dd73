//! Direct commands that were executed and answered, and reach their worker once more, up to many
//! leases later. Controllers and workers may have restarted meanwhile. No copy may start a task.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, RepeatCounts, RepeatPlan, World};

/// Seeds of each test.
const SEEDS: std::ops::Range<u64> = 0..16;
/// How commands are repeated: all of them, so that many meet a cleared attempt.
const REPEATED: RepeatPlan = RepeatPlan { one_in: 1, ..RepeatPlan::USUAL };
/// Length of a run, in steps.
const STEPS: u32 = 2_600;

/// Runs a workload with repeated commands and the other faults given, and sums the counts of all
/// seeds.
fn run_with(other_faults: &[(u32, Fault)], configure: impl Fn(&mut World)) -> RepeatCounts {
    let mut total = RepeatCounts::default();
    for seed in SEEDS {
        let mut faults = vec![(20, Fault::RepeatedCommands(REPEATED, 1_000))];
        faults.extend_from_slice(other_faults);
        let mut world = World::new(seed, faults);
        configure(&mut world);
        world.run(STEPS);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert!(world.starts > 60, "seed {seed}: only {} starts", world.starts);
        total.add(&world.observed.repeats);
    }
    total
}

/// Tasks fail once, and usually run on another machine then.
fn moved_tasks(world: &mut World) {
    world.first_attempts_fail = true;
    world.size = (12, 30.0);
    world.submission_interval_and_end = (9, 640);
}

fn cancelled_jobs(world: &mut World) {
    world.cancel_every_fourth = true;
    world.size = (12, 30.0);
    world.submission_interval_and_end = (9, 640);
}

/// Workers that restart at once, again and again, also while no controller leads.
fn restarts() -> Vec<(u32, Fault)> {
    let mut faults: Vec<(u32, Fault)> =
        (100..700).step_by(15).map(|at| (at, Fault::AgentRestarts(at as usize % 7))).collect();
    faults.extend([(220, Fault::CrashAll(140)), (460, Fault::CrashAll(200))]);
    faults
}

/// A past incident at production size: a start was executed and answered, its task failed and was
/// placed on another machine, and a copy of the start reached the first machine. Starts are sent in
/// answers alone since, and the simulation fails if one is sent directly. Copies of everything else
/// reach machines whose tasks failed and were moved.
#[test]
fn copies_on_machines_whose_tasks_failed_and_moved_start_nothing() {
    let total = run_with(&[], moved_tasks);
    assert!(total.delivered >= 240, "{total:?}");
}

#[test]
fn copies_of_the_stops_of_cancelled_tasks_do_nothing() {
    let total = run_with(&[], cancelled_jobs);
    assert!(total.of_cancelled_jobs >= 24, "{total:?}");
}

#[test]
fn copies_from_controllers_that_restart_within_a_second_do_nothing() {
    let crash = |at, steps| (at, at_leader(Fault::Crash(0, steps)));
    let crashes = [crash(155, 3), crash(230, 8), crash(342, 2), crash(440, 40), crash(520, 5)];
    let total = run_with(&crashes, |world| {
        moved_tasks(world);
        cancelled_jobs(world);
    });
    assert!(total.from_ended_process >= 240, "{total:?}");
    assert!(total.of_cleared_attempts >= 48, "{total:?}");
}

/// review/5: a machine begins anew while no controller leads, for longer than a lease too, and a
/// copy of a command for its former process reaches it before any token does.
#[test]
fn copies_on_restarted_workers_without_a_token_start_nothing() {
    let total = run_with(&restarts(), |world| {
        moved_tasks(world);
        cancelled_jobs(world);
    });
    assert!(total.without_token >= 48, "{total:?}");
    assert!(total.after_restart >= 240, "{total:?}");
}
