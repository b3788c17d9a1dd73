//! HTTP server side: reads requests from a connection and writes responses.

use super::connection::Connection;
use super::error::ReadError;
use super::parse::{RequestHead, parse_request};
use crate::limits::{HEAD_MAX, READ_SLICE, REQUEST_BODY_MAX, REQUEST_TIMEOUT};
use std::io::{self, Write as _};
use std::time::Instant;

/// First bytes of the requests of workers and health checks.
const WORKER_REQUESTS: [&[u8]; 2] = [b"POST /hello", b"GET /health"];
/// Number of bytes needed to recognise them.
const PEEK_LEN: usize = 11;
/// Typical size of a response's head, bytes.
const RESPONSE_HEAD_LEN: usize = 160;

/// A request's head and body.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the client closes the connection after the response.
    pub close: bool,
}

/// The fields of a response head besides the body's length.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Value of the Retry-After header, seconds.
    pub retry_after: Option<u32>,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

impl Connection {
    /// Reads the request without blocking; `None` if it hasn't completely arrived.
    pub fn try_read_request(&mut self) -> Result<Option<Request>, ReadError> {
        self.set_blocking(false).map_err(ReadError::Io)?;
        loop {
            if let Some(head) = self.request_head()?
                && self.contains_message(&head.framing)
            {
                return Ok(Some(self.take_request(head)));
            }
            match self.read_some() {
                Err(ReadError::TooSlow) => return Ok(None),
                read => read?,
            }
        }
    }

    /// Reads the request that has begun to arrive, blocking; [`ReadError::Nothing`] if none has
    /// begun.
    pub fn read_request(&mut self) -> Result<Request, ReadError> {
        self.set_blocking(true).map_err(ReadError::Io)?;
        let begun = Instant::now();
        loop {
            if let Some(head) = self.request_head()? {
                while !self.contains_message(&head.framing) {
                    self.read_in_slices(begun)?;
                }
                return Ok(self.take_request(head));
            }
            match self.read_in_slices(begun) {
                Err(ReadError::TooSlow) if !self.has_unread() => return Err(ReadError::Nothing),
                read => read?,
            }
        }
    }

    /// Whether the incoming request is a worker's or a health check; `None` if the client has
    /// closed the connection.
    pub fn peek_is_worker(&mut self) -> Option<bool> {
        let mut start = [0u8; PEEK_LEN];
        match self.peek_now(&mut start) {
            Ok(0) => None,
            Ok(n) => Some(WORKER_REQUESTS.iter().any(|known| start[..n].starts_with(known))),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Some(false),
            Err(_) => None,
        }
    }

    /// Sends a response, blocking.
    pub fn respond(&mut self, head: ResponseHead, body: &[u8]) -> io::Result<()> {
        self.send(&encode_response(head, body))
    }

    /// Parses the head of the request in the buffer and checks the size limits; `None` if the
    /// head is incomplete.
    fn request_head(&self) -> Result<Option<RequestHead>, ReadError> {
        let head = parse_request(&self.buffer)?;
        let too_large = match &head {
            Some(head) => head.framing.body_len > REQUEST_BODY_MAX,
            None => self.buffer.len() > HEAD_MAX,
        };
        if too_large { Err(ReadError::TooLarge) } else { Ok(head) }
    }

    fn take_request(&mut self, head: RequestHead) -> Request {
        let body = self.take_body(&head.framing);
        Request { method: head.method, path: head.path, body, close: head.framing.close }
    }

    /// Reads once, in slices of [`READ_SLICE`] up to [`REQUEST_TIMEOUT`] after a request has
    /// begun. The socket's timeout is set only once, which saves a system call per request.
    fn read_in_slices(&mut self, begun: Instant) -> Result<(), ReadError> {
        loop {
            if self.read_timeout.is_none() {
                self.set_read_timeout(READ_SLICE)?;
            }
            match self.read_some() {
                Err(ReadError::TooSlow) if self.has_unread() => {
                    if begun.elapsed() > REQUEST_TIMEOUT {
                        return Err(ReadError::TooSlow);
                    }
                }
                read => return read,
            }
        }
    }
}

/// Encodes a response.
pub fn encode_response(head: ResponseHead, body: &[u8]) -> Vec<u8> {
    let ResponseHead { status, retry_after, close } = head;
    let mut out = Vec::with_capacity(RESPONSE_HEAD_LEN + body.len());
    // Writing to memory can't fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    let _ = write!(out, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len());
    if let Some(seconds) = retry_after {
        let _ = write!(out, "Retry-After: {seconds}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
