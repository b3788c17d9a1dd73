//! Fleets that run services: failed machines, network partitions that resemble failures, and the
//! loss of a quarter of the machines.

use marblebarrow_rehearsal::world::{Fault, World};

/// A service on eighty machines in two zones, with the heartbeat interval and lease of a real
/// fleet.
fn serving_fleet(seed: u64, faults: Vec<(u32, Fault)>) -> World {
    let mut world = World::new(seed, faults);
    world.size = (120, 400.0);
    world.heartbeat_and_lease_s = (5.0, 26.5);
    world.store_page_keys = 200;
    world.replicas = 300;
    world.submission_interval_and_end = (4, 8);
    world
}

/// Failed machines are returned to the cloud, and their replicas serve elsewhere, long before the
/// leases expire (26.5 s). The replicas used to be missing until then.
#[test]
fn replicas_of_dead_machines_do_not_wait_for_leases() {
    for seed in 0..4 {
        let machine_fails = |m: usize| (400, Fault::MachineFails(m * 7));
        let mut world = serving_fleet(seed, (0..10).map(machine_fails).collect());
        world.run(395);
        let replicas = world.serving();
        assert!(replicas >= 300, "seed {seed}: {replicas} replicas serve");
        world.run(405);
        assert!(world.serving() <= replicas - 30, "seed {seed}: {}", world.serving());
        world.run(600);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.serving(), replicas, "seed {seed}");
    }
}

/// Checks that a partition ends no replica and causes no machines to be returned.
fn check_partition(seed: u64, cut: Vec<(u32, Fault)>) {
    let mut world = serving_fleet(seed, cut.clone());
    world.run(398);
    let (replicas, returned) = (world.serving(), world.returned());
    world.run(540);
    assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} {cut:?}");
    assert_eq!(world.serving(), replicas, "seed {seed} {cut:?}");
    let more = world.returned() - returned;
    assert!(more <= 4, "seed {seed} {cut:?}: {more} machines returned");
}

/// All controllers are cut off from the workers.
fn workers_cut() -> Vec<(u32, Fault)> {
    (0..3).map(|n| (400, Fault::WorkersCut(n, 110))).collect()
}

/// Neither a partitioned zone nor a leader that is cut off from its workers causes machines to be
/// returned within the seconds after which failed ones are.
#[test]
fn partitions_are_not_taken_for_machine_failures() {
    for seed in 0..4 {
        check_partition(seed, vec![(400, Fault::ZonePartitioned("b", 140))]);
        check_partition(seed, workers_cut());
        check_partition(seed, vec![(400, Fault::WorkersCut(0, 300))]);
    }
}

/// Guards against machines returned by a leader that was elected while all workers were cut off.
#[test]
fn a_leader_elected_while_workers_are_cut_off_returns_no_machines() {
    // A probe was lost just before the cut with the last seeds, or replicas were being moved.
    for seed in (0..24).chain([117, 189, 210, 295, 326, 341, 363]) {
        check_partition(seed, workers_cut());
    }
}

/// A fleet 1.5 times as large as the operators' largest loses a quarter of its machines at once,
/// while all controllers crash. The unreachable machines delay neither the commands to the others
/// nor the recovery, direct commands and changes to the store stay within their bounds, and every
/// replica serves again.
#[test]
fn a_fleet_that_loses_a_quarter_in_a_takeover_serves_again() {
    let machine_fails = |m: usize| (400, Fault::MachineFails(m * 4));
    let mut faults: Vec<_> = (0..525).map(machine_fails).collect();
    faults.push((401, Fault::CrashAll(5)));
    let mut world = World::new(11, faults);
    world.size = (2_100, 9_000.0);
    world.heartbeat_and_lease_s = (5.0, 26.5);
    world.store_page_keys = 200;
    world.replicas = 300;
    world.submission_interval_and_end = (4, 190);
    // `advance_to` doesn't check that jobs have ended: the latest ones are still running here.
    // `run` checks it below.
    world.advance_to(395);
    assert_eq!(world.violations, Vec::<String>::new());
    let (up, replicas) = (world.machines_up(), world.serving());
    assert!(up > 1_500, "{up} machines");
    assert_eq!(replicas, 24 * 300);
    world.run(410);
    assert!(world.serving() < replicas - 1_000, "{} of {replicas}", world.serving());
    // Time to return the failed machines, boot others, and place and record more than a
    // thousand tasks, with one command in 25 lost for up to 12 s.
    world.run(800);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.serving(), replicas);
    assert!(
        world.max_direct_commands <= 40,
        "{} direct commands at once",
        world.max_direct_commands
    );
    // The store accepts bursts of one second's worth of changes.
    assert!(
        world.max_changes_per_second <= 2 * 60,
        "{} changes in a second",
        world.max_changes_per_second
    );
}
