//! Helpers shared by several tests of cells.

use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};

/// Returns an array job with one task.
pub fn array(id: &str) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "a".into(),
        team: "t".into(),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}
