//! The ledger of unconfirmed starts on one machine.

use marblebarrow_core::unconfirmed_starts::{AttemptKey, UnconfirmedStart, UnconfirmedStarts};
use marblebarrow_proto::ids::{Attempt, JobId, TaskId};

fn key(job: u32, attempt: u64) -> AttemptKey {
    let task = TaskId { job: JobId::new(&format!("req-{job:06}")), index: 0 };
    (task, Attempt(attempt))
}

fn start(fencing_token: u64) -> UnconfirmedStart {
    UnconfirmedStart { fencing_token, since: 10.0, cancelled_at: None, listed: false }
}

/// Only a token beyond the one that a start carried takes it back: a worker accepts an equal one.
#[test]
fn a_start_ends_with_a_higher_token_only() {
    let mut starts = UnconfirmedStarts::default();
    starts.note(key(1, 1), start(5));
    starts.note(key(2, 2), start(6));
    assert!(starts.revoke(5).is_empty());
    assert_eq!(starts.revoke(6), vec![key(1, 1)]);
    assert!(!starts.contains(&key(1, 1)) && starts.contains(&key(2, 2)));
    assert_eq!(starts.revoke(7), vec![key(2, 2)]);
    assert!(starts.is_empty());
}

/// A start that was sent again under a higher token needs one higher still.
#[test]
fn of_several_commands_the_highest_token_counts() {
    let mut starts = UnconfirmedStarts::default();
    starts.note(key(1, 1), start(6));
    starts.note(key(1, 1), start(5));
    assert!(starts.revoke(6).is_empty());
    assert_eq!(starts.revoke(7).len(), 1);
}

/// The first word on a cancellation counts, also for a start that goes unanswered once more;
/// other jobs and other attempts are their own.
#[test]
fn a_cancellation_is_remembered_from_when_it_may_first_have_been_told() {
    let mut starts = UnconfirmedStarts::default();
    starts.note(key(1, 1), start(5));
    starts.note(key(1, 2), start(5));
    starts.note(key(2, 3), start(5));
    assert_eq!(starts.cancel(&key(1, 1).0.job, 20.0), 2);
    assert_eq!(starts.cancel(&key(1, 1).0.job, 30.0), 2);
    starts.note(key(1, 1), UnconfirmedStart { cancelled_at: Some(40.0), ..start(6) });
    let since = |key: &AttemptKey| {
        starts.iter().find(|(k, _)| *k == key).and_then(|(_, start)| start.dangerous_since())
    };
    assert_eq!(since(&key(1, 1)), Some(20.0));
    assert_eq!(since(&key(1, 2)), Some(20.0));
    assert_eq!(since(&key(2, 3)), None);
}

/// What the worker lists can't be started once more, as it isn't cleared; it stays unconfirmed.
#[test]
fn a_listed_attempt_is_no_danger_and_stays_unconfirmed() {
    let mut starts = UnconfirmedStarts::default();
    starts.note(key(1, 1), UnconfirmedStart { cancelled_at: Some(20.0), ..start(5) });
    starts.note_listed(&key(1, 1));
    starts.note(key(1, 1), start(6));
    let (_, listed) = starts.iter().next().expect("unconfirmed");
    assert_eq!(listed.dangerous_since(), None);
    assert!(starts.contains(&key(1, 1)));
}
