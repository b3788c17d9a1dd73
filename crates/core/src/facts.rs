//! The settings that the core uses, and values derived from them.

use crate::consts::{
    CANCEL_MARGIN_S, DRIFT, IDLE_S, PILOT_SHARE, STALE_MAX_S, STALE_SHARE, STEP_COST_PER_MACHINE_S,
    STEP_CPU_SHARE, THIN_LIMIT, WARM_FACTOR, WATCH_BLOCK_MAX_S, WATCH_LAG_S, WATCH_SLACK_MAX_S,
    WATCH_TIMING_SHARE,
};
use crate::fleet::HeartbeatTiming;
use marblebarrow_cells::settings::CellsSettings;
use marblebarrow_proto::ids::NodeId;
use std::sync::Arc;
use std::time::Duration;

/// A team's guaranteed and maximum resources; zero means none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Maximum CPUs.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum GPUs.
    pub gpus_max: f64,
}

/// A deadline objective: jobs of `class` should be completed within `times` their deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct DeadlineObjective {
    /// Job class.
    pub class: String,
    /// Multiple of the deadline.
    pub times: f64,
}

/// A time objective: jobs of `class` should be completed, or their tasks started, within a fixed
/// time, independent of their deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeObjective {
    /// Job class.
    pub class: String,
    /// Time limit in seconds.
    pub within_s: f64,
}

/// Tuning parameters that operators may set.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Jobs with fewer tasks than this skip sampling.
    pub thin_limit: u32,
    /// Share of a wide job's tasks that run as pilots.
    pub pilot_share: f64,
    /// Spare service slots, as a multiple of the arrivals expected while a machine boots and
    /// fetches its images.
    pub warm_factor: f64,
    /// An idle ordinary machine is returned after this time, in seconds.
    pub idle_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            thin_limit: THIN_LIMIT,
            pilot_share: PILOT_SHARE,
            warm_factor: WARM_FACTOR,
            idle_s: IDLE_S,
        }
    }
}

/// Timing of a watch of the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTiming {
    /// How long the state service may hold a watch open without changes.
    pub block: Duration,
    /// How much later than that the answer may arrive before the watch is given up.
    pub slack: Duration,
}

/// The settings of the core.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// Name of this controller.
    pub node: NodeId,
    /// Names of the other controllers.
    pub others: Vec<NodeId>,
    /// The teams and their limits.
    pub teams: Vec<Team>,
    /// Deadline objectives.
    pub deadline_objectives: Vec<DeadlineObjective>,
    /// Completion objectives that are independent of the deadline.
    pub completion_objectives: Vec<TimeObjective>,
    /// Start objectives of tasks, measured from when their job may run.
    pub start_objectives: Vec<TimeObjective>,
    /// Worker heartbeat interval, in seconds.
    pub heartbeat_interval_s: f64,
    /// Worker lease, in seconds.
    pub lease_s: f64,
    /// Maximum time until the tasks of a cancelled job are gone, in seconds.
    pub cancel_s: f64,
    /// Whether decisions are logged.
    pub log: bool,
    /// Share of a CPU core available to this controller.
    pub core_share: f64,
    /// Store requests per second. This and the other limits of the store are the smaller of the
    /// limits in force and the announced ones, which take effect without notice.
    pub store_rps: f64,
    /// Store changes per second.
    pub store_write_rps: f64,
    /// Maximum number of changes in a transaction.
    pub store_txn_ops: usize,
    /// Maximum size of a value, in bytes of JSON.
    pub store_value_bytes: usize,
    /// Cloud requests per second.
    pub cloud_rps: f64,
    /// Lag of the machine list, in seconds.
    pub list_lag_s: f64,
    /// Maximum number of direct commands to workers in flight; each takes a thread and a socket.
    pub max_direct_commands: usize,
    /// Maximum number of heartbeats whose answers wait for a start; each keeps a connection busy.
    pub max_held_heartbeats: usize,
    /// Tuning parameters.
    pub tuning: Tuning,
    /// The cell of this controller and the other cells, if there are any.
    pub cells: Option<Arc<CellsSettings>>,
}

