//! The link to the cloud's API.

use super::request_queue::RequestQueue;
use crate::authority::Authority;
use crate::event_queue::EventSender;
use crate::http::{CallError, Client, ClientResponse};
use crate::limits::{CLOUD_QUEUE_LEN, CLOUD_THREADS, CLOUD_TIMEOUT};
use crate::thread::spawn;
use marblebarrow_core::event::{CloudRequest, CloudResult, Event, OpId};
use marblebarrow_proto::cbor;
use marblebarrow_proto::wire::{MachineNames, TypeList};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;

/// Error text of a 503 which means that no machine is available, as opposed to an outage of the
/// cloud.
const NO_CAPACITY: &str = "no capacity";
/// Machines in a page of the list (given by the protocol).
const LIST_LIMIT: usize = 500;

/// A request from the core to the cloud.
struct CloudCall {
    op: OpId,
    request: CloudRequest,
    /// The term in which it was made, if only a leader may make it.
    leader_term: Option<u64>,
}

/// Body of an error response.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

/// The link to the cloud's API.
pub struct CloudLink {
    queue: SyncSender<CloudCall>,
    authority: Authority,
}

impl CloudLink {
    /// Starts the threads that make the calls.
    pub fn start(
        addr: SocketAddr,
        events: &EventSender,
        authority: &Authority,
    ) -> io::Result<Self> {
        let (queue, calls) = RequestQueue::bounded(CLOUD_QUEUE_LEN);
        for _ in 0..CLOUD_THREADS {
            let (calls, events, authority) = (calls.clone(), events.clone(), authority.clone());
            spawn("cloud", move || serve_calls(addr, &calls, &events, &authority))?;
        }
        Ok(Self { queue, authority: authority.clone() })
    }

    /// Queues a request. Returns the refusal as an event if it can't be queued or isn't
    /// permitted.
    pub fn send(&self, op: OpId, request: CloudRequest) -> Option<Event> {
        let refused = Some(Event::Cloud(op, CloudResult::Refused));
        let leader_only = matches!(request, CloudRequest::Rent(_) | CloudRequest::Release(_));
        let term = self.authority.term();
        if leader_only && term.is_none() {
            return refused;
        }
        let call = CloudCall { op, request, leader_term: term.filter(|_| leader_only) };
        if self.queue.try_send(call).is_err() { refused } else { None }
    }
}

fn serve_calls(
    addr: SocketAddr,
    calls: &RequestQueue<CloudCall>,
    events: &EventSender,
    authority: &Authority,
) {
    let mut client = Client::new(addr);
    while let Some(CloudCall { op, request, leader_term }) = calls.next() {
        let permitted = || leader_term.is_none_or(|term| authority.permits(term));
        events.send(Event::Cloud(op, call(&mut client, &request, permitted)));
    }
}

/// Makes a request if it is permitted. If this process was paused after the decision, another
/// controller may lead by now and use the machines that this request would release. So the
/// request is sent over the connection opened before the check, or not at all.
fn call(client: &mut Client, request: &CloudRequest, permitted: impl Fn() -> bool) -> CloudResult {
    if client.connect().is_err() || !permitted() {
        return CloudResult::Refused;
    }
    match send(client, request) {
        Ok(response) => read_response(request, &response),
        Err(CallError::NotSent) => CloudResult::Refused,
        Err(CallError::Unknown | CallError::Unreadable) => CloudResult::Unknown,
    }
}

fn send(client: &mut Client, request: &CloudRequest) -> Result<ClientResponse, CallError> {
    match request {
        CloudRequest::Types => client.call_connected("GET", "/flavors", &[], CLOUD_TIMEOUT),
        CloudRequest::List { after } => {
            let after = after.as_ref().map_or(String::new(), |name| format!("after={name}&"));
            let path = format!("/hosts?{after}limit={LIST_LIMIT}");
            client.call_connected("GET", &path, &[], CLOUD_TIMEOUT)
        }
        CloudRequest::Rent(rent) => {
            client.call_connected("POST", "/hosts", &cbor::encode(rent), CLOUD_TIMEOUT)
        }
        CloudRequest::Release(names) => {
            let body = cbor::encode(&MachineNames { machines: names.clone() });
            client.call_connected("POST", "/hosts/release", &body, CLOUD_TIMEOUT)
        }
    }
}

fn read_response(request: &CloudRequest, response: &ClientResponse) -> CloudResult {
    let body = &response.body;
    match (request, response.status) {
        (CloudRequest::Types, 200) => cbor::decode::<TypeList>(body)
            .map_or(CloudResult::Unknown, |list| CloudResult::Types(list.types)),
        (CloudRequest::List { .. }, 200) => {
            cbor::decode(body).map_or(CloudResult::Unknown, CloudResult::List)
        }
        (CloudRequest::Rent(_), 200) => cbor::decode::<MachineNames>(body)
            .map_or(CloudResult::Unknown, |names| CloudResult::Rented(names.machines)),
        // A 503 means either that no machine is available or that the cloud has an outage.
        (CloudRequest::Rent(_), 503) if is_no_capacity(body) => CloudResult::NoCapacity,
        (CloudRequest::Release(_), 200) => CloudResult::Released,
        (_, 429 | 503) => CloudResult::Refused,
        // A rental rejected as malformed never rents a machine, now or later.
        (CloudRequest::Rent(_), 400..=499) => CloudResult::NoCapacity,
        _ => CloudResult::Unknown,
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    cbor::decode::<ErrorBody>(body).is_ok_and(|body| body.error == NO_CAPACITY)
}

#[cfg(test)]
#[path = "../tests/cloud_link.rs"]
mod tests;
