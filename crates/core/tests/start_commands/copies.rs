//! Guards against start commands that are executed late or again. A direct command is executed
//! whenever it arrives, as long as its token and agent epoch match, and a worker that has restarted
//! under its name accepts any token in its first epoch. So no direct command may start anything.

use crate::single_worker::*;
use marblebarrow_proto::wire::{Command, EndReason};

/// Ends the running attempt in this way, and runs until the worker has cleared it.
fn end_and_clear(fixture: &mut Fixture, reason: EndReason) {
    let attempt = *fixture.executed.last().expect("started");
    fixture.end(attempt, reason);
    fixture.run(10.0, |s| !s.lists(attempt));
    assert!(!fixture.lists(attempt), "the attempt was not cleared");
}

/// Restarts the worker while nothing reaches it, delivers a copy of everything that was ever sent
/// directly, and checks that nothing starts.
fn check_copies_after_restart(mut fixture: Fixture, what: &str) {
    assert!(!fixture.directs.is_empty(), "{what}: nothing was sent directly");
    let starts = fixture.executed.len();
    fixture.restart_worker(0);
    assert!(fixture.deliver_copies() > 0, "{what}: the restarted worker accepts no copy");
    assert_eq!(fixture.executed.len(), starts, "{what}: a copy started a task");
    assert!(fixture.worker.tasks.is_empty(), "{what}");
}

/// review/5: a task failed on a machine and ran elsewhere; the machine restarted without a leader,
/// and a copy of the start reached it.
#[test]
fn copies_start_no_failed_task_on_a_restarted_worker() {
    let mut fixture = Fixture::with_running_task();
    end_and_clear(&mut fixture, EndReason::Error);
    check_copies_after_restart(fixture, "failed");
}

#[test]
fn copies_start_no_refused_task_on_a_restarted_worker() {
    for reason in [EndReason::NoRoom, EndReason::Busy, EndReason::Unknown] {
        let mut fixture = Fixture::with_running_task();
        end_and_clear(&mut fixture, reason);
        check_copies_after_restart(fixture, "refused");
    }
}

#[test]
fn copies_start_no_stopped_task_on_a_restarted_worker() {
    let mut fixture = Fixture::with_running_task();
    end_and_clear(&mut fixture, EndReason::Stopped);
    check_copies_after_restart(fixture, "stopped");
}

#[test]
fn copies_start_no_cancelled_task_on_a_restarted_worker() {
    let mut fixture = Fixture::with_running_task();
    let attempt = fixture.executed[0];
    fixture.cancel();
    fixture.run(10.0, |s| s.closed);
    assert!(fixture.closed, "the job's records are not closed");
    let stops = |sent: &SentDirect| {
        sent.commands.iter().any(|c| matches!(c, Command::Stop { attempt: a, .. } if *a == attempt))
    };
    assert!(fixture.directs.iter().any(stops), "the task was not stopped directly");
    check_copies_after_restart(fixture, "cancelled");
}

#[test]
fn copies_start_no_running_task_on_a_restarted_worker() {
    check_copies_after_restart(Fixture::with_running_task(), "running");
}

/// Without a leader for longer than the lease, a restarted worker reaches later agent epochs
/// without having seen a token.
#[test]
fn copies_start_nothing_in_later_epochs_of_a_restarted_worker() {
    let mut fixture = Fixture::with_running_task();
    end_and_clear(&mut fixture, EndReason::Error);
    let starts = fixture.executed.len();
    for epoch in 1..4 {
        fixture.restart_worker(0);
        fixture.worker.agent_epoch = epoch;
        fixture.deliver_copies();
        assert_eq!(fixture.executed.len(), starts, "epoch {epoch}");
    }
}

/// A worker that restarts loses its task. The task is started again, though not on this machine,
/// whose release alone proves what runs on it.
#[test]
fn a_restarted_worker_gets_no_start_until_its_machine_is_released() {
    let mut fixture = Fixture::with_running_task();
    fixture.restart_worker(0);
    fixture.run(LEASE_S, |_| false);
    assert_eq!(fixture.executed.len(), 1);
}

/// Controllers of the version before this one send starts directly. Once the worker has been shown
/// the token of the next leader, it refuses them.
#[test]
fn a_direct_start_of_an_earlier_leader_is_refused_once_the_new_token_is_shown() {
    let mut fixture = Fixture::with_running_task();
    let attempt = marblebarrow_proto::ids::Attempt(1);
    let start = Command::Start { task: "req-000002/0".into(), attempt };
    fixture.directs = vec![SentDirect { fencing_token: 0, agent_epoch: 1, commands: vec![start] }];
    assert_eq!(fixture.deliver_copies(), 0);
    assert!(!fixture.lists(attempt));
}
