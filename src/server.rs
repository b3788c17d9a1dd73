//! The side that users, workers and health checks see.
//!
//! Idle connections wait in one readiness poll; a request that comes is served
//! by a thread of a small pool over blocking sockets. So a fleet's connections
//! cost a socket and a few hundred bytes each, and no thread. Workers and
//! health checks have a pool of their own, which users can't crowd; what finds
//! its pool full is told so at once.
//!
//! A report or health check that has come whole, as nearly all do, needs no thread
//! of the pool: the poll's thread reads it, the owner's answers it, and neither waits
//! for the socket. (Handing each from thread to thread and back once took half of a
//! leader's processor time.)

use crate::authority::Authority;
use crate::event_queue::{Ask, Inbox};
use crate::http::{Conn, ReadError, Request, response};
use crate::limits::*;
use crate::pool::Pool;
use marblebarrow_core::consts::{RETRY_FULL_S, RETRY_STORE_S};
use marblebarrow_core::event::{Answer, UserRequest};
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::wire::{Elsewhere, Report, UnknownDependencies};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Registry, Token};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What goes back over HTTP.
struct Response {
    status: u16,
    retry_after: Option<u32>,
    body: Vec<u8>,
}

impl Response {
    fn plain(status: u16, why: &str) -> Self {
        let body = cbor::encode(&std::collections::BTreeMap::from([("error", why)]));
        Self { status, retry_after: None, body }
    }
    fn later(status: u16, after: u32, why: &str) -> Self {
        Self { retry_after: Some(after), ..Self::plain(status, why) }
    }
}

/// How many connections there may be, and when they are closed for others' sake.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at most.
    pub most: usize,
    /// Threads for users' requests.
    pub user_threads: usize,
    /// Threads for workers' reports and health checks.
    pub report_threads: usize,
    /// An idle connection is closed after this.
    pub idle: Duration,
}

/// Who is at the other end, as its first request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Unknown,
    Worker,
    User,
}

enum Slot {
    Free,
    /// Waits for a request.
    Idle(Conn, Instant, Side),
    /// With a thread; whether more was seen to come meanwhile.
    Served(bool),
}

/// All connections, by place; a place's count tells its tenants apart.
#[derive(Default)]
struct Slots {
    places: Vec<(u32, Slot)>,
    free: Vec<usize>,
    open: usize,
}

impl Slots {
    fn token(&self, place: usize) -> Token {
        Token((self.places[place].0 as usize) << PLACE_BITS | place)
    }

    fn take_place(&mut self) -> usize {
        self.open += 1;
        self.free.pop().unwrap_or_else(|| {
            self.places.push((0, Slot::Free));
            self.places.len() - 1
        })
    }

    fn leave(&mut self, place: usize) {
        let (count, slot) = &mut self.places[place];
        // Events still in hand for the one before must not reach the next.
        *count = count.wrapping_add(1) & COUNT_MASK;
        *slot = Slot::Free;
        self.free.push(place);
        self.open -= 1;
    }
}

/// A request that came, with its connection.
struct PendingRequest {
    place: usize,
    conn: Conn,
    side: Side,
    since: Instant,
    /// Read already.
    request: Option<Request>,
    /// What is left to be sent of an answer, and whether the connection closes then.
    rest: Option<(Vec<u8>, bool)>,
}

struct Shared {
    slots: Mutex<Slots>,
    registry: Registry,
    inbox: Inbox,
    authority: Authority,
    bounds: Bounds,
}

