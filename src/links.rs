//! The links to the state service, the cloud and the workers: a few threads
//! with blocking sockets behind small queues. What finds its queue full is
//! refused at once, so that the core knows.

use crate::authority::Authority;
use crate::cells::CellLink;
use crate::clock::Clock;
use crate::event_queue::Inbox;
use crate::http::{CallError, Client};
use crate::limits::*;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::store_client::store_call;
use crate::thread::spawn;
use crate::watch::Watch;
use marblebarrow_core::event::*;
use marblebarrow_core::facts::WatchTiming;
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

/// All links.
pub struct Links {
    /// State service.
    pub store: StoreLink,
    /// Cloud.
    pub cloud: CloudLink,
    /// Workers.
    pub direct: DirectLink,
    /// Other controllers.
    pub peers: Peers,
    /// Other cells, if there are any.
    pub cells: Option<CellLink>,
}

type Queue<T> = Arc<Mutex<Receiver<T>>>;

fn next<T>(queue: &Queue<T>) -> Option<T> {
    queue.lock().ok()?.recv().ok()
}

/// The link to the state service.
pub struct StoreLink {
    normal: SyncSender<(OpId, StoreRequest)>,
    urgent: SyncSender<(OpId, StoreRequest)>,
}

impl StoreLink {
    /// Starts its threads, the watch included.
    pub fn start(
        addr: SocketAddr,
        inbox: &Inbox,
        clock: Clock,
        watch_timing: WatchTiming,
    ) -> std::io::Result<Self> {
        let (normal, rx) = sync_channel(STORE_QUEUE);
        let queue = Arc::new(Mutex::new(rx));
        for _ in 0..STORE_THREADS {
            let (queue, inbox) = (queue.clone(), inbox.clone());
            // Its answers end what is under way already: behind hundreds of reports they
            // once made a fifth of a second of every submission's time.
            spawn("store", move || store_thread(addr, &queue, |e| inbox.tell_urgently(e)))?;
        }
        // Touches and elections have a thread of their own: the leader's right
        // to act must not wait behind a user's request.
        let (urgent, rx) = sync_channel(STORE_QUEUE);
        let queue = Arc::new(Mutex::new(rx));
        let inbox2 = inbox.clone();
        spawn("touch", move || store_thread(addr, &queue, |e| inbox2.tell_urgently(e)))?;
        let watch = Watch::new(addr, inbox.clone(), clock, watch_timing);
        spawn("watch", move || watch.run())?;
        Ok(Self { normal, urgent })
    }

    /// Hands over a request; the event is its answer if it can't be taken.
    pub fn send(&self, op: OpId, req: StoreRequest) -> Option<Event> {
        let urgent = matches!(
            req,
            StoreRequest::Grant(_) | StoreRequest::Touch(_) | StoreRequest::Revoke(_)
        );
        let queue = if urgent { &self.urgent } else { &self.normal };
        queue.try_send((op, req)).err().map(|_| Event::Store(op, StoreResult::Refused))
    }
}

fn store_thread(addr: SocketAddr, queue: &Queue<(OpId, StoreRequest)>, tell: impl Fn(Event)) {
    let mut client = Client::new(addr);
    while let Some((op, req)) = next(queue) {
        tell(Event::Store(op, store_call(&mut client, &req)));
    }
}

/// The link to the cloud.
pub struct CloudLink {
    tx: SyncSender<CloudJob>,
    authority: Authority,
}

/// A call, and the term it belongs to if only a leader may make it.
type CloudJob = (OpId, CloudRequest, Option<u64>);

impl CloudLink {
    /// Starts its threads.
    pub fn start(addr: SocketAddr, inbox: &Inbox, authority: &Authority) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(CLOUD_QUEUE);
        let queue: Queue<CloudJob> = Arc::new(Mutex::new(rx));
        for _ in 0..CLOUD_THREADS {
            let (queue, inbox, authority) = (queue.clone(), inbox.clone(), authority.clone());
            spawn("cloud", move || {
                let mut client = Client::new(addr);
                while let Some((op, req, term)) = next(&queue) {
                    // Decided before this process stood still, say: another may
                    // lead by now, and use what we would return.
                    let result = match term {
                        Some(t) if !authority.holds(t) => CloudResult::Refused,
                        _ => cloud_call(&mut client, &req),
                    };
                    inbox.tell(Event::Cloud(op, result));
                }
            })?;
        }
        Ok(Self { tx, authority: authority.clone() })
    }

    /// Hands over a request; the event is its answer if it can't be taken.
    pub fn send(&self, op: OpId, req: CloudRequest) -> Option<Event> {
        let refused = Some(Event::Cloud(op, CloudResult::Refused));
        let leads = matches!(req, CloudRequest::Rent(_) | CloudRequest::Release(_));
        let term = self.authority.term();
        if leads && term.is_none() {
            return refused;
        }
        let job = (op, req, term.filter(|_| leads));
        if self.tx.try_send(job).is_err() { refused } else { None }
    }
}

