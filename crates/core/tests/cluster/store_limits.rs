//! The state service's limits fall while it is in use: values of 1 KiB, five changes a
//! transaction, 15 changes a second. What was stored under the wider ones stays readable, and
//! its next rewrite fits; nothing that was accepted is lost, and work goes on.

use crate::at_leader;
use marblebarrow_rehearsal::world::{StoreLimits, Trouble, World};

/// The step from which on the limits are lower.
const FALL_AT: u32 = 500;

fn fallen(announced: bool) -> StoreLimits {
    StoreLimits {
        requests_per_s: 100.0,
        changes_per_s: 15.0,
        changes_per_transaction: 5,
        value_bytes: 1024,
        announced,
        from: FALL_AT,
    }
}

/// A day with more machines than a value of 1 KiB holds records of.
fn day(seed: u64, announced: bool, troubles: &[(u32, Trouble)]) -> World {
    let mut world = World::new(seed, troubles.to_vec());
    (world.width, world.replicas, world.pace) = (60, 30, (30, 900));
    world.size = (200, 800.0);
    world.poll_every = 50;
    world.store_limits = Some(fallen(announced));
    world
}

/// Starts after the limits fell, once the shapes of records have followed.
fn starts_after_the_fall(world: &mut World) -> u32 {
    world.play(FALL_AT + 50);
    let before = world.starts;
    world.run(3_000);
    assert_eq!(world.broken, Vec::<String>::new());
    world.starts - before
}

#[test]
fn announced_limits_are_kept_from_the_start() {
    for seed in 0..4 {
        let mut world = day(seed, true, &[]);
        let starts = starts_after_the_fall(&mut world);
        assert!(starts > 200, "seed {seed}: {starts} starts");
        assert_eq!(world.met.rejections, 0, "seed {seed}");
    }
}

#[test]
fn limits_that_fall_unannounced_are_found_and_kept() {
    for seed in 0..4 {
        let mut world = day(seed, false, &[]);
        let starts = starts_after_the_fall(&mut world);
        assert!(starts > 200, "seed {seed}: {starts} starts");
        let rejections = world.met.rejections;
        assert!(rejections > 0, "seed {seed}: never too large before either");
        assert!(rejections < 40, "seed {seed}: {rejections} rejected, without an end");
    }
}

/// Leaders end around the fall: each reads what the one before stored, in whatever shape,
/// loses no machine or start of it, and finds the limits anew.
#[test]
fn limits_fall_amid_failovers_and_lost_answers() {
    let troubles = [
        (FALL_AT - 20, Trouble::AnswersLost(100)),
        (FALL_AT - 5, at_leader(Trouble::Crash(0, 20))),
        (FALL_AT + 60, at_leader(Trouble::Crash(0, 3))),
        (FALL_AT + 120, Trouble::LateWrites(120)),
        (FALL_AT + 200, Trouble::CrashAll(5)),
    ];
    for announced in [true, false] {
        for seed in 0..4 {
            let mut world = day(seed, announced, &troubles);
            let starts = starts_after_the_fall(&mut world);
            assert!(starts > 100, "seed {seed}, announced {announced}: {starts} starts");
        }
    }
}
