//! Takeovers, paused leaders, and single cases found by tests with generated faults.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, World};

/// An unreachable machine delays none of the jobs that never ran on it, and the leader that takes
/// over starts nothing twice.
#[test]
fn a_takeover_with_a_dead_machine_starts_nothing_twice() {
    for seed in 0..6 {
        let faults = vec![
            (150, Fault::MachineFails(1)),
            (160, Fault::CrashAll(20)),
            (165, Fault::MachinePartitioned(0, 60)),
        ];
        let mut world = World::new(seed, faults);
        world.run(1_600);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A worker whose lease expired while it received nothing begins a new agent epoch, of which the
/// leader learns only from an answer to a direct command. The lease of the new epoch must count
/// from that answer. It used to count from the last answer before it, and tasks ran twice.
#[test]
fn a_new_agent_epoch_gets_a_full_lease() {
    let faults = vec![
        (117, Fault::Crash(2, 13)),
        (159, Fault::CrashAll(23)),
        (207, Fault::Crash(0, 3)),
        (358, Fault::MachineReceivesNothing(2, 57)),
        (482, Fault::MachineFails(1)),
    ];
    let mut world = World::new(5_579_486_582_532_133_835, faults);
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// While an ended attempt must stay listed on a machine, its task must not be placed there, also
/// not by preemption. The leader used to send the task there forever.
#[test]
fn a_listed_attempt_keeps_its_task_off_that_machine() {
    let faults =
        vec![(149, Fault::CrashAll(4)), (394, Fault::CrashAll(2)), (417, Fault::AgentRestarts(0))];
    let mut world = World::new(10_445_943_961_295_808_273, faults);
    world.run(1_600);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Each controller in turn is paused, for shorter and longer than a lease, and than a pledge and a
/// lease together, while others crash or the store is down. Then it resumes with the messages that
/// queued up for it.
#[test]
fn a_paused_leader_breaks_no_rule() {
    for seed in 0..8 {
        for length in [8, 25, 60, 200] {
            let faults = vec![
                (120, Fault::Pause(0, length)),
                (130, Fault::Crash(1, 3)),
                (300, Fault::Pause(1, length)),
                (310, Fault::StoreDown(40)),
                (420, Fault::Pause(2, length)),
                (425, Fault::CrashAll(2)),
                (600, Fault::Pause(0, length)),
                (600, Fault::Pause(1, length)),
            ];
            let mut world = World::new(seed, faults);
            world.run(1_600);
            assert_eq!(world.violations, Vec::<String>::new(), "seed {seed} length {length}");
        }
    }
}

/// A third of the machines is cut off at once while the leader crashes.
#[test]
fn a_zone_cut_off_with_the_leader_breaks_no_rule() {
    for seed in 0..8 {
        let cut = |m| (200, Fault::MachinePartitioned(m, 300));
        let faults = vec![cut(0), cut(1), cut(2), (205, Fault::Crash(0, 80))];
        let mut world = World::new(seed, faults);
        world.run(1_600);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// The leader goes down and the next one then pauses, with the shortest lease of any site. The
/// controller whose workers would not try the unreachable one next becomes a candidate first, then
/// the third controller at once, and no lease expires. The candidate used to wait 4 s for other
/// controllers, and the leases of hundreds of workers expired.
#[test]
fn with_one_down_a_paused_leader_lets_no_lease_expire() {
    for seed in 0..9 {
        let faults =
            vec![(300, at_leader(Fault::Crash(0, 900))), (450, at_leader(Fault::Pause(0, 250)))];
        let mut world = World::new(seed, faults);
        world.size = (60, 200.0);
        world.heartbeat_and_lease_s = (2.0, 12.0);
        world.store_page_keys = 200;
        world.replicas = 60;
        world.submission_interval_and_end = (4, 8);
        world.run(440);
        let serving = world.serving();
        assert!(serving >= 60, "seed {seed}: {serving} replicas serve");
        world.run(700);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!((world.expired_leases, world.serving()), (0, serving), "seed {seed}");
    }
}
