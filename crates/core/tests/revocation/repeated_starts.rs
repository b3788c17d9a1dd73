//! A start command that was executed and answered, and then reaches the worker once more. While the
//! worker lists the attempt, the copy does nothing; after the entry is cleared, only a higher fencing
//! token keeps the worker from starting the attempt again.

use crate::single_worker::*;
use marblebarrow_core::consts::FENCING_TOKEN_BLOCK;
use marblebarrow_proto::wire::EndReason;

/// Ends the first attempt, and runs until the worker has cleared it.
fn clear_first_attempt(fixture: &mut Fixture, reason: EndReason) {
    let attempt = fixture.first_attempt();
    assert!(fixture.lists(attempt), "the start was not executed");
    fixture.end(attempt, reason);
    fixture.run(10.0, |s| !s.lists(attempt));
    assert!(!fixture.lists(attempt), "the attempt was not cleared");
}

#[test]
fn the_start_of_a_failed_attempt_is_not_executable_after_the_clear() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    clear_first_attempt(&mut fixture, EndReason::Error);
    assert!(!fixture.held_start_is_executable());
}

#[test]
fn the_start_of_a_completed_attempt_is_not_executable_after_the_clear() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    clear_first_attempt(&mut fixture, EndReason::Done);
    assert!(!fixture.held_start_is_executable());
}

#[test]
fn the_start_of_a_refused_attempt_is_not_executable_after_the_clear() {
    for reason in [EndReason::NoRoom, EndReason::Busy, EndReason::Unknown] {
        let mut fixture = Fixture::with_first_start(FirstStart::Answered);
        clear_first_attempt(&mut fixture, reason);
        assert!(!fixture.held_start_is_executable(), "{reason:?}");
    }
}

#[test]
fn the_start_of_a_cancelled_task_is_not_executable_after_the_clear() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    let attempt = fixture.first_attempt();
    fixture.run(3.0, |_| false);
    fixture.cancel();
    fixture.run(10.0, |s| !s.lists(attempt));
    assert!(!fixture.lists(attempt), "the attempt was not cleared");
    assert!(!fixture.held_start_is_executable());
}

/// The clear costs a change of the store only once for many tokens.
#[test]
fn a_block_of_tokens_serves_many_clears() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    clear_first_attempt(&mut fixture, EndReason::Error);
    for _ in 0..10 {
        let starts = fixture.executed.len();
        fixture.run(40.0, |s| s.executed.len() > starts);
        let (attempt, _) = *fixture.executed.last().expect("started again");
        fixture.run(2.0, |_| false);
        fixture.end(attempt, EndReason::Stopped);
        fixture.run(10.0, |s| !s.lists(attempt));
        assert!(!fixture.lists(attempt), "the attempt was not cleared");
    }
    assert_eq!(fixture.raised, vec![1 + FENCING_TOKEN_BLOCK]);
}

/// No token can be reserved for longer than cancelled tasks may run: the entry stays listed, and the
/// worker keeps its lease.
#[test]
fn an_ended_attempt_stays_listed_while_no_token_can_be_reserved() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    fixture.raise_outcome = RaiseTxnOutcome::Refused;
    let attempt = fixture.first_attempt();
    fixture.end(attempt, EndReason::Error);
    fixture.run(2.0 * CANCEL_S, |s| !s.lists(attempt));
    assert!(fixture.lists(attempt), "cleared under a token that its start carried");
    assert_eq!((fixture.refused, fixture.worker.agent_epoch), (None, 1));
    fixture.raise_outcome = RaiseTxnOutcome::Succeed;
    fixture.run(10.0, |s| !s.lists(attempt));
    assert!(!fixture.lists(attempt), "the attempt was not cleared");
    assert!(!fixture.held_start_is_executable());
}

/// A worker that restarted, in its first agent epoch and without a token, would execute every
/// command sent to it before.
#[test]
fn a_restarted_worker_is_shown_a_token_that_revokes_earlier_starts() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    let attempt = fixture.first_attempt();
    fixture.run(3.0, |_| false);
    fixture.restart_worker(0);
    assert!(fixture.held_start_is_executable());
    let sent = fixture.held.as_ref().expect("a start was sent directly").fencing_token;
    fixture.run(LEASE_S, |s| s.worker.fencing_token > sent);
    assert!(fixture.worker.fencing_token > sent, "no higher token was shown");
    assert!(!fixture.lists(attempt));
}

#[test]
fn a_worker_that_restarts_once_more_is_shown_the_token_again() {
    let mut fixture = Fixture::with_first_start(FirstStart::Answered);
    let sent = fixture.held.as_ref().expect("a start was sent directly").fencing_token;
    for _ in 0..3 {
        fixture.run(3.0, |_| false);
        fixture.restart_worker(0);
        assert!(fixture.held_start_is_executable());
        fixture.run(LEASE_S, |s| s.worker.fencing_token > sent);
        assert!(fixture.worker.fencing_token > sent, "no higher token was shown");
    }
}

/// The restart can't be told from the numbers of the worker's messages, nor from its token if a
/// command that was in flight has shown it the present one.
#[test]
fn a_task_lost_in_an_unnoticed_restart_starts_again_only_once_its_start_is_revoked() {
    for shown in [0, 1] {
        let mut fixture = Fixture::with_first_start(FirstStart::Answered);
        fixture.run(3.0, |_| false);
        let seq = fixture.worker.seq + 5;
        fixture.restart_worker(seq);
        fixture.worker.fencing_token = shown;
        fixture.run(40.0, |s| s.executed.len() > 1);
        let (attempt, executable) = *fixture.executed.last().expect("a start");
        assert_ne!(attempt, fixture.first_attempt(), "token {shown}: not started again");
        assert!(!executable, "token {shown}: the lost attempt could be started too");
    }
}