impl Shared {
    fn slots(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a side's connections are closed after each answer: users' first,
    /// as every worker needs one; then workers' too.
    fn crowded(&self, side: Side) -> bool {
        let share = if side == Side::Worker { FULL_SHARE } else { CROWDED_SHARE };
        self.slots().open as f64 > self.bounds.most as f64 * share
    }

    fn overfull(&self) -> bool {
        self.slots().open > self.bounds.most
    }

    /// Serves what a connection has to ask, then lets it wait again.
    fn serve(&self, mut pending: PendingRequest) {
        if let Some((bytes, close)) = pending.rest.take() {
            if pending.conn.send(&bytes).is_ok() && !close {
                self.wait(pending);
            } else {
                self.slots().leave(pending.place);
            }
            return;
        }
        let age = pending.since.elapsed();
        let stale = age > QUEUED_MOST;
        if self.converse(&mut pending, stale) {
            self.wait(pending);
        } else {
            self.slots().leave(pending.place);
        }
    }

    /// One request; whether the connection stays.
    fn converse(&self, pending: &mut PendingRequest, stale: bool) -> bool {
        let conn = &mut pending.conn;
        let side = pending.side;
        let request = pending.request.take().map_or_else(|| conn.read_request(), Ok);
        let (response, close) = match request {
            Ok(req) => {
                let response = if stale || side == Side::User && self.overfull() {
                    // It waited for a thread so long that its sender is about
                    // to give it up, or there is no room for more users.
                    Response::later(503, RETRY_FULL_S, "too much is asked")
                } else {
                    self.route(&req)
                };
                (response, req.close || self.crowded(side))
            }
            // The poll's word was an old one.
            Err(ReadError::Nothing) => return true,
            Err(ReadError::Closed | ReadError::Io(_) | ReadError::TooSlow) => return false,
            Err(ReadError::Malformed) => (Response::plain(400, "malformed request"), true),
            Err(ReadError::TooLarge) => (Response::plain(413, "request too large"), true),
        };
        conn.respond(response.status, response.retry_after, &response.body, close).is_ok() && !close
    }

    fn wait(&self, pending: PendingRequest) {
        let PendingRequest { place, mut conn, side, .. } = pending;
        conn.rest();
        let fd = conn.fd();
        let mut slots = self.slots();
        let token = slots.token(place);
        let slot = &mut slots.places[place].1;
        // Said while it was served, it would be missed: ask anew.
        let again = matches!(slot, Slot::Served(true)) || conn.unread();
        *slot = Slot::Idle(conn, Instant::now(), side);
        if again && self.registry.reregister(&mut SourceFd(&fd), token, Interest::READABLE).is_err()
        {
            slots.leave(place);
        }
    }

    fn route(&self, req: &Request) -> Response {
        let path = req.path.split('?').next().unwrap_or_default();
        match (req.method.as_str(), path) {
            ("GET", "/healthz") => self.ask(Ask::User(UserRequest::Health)),
            ("GET", "/api/members") => self.ask(Ask::Members),
            ("POST", "/hello") => match cbor::decode::<Report>(&req.body) {
                Ok(report) => self.ask(Ask::Report(Box::new(report))),
                Err(e) => Response::plain(400, &e.to_string()),
            },
            ("POST", "/api/jobs") => match JobSpec::parse(&req.body) {
                Ok(spec) => self.ask(Ask::User(UserRequest::Submit(Box::new(spec)))),
                Err(e) => Response::plain(400, &e.to_string()),
            },
            (method, path) => {
                let Some(rest) = path.strip_prefix("/api/jobs/") else {
                    let known = ["/healthz", "/hello", "/api/jobs", "/api/members"].contains(&path);
                    return Response::plain(if known { 405 } else { 404 }, "no such resource");
                };
                let (id, abort) = match rest.strip_suffix("/abort") {
                    Some(id) => (id, true),
                    None => (rest, false),
                };
                if !JobId::well_formed(id) {
                    return Response::plain(404, "no such job");
                }
                match (method, abort) {
                    ("GET", false) => self.ask(Ask::User(UserRequest::Poll(JobId::new(id)))),
                    ("POST", true) => self.ask(Ask::User(UserRequest::Cancel(JobId::new(id)))),
                    _ => Response::plain(405, "no such method here"),
                }
            }
        }
    }

    fn ask(&self, ask: Ask) -> Response {
        let asked = Instant::now();
        let answer = self.inbox.ask(ask, ANSWER_TIME);
        self.answered(asked, answer)
    }

    fn answered(&self, asked: Instant, answer: Answer) -> Response {
        // This process may have stood still since the answer was found: then
        // another controller may have told a newer one meanwhile.
        if asked.elapsed() > ANSWER_FRESH {
            return Response::later(503, RETRY_STORE_S, "can't decide now");
        }
        match answer {
            Answer::Job(status, job) => {
                Response { status, retry_after: None, body: cbor::encode(&job) }
            }
            Answer::Healthy => Response::plain(200, "none"),
            Answer::Members(members) => {
                Response { status: 200, retry_after: None, body: cbor::encode(&members) }
            }
            // Nor may a worker be held by a leader whose time ran out.
            Answer::Report(r) if !self.authority.holds(r.token) => elsewhere(None),
            Answer::Report(r) => {
                Response { status: 200, retry_after: None, body: cbor::encode(&r) }
            }
            Answer::Elsewhere(node) => elsewhere(node.map(|n| n.to_string())),
            Answer::NotFound => Response::plain(404, "no such job"),
            Answer::NeverRuns(why) => Response::plain(422, why),
            Answer::UnknownDependencies(waits_on) => unknown_dependencies(waits_on),
            Answer::Full(after) => Response::later(429, after, "too much is asked"),
            Answer::Unavailable(after) => Response::later(503, after, "can't decide now"),
        }
    }
}

/// 422 naming the DAG dependencies that were never accepted.
fn unknown_dependencies(waits_on: Vec<JobId>) -> Response {
    let error = "names jobs that were never accepted".to_owned();
    let body = cbor::encode(&UnknownDependencies { error, waits_on });
    Response { status: 422, retry_after: None, body }
}

fn elsewhere(report_to: Option<String>) -> Response {
    Response { status: 421, retry_after: None, body: cbor::encode(&Elsewhere { report_to }) }
}

/// Serves a worker's request that has come whole, waiting for nothing; otherwise gives
/// the pending back, for a thread to serve.
fn serve_at_once(
    shared: &Arc<Shared>,
    reports: &Arc<Pool<PendingRequest>>,
    mut pending: PendingRequest,
) -> Option<PendingRequest> {
    let request = match pending.conn.try_request() {
        Ok(Some(request)) => request,
        // The poll's word was an old one.
        Ok(None) if !pending.conn.unread() => {
            shared.wait(pending);
            return None;
        }
        Ok(None) | Err(ReadError::Malformed | ReadError::TooLarge) => return Some(pending),
        Err(_) => {
            shared.slots().leave(pending.place);
            return None;
        }
    };
    let ask = match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/hello") => {
            cbor::decode::<Report>(&request.body).ok().map(|report| Ask::Report(Box::new(report)))
        }
        ("GET", "/healthz") => Some(Ask::User(UserRequest::Health)),
        _ => None,
    };
    let Some(ask) = ask else {
        pending.request = Some(request);
        return Some(pending);
    };
    let (inbox, asked) = (shared.inbox.clone(), Instant::now());
    let (shared, reports) = (shared.clone(), reports.clone());
    let then = move |answer| {
        let r = shared.answered(asked, answer);
        let close = request.close || shared.crowded(pending.side);
        let bytes = response(r.status, r.retry_after, &r.body, close);
        match pending.conn.try_send(&bytes) {
            Ok(sent) if sent == bytes.len() && !close => shared.wait(pending),
            Ok(sent) if sent < bytes.len() => {
                // It takes no more: a thread waits until it does.
                pending.rest = Some((bytes[sent..].to_vec(), close));
                if let Err(pending) = reports.submit(pending) {
                    shared.slots().leave(pending.place);
                }
            }
            _ => shared.slots().leave(pending.place),
        }
    };
    inbox.ask_then(ask, Box::new(then));
    None
}

