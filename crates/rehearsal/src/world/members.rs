//! What the stand-ins know of each controller, worker and task.

use super::*;

/// A controller and its connections. Fields that end in `_until` are steps up to which
/// something fails there.
pub(super) struct Host {
    pub(super) node: Option<Node>,
    pub(super) born: f64,
    pub(super) back_at: u32,
    pub(super) synced: bool,
    pub(super) watched: u64,
    /// When the watch that is open was sent, by its own clock.
    pub(super) watch_sent: f64,
    pub(super) watch_stuck_until: u32,
    /// The revision it named when it last asked for pledges.
    pub(super) asked_revision: u64,
    pub(super) refused_until: u32,
    pub(super) cut_until: u32,
    pub(super) alone_until: u32,
    pub(super) frozen_until: u32,
    /// The format that its processes announce.
    pub(super) format: u32,
}

/// A task on a worker, running or exited.
#[derive(Clone)]
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
    pub(super) why: Option<Why>,
    pub(super) ends: f64,
}

/// A machine and its worker. Fields that end in `_until` are steps up to which something
/// fails there; other times are seconds.
pub(super) struct Worker {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) up_at: f64,
    pub(super) dead: bool,
    pub(super) cut_until: u32,
    pub(super) deaf_until: u32,
    pub(super) mute_until: u32,
    pub(super) hung_until: u32,
    pub(super) slow_until: u32,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    pub(super) leased_from: f64,
    pub(super) next_heartbeat: f64,
    pub(super) at: usize,
    pub(super) waiting: Option<f64>,
    /// What it tried since its lease was last renewed.
    pub(super) trace: LeaseTrace,
    pub(super) tasks: BTreeMap<TaskId, Running>,
}
