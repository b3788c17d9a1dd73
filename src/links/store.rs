//! The link to the key-value store.

use super::request_queue::RequestQueue;
use crate::clock::Clock;
use crate::event_queue::Inbox;
use crate::http::Client;
use crate::limits::{STORE_QUEUE, STORE_THREADS};
use crate::store_client::store_call;
use crate::thread::spawn;
use crate::watch::Watch;
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
    grants: SyncSender<StoreCall>,
}

impl StoreLink {
    /// Starts its threads, the watch included.
    pub fn start(
        addr: SocketAddr,
        inbox: &Inbox,
        clock: Clock,
        watch_timing: WatchTiming,
    ) -> io::Result<Self> {
        let (data, data_queue) = RequestQueue::bounded(STORE_QUEUE);
        for _ in 0..STORE_THREADS {
            spawn_client("store", addr, &data_queue, inbox)?;
        }
        // Grants (renewals, elections) have a thread of their own: the leader's right
        // to act must not wait behind a user's request.
        let (grants, grant_queue) = RequestQueue::bounded(STORE_QUEUE);
        spawn_client("touch", addr, &grant_queue, inbox)?;
        let watch = Watch::new(addr, inbox.clone(), clock, watch_timing);
        spawn("watch", move || watch.run())?;
        Ok(Self { data, grants })
    }

    /// Hands over a request; the event is its answer if it can't be taken.
    pub fn send(&self, op: OpId, request: StoreRequest) -> Option<Event> {
        let queue = if concerns_grant(&request) { &self.grants } else { &self.data };
        let refused = queue.try_send(StoreCall { op, request }).is_err();
        refused.then_some(Event::Store(op, StoreResult::Refused))
    }
}

fn concerns_grant(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Grant(_) | StoreRequest::Touch(_) | StoreRequest::Revoke(_))
}

fn spawn_client(
    name: &str,
    addr: SocketAddr,
    queue: &RequestQueue<StoreCall>,
    inbox: &Inbox,
) -> io::Result<()> {
    let (queue, inbox) = (queue.clone(), inbox.clone());
    spawn(name, move || {
        let mut client = Client::new(addr);
        while let Some(StoreCall { op, request }) = queue.next() {
            let result = store_call(&mut client, &request);
            // Answers end what is under way already: behind hundreds of heartbeats they
            // once made a fifth of a second of every submission's time.
            inbox.tell_urgently(Event::Store(op, result));
        }
    })
}

#[cfg(test)]
#[path = "../tests/store_link.rs"]
mod tests;
