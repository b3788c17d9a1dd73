//! Machine numbers in progress records: what is stored names at least what it should, and
//! fits a value of the store whatever the fleet.

use marblebarrow_proto::cbor::encode;
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{NUMBERS_SPAN, NumberSet, PART_TASKS, ProgressRecord};
use proptest::prelude::*;

/// The smallest value limit that settings may name, bytes.
const VALUE_LIMIT: usize = 8 * 1024;
/// Machines at once that a job must be able to run on.
const MACHINES: u32 = 4_200;

fn set_of(numbers: impl IntoIterator<Item = u32>) -> IntSet {
    let mut set = IntSet::new();
    numbers.into_iter().for_each(|n| {
        set.insert(n);
    });
    set
}

/// The largest record: every other task of a part, so that neither set has few ranges.
fn record_on(machines: &IntSet) -> ProgressRecord {
    let tasks = set_of((0..PART_TASKS).step_by(2));
    ProgressRecord {
        started: PackedSet::pack(&tasks, 0, PART_TASKS),
        finished: PackedSet::pack(&tasks, 0, PART_TASKS),
        mean_ms: u64::from(u32::MAX),
        queue: Some(9),
        machines: NumberSet::pack(machines),
    }
}

/// A job on 4,200 machines of which none have neighbouring numbers, after few and after very
/// many machines have come and gone.
#[test]
fn the_largest_record_fits_the_smallest_value() {
    for apart in [2, 7, 8, 100, 10_000] {
        let machines = set_of((0..MACHINES).map(|n| 1 + n * apart));
        let bytes = encode(&record_on(&machines)).len();
        assert!(bytes <= VALUE_LIMIT, "{bytes} bytes with numbers {apart} apart");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_machine_is_lost_from_a_record(
        numbers in proptest::collection::vec(0u32..2_000_000, 1..2_000),
    ) {
        let set = set_of(numbers);
        let stored = NumberSet::pack(&set).unpack();
        for number in set.iter() {
            prop_assert!(stored.contains(number), "{number}");
        }
        prop_assert_eq!(stored.bounds(), set.bounds());
        let (first, last) = set.bounds().expect("not empty");
        if last - first < NUMBERS_SPAN {
            prop_assert_eq!(stored, set);
        }
    }

    #[test]
    fn coarse_sets_hold_the_set_in_few_ranges(
        numbers in proptest::collection::vec(0u32..5_000, 1..500),
        most in 1usize..40,
    ) {
        let set = set_of(numbers);
        let coarse = set.with_ranges_at_most(most);
        prop_assert!(set.iter().all(|n| coarse.contains(n)));
        prop_assert_eq!(coarse.bounds(), set.bounds());
        let ranges = coarse.iter().filter(|n| *n == 0 || !coarse.contains(n - 1)).count();
        prop_assert!(ranges <= most);
    }
}
