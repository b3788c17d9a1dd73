//! Tests the tracking of unconfirmed starts on one machine.

use marblebarrow_core::unconfirmed_starts::{AttemptKey, UnconfirmedStart, UnconfirmedStarts};
use marblebarrow_proto::ids::{Attempt, JobId, TaskId};

fn key(job: u32, attempt: u64) -> AttemptKey {
    let task = TaskId { job: JobId::new(&format!("req-{job:06}")), index: 0 };
    (task, Attempt(attempt))
}

fn start(fencing_token: u64) -> UnconfirmedStart {
    UnconfirmedStart { fencing_token, since: 10.0, cancelled_at: None, listed: false }
}

/// Only a higher token than a start carried revokes it, because a worker accepts an equal one.
#[test]
fn only_a_higher_token_revokes_a_start() {
    let mut starts = UnconfirmedStarts::default();
    starts.record(key(1, 1), start(5));
    starts.record(key(2, 2), start(6));
    assert!(starts.revoke(5).is_empty());
    assert_eq!(starts.revoke(6), vec![key(1, 1)]);
    assert!(!starts.contains(&key(1, 1)) && starts.contains(&key(2, 2)));
    assert_eq!(starts.revoke(7), vec![key(2, 2)]);
    assert!(starts.is_empty());
}

/// A start that was sent again with a higher token is revoked only by an even higher one.
#[test]
fn the_highest_token_of_several_commands_counts() {
    let mut starts = UnconfirmedStarts::default();
    starts.record(key(1, 1), start(6));
    starts.record(key(1, 1), start(5));
    assert!(starts.revoke(6).is_empty());
    assert_eq!(starts.revoke(7).len(), 1);
}

/// The earliest known cancellation time of a job counts, also for a start that goes unanswered
/// again. All attempts of the job are affected, and no other jobs.
#[test]
fn the_earliest_cancellation_time_is_kept() {
    let mut starts = UnconfirmedStarts::default();
    starts.record(key(1, 1), start(5));
    starts.record(key(1, 2), start(5));
    starts.record(key(2, 3), start(5));
    assert_eq!(starts.cancel(&key(1, 1).0.job, 20.0), 2);
    assert_eq!(starts.cancel(&key(1, 1).0.job, 30.0), 2);
    starts.record(key(1, 1), UnconfirmedStart { cancelled_at: Some(40.0), ..start(6) });
    let since = |key: &AttemptKey| {
        starts.iter().find(|(k, _)| *k == key).and_then(|(_, start)| start.must_revoke_since())
    };
    assert_eq!(since(&key(1, 1)), Some(20.0));
    assert_eq!(since(&key(1, 2)), Some(20.0));
    assert_eq!(since(&key(2, 3)), None);
}

/// An attempt that the worker lists can't be started again before it is cleared, so it needs no
/// revocation. It stays unconfirmed.
#[test]
fn a_listed_attempt_needs_no_revocation_and_stays_unconfirmed() {
    let mut starts = UnconfirmedStarts::default();
    starts.record(key(1, 1), UnconfirmedStart { cancelled_at: Some(20.0), ..start(5) });
    starts.note_listed(&key(1, 1));
    starts.record(key(1, 1), start(6));
    let (_, listed) = starts.iter().next().expect("unconfirmed");
    assert_eq!(listed.must_revoke_since(), None);
    assert!(starts.contains(&key(1, 1)));
}
