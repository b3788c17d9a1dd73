//! Which controllers may lead while others are silent.

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

/// The sum for the shortest lease that a site has: 2.5 s, and 5 s for each silent controller.
#[test]
fn two_silent_controllers_in_a_row_outlast_a_short_lease() {
    let short = placement(3, 2.0, 12.0);
    for (leader, down, safe) in
        [(0, 1, false), (1, 2, false), (2, 0, false), (0, 2, true), (1, 0, true), (2, 1, true)]
    {
        assert_eq!(short.is_safe(&node(leader), &nodes(&[down])), safe, "{leader} {down}");
    }
    assert!(short.is_safe(&node(0), &nodes(&[])));
}

#[test]
fn leases_are_short_or_not() {
    assert!(placement(3, 2.0, 12.0).has_short_leases());
    assert!(!placement(3, 4.0, 22.0).has_short_leases());
}

#[test]
fn longer_leases_survive_them() {
    for (interval_s, lease_s) in [(4.0, 22.0), (5.0, 26.5), (6.0, 31.0)] {
        let long = placement(3, interval_s, lease_s);
        for leader in 0..3 {
            assert!(long.is_safe(&node(leader), &nodes(&[(leader + 1) % 3])), "{lease_s}");
            assert_eq!(long.better(&node(leader), &nodes(&[(leader + 1) % 3])), None);
        }
    }
}

/// The controller after the one that is down is asked first of all by its workers' next try.
#[test]
fn the_controller_after_the_silent_one_is_better() {
    let short = placement(3, 2.0, 12.0);
    for down in 0..3 {
        let (before, after) = (node((down + 2) % 3), node((down + 1) % 3));
        assert_eq!(short.better(&before, &nodes(&[down])), Some(&after), "{down}");
        assert_eq!(short.better(&after, &nodes(&[down])), None, "{down}");
    }
}

#[test]
fn none_is_better_where_all_others_are_silent() {
    let short = placement(3, 2.0, 12.0);
    assert_eq!(short.better(&node(0), &nodes(&[1, 2])), None);
}

#[test]
fn five_controllers() {
    let short = placement(5, 2.0, 12.0);
    // c0's and c1's next are silent; c3 and c4 are well placed, c2 is not there.
    let silent = nodes(&[1, 2]);
    assert!(!short.is_safe(&node(0), &silent));
    assert!(short.is_safe(&node(3), &silent) && short.is_safe(&node(4), &silent));
    assert_eq!(short.better(&node(0), &silent), Some(&node(3)));
    // Three silent in a row outlast a lease of 22 s; others are safe.
    let long = placement(5, 4.0, 22.0);
    assert!(!long.is_safe(&node(0), &nodes(&[1, 2, 3])));
    assert_eq!(long.better(&node(0), &nodes(&[1, 2, 3])), Some(&node(4)));
}
