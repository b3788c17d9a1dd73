//! Jobs of all sizes and kinds, with few troubles or none.

use crate::at_leader;
use marblebarrow_proto::ids::JobId;
use marblebarrow_rehearsal::world::{Trouble, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A quiet run: everything is accepted, run and told, and machines go back.
#[test]
fn a_quiet_day_ends_with_all_work_done() {
    let mut world = World::new(1, Vec::new());
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.starts > 20, "only {} starts", world.starts);
}

/// Entries of ended tasks are cleared with other commands or in answers to reports: such an
/// order by itself only goes to a machine that is asked whether it hears us at all.
#[test]
fn lists_are_cleared_without_orders_of_their_own() {
    let (mut orders, mut clearing) = (0, 0);
    for seed in 0..6 {
        let mut world = World::new(seed, Vec::new());
        (world.width, world.pace) = (6, (18, 900));
        world.run(1_600);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        orders += world.met.orders;
        clearing += world.met.clearing_orders;
    }
    assert!(orders > 100, "only {orders} orders");
    assert!(clearing * 20 < orders, "{clearing} of {orders} orders only clear");
}

/// A machine that takes six times as long as others is found out and returned.
#[test]
fn a_slow_machine_gets_no_more_work() {
    let mut world = World::new(3, vec![(60, Trouble::MachineSlow(0, 1_500))]);
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.cordons > 0);
}

/// More thin, pressing jobs than machines: a wide job that has missed its
/// deadline already still begins, after a minute at the latest.
#[test]
fn a_hopeless_wide_job_begins_all_the_same() {
    for seed in 0..4 {
        let mut world = World::new(seed, Vec::new());
        world.pace = (3, 900);
        world.wide = Some((40, 60));
        world.run(1_000);
        let broken: Vec<&String> =
            world.broken.iter().filter(|b| !b.contains("never told")).collect();
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
        let begun = world.begun.get(&JobId::new("req-000040"));
        assert!(begun.is_some_and(|at| *at < 120 + 700), "seed {seed}: {begun:?}");
    }
}

/// Arrays hold all that their team may use: a service of that team takes it from
/// them, and doesn't wait until they end by themselves.
#[test]
fn a_service_takes_its_teams_quota_from_arrays() {
    for seed in 0..6 {
        let mut world = World::new(seed, Vec::new());
        world.pace = (4, 160);
        world.run(500);
        for n in (23..37).step_by(4) {
            let id = JobId::new(&format!("req-{n:06}"));
            let known = world.accepted_at.get(&id).copied().unwrap_or(u32::MAX);
            let begun = world.begun.get(&id).copied();
            assert!(begun.is_some_and(|b| b < known + 100), "seed {seed} {id} {known} {begun:?}");
        }
    }
}

/// A job of the largest size holds up nobody else, and its records stay within
/// the store's limits (the stand-in checks them).
#[test]
fn the_largest_job_holds_up_no_other() {
    let mut world = World::new(5, Vec::new());
    world.wide = Some((2, 100_000));
    world.run(900);
    let others: Vec<&String> =
        world.broken.iter().filter(|b| !b.starts_with("req-000002 was never told")).collect();
    assert!(others.is_empty(), "{others:?}");
    assert!(world.begun.contains_key(&JobId::new("req-000002")));
}

/// Idle work fills all that spot machines offer, and yet other arrays begin at
/// once, as it gives way; it runs to its end, and no ordinary machine is rented
/// for it.
#[test]
fn idle_work_gives_way_and_takes_no_ordinary_machine() {
    for seed in 0..4 {
        let mut world = World::new(seed, Vec::new());
        world.size = (12, 100.0);
        world.idle = Some((3, 90));
        world.pace = (25, 700);
        world.no_services = true;
        world.run(4_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.ordinary, 0, "seed {seed}");
        let begun = world.begun.get(&JobId::new("req-000003")).copied();
        assert!(begun.is_some_and(|at| at < 80 + 2_400), "seed {seed} {begun:?}");
        for n in 10..28 {
            let id = JobId::new(&format!("req-{n:06}"));
            let known = world.accepted_at.get(&id).copied().unwrap_or(u32::MAX);
            let begun = world.begun.get(&id).copied();
            assert!(begun.is_some_and(|b| b < known + 60), "seed {seed} {id} {known} {begun:?}");
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

    /// A guest's idle job of any size, the protocol's largest included, begins within
    /// four minutes and holds up nobody, across a change of leader too.
    #[test]
    fn a_guest_of_any_size_holds_up_nobody(
        seed in any::<u64>(),
        number in 2u32..8,
        tasks in prop_oneof![1u32..4, 4u32..400, Just(100_000u32)],
        crash in 200u32..500,
    ) {
        let mut world = World::new(seed, vec![(crash, at_leader(Trouble::Crash(0, 40)))]);
        // Numbers that divide by five are cancelled by their users.
        let number = if number == 5 { 6 } else { number };
        (world.idle, world.no_services) = (Some((number, tasks)), true);
        (world.size, world.pace) = ((12, 100.0), (25, 700));
        world.run(1_600);
        let guest = format!("req-{number:06}");
        let others: Vec<&String> =
            world.broken.iter().filter(|b| !b.starts_with(&guest)).collect();
        prop_assert!(others.is_empty(), "{:?}", others);
        let begun = world.begun.get(&JobId::new(&guest)).copied();
        prop_assert!(begun.is_some_and(|at| at < number * 25 + 2_400), "{:?}", begun);
    }
}

/// Every other job fails on every machine until its user cancels it. No sound machine
/// is taken for faulty, nothing grows, and all other work is done in its time.
#[test]
fn mistaken_jobs_harm_nobody() {
    for seed in 0..6 {
        let mut world = World::new(seed, Vec::new());
        (world.mistaken, world.pace) = (Some(2), (12, 500));
        (world.width, world.size) = (40, (30, 100.0));
        world.run(1_600);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.cordons, 0, "seed {seed}");
        assert!(world.fails < 1_200, "seed {seed}: {} failed starts", world.fails);
    }
}

/// Machines come up late, some never, or at once, before the answer that names them.
/// The work is done, and machines that stay away are neither waited for nor rented
/// for over and over.
#[test]
fn boots_that_are_late_or_never_or_at_once() {
    for seed in 0..4 {
        for (tenths, most) in [(10, 50), (0, 50), (60, 70)] {
            let mut world = World::new(seed, vec![(1, Trouble::Boots(tenths, 400))]);
            world.no_services = true;
            (world.pace, world.size, world.width) = ((10, 300), (400, 400.0), 30);
            world.run(1_600);
            assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} boots {tenths}");
            assert!(world.rented <= most, "seed {seed} boots {tenths}: {} rented", world.rented);
        }
    }
}

// The records go through CBOR in the real links; here as there they must survive it.
#[test]
fn values_survive_the_wire() {
    let txn = marblebarrow_proto::wire::Txn {
        conds: vec![marblebarrow_proto::wire::Cond { key: "k".into(), version: 3 }],
        writes: Vec::new(),
    };
    let back: marblebarrow_proto::wire::Txn =
        marblebarrow_proto::cbor::decode(&marblebarrow_proto::cbor::encode(&txn))
            .expect("round trip");
    assert_eq!(back, txn);
}