fn cloud_call(client: &mut Client, req: &CloudRequest) -> CloudResult {
    let answer = match req {
        CloudRequest::Types => client.call("GET", "/flavors", &[], CLOUD_TIME),
        CloudRequest::List { after } => {
            let after = after.as_ref().map_or(String::new(), |a| format!("after={a}&"));
            client.call("GET", &format!("/hosts?{after}limit=500"), &[], CLOUD_TIME)
        }
        CloudRequest::Rent(rent) => client.call("POST", "/hosts", &cbor::encode(rent), CLOUD_TIME),
        CloudRequest::Release(names) => {
            let body = cbor::encode(&MachineNames { machines: names.clone() });
            client.call("POST", "/hosts/release", &body, CLOUD_TIME)
        }
    };
    let (status, body) = match answer {
        Ok(a) => a,
        Err(CallError::NotSent) => return CloudResult::Refused,
        Err(CallError::Unknown | CallError::Unreadable) => return CloudResult::Unknown,
    };
    match (req, status) {
        (CloudRequest::Types, 200) => cbor::decode::<TypeList>(&body)
            .map_or(CloudResult::Unknown, |l| CloudResult::Types(l.types)),
        (CloudRequest::List { .. }, 200) => {
            cbor::decode(&body).map_or(CloudResult::Unknown, CloudResult::List)
        }
        (CloudRequest::Rent(_), 200) => cbor::decode::<MachineNames>(&body)
            .map_or(CloudResult::Unknown, |n| CloudResult::Rented(n.machines)),
        (CloudRequest::Rent(_), 503) => {
            // Two kinds of 503: none available, or an outage of the cloud.
            let none = cbor::decode::<HashMap<String, String>>(&body)
                .is_ok_and(|m| m.get("error").is_some_and(|e| e == "no capacity"));
            if none { CloudResult::NoCapacity } else { CloudResult::Refused }
        }
        (CloudRequest::Release(_), 200) => CloudResult::Released,
        (_, 429 | 503) => CloudResult::Refused,
        // A rental we word wrongly rents nothing, now or later.
        (CloudRequest::Rent(_), 400..=499) => CloudResult::NoCapacity,
        _ => CloudResult::Unknown,
    }
}

/// The way to the workers: a thread for each command under way, so that a
/// silent worker holds up no other. Their number is the core's to bound; with
/// a thread and a socket kept for every worker, a large fleet would take more
/// of both than a controller has.
pub struct DirectLink(Pool<DirectJob>);

/// Commands and where they go.
struct DirectJob {
    op: OpId,
    addr: SocketAddr,
    commands: DirectCommands,
}

impl DirectLink {
    /// A link without threads yet.
    pub fn new(inbox: &Inbox, authority: &Authority, threads: usize) -> Self {
        let (inbox, authority) = (inbox.clone(), authority.clone());
        Self(Pool::new("direct", threads, threads, move |job: DirectJob| {
            let result = direct_call(&job, &authority);
            inbox.tell(Event::Direct(job.op, result));
        }))
    }

    /// Hands over commands; the event is the answer if they can't be taken.
    pub fn send(
        &self,
        op: OpId,
        addr: &str,
        token: u64,
        session: u64,
        commands: Vec<Command>,
    ) -> Option<Event> {
        let failed = Some(Event::Direct(op, DirectResult::NotSent));
        let Ok(addr) = addr.parse::<SocketAddr>() else {
            return failed;
        };
        let job = DirectJob { op, addr, commands: DirectCommands { token, session, commands } };
        if self.0.submit(job).is_err() { failed } else { None }
    }
}

fn direct_call(job: &DirectJob, authority: &Authority) -> DirectResult {
    let mut client = Client::new(job.addr);
    if client.connect().is_err() {
        return DirectResult::NotSent;
    }
    // Checked last of all: connecting takes its time, and so may a process
    // that stands still.
    if !authority.holds(job.commands.token) {
        return DirectResult::NotSent;
    }
    match client.call("POST", "/do", &cbor::encode(&job.commands), DIRECT_TIME) {
        Ok((status @ (200 | 409), body)) => match cbor::decode::<Report>(&body) {
            Ok(report) => DirectResult::Report(status == 200, Box::new(report)),
            Err(_) => DirectResult::Unknown,
        },
        Ok((400, _)) => DirectResult::NotSent,
        Ok(_) | Err(CallError::Unknown | CallError::Unreadable) => DirectResult::Unknown,
        Err(CallError::NotSent) => DirectResult::NotSent,
    }
}

#[cfg(test)]
#[path = "tests/links.rs"]
mod tests;
