//! State of the simulated controllers' hosts, workers and tasks.

use super::*;

/// A controller host and its connections. Fields that end in `_until` are steps up to which a fault
/// lasts.
pub(super) struct Host {
    /// The running process, or `None` while it is down.
    pub(super) node: Option<Node>,
    /// When the process started, in seconds. Identifies the process.
    pub(super) started_at: f64,
    /// The step at which a process is started again.
    pub(super) restart_at: u32,
    /// Whether the watch has delivered its first snapshot.
    pub(super) synced: bool,
    /// The revision up to which the watch has delivered changes.
    pub(super) watched: u64,
    /// When the open watch was sent, by the controller's own clock.
    pub(super) watch_sent: f64,
    pub(super) watch_stuck_until: u32,
    /// The revision that the controller named in its last request for pledges.
    pub(super) asked_revision: u64,
    /// The store refuses its requests.
    pub(super) store_refused_until: u32,
    pub(super) cut_until: u32,
    /// No messages to or from other controllers.
    pub(super) peers_cut_until: u32,
    pub(super) paused_until: u32,
    /// The format version that its processes announce.
    pub(super) format: u32,
}

/// A task on a worker, running or exited.
#[derive(Clone)]
pub(super) struct Running {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
    pub(super) why: Option<EndReason>,
    pub(super) ends: f64,
}

/// A machine and its worker. Fields that end in `_until` are steps up to which a fault lasts. Other
/// times are in seconds.
pub(super) struct Worker {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) up_at: f64,
    pub(super) dead: bool,
    pub(super) cut_until: u32,
    /// Messages from controllers do not arrive.
    pub(super) inbound_cut_until: u32,
    /// Heartbeats reach no controller.
    pub(super) outbound_cut_until: u32,
    /// The worker process is suspended.
    pub(super) hung_until: u32,
    /// Tasks take longer.
    pub(super) slow_until: u32,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    /// When a higher token last made it send a heartbeat.
    pub(super) token_reported_at: f64,
    /// When the last heartbeat that renewed the lease was sent.
    pub(super) leased_from: f64,
    pub(super) next_heartbeat: f64,
    /// Index of the controller that heartbeats are sent to.
    pub(super) controller: usize,
    /// When the heartbeat that awaits its answer was sent.
    pub(super) awaiting_since: Option<f64>,
    /// Heartbeats since the last lease renewal.
    pub(super) trace: LeaseTrace,
    pub(super) tasks: BTreeMap<TaskId, Running>,
    /// Attempts started since the worker began, or since its agent epoch did.
    pub(super) started: BTreeSet<(TaskId, Attempt)>,
    /// How often the worker restarted.
    pub(super) restarts: u32,
}
