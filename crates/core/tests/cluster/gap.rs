//! Cancellations that the leader can't see. Two mechanisms keep it from running cancelled
//! tasks for too long: the peers' pledges name the cancellations that they confirmed, and a
//! leader that gets no such pledge lets the leases expire in time.

use crate::at_leader;
use marblebarrow_rehearsal::world::{Fault, World};

/// Twice: the store refuses only the leader, users cancel running jobs through the other
/// controllers about a second later, and then, `outage_delay` steps after the refusals began, the
/// store is down for longer than a cancellation may take.
fn cancellations_before_outage(seed: u64, outage_delay: u32) -> World {
    let mut faults = Vec::new();
    for at in [200, 560] {
        faults.push((at, at_leader(Fault::StoreRefuses(0, 140))));
        faults.push((at + outage_delay / 2, Fault::CancelNow(4)));
        faults.push((at + outage_delay, Fault::StoreDown(300)));
    }
    let mut world = World::new(seed, faults);
    (world.staggered_tasks, world.max_tasks, world.submission_interval_and_end) =
        (true, 3, (18, 640));
    world
}

/// As the pledges name the cancellations that the peers confirmed, the tasks of those jobs end
/// in time and the leader stays in office: no lease expires, though the outage lasts longer than
/// a leader without these pledges may act.
#[test]
fn unseen_cancellations_are_enforced_without_lease_expiries() {
    let mut occurrences = 0;
    for seed in 0..16 {
        for outage_delay in [12, 18] {
            let mut world = cancellations_before_outage(seed, outage_delay);
            world.run(2_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "seed {seed}, outage after {outage_delay} steps"
            );
            let within = |at: u32, from: u32| (from..from + outage_delay).contains(&at);
            let in_gap = |&&(at, _): &&(u32, usize)| within(at, 200) || within(at, 560);
            let confirmed = world.observed.cancelled.iter().filter(in_gap).count();
            // Counts only runs with the same leader throughout: the lease of its key expired
            // neither within the fault window nor before the outage, during which no other
            // controller could be elected.
            let changes = &world.observed.changes_of_leader;
            let in_fault_window = |at: &u32| (200..500).contains(at) || (560..860).contains(at);
            let leader_kept = !changes.iter().any(in_fault_window)
                && world.observed.outages_without_leader.is_empty();
            if confirmed > 0 && leader_kept {
                occurrences += 1;
                assert_eq!(
                    world.expired_leases, 0,
                    "seed {seed}, outage after {outage_delay} steps"
                );
            }
        }
    }
    assert!(occurrences >= 16, "faults coincided in only {occurrences} of 32 runs");
}

/// The leader's watch is stuck while its lease is renewed, so it learns of no cancellation. It
/// must step down while the leases of tasks that it wrongly keeps can still expire in time.
#[test]
fn a_leader_whose_watch_is_stuck_steps_down_in_time() {
    let mut occurrences = 0;
    for seed in 0..12 {
        let faults = vec![
            (200, at_leader(Fault::WatchStuck(0, 700))),
            (203, Fault::CancelNow(5)),
            (230, Fault::CancelNow(5)),
        ];
        let mut world = World::new(seed, faults);
        (world.staggered_tasks, world.max_tasks, world.submission_interval_and_end) =
            (true, 2, (18, 400));
        world.stagger_s = 45.0;
        world.run(2_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        occurrences +=
            world.observed.cancelled.iter().filter(|(at, _)| (203..260).contains(at)).count();
        assert!(!world.observed.changes_of_leader.is_empty(), "seed {seed}");
        assert_eq!(world.expired_leases, 0, "seed {seed}");
    }
    assert!(occurrences >= 24, "only {occurrences} cancellations while the watch was stuck");
}
