//! Heartbeats that wait for the outcome of an election.
//!
//! A worker that is told of no leader goes on to the next controller a second later. If that
//! one is down, the worker spends 5 s there, and its lease may end. So a controller that knows
//! of no leader, and sees the store well enough to learn of one or to be elected itself, keeps
//! heartbeats for a while: most elections are over within a second or two, and workers wait 4 s
//! for an answer in any case.

use crate::consts::{HEARTBEAT_WAIT_S, HEARTBEATS_WAITING_MAX};
use crate::event::{ReplyTo, Secs};
use marblebarrow_proto::wire::Heartbeat;
use std::collections::VecDeque;

/// A heartbeat that wasn't answered yet.
#[derive(Debug)]
pub(crate) struct WaitingHeartbeat {
    /// Where the answer goes.
    pub(crate) to: ReplyTo,
    /// The heartbeat.
    pub(crate) heartbeat: Box<Heartbeat>,
    /// When it came.
    since: Secs,
}

/// The heartbeats that wait, oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingHeartbeats {
    queue: VecDeque<WaitingHeartbeat>,
}

impl WaitingHeartbeats {
    /// Whether another one may wait.
    pub(crate) fn has_room(&self) -> bool {
        self.queue.len() < HEARTBEATS_WAITING_MAX
    }

    /// A heartbeat waits from now on.
    pub(crate) fn push(&mut self, now: Secs, to: ReplyTo, heartbeat: Box<Heartbeat>) {
        self.queue.push_back(WaitingHeartbeat { to, heartbeat, since: now });
    }

    /// The oldest one.
    pub(crate) fn pop(&mut self) -> Option<WaitingHeartbeat> {
        self.queue.pop_front()
    }

    /// The oldest one, if it has waited long enough.
    pub(crate) fn pop_expired(&mut self, now: Secs) -> Option<WaitingHeartbeat> {
        let expired = self.queue.front().is_some_and(|w| now - w.since >= HEARTBEAT_WAIT_S);
        if expired { self.queue.pop_front() } else { None }
    }
}
