//! The ledger of starts in doubt on one machine.

use marblebarrow_core::start_doubts::{AttemptKey, StartDoubt, StartDoubts};
use marblebarrow_proto::ids::{Attempt, JobId, TaskId};

fn key(job: u32, attempt: u64) -> AttemptKey {
    let task = TaskId { job: JobId::new(&format!("req-{job:06}")), index: 0 };
    (task, Attempt(attempt))
}

fn doubt(token: u64) -> StartDoubt {
    StartDoubt { token, since: 10.0, cancelled_at: None, listed: false }
}

/// Only a token beyond the one that a start carried takes it back: a worker accepts an equal one.
#[test]
fn a_start_ends_with_a_higher_token_only() {
    let mut doubts = StartDoubts::default();
    doubts.note(key(1, 1), doubt(5));
    doubts.note(key(2, 2), doubt(6));
    assert!(doubts.revoke(5).is_empty());
    assert_eq!(doubts.revoke(6), vec![key(1, 1)]);
    assert!(!doubts.contains(&key(1, 1)) && doubts.contains(&key(2, 2)));
    assert_eq!(doubts.revoke(7), vec![key(2, 2)]);
    assert!(doubts.is_empty());
}

/// A start that was sent again under a higher token needs one higher still.
#[test]
fn of_several_commands_the_highest_token_counts() {
    let mut doubts = StartDoubts::default();
    doubts.note(key(1, 1), doubt(6));
    doubts.note(key(1, 1), doubt(5));
    assert!(doubts.revoke(6).is_empty());
    assert_eq!(doubts.revoke(7).len(), 1);
}

/// The first word on a cancellation counts, also for a start that goes unanswered once more;
/// other jobs and other attempts are their own.
#[test]
fn a_cancellation_is_remembered_from_when_it_may_first_have_been_told() {
    let mut doubts = StartDoubts::default();
    doubts.note(key(1, 1), doubt(5));
    doubts.note(key(1, 2), doubt(5));
    doubts.note(key(2, 3), doubt(5));
    assert_eq!(doubts.cancel(&key(1, 1).0.job, 20.0), 2);
    assert_eq!(doubts.cancel(&key(1, 1).0.job, 30.0), 2);
    doubts.note(key(1, 1), StartDoubt { cancelled_at: Some(40.0), ..doubt(6) });
    let since = |key: &AttemptKey| {
        doubts.iter().find(|(k, _)| *k == key).and_then(|(_, doubt)| doubt.dangerous_since())
    };
    assert_eq!(since(&key(1, 1)), Some(20.0));
    assert_eq!(since(&key(1, 2)), Some(20.0));
    assert_eq!(since(&key(2, 3)), None);
}

/// What the worker lists can't be started once more, as it isn't cleared; it stays in doubt.
#[test]
fn a_listed_attempt_is_no_danger_and_stays_in_doubt() {
    let mut doubts = StartDoubts::default();
    doubts.note(key(1, 1), StartDoubt { cancelled_at: Some(20.0), ..doubt(5) });
    doubts.note_listed(&key(1, 1));
    doubts.note(key(1, 1), doubt(6));
    let (_, listed) = doubts.iter().next().expect("in doubt");
    assert_eq!(listed.dangerous_since(), None);
    assert!(doubts.contains(&key(1, 1)));
}
