//! Takeovers and leaders that stand still, and single cases that generated troubles found.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Trouble, World};

/// A silent machine holds up none of the jobs that were never on it, and the
/// leader that takes over starts nothing twice.
#[test]
fn a_takeover_with_a_dead_machine_starts_nothing_twice() {
    for seed in 0..6 {
        let troubles = vec![
            (150, Trouble::MachineDies(1)),
            (160, Trouble::CrashAll(20)),
            (165, Trouble::MachineCut(0, 60)),
        ];
        let mut world = World::new(seed, troubles);
        world.run(1_600);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// A worker whose lease ran out while it heard nothing begins a new epoch,
/// known from an answer to a direct order only: the epoch's lease counts from
/// then. It once counted from the last answer before, and tasks ran twice.
#[test]
fn a_new_session_has_its_lease_whole() {
    let troubles = vec![
        (117, Trouble::Crash(2, 13)),
        (159, Trouble::CrashAll(23)),
        (207, Trouble::Crash(0, 3)),
        (358, Trouble::MachineDeaf(2, 57)),
        (482, Trouble::MachineDies(1)),
    ];
    let mut world = World::new(5_579_486_582_532_133_835, troubles);
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// An ended attempt that must stay listed on a machine keeps its task off that
/// machine, also where preemption finds room: it once was sent there for ever.
#[test]
fn a_listed_attempt_keeps_its_task_elsewhere() {
    let troubles = vec![
        (149, Trouble::CrashAll(4)),
        (394, Trouble::CrashAll(2)),
        (417, Trouble::MachineReborn(0)),
    ];
    let mut world = World::new(10_445_943_961_295_808_273, troubles);
    world.run(1_600);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Each controller in turn stands still, for less and for more than a lease, a
/// pledge and a lease, while others crash or the store is down; then it goes on
/// with what waited for it.
#[test]
fn a_leader_that_stood_still_harms_nothing() {
    for seed in 0..8 {
        for length in [8, 25, 60, 200] {
            let troubles = vec![
                (120, Trouble::Freeze(0, length)),
                (130, Trouble::Crash(1, 3)),
                (300, Trouble::Freeze(1, length)),
                (310, Trouble::StoreDown(40)),
                (420, Trouble::Freeze(2, length)),
                (425, Trouble::CrashAll(2)),
                (600, Trouble::Freeze(0, length)),
                (600, Trouble::Freeze(1, length)),
            ];
            let mut world = World::new(seed, troubles);
            world.run(1_600);
            assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} length {length}");
        }
    }
}

/// A third of the machines cut off at once while the leader dies.
#[test]
fn a_zone_cut_off_with_the_leader_breaks_no_rule() {
    for seed in 0..8 {
        let cut = |m| (200, Trouble::MachineCut(m, 300));
        let troubles = vec![cut(0), cut(1), cut(2), (205, Trouble::Crash(0, 80))];
        let mut world = World::new(seed, troubles);
        world.run(1_600);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}

/// The leader goes down, and the next then stands still, at the shortest lease that
/// a site has. The one stands first whose workers wouldn't go on to the silent one,
/// then the third at once, and no lease ends. (It waited 4 s for company, and
/// hundreds of workers outlived theirs.)
#[test]
fn with_one_down_a_leader_that_stands_still_costs_no_lease() {
    for seed in 0..9 {
        let troubles = vec![
            (300, at_leader(Trouble::Crash(0, 900))),
            (450, at_leader(Trouble::Freeze(0, 250))),
        ];
        let mut world = World::new(seed, troubles);
        world.size = (60, 200.0);
        world.beat = (2.0, 12.0);
        world.page = 200;
        world.replicas = 60;
        world.pace = (4, 8);
        world.run(440);
        let serving = world.serving();
        assert!(serving >= 60, "seed {seed}: {serving} serve");
        world.run(700);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!((world.lapses, world.serving()), (0, serving), "seed {seed}");
    }
}
