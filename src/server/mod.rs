//! The HTTP server for users, workers and health checks.
//!
//! Idle connections wait in one readiness poll; an incoming request is served by a thread of a
//! small pool over a blocking socket. So an idle connection costs a socket and a few hundred
//! bytes, but no thread. Workers and health checks have a pool of their own, which users can't
//! exhaust. A request that finds its pool full is refused immediately.
//!
//! A heartbeat or health check that has arrived completely, as nearly all do, needs no pool
//! thread: the poll thread reads it and the event loop's thread answers it, and neither blocks on
//! the socket. Passing each one through a pool thread took half of a leader's CPU time.

mod bounds;
mod connection_table;
mod handler;
mod nonblocking;
mod pending_request;
mod response;
mod user_routes;
mod worker_routes;

pub use bounds::Bounds;

use crate::authority::Authority;
use crate::event_queue::EventSender;
use crate::http::Connection;
use crate::limits::{
    EXTRA_CONNECTIONS, IDLE_CHECK_INTERVAL, LISTENER_TOKEN, POLL_EVENTS, POLL_RETRY_DELAY,
};
use crate::pool::Pool;
use connection_table::{ClientKind, Ready};
use handler::Handler;
use marblebarrow_core::consts::RETRY_FULL_S;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use nonblocking::serve_nonblocking;
use pending_request::PendingRequest;
use response::Response;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd as _;
use std::sync::Arc;
use std::time::Instant;

/// Accepts connections and dispatches their requests to the pools.
pub struct HttpServer {
    poll: Poll,
    listener: TcpListener,
    handler: Arc<Handler>,
    worker_pool: Arc<Pool<PendingRequest>>,
    user_pool: Arc<Pool<PendingRequest>>,
}

impl HttpServer {
    /// Creates a server on a listener that is already bound.
    pub fn new(
        listener: TcpListener,
        events: &EventSender,
        authority: &Authority,
        bounds: Bounds,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        registry.register(
            &mut SourceFd(&listener.as_raw_fd()),
            LISTENER_TOKEN,
            Interest::READABLE,
        )?;
        let handler = Arc::new(Handler::new(registry, events.clone(), authority.clone(), bounds));
        let pool = |name, threads| {
            let handler = handler.clone();
            // A connection has one request at a time, so no more requests wait than there are
            // connections.
            Arc::new(Pool::new(name, threads, bounds.connections, move |pending| {
                handler.serve(pending)
            }))
        };
        let worker_pool = pool("report", bounds.worker_threads);
        let user_pool = pool("user", bounds.user_threads);
        Ok(Self { poll, listener, handler, worker_pool, user_pool })
    }

    /// Runs the server; never returns.
    pub fn run(mut self) {
        let mut ready = Events::with_capacity(POLL_EVENTS);
        let mut next_sweep = Instant::now() + IDLE_CHECK_INTERVAL;
        loop {
            self.wait_until_ready(&mut ready);
            self.serve_all(&ready);
            if Instant::now() >= next_sweep {
                next_sweep = Instant::now() + IDLE_CHECK_INTERVAL;
                self.handler.connections().close_idle(self.handler.bounds.idle_timeout);
                // The poll is edge-triggered: after a failed accept, for example at the socket
                // limit, it reports no further event, so accepting is retried here.
                self.accept_all();
            }
        }
    }

    fn wait_until_ready(&mut self, ready: &mut Events) {
        let Err(error) = self.poll.poll(ready, Some(IDLE_CHECK_INTERVAL)) else { return };
        if error.kind() != io::ErrorKind::Interrupted {
            tracing::error!(%error, "event=poll_failed");
            std::thread::sleep(POLL_RETRY_DELAY);
        }
    }

    fn serve_all(&self, ready: &Events) {
        let mut listener_ready = false;
        for event in ready {
            match event.token() {
                LISTENER_TOKEN => listener_ready = true,
                token => self.serve_ready(token),
            }
        }
        if listener_ready {
            self.accept_all();
        }
    }

    fn accept_all(&self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let max_connections = self.handler.bounds.connections;
        let open = self.handler.connections().open();
        // A few connections beyond the limit are accepted for one response each: a worker's
        // request is served and the connection closed, a user is told to retry later.
        if open >= max_connections
            && !self.handler.connections().evict_idle_user()
            && open >= max_connections + EXTRA_CONNECTIONS
        {
            return;
        }
        let Ok(connection) = Connection::new(stream) else { return };
        let fd = connection.fd();
        let mut connections = self.handler.connections();
        let slot = connections.insert(connection);
        let token = connections.token(slot);
        let registry = &self.handler.registry;
        if registry.register(&mut SourceFd(&fd), token, Interest::READABLE).is_err() {
            connections.remove(slot);
        }
    }

    /// Serves a connection that has become readable.
    fn serve_ready(&self, token: Token) {
        let Some(ready) = self.handler.connections().take_ready(token) else { return };
        let Some(pending) = self.classify(ready) else { return };
        match pending.client {
            ClientKind::Worker => {
                let left = serve_nonblocking(&self.handler, &self.worker_pool, pending);
                if let Some(pending) = left {
                    self.submit(&self.worker_pool, pending);
                }
            }
            ClientKind::User | ClientKind::Unknown => self.submit(&self.user_pool, pending),
        }
    }

    /// Determines the kind of client from its first request; `None` if it has closed the
    /// connection.
    fn classify(&self, ready: Ready) -> Option<PendingRequest> {
        let Ready { slot, mut connection, mut client } = ready;
        if client == ClientKind::Unknown {
            client = match connection.peek_is_worker() {
                Some(true) => ClientKind::Worker,
                Some(false) => ClientKind::User,
                None => {
                    self.handler.connections().remove(slot);
                    return None;
                }
            };
        }
        Some(PendingRequest::new(slot, connection, client))
    }

    fn submit(&self, pool: &Pool<PendingRequest>, pending: PendingRequest) {
        if let Err(pending) = pool.submit(pending) {
            refuse(pending.connection);
            self.handler.connections().remove(pending.slot);
        }
    }
}

fn refuse(mut connection: Connection) {
    let response = Response::retry_later(503, RETRY_FULL_S, "too many connections");
    // Data already received is read first: if it stayed unread, the kernel would reset the
    // connection on close and the response might be lost.
    connection.drain();
    let _ = connection.respond(response.head(true), &response.body);
}

#[cfg(test)]
#[path = "../tests/server.rs"]
mod tests;
