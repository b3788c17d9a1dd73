//! Which controllers may lead while others are unreachable.

use super::*;

fn node(number: usize) -> NodeId {
    NodeId::new(&format!("c{number}"))
}

fn nodes(numbers: &[usize]) -> BTreeSet<NodeId> {
    numbers.iter().copied().map(node).collect()
}

fn placement(controllers: usize, interval_s: f64, lease_s: f64) -> Placement {
    Placement::new((0..controllers).map(node).collect(), interval_s, lease_s)
}

/// The shortest lease in use must cover 2.5 s, plus 5 s for each unreachable controller.
#[test]
fn two_consecutive_unreachable_controllers_outlast_a_short_lease() {
    let short = placement(3, 2.0, 12.0);
    for (leader, down, safe) in
        [(0, 1, false), (1, 2, false), (2, 0, false), (0, 2, true), (1, 0, true), (2, 1, true)]
    {
        assert_eq!(short.is_safe(&node(leader), &nodes(&[down])), safe, "{leader} {down}");
    }
    assert!(short.is_safe(&node(0), &nodes(&[])));
}

#[test]
fn classifies_short_and_long_leases() {
    assert!(placement(3, 2.0, 12.0).has_short_leases());
    assert!(!placement(3, 4.0, 22.0).has_short_leases());
}

#[test]
fn longer_leases_survive_two_consecutive_unreachable_controllers() {
    for (interval_s, lease_s) in [(4.0, 22.0), (5.0, 26.5), (6.0, 31.0)] {
        let long = placement(3, interval_s, lease_s);
        for leader in 0..3 {
            assert!(long.is_safe(&node(leader), &nodes(&[(leader + 1) % 3])), "{lease_s}");
            assert_eq!(long.better_placed_leader(&node(leader), &nodes(&[(leader + 1) % 3])), None);
        }
    }
}

/// When workers retry, they try the controller after the unreachable one first.
#[test]
fn the_controller_after_the_unreachable_one_is_preferred() {
    let short = placement(3, 2.0, 12.0);
    for down in 0..3 {
        let (before, after) = (node((down + 2) % 3), node((down + 1) % 3));
        assert_eq!(short.better_placed_leader(&before, &nodes(&[down])), Some(&after), "{down}");
        assert_eq!(short.better_placed_leader(&after, &nodes(&[down])), None, "{down}");
    }
}

#[test]
fn no_controller_is_preferred_if_all_others_are_unreachable() {
    let short = placement(3, 2.0, 12.0);
    assert_eq!(short.better_placed_leader(&node(0), &nodes(&[1, 2])), None);
}

#[test]
fn consecutive_unreachable_controllers_among_five() {
    let short = placement(5, 2.0, 12.0);
    // The controllers after c0 and c1 are unreachable; c3 and c4 can lead safely; c2 is unreachable
    // itself.
    let unreachable = nodes(&[1, 2]);
    assert!(!short.is_safe(&node(0), &unreachable));
    assert!(short.is_safe(&node(3), &unreachable) && short.is_safe(&node(4), &unreachable));
    assert_eq!(short.better_placed_leader(&node(0), &unreachable), Some(&node(3)));
    // Three consecutive unreachable controllers outlast a lease of 22 s; other leaders are safe.
    let long = placement(5, 4.0, 22.0);
    assert!(!long.is_safe(&node(0), &nodes(&[1, 2, 3])));
    assert_eq!(long.better_placed_leader(&node(0), &nodes(&[1, 2, 3])), Some(&node(4)));
}
