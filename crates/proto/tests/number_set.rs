//! Machine numbers in progress records: the stored set must contain every machine, and a record
//! must fit the value limit of the state service whatever the fleet.

use marblebarrow_proto::cbor::encode;
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{MAX_EXACT_SPAN, NumberSet, PART_TASKS, ProgressRecord};
use proptest::prelude::*;

/// The smallest value limit that settings allow, bytes.
const VALUE_LIMIT: usize = 8 * 1024;
/// Number of machines that a job must be able to use at the same time.
const MACHINES: u32 = 4_200;

fn set_of(numbers: impl IntoIterator<Item = u32>) -> IntSet {
    let mut set = IntSet::new();
    numbers.into_iter().for_each(|n| {
        set.insert(n);
    });
    set
}

/// A progress record of maximum size: every other task of the part, so that both task sets are
/// stored as bitmaps.
fn record_for_machines(machines: &IntSet) -> ProgressRecord {
    let tasks = set_of((0..PART_TASKS).step_by(2));
    ProgressRecord {
        started: PackedSet::pack(&tasks, 0, PART_TASKS),
        finished: PackedSet::pack(&tasks, 0, PART_TASKS),
        mean_ms: u64::from(u32::MAX),
        queue: Some(9),
        machines: NumberSet::pack(machines),
    }
}

/// A progress record must fit the smallest value limit when a job is on 4,200 machines without
/// consecutive numbers, whether few or very many machines were used before.
#[test]
fn the_largest_record_fits_the_smallest_value_limit() {
    for spacing in [2, 7, 8, 100, 10_000] {
        let machines = set_of((0..MACHINES).map(|n| 1 + n * spacing));
        let bytes = encode(&record_for_machines(&machines)).len();
        assert!(bytes <= VALUE_LIMIT, "{bytes} bytes with numbers {spacing} apart");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_stored_set_contains_every_machine(
        numbers in proptest::collection::vec(0u32..2_000_000, 1..2_000),
    ) {
        let set = set_of(numbers);
        let stored = NumberSet::pack(&set).unpack();
        for number in set.iter() {
            prop_assert!(stored.contains(number), "{number}");
        }
        prop_assert_eq!(stored.bounds(), set.bounds());
        let (first, last) = set.bounds().expect("not empty");
        if last - first < MAX_EXACT_SPAN {
            prop_assert_eq!(stored, set);
        }
    }

    #[test]
    fn limiting_ranges_yields_a_superset(
        numbers in proptest::collection::vec(0u32..5_000, 1..500),
        max_ranges in 1usize..40,
    ) {
        let set = set_of(numbers);
        let coarse = set.with_ranges_at_most(max_ranges);
        prop_assert!(set.iter().all(|n| coarse.contains(n)));
        prop_assert_eq!(coarse.bounds(), set.bounds());
        let ranges = coarse.iter().filter(|n| *n == 0 || !coarse.contains(n - 1)).count();
        prop_assert!(ranges <= max_ranges);
    }
}
