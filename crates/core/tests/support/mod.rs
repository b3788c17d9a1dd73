//! Setup shared by several test files: the settings of one of three controllers, and a job with one
//! task.

use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_proto::ids::{JobId, NodeId};
use marblebarrow_proto::job::{JobSpec, Kind, Priority};

/// Settings of the controller c0 with the smallest limits that the operators use, and one team
/// without maximum resources.
pub fn facts() -> Facts {
    let team = Team { name: "t".into(), cpus: 99.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    Facts {
        node: NodeId::new("c0"),
        others: vec![NodeId::new("c1"), NodeId::new("c2")],
        teams: vec![team],
        deadline_objectives: Vec::new(),
        completion_objectives: Vec::new(),
        start_objectives: Vec::new(),
        heartbeat_interval_s: 2.0,
        lease_s: 12.0,
        cancel_s: 32.0,
        core_share: 1.0,
        log: false,
        store_rps: 100.0,
        store_write_rps: 20.0,
        store_txn_ops: 16,
        store_value_bytes: 16 * 1024,
        cloud_rps: 5.0,
        list_lag_s: 5.0,
        max_direct_commands: 40,
        max_held_heartbeats: 40,
        tuning: Tuning::default(),
        cells: None,
    }
}

/// The id of the job with this number.
pub fn job(number: u32) -> JobId {
    JobId::new(&format!("req-{number:06}"))
}

/// A job with one task that needs one CPU.
pub fn spec(number: u32, kind: Kind, priority: Priority) -> JobSpec {
    JobSpec {
        id: job(number),
        class: "a".into(),
        team: "t".into(),
        kind,
        priority,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
