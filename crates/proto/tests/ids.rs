//! Identifiers must compare as their texts do, although a prefix of fixed size is compared first.

use marblebarrow_proto::ids::MachineId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashSet;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ids_compare_as_their_texts(a in "[ab\\u{0}é]{0,18}", b in "[ab\\u{0}é]{0,18}") {
        let (x, y) = (MachineId::new(&a), MachineId::new(&b));
        prop_assert_eq!(x.cmp(&y), a.cmp(&b));
        prop_assert_eq!(x == y, a == b);
        let set: HashSet<MachineId> = [x.clone(), MachineId::new(&a)].into();
        prop_assert_eq!(set.len(), 1);
        prop_assert_eq!(set.contains(&y), a == b);
    }
}
