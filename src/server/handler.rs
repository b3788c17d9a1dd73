//! Serves one request of one connection at a time, on a pool's thread.

use super::bounds::Bounds;
use super::connection_table::{ClientKind, ConnectionTable};
use super::pending_request::PendingRequest;
use super::response::Response;
use super::user_routes;
use super::worker_routes;
use crate::authority::Authority;
use crate::event_queue::{EventSender, Question};
use crate::http::{ReadError, Request};
use crate::limits::{ANSWER_MAX_AGE, ANSWER_TIMEOUT, CROWDED_SHARE, FULL_SHARE, QUEUED_MAX_AGE};
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::Answer;
use mio::unix::SourceFd;
use mio::{Interest, Registry};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What becomes of a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// It waits for another request.
    Keep,
    /// It is closed.
    Close,
}

/// What all threads of the server share.
pub struct Handler {
    /// Where connections are registered for readiness.
    pub registry: Registry,
    /// The way to the event loop.
    pub events: EventSender,
    /// The server's bounds.
    pub bounds: Bounds,
    connections: Mutex<ConnectionTable>,
    authority: Authority,
}

impl Handler {
    /// A handler without connections.
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

    /// Serves the request of a connection, then lets it wait for the next.
    pub fn serve(&self, mut pending: PendingRequest) {
        let next = match pending.unsent.take() {
            Some(unsent) if pending.connection.send(&unsent.bytes).is_err() => Next::Close,
            Some(unsent) if unsent.close => Next::Close,
            Some(_) => Next::Keep,
            None => self.exchange(&mut pending),
        };
        match next {
            Next::Keep => self.wait_for_next(pending),
            Next::Close => self.connections().remove(pending.slot),
        }
    }

    /// Lets a connection wait for its next request.
    pub fn wait_for_next(&self, pending: PendingRequest) {
        let PendingRequest { slot, mut connection, client, .. } = pending;
        connection.shrink_idle_buffer();
        let fd = connection.fd();
        let unread = connection.has_unread();
        let mut connections = self.connections();
        let token = connections.token(slot);
        let readable_again = connections.put_back(slot, connection, client);
        // The poll is edge-triggered: what it announced while the connection was served
        // would be missed, so it is asked anew.
        if (readable_again || unread)
            && self.registry.reregister(&mut SourceFd(&fd), token, Interest::READABLE).is_err()
        {
            connections.remove(slot);
        }
    }

    /// Whether connections of that kind are closed after each response: users' first,
    /// as every worker needs one; then workers' too.
    pub fn closes_after_response(&self, client: ClientKind) -> bool {
        let share = if client == ClientKind::Worker { FULL_SHARE } else { CROWDED_SHARE };
        self.connections().open() as f64 > self.bounds.connections as f64 * share
    }

    /// The response to a question asked at `asked` that has that answer.
    pub fn response(&self, asked: Instant, answer: Answer) -> Response {
        // This process may have stood still since the answer was found: then
        // another controller may have given a newer one meanwhile.
        if asked.elapsed() > ANSWER_MAX_AGE {
            return Response::retry_later(503, RETRY_STORE_S, "can't decide now");
        }
        // Nor may a worker be held by a leader whose time ran out.
        if let Answer::Heartbeat(heartbeat) = &answer
            && !self.authority.permits(heartbeat.fencing_token)
        {
            return Response::misdirected(None);
        }
        Response::from_answer(answer)
    }

    /// Reads a request, unless it was read already, and responds.
    fn exchange(&self, pending: &mut PendingRequest) -> Next {
        let waited = pending.since.elapsed();
        let connection = &mut pending.connection;
        let request = pending.request.take().map_or_else(|| connection.read_request(), Ok);
        let (response, close) = match request {
            Ok(request) => {
                let refused = waited > QUEUED_MAX_AGE || self.over_bound(pending.client);
                let response = if refused { too_much() } else { self.respond_to(&request) };
                (response, request.close || self.closes_after_response(pending.client))
            }
            // The poll's event was an old one.
            Err(ReadError::Nothing) => return Next::Keep,
            Err(ReadError::Closed | ReadError::Io(_) | ReadError::TooSlow) => return Next::Close,
            Err(ReadError::Malformed) => (Response::error(400, "malformed request"), true),
            Err(ReadError::TooLarge) => (Response::error(413, "request too large"), true),
        };
        let sent = pending.connection.respond(response.head(close), &response.body);
        if sent.is_ok() && !close { Next::Keep } else { Next::Close }
    }

    /// Whether there are too many connections to serve this user.
    fn over_bound(&self, client: ClientKind) -> bool {
        client == ClientKind::User && self.connections().open() > self.bounds.connections
    }

    fn respond_to(&self, request: &Request) -> Response {
        let path = request.path.split('?').next().unwrap_or_default();
        let question = match worker_routes::route(request, path) {
            Some(question) => question,
            None => user_routes::route(request, path),
        };
        match question {
            Ok(question) => self.ask(question),
            Err(response) => response,
        }
    }

    fn ask(&self, question: Question) -> Response {
        let asked = Instant::now();
        let answer = self.events.ask(question, ANSWER_TIMEOUT);
        self.response(asked, answer)
    }
}

/// For a request that waited for a thread so long that its sender is about
/// to give it up, or that comes while there is no room for more users.
fn too_much() -> Response {
    Response::retry_later(503, RETRY_FULL_S, "too much is asked")
}
