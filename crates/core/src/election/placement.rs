//! Which controllers may lead, as far as workers' leases go: should the leader stand still,
//! its workers must find another controller before their leases end.
//!
//! Workers try the controllers in the order of their names, round and round. The last renewal
//! of a lease is as old as a heartbeat interval and a quarter of it when the leader stops
//! answering, and the worker spends [`WORKER_GIVES_UP_S`] on each controller that is silent:
//! with a lease of 12 s and heartbeats every 2 s, two in a row take 12.5 s, and no election,
//! however short, can save the lease. So a leader whose next in turn is down is badly placed.

use crate::consts::{HEARTBEAT_JITTER, PLACEMENT_MARGIN_S, WORKER_GIVES_UP_S};
use crate::event::Secs;
use marblebarrow_proto::ids::NodeId;
use std::collections::BTreeSet;

/// The controllers in the order in which workers try them.
#[derive(Debug)]
pub struct Placement {
    ring: Vec<NodeId>,
    /// Time that a worker may spend on silent controllers, the leader included, seconds.
    search_most_s: Secs,
}

impl Placement {
    /// All controllers, and the interval and lease of workers, seconds.
    pub fn new(controllers: BTreeSet<NodeId>, heartbeat_interval_s: f64, lease_s: f64) -> Self {
        let renewed_before_s = heartbeat_interval_s * (1.0 + HEARTBEAT_JITTER);
        let search_most_s = lease_s - renewed_before_s - PLACEMENT_MARGIN_S;
        Self { ring: controllers.into_iter().collect(), search_most_s }
    }

    /// Whether workers of that leader would find another controller in time if it stood still
    /// while these are silent.
    pub fn is_safe(&self, leader: &NodeId, silent: &BTreeSet<NodeId>) -> bool {
        let silent_controllers = 1 + self.silent_after(leader, silent);
        silent_controllers as f64 * WORKER_GIVES_UP_S <= self.search_most_s
    }

    /// Whether leases are too short for two silent controllers in a row, so that no worker may
    /// be sent on needlessly.
    pub fn has_short_leases(&self) -> bool {
        2.0 * WORKER_GIVES_UP_S > self.search_most_s
    }

    /// How many silent controllers in a row workers try after that one.
    fn silent_after(&self, leader: &NodeId, silent: &BTreeSet<NodeId>) -> usize {
        let at = self.ring.iter().position(|node| node == leader).unwrap_or(0);
        let others = self.ring.iter().cycle().skip(at + 1).take(self.ring.len() - 1);
        others.take_while(|node| silent.contains(*node)).count()
    }

    /// The controller that should lead instead of that leader, if it is badly placed: the next
    /// well placed one in turn that isn't silent.
    pub fn better(&self, leader: &NodeId, silent: &BTreeSet<NodeId>) -> Option<&NodeId> {
        if self.is_safe(leader, silent) {
            return None;
        }
        let well_placed = |node: &&NodeId| !silent.contains(*node) && self.is_safe(node, silent);
        self.ring.iter().filter(|node| *node != leader).find(well_placed)
    }
}

#[cfg(test)]
#[path = "../tests/placement.rs"]
mod tests;
