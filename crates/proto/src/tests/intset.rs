use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    /// `IntSet` must agree with `BTreeSet` on every operation, and packing in parts must keep it.
    fn matches_btree_set_and_round_trips_through_packing(
        operations in proptest::collection::vec((0u32..300, 0u8..4), 0..300)
    ) {
        let mut set = IntSet::new();
        let mut model = BTreeSet::new();
        for (n, operation) in operations {
            if operation == 0 {
                prop_assert_eq!(set.remove(n), model.remove(&n));
            } else {
                prop_assert_eq!(set.insert(n), model.insert(n));
            }
        }
        let bounds = model.first().copied().zip(model.last().copied());
        prop_assert_eq!(set.bounds(), bounds);
        prop_assert_eq!(set.iter().collect::<Vec<_>>(), model.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(set.len() as usize, model.len());
        for n in 0..300 {
            prop_assert_eq!(set.contains(n), model.contains(&n));
        }
        let mut back = IntSet::new();
        for start in [0u32, 128, 256] {
            PackedSet::pack(&set, start, 128).unpack(start, 128, &mut back);
        }
        prop_assert_eq!(back, set);
    }
}
