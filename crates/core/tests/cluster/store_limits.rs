//! The state service's limits are lowered while it is in use: to values of 1 KiB, five changes
//! per transaction and 15 changes per second. Records stored under the higher limits must stay
//! readable and fit when they are next written, no accepted work may be lost, and work goes on.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, StoreLimits, World};

/// Step from which the lower limits apply.
const LOWERED_AT: u32 = 500;

fn lowered_limits(announced: bool) -> StoreLimits {
    StoreLimits {
        requests_per_s: 100.0,
        changes_per_s: 15.0,
        changes_per_transaction: 5,
        value_bytes: 1024,
        announced,
        from: LOWERED_AT,
    }
}

/// A world with more machines than a value of 1 KiB can hold records of.
fn lowered_limits_world(seed: u64, announced: bool, faults: &[(u32, Fault)]) -> World {
    let mut world = World::new(seed, faults.to_vec());
    (world.max_tasks, world.replicas, world.submission_interval_and_end) = (60, 30, (30, 900));
    world.size = (200, 800.0);
    world.poll_every = 50;
    world.store_limits = Some(lowered_limits(announced));
    world
}

/// Counts the starts from five seconds after the limits were lowered, when the records have been
/// split to fit.
fn starts_after_lowering(world: &mut World) -> u32 {
    world.advance_to(LOWERED_AT + 50);
    let before = world.starts;
    world.run(3_000);
    assert_eq!(world.violations, Vec::<String>::new());
    world.starts - before
}

#[test]
fn announced_limits_are_kept_from_the_start() {
    for seed in 0..4 {
        let mut world = lowered_limits_world(seed, true, &[]);
        let starts = starts_after_lowering(&mut world);
        assert!(starts > 200, "seed {seed}: {starts} starts");
        assert_eq!(world.observed.rejections, 0, "seed {seed}");
    }
}

#[test]
fn limits_lowered_unannounced_are_detected_and_kept() {
    for seed in 0..4 {
        let mut world = lowered_limits_world(seed, false, &[]);
        let starts = starts_after_lowering(&mut world);
        assert!(starts > 200, "seed {seed}: {starts} starts");
        let rejections = world.observed.rejections;
        assert!(rejections > 0, "seed {seed}: no write was rejected as too large");
        assert!(rejections < 40, "seed {seed}: {rejections} writes rejected");
    }
}

/// Leaders crash around the time at which the limits are lowered. Each reads what its predecessor
/// stored, in whatever layout, loses no machine or start, and detects the limits again.
#[test]
fn limits_lowered_amid_failovers_and_lost_answers() {
    let faults = [
        (LOWERED_AT - 20, Fault::AnswersLost(100)),
        (LOWERED_AT - 5, at_leader(Fault::Crash(0, 20))),
        (LOWERED_AT + 60, at_leader(Fault::Crash(0, 3))),
        (LOWERED_AT + 120, Fault::LateWrites(120)),
        (LOWERED_AT + 200, Fault::CrashAll(5)),
    ];
    for announced in [true, false] {
        for seed in 0..4 {
            let mut world = lowered_limits_world(seed, announced, &faults);
            let starts = starts_after_lowering(&mut world);
            assert!(starts > 100, "seed {seed}, announced {announced}: {starts} starts");
        }
    }
}

/// Guards against review/4: a transaction that splits a block of machine records gets no answer, the
/// leader writes one of the blocks alone and ends, and the next leader starts the tasks of machines
/// that are in no block. The simulation checks every commit.
#[test]
fn machines_of_a_split_block_are_in_one_block_at_every_commit() {
    let mut faults = vec![(LOWERED_AT - 10, Fault::LateWrites(400))];
    faults.extend((10..400).step_by(30).map(|at| (LOWERED_AT + at, at_leader(Fault::Crash(0, 8)))));
    let mut splits = 0;
    for announced in [true, false] {
        for seed in 0..12 {
            let mut world = lowered_limits_world(seed, announced, &faults);
            world.run(3_000);
            assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}, {announced}");
            splits += world.observed.blocks_split;
        }
    }
    assert!(splits >= 24, "only {splits} splits");
}

/// Guards against 422 for an accepted job whose spec is larger than the limit became later, also at
/// controllers that have restarted since.
#[test]
fn accepted_jobs_above_the_lowered_limit_are_not_refused() {
    let faults = [
        (LOWERED_AT - 20, Fault::AnswersLost(100)),
        (LOWERED_AT + 60, at_leader(Fault::Crash(0, 3))),
        (LOWERED_AT + 120, Fault::LateWrites(120)),
        (LOWERED_AT + 200, Fault::CrashAll(5)),
    ];
    for announced in [true, false] {
        for seed in 0..4 {
            let mut world = lowered_limits_world(seed, announced, &faults);
            world.large_specs_until = LOWERED_AT - 50;
            starts_after_lowering(&mut world);
            let rejected = world.observed.submissions_rejected;
            assert!(rejected > 0, "seed {seed}, announced {announced}: none was too large");
        }
    }
}

/// Guards against polls of many open jobs that go unanswered once their check has more conditions
/// than the state service takes.
#[test]
fn polls_are_answered_after_the_transaction_limit_is_lowered() {
    for announced in [true, false] {
        for seed in 0..4 {
            let mut world = lowered_limits_world(seed, announced, &[]);
            // Services that nobody cancels: 85 of them are open in the end.
            (world.max_tasks, world.replicas) = (2, 2);
            world.submission_interval_and_end = (5, 850);
            world.poll_every = 10;
            world.run(2_000);
            let run = format!("seed {seed}, announced {announced}");
            assert_eq!(world.violations, Vec::<String>::new(), "{run}");
        }
    }
}
