use super::*;
use marblebarrow_proto::cbor::from_value;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TWO_KIB: ShapeLimits = ShapeLimits { value_bytes: 2048, changes: 5 };

fn machine(number: u32, images: usize) -> (MachineId, MachineRecord) {
    let record = MachineRecord {
        kind: "compacta".into(),
        zone: "lisboa".into(),
        spot: number.is_multiple_of(2),
        addr: format!("10.1.{}.{}:9000", number / 250, number % 250),
        images: (0..images).map(|i| format!("img-{i:02}")).collect(),
        number,
    };
    (MachineId::new(&format!("n-{number:06}")), record)
}

fn shape(changes: usize, largest_value: usize) -> TransactionShape {
    TransactionShape { changes, largest_value }
}

#[test]
fn a_block_written_under_higher_limits_splits_into_values_that_fit_one_transaction() {
    let machines: Vec<_> = (0..BLOCK_MACHINES as u32).map(|n| machine(n, 40)).collect();
    let blocks = split_block(machines.clone(), TWO_KIB);
    assert!(blocks.len() > 1 && blocks.len() <= TWO_KIB.changes, "{} blocks", blocks.len());
    for SizedBlock { block, bytes } in &blocks {
        assert!(json_len(&to_value(block)) <= *bytes, "no more than the upper bound");
        assert!(*bytes <= TWO_KIB.record_bytes(), "{bytes} bytes");
    }
    let kept: Vec<_> = blocks.iter().flat_map(|b| &b.block.machines).collect();
    assert_eq!(kept.len(), machines.len());
    for ((id, record), (id_before, before)) in kept.into_iter().zip(&machines) {
        assert_eq!(id, id_before);
        assert!(before.images.ends_with(&record.images), "recent images are kept: {record:?}");
        assert!(!record.images.is_empty());
    }
}

#[test]
fn a_block_that_fits_is_not_split() {
    let machines: Vec<_> = (0..6).map(|n| machine(n, 4)).collect();
    let blocks = split_block(machines.clone(), TWO_KIB);
    assert_eq!(blocks.len(), 1);
    assert_eq!(blocks[0].block, MachineBlock { machines });
}

#[test]
fn rejections_lower_the_change_limit_first_and_then_the_value_limit() {
    let mut limits = ShapeLimits { value_bytes: 16 * 1024, changes: 16 };
    limits.shrink(shape(12, 900));
    assert_eq!(limits, ShapeLimits { value_bytes: 16 * 1024, changes: 6 });
    limits.shrink(shape(2, 6_000));
    assert_eq!(limits, ShapeLimits { value_bytes: 3_000, changes: 6 });
    for _ in 0..9 {
        limits.shrink(shape(1, 100));
        limits.shrink(shape(5, 9));
    }
    let floor = ShapeLimits { value_bytes: VALUE_BYTES_MIN, changes: MIN_TXN_CHANGES };
    assert_eq!(limits, floor, "never below the size of a job's end and of a split block");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn progress_records_fit_and_err_on_the_safe_side(
        started in proptest::collection::vec(any::<bool>(), 8_192),
        finished_in in 1u32..40,
        machines in proptest::collection::btree_set(0u32..20_000, 0..600),
        value_bytes in 1_024usize..20_000,
    ) {
        let limits = ShapeLimits { value_bytes, changes: 5 };
        let numbers = |keep: &dyn Fn(u32) -> bool| {
            let mut set = IntSet::new();
            let chosen = (0..8_192u32).filter(|n| started[*n as usize] && keep(*n));
            chosen.for_each(|n| { set.insert(n); });
            set
        };
        let mut machine_set = IntSet::new();
        machines.iter().for_each(|m| { machine_set.insert(*m); });
        let sets = ProgressSets {
            started: numbers(&|_| true),
            finished: numbers(&|n| (n / 7) % finished_in != 0),
            machines: machine_set,
        };
        let rest = ProgressRecord { mean_ms: 31_000, queue: Some(3), ..Default::default() };
        let (record, held) = fit_progress(sets.clone(), (0, 8_192), &rest, limits);
        prop_assert!(json_len(&record.value) <= record.bytes);
        prop_assert!(record.bytes <= limits.record_bytes());
        // The returned sets are what a new leader reads from the record.
        let read: ProgressRecord = from_value(&record.value).expect("readable");
        let (mut read_started, mut read_finished) = (IntSet::new(), IntSet::new());
        read.started.unpack(0, 8_192, &mut read_started);
        read.finished.unpack(0, 8_192, &mut read_finished);
        prop_assert_eq!(&read_started, &held.started);
        prop_assert_eq!(&read_finished, &held.finished);
        prop_assert_eq!(&read.machines.unpack(), &held.machines);
        prop_assert!(sets.started.iter().all(|n| held.started.contains(n)));
        prop_assert!(sets.machines.iter().all(|n| held.machines.contains(n)));
        prop_assert!(held.finished.iter().all(|n| sets.finished.contains(n)));
        prop_assert_eq!((read.mean_ms, read.queue), (31_000, Some(3)));
    }
}