/// Waits for connections and their requests for ever.
pub struct HttpServer {
    poll: Poll,
    listener: TcpListener,
    shared: Arc<Shared>,
    reports: Arc<Pool<PendingRequest>>,
    users: Arc<Pool<PendingRequest>>,
}

impl HttpServer {
    /// A front over a listener that is bound already.
    pub fn new(
        listener: TcpListener,
        inbox: &Inbox,
        authority: &Authority,
        bounds: Bounds,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let fd = std::os::fd::AsRawFd::as_raw_fd(&listener);
        registry.register(&mut SourceFd(&fd), LISTENER, Interest::READABLE)?;
        let shared = Arc::new(Shared {
            slots: Mutex::new(Slots::default()),
            registry,
            inbox: inbox.clone(),
            authority: authority.clone(),
            bounds,
        });
        let pool = |name, threads| {
            let shared = shared.clone();
            // A connection has one request at a time, so these are never more
            // than there are connections.
            Arc::new(Pool::new(name, threads, bounds.most, move |v| shared.serve(v)))
        };
        let reports = pool("report", bounds.report_threads);
        let users = pool("user", bounds.user_threads);
        Ok(Self { poll, listener, shared, reports, users })
    }

    /// Serves for ever.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(FRONT_EVENTS);
        let mut next_sweep = Instant::now() + SWEEP_TIME;
        loop {
            if let Err(e) = self.poll.poll(&mut events, Some(SWEEP_TIME))
                && e.kind() != std::io::ErrorKind::Interrupted
            {
                tracing::error!(error = %e, "event=poll_failed");
                std::thread::sleep(ACCEPT_RETRY);
            }
            let mut came = false;
            for event in &events {
                match event.token() {
                    LISTENER => came = true,
                    token => self.ready(token),
                }
            }
            if came {
                self.accept();
            }
            if Instant::now() >= next_sweep {
                next_sweep = Instant::now() + SWEEP_TIME;
                self.sweep();
                // Edges are told once: a listener that failed for want of
                // sockets must be tried again.
                self.accept();
            }
        }
    }

    fn accept(&self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let (open, most) = (self.shared.slots().open, self.shared.bounds.most);
        // A few more than there is room for are let in, as guests: a worker is
        // heard and let go, a user told to come back.
        if open >= most && !self.evict() && open >= most + GUESTS {
            return;
        }
        let Ok(conn) = Conn::new(stream) else { return };
        let fd = conn.fd();
        let mut slots = self.shared.slots();
        let place = slots.take_place();
        let token = slots.token(place);
        slots.places[place].1 = Slot::Idle(conn, Instant::now(), Side::Unknown);
        let registry = &self.shared.registry;
        if registry.register(&mut SourceFd(&fd), token, Interest::READABLE).is_err() {
            slots.leave(place);
        }
    }

    /// Closes the connection of a user that has been idle longest: it can make
    /// another, and who comes may be a worker whose lease runs.
    fn evict(&self) -> bool {
        let mut slots = self.shared.slots();
        let idle = slots.places.iter().enumerate().filter_map(|(i, (_, slot))| match slot {
            Slot::Idle(_, since, Side::User) => Some((*since, i)),
            _ => None,
        });
        let Some((_, place)) = idle.min() else { return false };
        slots.leave(place);
        true
    }

    /// A connection has something to say.
    fn ready(&self, token: Token) {
        let place = token.0 & PLACE_MASK;
        let mut slots = self.shared.slots();
        if place >= slots.places.len() || slots.token(place) != token {
            return;
        }
        let slot = &mut slots.places[place].1;
        let (mut conn, mut side) = match std::mem::replace(slot, Slot::Served(false)) {
            Slot::Idle(conn, _, side) => (conn, side),
            Slot::Served(_) => {
                *slot = Slot::Served(true);
                return;
            }
            Slot::Free => {
                *slot = Slot::Free;
                return;
            }
        };
        if side == Side::Unknown {
            match conn.peek_worker() {
                None => return slots.leave(place),
                Some(worker) => side = if worker { Side::Worker } else { Side::User },
            }
        }
        drop(slots);
        let mut pending =
            PendingRequest { place, conn, side, since: Instant::now(), request: None, rest: None };
        let pool = if side == Side::Worker { &self.reports } else { &self.users };
        if side == Side::Worker {
            match serve_at_once(&self.shared, &self.reports, pending) {
                None => return,
                Some(v) => pending = v,
            }
        }
        if let Err(pending) = pool.submit(pending) {
            refuse(pending.conn);
            self.shared.slots().leave(place);
        }
    }

    /// Closes what has been idle for too long.
    fn sweep(&self) {
        let idle = self.shared.bounds.idle;
        let mut slots = self.shared.slots();
        for place in 0..slots.places.len() {
            if let Slot::Idle(_, since, _) = &slots.places[place].1
                && since.elapsed() > idle
            {
                slots.leave(place);
            }
        }
    }
}

fn refuse(mut conn: Conn) {
    let r = Response::later(503, RETRY_FULL_S, "too many connections");
    // What was sent already is read first: unread, it would have the system
    // reset the connection before our answer is through.
    conn.drain();
    let _ = conn.respond(r.status, r.retry_after, &r.body, true);
}

#[cfg(test)]
#[path = "tests/server.rs"]
mod tests;
