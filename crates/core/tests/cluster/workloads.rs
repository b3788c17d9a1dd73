//! Jobs of all sizes and kinds, with few faults or none.

use crate::at_leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_rehearsal::world::{Fault, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Without faults, every job is accepted, run and reported, and machines are returned.
#[test]
fn without_faults_all_work_completes() {
    let mut world = World::new(1, Vec::new());
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.starts > 20, "only {} starts", world.starts);
}

/// Entries of ended tasks are cleared in answers to heartbeats alone.
#[test]
fn ended_entries_are_cleared_without_separate_commands() {
    let (mut commands, mut clearing_commands) = (0, 0);
    for seed in 0..8 {
        let mut world = World::new(seed, Vec::new());
        (world.max_tasks, world.submission_interval_and_end) = (6, (18, 900));
        world.run(1_600);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        commands += world.observed.commands;
        clearing_commands += world.observed.clearing_commands;
    }
    assert!(commands > 100, "only {commands} commands");
    assert_eq!(clearing_commands, 0, "of {commands} commands");
}

/// A machine that takes six times as long as others is detected, cordoned and returned.
#[test]
fn a_slow_machine_gets_no_more_work() {
    let mut world = World::new(3, vec![(60, Fault::MachineSlow(0, 1_500))]);
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.cordons > 0);
}

/// There are more urgent narrow jobs than machines. A wide job that has already missed its
/// deadline must still start, after about a minute at the latest (the test allows 70 s).
#[test]
fn a_wide_job_past_its_deadline_still_starts() {
    for seed in 0..4 {
        let mut world = World::new(seed, Vec::new());
        world.submission_interval_and_end = (3, 900);
        world.wide_job = Some((40, 60));
        world.run(1_000);
        let violations: Vec<&String> =
            world.violations.iter().filter(|b| !b.contains("never told")).collect();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let started_at = world.started_at.get(&JobId::new("req-000040"));
        assert!(started_at.is_some_and(|at| *at < 120 + 700), "seed {seed}: {started_at:?}");
    }
}

/// Arrays use the whole quota of their team. A service of that team preempts them and doesn't
/// wait until they end.
#[test]
fn a_service_preempts_arrays_for_its_teams_quota() {
    for seed in 0..6 {
        let mut world = World::new(seed, Vec::new());
        world.submission_interval_and_end = (4, 160);
        world.run(500);
        for n in (23..37).step_by(4) {
            let id = JobId::new(&format!("req-{n:06}"));
            let accepted_at = world.accepted_at.get(&id).copied().unwrap_or(u32::MAX);
            let started_at = world.started_at.get(&id).copied();
            assert!(
                started_at.is_some_and(|b| b < accepted_at + 100),
                "seed {seed} {id} {accepted_at} {started_at:?}"
            );
        }
    }
}

/// A job of the largest size delays no other job, and its records stay within the store's limits,
/// which the simulated store checks.
#[test]
fn the_largest_job_delays_no_other() {
    let mut world = World::new(5, Vec::new());
    world.wide_job = Some((2, 100_000));
    world.run(900);
    let others: Vec<&String> =
        world.violations.iter().filter(|b| !b.starts_with("req-000002 was never told")).collect();
    assert!(others.is_empty(), "{others:?}");
    assert!(world.started_at.contains_key(&JobId::new("req-000002")));
}

/// Idle work uses all the capacity of spot machines. Other arrays still start promptly, because it
/// is preempted for them; it runs to completion, and no ordinary machine is rented for it.
#[test]
fn idle_work_is_preempted_and_rents_no_ordinary_machine() {
    for seed in 0..4 {
        let mut world = World::new(seed, Vec::new());
        world.size = (12, 100.0);
        world.idle_job = Some((3, 90));
        world.submission_interval_and_end = (25, 700);
        world.no_services = true;
        world.run(4_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ordinary, 0, "seed {seed}");
        let started_at = world.started_at.get(&JobId::new("req-000003")).copied();
        assert!(started_at.is_some_and(|at| at < 80 + 2_400), "seed {seed} {started_at:?}");
        for n in 10..28 {
            let id = JobId::new(&format!("req-{n:06}"));
            let accepted_at = world.accepted_at.get(&id).copied().unwrap_or(u32::MAX);
            let started_at = world.started_at.get(&id).copied();
            assert!(
                started_at.is_some_and(|b| b < accepted_at + 60),
                "seed {seed} {id} {accepted_at} {started_at:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    /// An idle job of any size, including the largest that the protocol allows, starts within
    /// four minutes and delays no other job, also across a change of leader.
    #[test]
    fn an_idle_job_of_any_size_delays_no_other(
        seed in any::<u64>(),
        number in 2u32..8,
        tasks in prop_oneof![1u32..4, 4u32..400, Just(100_000u32)],
        crash in 200u32..500,
    ) {
        let mut world = World::new(seed, vec![(crash, at_leader(Fault::Crash(0, 40)))]);
        // Users cancel the jobs whose numbers are divisible by five.
        let number = if number == 5 { 6 } else { number };
        (world.idle_job, world.no_services) = (Some((number, tasks)), true);
        (world.size, world.submission_interval_and_end) = ((12, 100.0), (25, 700));
        world.run(1_600);
        let idle_job = format!("req-{number:06}");
        let others: Vec<&String> =
            world.violations.iter().filter(|b| !b.starts_with(&idle_job)).collect();
        prop_assert!(others.is_empty(), "{:?}", others);
        let started_at = world.started_at.get(&JobId::new(&idle_job)).copied();
        prop_assert!(started_at.is_some_and(|at| at < number * 25 + 2_400), "{:?}", started_at);
    }
}

/// Every second job fails on every machine until its user cancels it. No healthy machine is taken
/// for faulty, the number of failed starts stays bounded, and all other work completes in time.
#[test]
fn always_failing_jobs_affect_no_other() {
    for seed in 0..6 {
        let mut world = World::new(seed, Vec::new());
        (world.failing_job_interval, world.submission_interval_and_end) = (Some(2), (12, 500));
        (world.max_tasks, world.size) = (40, (30, 100.0));
        world.run(1_600);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.cordons, 0, "seed {seed}");
        assert!(
            world.failed_attempts < 1_200,
            "seed {seed}: {} failed attempts",
            world.failed_attempts
        );
    }
}

/// Machines boot late, never, or at once, even before the cloud's answer that names them. All work
/// completes, and the controller neither waits for machines that never boot nor keeps renting
/// replacements.
#[test]
fn machines_that_boot_late_never_or_at_once() {
    for seed in 0..4 {
        for (tenths, most) in [(10, 50), (0, 50), (60, 70)] {
            let mut world = World::new(seed, vec![(1, Fault::BootTimes(tenths, 400))]);
            world.no_services = true;
            (world.submission_interval_and_end, world.size, world.max_tasks) =
                ((10, 300), (400, 400.0), 30);
            world.run(1_600);
            assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} boots {tenths}");
            assert!(world.rented <= most, "seed {seed} boots {tenths}: {} rented", world.rented);
        }
    }
}

// Real connections encode messages in CBOR, so a transaction must survive the round trip.
#[test]
fn a_transaction_round_trips_through_cbor() {
    let txn = marblebarrow_proto::wire::Txn {
        conditions: vec![marblebarrow_proto::wire::Condition { key: "k".into(), version: 3 }],
        writes: Vec::new(),
    };
    let decoded: marblebarrow_proto::wire::Txn =
        marblebarrow_proto::cbor::decode(&marblebarrow_proto::cbor::encode(&txn))
            .expect("round trip");
    assert_eq!(decoded, txn);
}
