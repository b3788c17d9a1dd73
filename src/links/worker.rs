//! The link to the workers. Each call in flight has a thread, so that an unreachable worker
//! doesn't delay the others; the core bounds the number of calls. A thread and a socket per
//! worker would exceed a controller's limits in a large fleet.

use crate::authority::Authority;
use crate::event_queue::EventSender;
use crate::http::{CallError, Client};
use crate::limits::WORKER_TIMEOUT;
use crate::pool::Pool;
use marblebarrow_core::event::{DirectResult, Event, OpId};
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::{DirectCommands, Heartbeat};
use std::net::SocketAddr;

/// Commands for a worker, with fencing token and agent epoch, and the worker's address.
struct WorkerCall {
    op: OpId,
    addr: SocketAddr,
    commands: DirectCommands,
}

/// The link to the workers.
pub struct WorkerLink(Pool<WorkerCall>);

impl WorkerLink {
    /// Creates the link; threads are started as calls come.
    pub fn new(events: &EventSender, authority: &Authority, threads: usize) -> Self {
        let (events, authority) = (events.clone(), authority.clone());
        Self(Pool::new("direct", threads, threads, move |worker_call: WorkerCall| {
            let result = call(&worker_call, |token| authority.permits(token));
            events.send(Event::Direct(worker_call.op, result));
        }))
    }

    /// Queues commands. Returns `NotSent` as an event if they can't be queued.
    pub fn send(&self, op: OpId, addr: &str, commands: DirectCommands) -> Option<Event> {
        let not_sent = Some(Event::Direct(op, DirectResult::NotSent));
        let Ok(addr) = addr.parse::<SocketAddr>() else {
            return not_sent;
        };
        let submitted = self.0.submit(WorkerCall { op, addr, commands });
        if submitted.is_err() { not_sent } else { None }
    }
}

/// Sends commands if `permits` accepts their fencing token.
fn call(worker_call: &WorkerCall, permits: impl Fn(u64) -> bool) -> DirectResult {
    let mut client = Client::new(worker_call.addr);
    if client.connect().is_err() {
        return DirectResult::NotSent;
    }
    // Checked last: authority may expire while connecting or while the process is paused. So the
    // commands are sent over this connection or not at all.
    if !permits(worker_call.commands.fencing_token) {
        return DirectResult::NotSent;
    }
    let body = cbor::encode(&worker_call.commands);
    match client.call_connected("POST", "/do", &body, WORKER_TIMEOUT) {
        Ok(response) => read_response(response.status, &response.body),
        Err(CallError::NotSent) => DirectResult::NotSent,
        Err(CallError::Unknown | CallError::Unreadable) => DirectResult::Unknown,
    }
}

fn read_response(status: u16, body: &[u8]) -> DirectResult {
    match status {
        200 | 409 => cbor::decode::<Heartbeat>(body).map_or(DirectResult::Unknown, |heartbeat| {
            DirectResult::Heartbeat(status == 200, Box::new(heartbeat))
        }),
        400 => DirectResult::NotSent,
        _ => DirectResult::Unknown,
    }
}

#[cfg(test)]
#[path = "../tests/worker_link.rs"]
mod tests;
