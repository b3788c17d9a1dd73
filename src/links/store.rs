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

/// A request of the store that the core made.
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
    /// Starts its threads, the watch included.
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
        // Store leases (the wire's grants: elections, renewals) have threads of their own:
        // the leader's right to act must not wait behind a user's request, nor a renewal
        // behind one that gets no answer.
        let (leases, lease_queue) = RequestQueue::bounded(STORE_QUEUE_LEN);
        for _ in 0..RENEWALS_UNANSWERED_MAX {
            spawn_client("touch", addr, &lease_queue, events)?;
        }
        let watch = Watch::new(addr, events.clone(), clock, watch_timing);
        spawn("watch", move || watch.run())?;
        Ok(Self { data, leases })
    }

    /// Hands over a request; the event is its answer if it can't be taken.
    pub fn send(&self, op: OpId, request: StoreRequest) -> Option<Event> {
        let queue = if concerns_lease(&request) { &self.leases } else { &self.data };
        let refused = queue.try_send(StoreCall { op, request }).is_err();
        refused.then_some(Event::Store(op, StoreResult::Refused))
    }
}

fn concerns_lease(request: &StoreRequest) -> bool {
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
            // Answers end what is under way already: behind hundreds of heartbeats they
            // once made a fifth of a second of every submission's time.
            events.send_priority(Event::Store(op, result));
        }
    })
}

#[cfg(test)]
#[path = "../tests/store_link.rs"]
mod tests;
