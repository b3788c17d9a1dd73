//! HTTP client: calls over one persistent connection.

use super::connection::Connection;
use super::error::{CallError, ReadError};
use super::parse::parse_response;
use crate::limits::{CONNECT_TIMEOUT, HEAD_MAX, RESPONSE_BODY_MAX, STALE_AFTER};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Typical size of a request's head, bytes.
const REQUEST_HEAD_LEN: usize = 160;

/// A response received by a client.
#[derive(Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the server closes the connection.
    close: bool,
}

/// A persistent connection, kept for the next call.
#[derive(Debug)]
struct KeptConnection {
    connection: Connection,
    last_used: Instant,
}

/// A client that keeps one connection to one address open.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    kept: Option<KeptConnection>,
}

impl Client {
    /// Creates a client of `addr`, which connects when needed.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, kept: None }
    }

    /// Connects, unless a usable connection is already open.
    pub fn connect(&mut self) -> io::Result<()> {
        let connection = match self.take_usable() {
            Some(connection) => connection,
            None => self.open()?,
        };
        self.keep(connection);
        Ok(())
    }

    /// Sends a request and waits at most `timeout` for the response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let connection = match self.take_usable() {
            Some(connection) => connection,
            None => self.open().map_err(|_| CallError::NotSent)?,
        };
        self.exchange(connection, method, path, body, timeout)
    }

    /// Like [`Client::call`], but only over the connection that [`Client::connect`] opened: a
    /// condition that the caller has checked since then might no longer hold after a reconnect.
    pub fn call_connected(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let connection = self.take_usable().ok_or(CallError::NotSent)?;
        self.exchange(connection, method, path, body, timeout)
    }

    fn exchange(
        &mut self,
        mut connection: Connection,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        let request = self.encode_request(method, path, body);
        connection.stream.write_all(&request).map_err(|_| CallError::Unknown)?;
        let response = connection.read_response(Instant::now() + timeout);
        let response = response.map_err(|error| match error {
            ReadError::Malformed | ReadError::TooLarge => CallError::Unreadable,
            _ => CallError::Unknown,
        })?;
        if !response.close {
            self.keep(connection);
        }
        Ok(response)
    }

    fn open(&self) -> io::Result<Connection> {
        TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT).and_then(Connection::new)
    }

    fn keep(&mut self, connection: Connection) {
        self.kept = Some(KeptConnection { connection, last_used: Instant::now() });
    }

    /// Takes the open connection; `None` if there is none, or if it was idle for long and is
    /// found to be closed.
    fn take_usable(&mut self) -> Option<Connection> {
        let KeptConnection { mut connection, last_used } = self.kept.take()?;
        let usable = last_used.elapsed() < STALE_AFTER || !connection.is_stale();
        usable.then_some(connection)
    }

    fn encode_request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(REQUEST_HEAD_LEN + body.len());
        // Writing to memory can't fail.
        let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr);
        let _ = write!(out, "Content-Type: application/cbor\r\n");
        let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
        out.extend_from_slice(body);
        out
    }
}

impl Connection {
    fn read_response(&mut self, deadline: Instant) -> Result<ClientResponse, ReadError> {
        loop {
            if let Some(head) = parse_response(&self.buffer)? {
                if head.framing.body_len > RESPONSE_BODY_MAX {
                    return Err(ReadError::TooLarge);
                }
                while !self.contains_message(&head.framing) {
                    self.read_until(deadline)?;
                }
                let body = self.take_body(&head.framing);
                return Ok(ClientResponse { status: head.status, body, close: head.framing.close });
            }
            if self.buffer.len() > HEAD_MAX {
                return Err(ReadError::TooLarge);
            }
            self.read_until(deadline)?;
        }
    }

    /// Whether the server has closed the connection or sent unexpected data.
    fn is_stale(&mut self) -> bool {
        let mut byte = [0u8; 1];
        !matches!(self.peek_now(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            || self.set_blocking(true).is_err()
    }
}
