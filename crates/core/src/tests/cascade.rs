use super::*;

/// Size of a list, bytes, that fits the smallest announced value limit of the store, 2 KiB.
const CASCADE_LIST_BYTES: usize = 1_800;
const MAX_CHANGES: usize = 5;

fn jobs(count: u32) -> BTreeSet<JobId> {
    (0..count).map(|n| JobId::new(&format!("req-{n:06}"))).collect()
}

fn lists_of(count: u32) -> CascadeLists {
    let mut lists = CascadeLists::new(7, 70, 0.0);
    lists.plan(&jobs(count), CASCADE_LIST_BYTES, MAX_CHANGES);
    lists
}

/// A local copy with the generation and the lists that the transaction wrote.
fn copy_after(txn: &Txn, version: u64) -> CascadedJobs {
    let mut copy = CascadedJobs::default();
    for write in &txn.writes {
        let Write::Put { key, value, .. } = write else { continue };
        match marblebarrow_proto::cbor::from_value::<CascadeRecord>(value) {
            Ok(record) => copy.put(key, record, version),
            Err(_) => copy.set_generation(version),
        }
    }
    copy
}

#[test]
fn a_thousand_jobs_fit_two_transactions_of_the_smallest_limits() {
    let mut lists = CascadeLists::new(7, 70, 0.0);
    let (mut queued, mut copy, mut transactions) = (jobs(1_000), CascadedJobs::default(), 0);
    while !queued.is_empty() {
        lists.plan(&queued, CASCADE_LIST_BYTES, MAX_CHANGES);
        let txn = lists.write_due(0.0, &copy).expect("due");
        assert!(txn.writes.len() <= MAX_CHANGES && txn.conditions.len() <= 4 * MAX_CHANGES);
        for write in &txn.writes {
            let Write::Put { value, .. } = write else { panic!("only puts") };
            if let Ok(record) = marblebarrow_proto::cbor::from_value::<CascadeRecord>(value) {
                let ids: usize = record.jobs.iter().map(|j| j.as_str().len() + 3).sum();
                assert!(ids + LIST_FRAME_BYTES <= CASCADE_LIST_BYTES, "{ids} bytes of ids");
            }
        }
        transactions += 1;
        lists.write_sent(OpId(transactions));
        let revision = 100 + transactions;
        let answer = lists.answered(0.0, OpId(transactions), &StoreResult::Committed(revision));
        let CascadeOutcome::Recorded(recorded) = answer else { panic!("{answer:?}") };
        recorded.iter().for_each(|job| assert!(queued.remove(job)));
        copy.set_generation(revision);
    }
    assert_eq!(transactions, 2);
}

#[test]
fn a_retry_after_a_lost_reply_sends_the_same_transaction() {
    let mut lists = lists_of(20);
    let copy = CascadedJobs::default();
    let first = lists.write_due(0.0, &copy).expect("due");
    lists.write_sent(OpId(1));
    assert!(lists.write_due(0.0, &copy).is_none(), "one transaction at a time");
    assert_eq!(lists.answered(1.0, OpId(1), &StoreResult::Unknown), CascadeOutcome::Pending);
    assert!(lists.write_due(1.0, &copy).is_none(), "no retry without a pause");
    let second = lists.write_due(1.0 + STORE_RETRY_S, &copy).expect("due again");
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
    lists.write_sent(OpId(2));
    // The first transaction was committed after all.
    let taken = StoreResult::Conflict(vec![cascade_key(7, 0)]);
    let outcome = lists.answered(2.0, OpId(2), &taken);
    assert_eq!(outcome, CascadeOutcome::Recorded(jobs(20).into_iter().collect()));
}

#[test]
fn a_write_based_on_an_outdated_copy_waits_for_a_newer_one() {
    let mut lists = lists_of(20);
    let txn = lists.write_due(0.0, &CascadedJobs::default()).expect("due");
    lists.write_sent(OpId(1));
    let refused = StoreResult::Conflict(vec![CASCADE_GENERATION_KEY.into()]);
    assert_eq!(lists.answered(0.1, OpId(1), &refused), CascadeOutcome::Pending);
    assert!(lists.write_due(60.0, &CascadedJobs::default()).is_none(), "the copy is unchanged");
    let mut newer = CascadedJobs::default();
    newer.set_generation(44);
    let again = lists.write_due(60.0, &newer).expect("the copy has a newer generation");
    let required = again.conditions.iter().find(|c| c.key == CASCADE_GENERATION_KEY);
    assert_eq!(required.map(|c| c.version), Some(44));
    // If the copy shows the lists themselves, an earlier attempt was committed.
    let shown = lists.take_visible(&copy_after(&txn, 45));
    assert_eq!(shown, Some(jobs(20).into_iter().collect()));
    assert!(!lists.is_writing());
}

#[test]
fn a_list_is_removed_once_all_its_jobs_have_ended() {
    let mut lists = lists_of(20);
    let txn = lists.write_due(0.0, &CascadedJobs::default()).expect("due");
    let mut copy = copy_after(&txn, 45);
    assert!(copy.contains(&JobId::new("req-000019")));
    let last = JobId::new("req-000019");
    assert!(lists.removal_due(0.0, &copy, |job| *job == last).is_none(), "one is unfinished");
    let removal = lists.removal_due(0.0, &copy, |_| false).expect("due");
    let keys: Vec<_> = removal.conditions.iter().map(|c| (c.key.as_str(), c.version)).collect();
    assert_eq!(keys, [(LEADER_KEY, 70), (cascade_key(7, 0).as_str(), 45)]);
    lists.removal_sent(OpId(9));
    assert_eq!(lists.answered(0.2, OpId(9), &StoreResult::Committed(50)), CascadeOutcome::Removed);
    assert!(lists.removal_due(0.3, &copy, |_| false).is_none(), "not twice");
    copy.remove(&cascade_key(7, 0));
    assert!(!copy.contains(&last));
    assert!(lists.removal_due(0.4, &copy, |_| false).is_none());
}

#[test]
fn final_states_of_listed_jobs_stay_within_their_rate() {
    let mut lists = CascadeLists::new(7, 70, 0.0);
    let ends =
        (0..1_000).filter(|n| lists.try_spend_final_state_budget(f64::from(*n) * 0.1, 4.0)).count();
    assert!((195..=200).contains(&ends), "{ends} ends in 100 s at 4 changes a second");
}
