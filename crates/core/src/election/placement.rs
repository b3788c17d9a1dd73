//! Which controllers are suitable leaders in view of worker leases: if the leader stalls, its
//! workers must find another controller before their leases expire.
//!
//! Workers try the controllers cyclically, in the order of their names. When the leader stops
//! answering, the last lease renewal may be up to 1.25 heartbeat intervals old, and the worker
//! spends [`WORKER_REPORT_TIMEOUT_S`] on each unreachable controller. With a lease of 12 s and
//! heartbeats every 2 s, two unreachable controllers in a row take 12.5 s, and no election can be
//! short enough to save the lease. A leader is therefore badly placed if the next controller in the
//! cycle is down.

use crate::consts::{HEARTBEAT_JITTER, PLACEMENT_MARGIN_S, WORKER_REPORT_TIMEOUT_S};
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

/// The controllers in the order in which workers try them.
#[derive(Debug)]
pub struct Placement {
    ring: Vec<NodeId>,
    /// How long a worker may spend on unreachable controllers, including the leader, seconds.
    search_budget_s: Secs,
}

impl Placement {
    /// Creates the placement for all `controllers`, given the workers' heartbeat interval and
    /// lease, seconds.
    pub fn new(controllers: BTreeSet<NodeId>, heartbeat_interval_s: f64, lease_s: f64) -> Self {
        let renewed_before_s = heartbeat_interval_s * (1.0 + HEARTBEAT_JITTER);
        let search_budget_s = lease_s - renewed_before_s - PLACEMENT_MARGIN_S;
        Self { ring: controllers.into_iter().collect(), search_budget_s }
    }

    /// Whether workers of `leader` would find another controller before their leases expire if it
    /// stalled while the controllers in `unreachable` are unreachable.
    pub fn is_safe(&self, leader: &NodeId, unreachable: &BTreeSet<NodeId>) -> bool {
        let unreachable_controllers = 1 + self.unreachable_after(leader, unreachable);
        unreachable_controllers as f64 * WORKER_REPORT_TIMEOUT_S <= self.search_budget_s
    }

    /// Whether leases are too short for two unreachable controllers in a row, so that no worker may
    /// be redirected needlessly.
    pub fn has_short_leases(&self) -> bool {
        2.0 * WORKER_REPORT_TIMEOUT_S > self.search_budget_s
    }

    /// How many unreachable controllers in a row workers try after `leader`.
    fn unreachable_after(&self, leader: &NodeId, unreachable: &BTreeSet<NodeId>) -> usize {
        let at = self.ring.iter().position(|node| node == leader).unwrap_or(0);
        let others = self.ring.iter().cycle().skip(at + 1).take(self.ring.len() - 1);
        others.take_while(|node| unreachable.contains(*node)).count()
    }

    /// The controller that should lead instead of `leader`, if that one is badly placed: the first
    /// reachable one in name order that is well placed.
    pub fn better_placed_leader(
        &self,
        leader: &NodeId,
        unreachable: &BTreeSet<NodeId>,
    ) -> Option<&NodeId> {
        if self.is_safe(leader, unreachable) {
            return None;
        }
        let well_placed =
            |node: &&NodeId| !unreachable.contains(*node) && self.is_safe(node, unreachable);
        self.ring.iter().filter(|node| *node != leader).find(well_placed)
    }
}

#[cfg(test)]
#[path = "../tests/placement.rs"]
mod tests;
