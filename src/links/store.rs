//! The link to the key-value store.

use super::request_queue::RequestQueue;
use crate::clock::Clock;
use crate::event_queue::EventSender;
use crate::http::Client;
use crate::limits::{STORE_QUEUE_LEN, STORE_THREADS};
use crate::store_client::store_call;
use crate::thread::spawn;
use crate::watch::Watch;
use marblebarrow_core::consts::RENEWALS_UNANSWERED_MAX;
use marblebarrow_core::event::{Event, OpId, StoreRequest, StoreResult};
use marblebarrow_core::facts::WatchTiming;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;

/// A request from the core to the store.
struct StoreCall {
    op: OpId,
    request: StoreRequest,
}

/// The link to the key-value store.
pub struct StoreLink {
    data: SyncSender<StoreCall>,
    leases: SyncSender<StoreCall>,
}

impl StoreLink {
    /// Starts the threads that make the calls, and the watch thread.
    pub fn start(
        addr: SocketAddr,
        events: &EventSender,
        clock: Clock,
        watch_timing: WatchTiming,
    ) -> io::Result<Self> {
        let (data, data_queue) = RequestQueue::bounded(STORE_QUEUE_LEN);
        for _ in 0..STORE_THREADS {
            spawn_client("store", addr, &data_queue, events)?;
        }
        // Requests for store leases (elections and renewals; `grants` on the wire) have their own
        // threads: a renewal of the leader's lease must not wait behind a user's request, nor
        // behind an earlier renewal that gets no answer.
        let (leases, lease_queue) = RequestQueue::bounded(STORE_QUEUE_LEN);
        for _ in 0..RENEWALS_UNANSWERED_MAX {
            spawn_client("touch", addr, &lease_queue, events)?;
        }
        let watch = Watch::new(addr, events.clone(), clock, watch_timing);
        spawn("watch", move || watch.run())?;
        Ok(Self { data, leases })
    }

    /// Queues a request. Returns the refusal as an event if the queue is full.
    pub fn send(&self, op: OpId, request: StoreRequest) -> Option<Event> {
        let queue = if is_lease_request(&request) { &self.leases } else { &self.data };
        let refused = queue.try_send(StoreCall { op, request }).is_err();
        refused.then_some(Event::Store(op, StoreResult::Refused))
    }
}

fn is_lease_request(request: &StoreRequest) -> bool {
    matches!(
        request,
        StoreRequest::GrantLease(_) | StoreRequest::KeepAlive(_) | StoreRequest::RevokeLease(_)
    )
}

fn spawn_client(
    name: &str,
    addr: SocketAddr,
    queue: &RequestQueue<StoreCall>,
    events: &EventSender,
) -> io::Result<()> {
    let (queue, events) = (queue.clone(), events.clone());
    spawn(name, move || {
        let mut client = Client::new(addr);
        while let Some(StoreCall { op, request }) = queue.next() {
            let result = store_call(&mut client, &request);
            // Answers complete operations in flight, so they take priority: queued behind
            // hundreds of heartbeats they added a fifth of a second to every submission.
            events.send_priority(Event::Store(op, result));
        }
    })
}

#[cfg(test)]
#[path = "../tests/store_link.rs"]
mod tests;
