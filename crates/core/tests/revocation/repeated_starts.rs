//! A start command that was executed and answered, and then reaches the worker once more. While the
//! worker lists the attempt, the copy does nothing; after the entry is cleared, only a higher fencing
//! token keeps the worker from starting the attempt again.

use crate::single_worker::*;
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