impl Facts {
    /// The tightest completion objective of a class, in seconds, if there is one.
    pub fn finish_objective_s(&self, class: &str) -> Option<f64> {
        let objectives = self.completion_objectives.iter().filter(|a| a.class == class);
        objectives.map(|a| a.within_s).reduce(f64::min)
    }

    /// The tightest start objective of a class, in seconds, if there is one. A deadline or
    /// completion objective of the class takes precedence.
    pub fn start_within(&self, class: &str) -> Option<f64> {
        if self.has_completion_objective(class) {
            return None;
        }
        let objectives = self.start_objectives.iter().filter(|a| a.class == class);
        objectives.map(|a| a.within_s).reduce(f64::min)
    }

    /// The largest deadline multiple of the class's deadline objectives, and at least 1.
    pub fn deadline_times(&self, class: &str) -> f64 {
        let objectives = self.deadline_objectives.iter().filter(|a| a.class == class);
        objectives.map(|a| a.times).fold(1.0, f64::max)
    }

    /// Whether the class has any objective on completion or on the start of its tasks.
    pub fn aimed(&self, class: &str) -> bool {
        self.has_completion_objective(class) || self.start_within(class).is_some()
    }

    fn has_completion_objective(&self, class: &str) -> bool {
        self.deadline_objectives.iter().any(|a| a.class == class)
            || self.completion_objectives.iter().any(|a| a.class == class)
    }

    /// Minimum interval between two steps with this many machines, in seconds, so that steps take no
    /// more than their share of the processor.
    pub fn step_interval(&self, machines: usize) -> f64 {
        machines as f64 * STEP_COST_PER_MACHINE_S / (STEP_CPU_SHARE * self.core_share)
    }

    /// How long after a cancellation a leader that doesn't know of it may still renew leases, in
    /// seconds, so that they expire before the cancelled tasks must be gone.
    pub fn cancel_slack(&self) -> f64 {
        self.cancel_s * (1.0 - DRIFT) - self.lease_s * (1.0 + DRIFT) - CANCEL_MARGIN_S
    }

    /// Age of the replica, in seconds, beyond which a leader that the store serves may no longer
    /// act.
    pub fn replica_age_limit(&self) -> f64 {
        self.cancel_slack().max(WATCH_LAG_S)
    }

    /// Age of the replica, in seconds, at which a leader that the store serves resigns.
    pub fn replica_age_to_resign(&self) -> f64 {
        let limit = self.replica_age_limit();
        limit - (limit * STALE_SHARE).min(STALE_MAX_S)
    }

    /// Timing of watches that keeps a leader's replica younger than
    /// [`Facts::replica_age_to_resign`] even if nothing changes and one watch is lost.
    ///
    /// An answer proves that the replica was current when its request was sent, so on a quiet
    /// store the replica gets as old as two blocking times. With a fixed blocking time of 2.5 s,
    /// every leader resigned after 3 s without changes when cancelled tasks had only 12 s.
    pub fn watch_timing(&self) -> WatchTiming {
        let share = self.replica_age_to_resign() * WATCH_TIMING_SHARE;
        WatchTiming {
            block: Duration::from_secs_f64(share.min(WATCH_BLOCK_MAX_S)),
            slack: Duration::from_secs_f64(share.min(WATCH_SLACK_MAX_S)),
        }
    }

    /// The settings that decide when workers send heartbeats.
    pub fn heartbeat_timing(&self) -> HeartbeatTiming {
        HeartbeatTiming { interval_s: self.heartbeat_interval_s, lease_s: self.lease_s }
    }

    /// The controller that workers try after this one: the next one by name, cyclically.
    pub fn next_controller(&self) -> Option<&NodeId> {
        let after = self.others.iter().filter(|o| **o > self.node).min();
        after.or_else(|| self.others.iter().min())
    }
}
