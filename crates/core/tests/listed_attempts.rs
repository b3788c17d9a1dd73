//! The number of ended attempts that a machine may list, for example while the state service is away
//! and their ends can't be recorded.

use marblebarrow_core::consts::LISTED_ATTEMPTS_MAX;
use marblebarrow_core::fleet::Machine;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::{EndReason, Heartbeat, HeartbeatTask, TaskState};

/// Largest heartbeat, in bytes of its JSON form (protocol page).
const HEARTBEAT_BYTES_MAX: usize = 64 * 1024;

fn task(index: u32) -> TaskId {
    TaskId { job: JobId::new("req-999999"), index }
}

/// A reachable machine that lists this many ended attempts.
fn machine_listing(attempts: usize) -> Machine {
    let record = MachineRecord {
        kind: "k".into(),
        zone: "a".into(),
        spot: false,
        addr: "10.0.0.1:9000".into(),
        images: Vec::new(),
        number: 1,
    };
    let mut machine = Machine::new(record, 0.0);
    (machine.last_heard_at, machine.last_reached_at) = (Some(0.0), Some(0.0));
    machine.confirmed = true;
    let ended = |i: u32| ((task(i), Attempt(u64::from(i))), EndReason::Error);
    machine.ended_attempts = (0..attempts as u32).map(ended).collect();
    machine
}

#[test]
fn a_machine_that_lists_too_many_attempts_gets_no_new_tasks() {
    assert!(machine_listing(LISTED_ATTEMPTS_MAX - 1).usable(0.0, 1.0));
    assert!(!machine_listing(LISTED_ATTEMPTS_MAX).usable(0.0, 1.0));
}

#[test]
fn a_heartbeat_with_all_attempts_that_may_be_listed_is_not_too_large() {
    let entry = |index: u32| HeartbeatTask {
        task: task(99_999 - index).to_string(),
        attempt: Attempt(u64::MAX),
        state: TaskState::Exited,
        end_reason: Some(EndReason::Alone),
    };
    let heartbeat = Heartbeat {
        machine: MachineId::new("n-999999"),
        addr: "255.255.255.255:65535".into(),
        kind: "k".repeat(100),
        zone: "z".repeat(100),
        spot: true,
        agent_epoch: u64::MAX,
        seq: u64::MAX,
        fencing_token: u64::MAX,
        notice_s: Some(120.5),
        tasks: (0..LISTED_ATTEMPTS_MAX as u32).map(entry).collect(),
    };
    let bytes = serde_json::to_vec(&heartbeat).expect("a heartbeat in JSON").len();
    assert!(bytes <= HEARTBEAT_BYTES_MAX, "{bytes} bytes");
}
