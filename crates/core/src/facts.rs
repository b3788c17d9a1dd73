//! What the settings tell the core.

use crate::consts::{
    CANCEL_MARGIN_S, DRIFT, IDLE_S, LOOK_S, LOOK_SHARE, PILOT_SHARE, STALE_MOST_S, STALE_SHARE,
    THIN_LIMIT, WARM_FACTOR, WATCH_BLOCK_MOST_S, WATCH_LAG_S, WATCH_SLACK_MOST_S,
    WATCH_TIMING_SHARE,
};
use marblebarrow_cells::settings::CellsSettings;
use marblebarrow_proto::ids::NodeId;
use std::sync::Arc;
use std::time::Duration;

/// A team's guarantee and limit. Zero means none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs guaranteed.
    pub cpus: f64,
    /// CPUs at most.
    pub cpus_max: f64,
    /// GPUs guaranteed.
    pub gpus: f64,
    /// GPUs at most.
    pub gpus_max: f64,
}

/// An aim on finishing: jobs of `class` should be done within `times` their
/// deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct DeadlineAim {
    /// The class.
    pub class: String,
    /// Multiple of the deadline.
    pub times: f64,
}

/// An aim on time: a class's jobs should be done within so long, whatever their
/// deadlines.
#[derive(Clone, Debug, PartialEq)]
pub struct TimeAim {
    /// The class.
    pub class: String,
    /// Seconds.
    pub within_s: f64,
}

/// What operators may set themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Jobs with fewer tasks skip sampling.
    pub thin_limit: u32,
    /// Share of a wide job's tasks that are pilots.
    pub pilot_share: f64,
    /// Spare service places, as a multiple of the arrivals expected while a
    /// machine boots and fetches.
    pub warm_factor: f64,
    /// An idle ordinary machine is returned after this, seconds.
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

/// How a watch of the state service is timed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTiming {
    /// How long the state service may hold a watch open without news.
    pub block: Duration,
    /// How much later than that its answer may arrive before the watch is given up.
    pub slack: Duration,
}

/// The settings as the core needs them.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// This controller.
    pub node: NodeId,
    /// The other controllers.
    pub others: Vec<NodeId>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims on finishing.
    pub deadlines: Vec<DeadlineAim>,
    /// Aims on being done, whatever the deadline.
    pub finishes: Vec<TimeAim>,
    /// Aims on tasks having started, from when their job may run.
    pub starts: Vec<TimeAim>,
    /// Worker heartbeat interval, seconds.
    pub heartbeat_interval_s: f64,
    /// Worker lease, seconds.
    pub lease_s: f64,
    /// Tasks of a cancelled job are gone within so long, seconds.
    pub cancel_s: f64,
    /// Whether anybody wants to know what is decided, and why.
    pub log: bool,
    /// Share of a core that this controller has.
    pub core_share: f64,
    /// Store requests a second. This and the other limits of the store are the smaller
    /// ones of those in force and those announced, which come without notice.
    pub store_rps: f64,
    /// Store changes a second.
    pub store_write_rps: f64,
    /// Changes in a transaction.
    pub store_txn_ops: usize,
    /// Bytes of a value as JSON.
    pub store_value_bytes: usize,
    /// Cloud requests a second.
    pub cloud_rps: f64,
    /// Lag of the machine list, seconds.
    pub list_lag_s: f64,
    /// Direct commands to workers under way at once, at most: each takes a
    /// thread and a socket.
    pub direct_most: usize,
    /// What operators set.
    pub tuning: Tuning,
    /// The cell that this controller belongs to, and the others, if there are any.
    pub cells: Option<Arc<CellsSettings>>,
}

impl Facts {
    /// Within how many seconds jobs of a class should be done, if an aim says so.
    pub fn finish_s(&self, class: &str) -> Option<f64> {
        let aims = self.finishes.iter().filter(|a| a.class == class);
        aims.map(|a| a.within_s).reduce(f64::min)
    }

    /// Within how many seconds tasks of a class should start, if an aim says so and none
    /// says by when its jobs should be done: that one then rules.
    pub fn start_within(&self, class: &str) -> Option<f64> {
        if self.aims_at_the_end(class) {
            return None;
        }
        let aims = self.starts.iter().filter(|a| a.class == class);
        aims.map(|a| a.within_s).reduce(f64::min)
    }

    /// The widest multiple of a class's deadlines that an aim names.
    pub fn deadline_times(&self, class: &str) -> f64 {
        let aims = self.deadlines.iter().filter(|a| a.class == class);
        aims.map(|a| a.times).fold(1.0, f64::max)
    }

    /// Whether an aim says by when jobs of a class should be done, or their tasks start.
    pub fn aimed(&self, class: &str) -> bool {
        self.aims_at_the_end(class) || self.start_within(class).is_some()
    }

    fn aims_at_the_end(&self, class: &str) -> bool {
        self.deadlines.iter().any(|a| a.class == class)
            || self.finishes.iter().any(|a| a.class == class)
    }

    /// The least pause between two looks at so many machines, for these to take no
    /// more than their share of the processor, seconds.
    pub fn look_pause(&self, machines: usize) -> f64 {
        machines as f64 * LOOK_S / (LOOK_SHARE * self.core_share)
    }

    /// How long after a cancellation a leader that doesn't know of it may still
    /// renew leases, so that they run out in time, seconds.
    pub fn cancel_room(&self) -> f64 {
        self.cancel_s * (1.0 - DRIFT) - self.lease_s * (1.0 + DRIFT) - CANCEL_MARGIN_S
    }

    /// Age at which the copy of a leader that the store serves no longer allows it to
    /// act, seconds.
    pub fn replica_age_limit(&self) -> f64 {
        self.cancel_room().max(WATCH_LAG_S)
    }

    /// Age of its copy at which a leader that the store serves resigns, seconds.
    pub fn replica_age_to_resign(&self) -> f64 {
        let limit = self.replica_age_limit();
        limit - (limit * STALE_SHARE).min(STALE_MOST_S)
    }

    /// How to time watches so that a leader's copy stays younger than
    /// [`Facts::replica_age_to_resign`], though nothing changes and though one watch is lost.
    ///
    /// An answer proves the copy current as of the sending of its request, so on a quiet
    /// store the copy gets as old as two blocking times. (With a fixed time of 2.5 s, every
    /// leader resigned after 3 s of quiet where cancellations had only 12 s.)
    pub fn watch_timing(&self) -> WatchTiming {
        let share = self.replica_age_to_resign() * WATCH_TIMING_SHARE;
        WatchTiming {
            block: Duration::from_secs_f64(share.min(WATCH_BLOCK_MOST_S)),
            slack: Duration::from_secs_f64(share.min(WATCH_SLACK_MOST_S)),
        }
    }

    /// The controller that workers try after this one: the next by name.
    pub fn next_in_turn(&self) -> Option<&NodeId> {
        let after = self.others.iter().filter(|o| **o > self.node).min();
        after.or_else(|| self.others.iter().min())
    }
}
