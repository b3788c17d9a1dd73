//! A start command that gets no answer, and the cancellation of its job. Checks the leader's requests
//! to the state service and the fencing tokens in its answers.

use crate::single_worker::*;
use marblebarrow_core::consts::{
    DRIFT, FENCING_TOKEN_BLOCK, RAISE_CANCELLED_EVERY_S, SWEEP_EVERY_S,
};

/// The leader raises the token and the worker adopts it from the answer that renews its lease. The
/// delayed start then can't be executed any more, long before the cancelled tasks must be gone,
/// and the job is closed.
#[test]
fn a_cancelled_unconfirmed_start_is_revoked_by_a_higher_token() {
    let mut fixture = Fixture::with_start_in_flight();
    let cancelled = fixture.cancel();
    assert!(fixture.held_start_is_executable());
    fixture.run(CANCEL_S, |s| s.worker.fencing_token == 2);
    let reserved = [1 + FENCING_TOKEN_BLOCK];
    assert_eq!((fixture.raised.as_slice(), fixture.worker.fencing_token), (reserved.as_slice(), 2));
    assert!(!fixture.held_start_is_executable());
    let most = DIRECT_TIMEOUT_S + RAISE_CANCELLED_EVERY_S + SWEEP_EVERY_S + REPORT_S + 3.0 * STEP_S;
    assert!(fixture.now - cancelled <= most, "took {} s", fixture.now - cancelled);
    fixture.run(5.0, |s| s.closed);
    assert!(fixture.closed, "the job's records are not closed");
    assert!(fixture.worker.tasks.is_empty(), "a task was started");
    assert_eq!(fixture.refused, None, "a heartbeat was refused");
}

/// While the state service refuses the raise, the leader renews the worker's lease only as long as
/// the lease can still expire in time. Once the raise succeeds, it answers heartbeats again.
#[test]
fn without_a_higher_token_the_lease_expires_in_time() {
    let mut fixture = Fixture::with_start_in_flight();
    let cancelled = fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::Refused;
    fixture.run(CANCEL_S, |s| s.refused.is_some());
    let withheld = fixture.refused.expect("answers are withheld");
    let (renewed, token) = fixture.renewed;
    assert_eq!(token, 1);
    let lease_end = renewed + LEASE_S * (1.0 + DRIFT);
    assert!(lease_end <= cancelled + CANCEL_S * (1.0 - DRIFT), "renewed at {renewed}");
    assert!(withheld > cancelled + CANCEL_S - LEASE_S - 3.0, "too early, at {withheld}");
    fixture.run(3.0, |_| false);
    assert_eq!(fixture.renewed, (renewed, token), "renewed while answers are withheld");
    fixture.raise_outcome = RaiseTxnOutcome::Succeed;
    fixture.run(3.0, |s| s.renewed.1 == 2);
    assert_eq!(fixture.renewed.1, 2, "not renewed with the token that revokes the start");
    assert!(!fixture.held_start_is_executable());
}

/// If the answer to a raise is lost, the leader can't know whether it owns the tokens. It uses none
/// of them before it has read the counter again and raised it once more.
#[test]
fn a_token_is_used_only_after_its_transaction_was_answered() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::AnswerLost;
    fixture.run(CANCEL_S, |s| s.worker.fencing_token > 1);
    let reserved = [1 + FENCING_TOKEN_BLOCK, 1 + 2 * FENCING_TOKEN_BLOCK];
    assert_eq!((fixture.raised.as_slice(), fixture.worker.fencing_token), (reserved.as_slice(), 2));
}

/// A raise that fails because the leader key has changed ends the leadership.
#[test]
fn a_raise_that_finds_another_leader_ends_the_leadership() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.cancel();
    fixture.raise_outcome = RaiseTxnOutcome::LeaderChanged;
    fixture.run(6.0, |s| s.node.leader().is_none());
    assert!(fixture.node.leader().is_none());
    assert_eq!(fixture.worker.fencing_token, 1);
}

/// An unconfirmed start of a job that is not cancelled is sent again with the same token, without a
/// raise.
#[test]
fn an_unconfirmed_start_that_is_still_wanted_raises_no_token() {
    let mut fixture = Fixture::with_start_in_flight();
    fixture.run(10.0, |_| false);
    assert_eq!(fixture.worker.tasks.len(), 1, "the start was not sent again");
    assert_eq!(fixture.raised, vec![1 + FENCING_TOKEN_BLOCK], "more than the first block reserved");
    assert_eq!((fixture.worker.fencing_token, fixture.refused), (1, None));
}
