//! Serves one request of a connection at a time, on a pool thread.

use super::bounds::Bounds;
use super::connection_table::{ClientKind, ConnectionTable};
use super::pending_request::PendingRequest;
use super::response::Response;
use super::user_routes;
use super::worker_routes;
use crate::authority::Authority;
use crate::event_queue::{ClientRequest, EventSender};
use crate::http::{ReadError, Request};
use crate::limits::{
    ANSWER_MAX_AGE, ANSWER_TIMEOUT, QUEUED_MAX_AGE, USER_KEEP_ALIVE_SHARE, WORKER_KEEP_ALIVE_SHARE,
};
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::Answer;
use mio::unix::SourceFd;
use mio::{Interest, Registry};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What happens to a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    /// Keep it open for another request.
    Keep,
    /// Close it.
    Close,
}

/// State shared by all threads of the server.
pub struct Handler {
    /// The registry of the readiness poll.
    pub registry: Registry,
    /// Sender to the event loop.
    pub events: EventSender,
    /// The server's resource limits.
    pub bounds: Bounds,
    connections: Mutex<ConnectionTable>,
    authority: Authority,
}

impl Handler {
    /// Creates a handler without connections.
    pub fn new(
        registry: Registry,
        events: EventSender,
        authority: Authority,
        bounds: Bounds,
    ) -> Self {
        Self { registry, events, bounds, connections: Mutex::default(), authority }
    }

    /// The open connections, locked.
    pub fn connections(&self) -> MutexGuard<'_, ConnectionTable> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection's request, then returns the connection to the poll or closes it.
    pub fn serve(&self, mut pending: PendingRequest) {
        let next = match pending.unsent.take() {
            Some(unsent) if pending.connection.send(&unsent.bytes).is_err() => AfterRequest::Close,
            Some(unsent) if unsent.close => AfterRequest::Close,
            Some(_) => AfterRequest::Keep,
            None => self.exchange(&mut pending),
        };
        match next {
            AfterRequest::Keep => self.wait_for_next(pending),
            AfterRequest::Close => self.connections().remove(pending.slot),
        }
    }

    /// Returns a connection to the poll to wait for its next request.
    pub fn wait_for_next(&self, pending: PendingRequest) {
        let PendingRequest { slot, mut connection, client, .. } = pending;
        connection.shrink_idle_buffer();
        let fd = connection.fd();
        let unread = connection.has_unread();
        let mut connections = self.connections();
        let token = connections.token(slot);
        let readable_again = connections.put_back(slot, connection, client);
        // The poll is edge-triggered: an event reported while the connection was served would be
        // lost, so the connection is registered again.
        if (readable_again || unread)
            && self.registry.reregister(&mut SourceFd(&fd), token, Interest::READABLE).is_err()
        {
            connections.remove(slot);
        }
    }

    /// Whether connections of this kind are closed after each response. As the table fills,
    /// users' connections lose keep-alive first, because every worker needs one; then workers' do
    /// too.
    pub fn closes_after_response(&self, client: ClientKind) -> bool {
        let share = if client == ClientKind::Worker {
            WORKER_KEEP_ALIVE_SHARE
        } else {
            USER_KEEP_ALIVE_SHARE
        };
        self.connections().open() as f64 > self.bounds.connections as f64 * share
    }

    /// The response to a request that was passed to the core at `asked` and got `answer`.
    pub fn response(&self, asked: Instant, answer: Answer) -> Response {
        // This process may have been paused since the answer was computed; another controller may
        // have given a newer one meanwhile.
        if asked.elapsed() > ANSWER_MAX_AGE {
            return Response::retry_later(503, RETRY_STORE_S, "can't decide now");
        }
        // A leader whose authority has expired must not renew a worker's lease.
        if let Answer::Heartbeat(heartbeat) = &answer
            && !self.authority.permits(heartbeat.fencing_token)
        {
            return Response::misdirected(None);
        }
        Response::from_answer(answer)
    }

    /// Reads the request, unless it was read already, and sends the response.
    fn exchange(&self, pending: &mut PendingRequest) -> AfterRequest {
        let waited = pending.since.elapsed();
        let connection = &mut pending.connection;
        let request = pending.request.take().map_or_else(|| connection.read_request(), Ok);
        let (response, close) = match request {
            Ok(request) => {
                let refused = waited > QUEUED_MAX_AGE || self.over_bound(pending.client);
                let response = if refused { overloaded() } else { self.respond_to(&request) };
                (response, request.close || self.closes_after_response(pending.client))
            }
            // The poll's event was stale.
            Err(ReadError::Nothing) => return AfterRequest::Keep,
            Err(ReadError::Closed | ReadError::Io(_) | ReadError::TooSlow) => {
                return AfterRequest::Close;
            }
            Err(ReadError::Malformed) => (Response::error(400, "malformed request"), true),
            Err(ReadError::TooLarge) => (Response::error(413, "request too large"), true),
        };
        let sent = pending.connection.respond(response.head(close), &response.body);
        if sent.is_ok() && !close { AfterRequest::Keep } else { AfterRequest::Close }
    }

    /// Whether the client is a user and the connection limit is exceeded.
    fn over_bound(&self, client: ClientKind) -> bool {
        client == ClientKind::User && self.connections().open() > self.bounds.connections
    }

    fn respond_to(&self, request: &Request) -> Response {
        let path = request.path.split('?').next().unwrap_or_default();
        let client_request = match worker_routes::route(request, path) {
            Some(client_request) => client_request,
            None => user_routes::route(request, path),
        };
        match client_request {
            Ok(client_request) => self.ask(client_request),
            Err(response) => response,
        }
    }

    fn ask(&self, client_request: ClientRequest) -> Response {
        let asked = Instant::now();
        let answer = self.events.ask(client_request, ANSWER_TIMEOUT);
        self.response(asked, answer)
    }
}

/// Response to a request that waited for a thread until its sender is about to time out, or that
/// arrives while the connection limit for users is exceeded.
fn overloaded() -> Response {
    Response::retry_later(503, RETRY_FULL_S, "too much is asked")
}
