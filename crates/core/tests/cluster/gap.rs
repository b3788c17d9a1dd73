//! Cancellations that the leader can't see, and two guards against what it would do
//! without them: the peers' pledges name them, and without such word it lets the
//! leases run out in time.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Trouble, World};

/// The store refuses the leader alone, a second later users call off jobs that run,
/// through the others, and then it is down for longer than those may take: twice.
fn gap(seed: u64, between: u32) -> World {
    let mut troubles = Vec::new();
    for at in [200, 560] {
        troubles.push((at, at_leader(Trouble::StoreRefuses(0, 140))));
        troubles.push((at + between / 2, Trouble::CancelNow(4)));
        troubles.push((at + between, Trouble::StoreDown(300)));
    }
    let mut world = World::new(seed, troubles);
    (world.gaps, world.width, world.pace) = (true, 3, (18, 640));
    world
}

/// With the pledges naming what the peers confirmed, tasks of all those jobs end in
/// time, and the leader goes on: no lease runs out, though the outage lasts longer
/// than a leader without such word may act.
#[test]
fn cancellations_in_the_gap_are_enforced_and_nobody_else_notices() {
    let mut met = 0;
    for seed in 0..16 {
        for between in [12, 18] {
            let mut world = gap(seed, between);
            world.run(2_000);
            assert_eq!(world.broken, Vec::<String>::new(), "seed {seed} {between}");
            let within = |at: u32, from: u32| (from..from + between).contains(&at);
            let there = |&&(at, _): &&(u32, usize)| within(at, 200) || within(at, 560);
            let confirmed = world.met.cancelled.iter().filter(there).count();
            // The same leader throughout: it wasn't the lease of its key that ended, neither
            // within the spell nor before the outage, which nobody could then be elected in.
            let changes = &world.met.changes_of_leader;
            let in_a_spell = |at: &u32| (200..500).contains(at) || (560..860).contains(at);
            let stayed =
                !changes.iter().any(in_a_spell) && world.met.outages_without_leader.is_empty();
            if confirmed > 0 && stayed {
                met += 1;
                assert_eq!(world.lapses, 0, "seed {seed} {between}");
            }
        }
    }
    assert!(met >= 16, "the troubles met {met} times in 32");
}

/// The leader's watch is stuck while its lease is renewed: it hears of no cancellation.
/// It gives way while tasks that it may wrongly keep can still run out in time.
#[test]
fn a_leader_whose_watch_is_stuck_gives_way_in_time() {
    let mut met = 0;
    for seed in 0..12 {
        let troubles = vec![
            (200, at_leader(Trouble::WatchStuck(0, 700))),
            (203, Trouble::CancelNow(5)),
            (230, Trouble::CancelNow(5)),
        ];
        let mut world = World::new(seed, troubles);
        (world.gaps, world.width, world.pace) = (true, 2, (18, 400));
        world.gap_s = 45.0;
        world.run(2_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        met += world.met.cancelled.iter().filter(|(at, _)| (203..260).contains(at)).count();
        assert!(!world.met.changes_of_leader.is_empty(), "seed {seed}");
        assert_eq!(world.lapses, 0, "seed {seed}");
    }
    assert!(met >= 24, "only {met} cancellations while the watch was stuck");
}
