//! A start waits for a heartbeat of its machine. The machine is prompted to send one, or has one
//! whose answer waits for the start.

use crate::single_worker::*;
use marblebarrow_core::consts::{FENCING_TOKEN_BLOCK, HEARTBEAT_HOLD_MAX_S, HEARTBEAT_HOLD_SHARE};
use marblebarrow_proto::wire::{Command, EndReason};

/// The longest that an answer may wait, in seconds.
fn longest_hold() -> f64 {
    (REPORT_S * HEARTBEAT_HOLD_SHARE).min(HEARTBEAT_HOLD_MAX_S)
}

#[test]
fn a_start_is_sent_soon_whenever_the_job_comes() {
    for tenths in 0..30 {
        let mut fixture = Fixture::new();
        fixture.run(f64::from(tenths) * STEP_S, |_| false);
        let submitted = fixture.now;
        fixture.submit();
        fixture.run(10.0, |s| !s.executed.is_empty());
        let waited = fixture.now - submitted;
        assert!(waited <= 1.0, "{waited:.1} s after a job that came at {submitted:.1} s");
    }
}

/// An answer that waits for work doesn't delay the next heartbeat.
#[test]
fn a_held_heartbeat_is_answered_before_the_next_one_is_due() {
    let mut fixture = Fixture::new();
    let mut longest: f64 = 0.0;
    for _ in 0..300 {
        fixture.run(STEP_S, |_| false);
        longest = longest.max(fixture.answer_took);
    }
    assert!(longest > STEP_S, "no heartbeat was held");
    assert!(longest <= longest_hold() + 2.0 * STEP_S, "answered after {longest:.1} s");
    assert_eq!((fixture.refused, fixture.worker.agent_epoch), (None, 1));
}

/// The answer waits while the start is being recorded, and leaves as soon as it is.
#[test]
fn a_heartbeat_is_held_until_the_start_is_recorded() {
    let mut fixture = Fixture::new();
    fixture.run(5.0, |s| s.answer_took > 1.0);
    fixture.commit_delay = 0.8;
    fixture.submit();
    let submitted = fixture.now;
    fixture.run(10.0, |s| !s.executed.is_empty());
    let waited = fixture.now - submitted;
    assert!((0.8..=2.5).contains(&waited), "started after {waited:.1} s");
}

/// The worker sends its next heartbeat only after it has given up the lost answer, and that one is
/// answered with the same attempt.
#[test]
fn a_start_in_a_lost_answer_is_sent_again() {
    let mut fixture = Fixture::new();
    fixture.lose_next_start = true;
    fixture.submit();
    fixture.run(12.0, |s| !s.executed.is_empty());
    assert!(!fixture.lose_next_start, "no answer was lost");
    assert_eq!(fixture.executed.len(), 1);
    fixture.run(12.0, |_| false);
    assert_eq!(fixture.executed.len(), 1, "started again");
}

#[test]
fn a_start_in_a_lost_answer_is_not_sent_again_once_its_job_is_cancelled() {
    let mut fixture = Fixture::new();
    fixture.lose_next_start = true;
    fixture.submit();
    fixture.run(12.0, |s| !s.lose_next_start);
    fixture.cancel();
    fixture.run(CANCEL_S, |s| s.closed);
    assert!(fixture.closed, "the job's records are not closed");
    assert!(fixture.executed.is_empty(), "a cancelled task was started");
}

/// A leader that is deposed refuses what it holds at once, so that the workers try the next
/// controller.
#[test]
fn held_heartbeats_are_refused_when_the_leadership_ends() {
    let mut fixture = Fixture::new();
    fixture.run(5.0, |s| s.holds_heartbeat());
    assert!(fixture.holds_heartbeat(), "no heartbeat is held");
    fixture.lose_leadership();
    fixture.run(2.0 * STEP_S, |s| s.refused.is_some());
    assert!(fixture.refused.is_some(), "the held heartbeat is not answered");
}

/// Prompts cost a change of the store only once for many tokens.
#[test]
fn a_block_of_tokens_serves_many_prompts() {
    let mut fixture = Fixture::with_running_task();
    for _ in 0..10 {
        let starts = fixture.executed.len();
        fixture.run(2.0 * LEASE_S, |_| false);
        fixture.end(fixture.executed[starts - 1], EndReason::Error);
        fixture.run(40.0, |s| s.executed.len() > starts);
        assert_eq!(fixture.executed.len(), starts + 1, "not started again");
    }
    let prompts = fixture.directs.iter().filter(|sent| sent.fencing_token > 1);
    assert!(prompts.count() > 0, "the machine was never prompted");
    assert_eq!(fixture.raised, vec![1 + FENCING_TOKEN_BLOCK]);
}

/// If the answer to a raise is lost, the leader can't know whether it owns the tokens. It uses none
/// of them before it has read the counter again and raised it once more.
#[test]
fn a_token_is_used_only_after_its_transaction_was_answered() {
    let mut fixture = Fixture::with_raise_outcome(RaiseTxnOutcome::AnswerLost);
    fixture.run(10.0, |s| s.raised.len() > 1);
    let reserved = [1 + FENCING_TOKEN_BLOCK, 1 + 2 * FENCING_TOKEN_BLOCK];
    assert_eq!((fixture.raised.as_slice(), fixture.worker.fencing_token), (reserved.as_slice(), 1));
}

/// A raise that fails because the leader key has changed ends the leadership.
#[test]
fn a_raise_that_finds_another_leader_ends_the_leadership() {
    let mut fixture = Fixture::with_raise_outcome(RaiseTxnOutcome::LeaderChanged);
    fixture.run(5.0, |s| s.node.leader().is_none());
    assert!(fixture.node.leader().is_none());
    assert!(fixture.worker.fencing_token <= 1);
}

/// Without a higher token the start waits for the next heartbeat, and nothing else is lost.
#[test]
fn a_start_waits_for_a_heartbeat_while_no_token_can_be_reserved() {
    let mut fixture = Fixture::with_raise_outcome(RaiseTxnOutcome::Refused);
    fixture.submit();
    fixture.run(2.0 * REPORT_S, |s| !s.executed.is_empty());
    assert_eq!(fixture.executed.len(), 1, "not started");
    assert_eq!((fixture.refused, fixture.worker.agent_epoch), (None, 1));
    assert!(fixture.raised.is_empty());
}

/// Stops don't wait for a heartbeat.
#[test]
fn a_cancelled_task_is_stopped_directly() {
    let mut fixture = Fixture::with_running_task();
    let attempt = fixture.executed[0];
    fixture.run(5.0, |s| !s.holds_heartbeat());
    fixture.cancel();
    let stopped = |s: &Fixture| {
        let stops = |c: &Command| matches!(c, Command::Stop { attempt: a, .. } if *a == attempt);
        s.directs.iter().any(|sent| sent.commands.iter().any(stops)) || !s.lists(attempt)
    };
    fixture.run(3.0 * STEP_S, stopped);
    assert!(stopped(&fixture));
}
