//! Heartbeats that wait for the outcome of an election.
//!
//! A worker that is told that there is no leader tries the next controller a second later. If that
//! one is down, the worker spends 5 s on it, and its lease may expire. A controller that knows of
//! no leader, and whose connection to the state service is good enough to learn of one or to be
//! elected itself, therefore holds heartbeats for a while: most elections are over within a second
//! or two, and workers wait 4 s for an answer in any case.

use crate::consts::{HEARTBEAT_WAIT_S, HEARTBEATS_WAITING_MAX};
use crate::event::{ReplyTo, Secs};
use marblebarrow_proto::wire::Heartbeat;
use std::collections::VecDeque;

/// A heartbeat that hasn't been answered yet.
#[derive(Debug)]
pub(crate) struct WaitingHeartbeat {
    /// Destination of the answer.
    pub(crate) to: ReplyTo,
    /// The heartbeat itself.
    pub(crate) heartbeat: Box<Heartbeat>,
    /// When it arrived.
    pub(crate) since: Secs,
}

/// Waiting heartbeats, oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingHeartbeats {
    queue: VecDeque<WaitingHeartbeat>,
}

impl WaitingHeartbeats {
    /// Whether another heartbeat can be queued.
    pub(crate) fn has_room(&self) -> bool {
        self.queue.len() < HEARTBEATS_WAITING_MAX
    }

    /// Queues a heartbeat.
    pub(crate) fn push(&mut self, now: Secs, to: ReplyTo, heartbeat: Box<Heartbeat>) {
        self.queue.push_back(WaitingHeartbeat { to, heartbeat, since: now });
    }

    /// Removes the oldest heartbeat.
    pub(crate) fn pop(&mut self) -> Option<WaitingHeartbeat> {
        self.queue.pop_front()
    }

    /// Removes the oldest heartbeat if it has waited for [`HEARTBEAT_WAIT_S`].
    pub(crate) fn pop_expired(&mut self, now: Secs) -> Option<WaitingHeartbeat> {
        let expired = self.queue.front().is_some_and(|w| now - w.since >= HEARTBEAT_WAIT_S);
        if expired { self.queue.pop_front() } else { None }
    }
}
