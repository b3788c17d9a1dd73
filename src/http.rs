//! HTTP/1.1 over blocking sockets: what both sides share, and the client.

use crate::limits::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd as _, RawFd};
use std::time::{Duration, Instant};

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed before a message began.
    #[error("closed")]
    Closed,
    /// It took too long.
    #[error("too slow")]
    TooSlow,
    /// No message has begun.
    #[error("nothing")]
    Nothing,
    /// Not HTTP/1.1 as we speak it.
    #[error("malformed")]
    Malformed,
    /// Larger than allowed.
    #[error("too large")]
    TooLarge,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
}

/// A request's head and body.
#[derive(Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// The sender will close.
    pub close: bool,
}

/// A connection with its unread bytes.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    timeout: Option<Duration>,
    /// Whether calls on it wait.
    waits: bool,
}

struct Head {
    length: usize,
    body_len: usize,
    close: bool,
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIME))?;
        Ok(Self { stream, buf: Vec::new(), timeout: None, waits: true })
    }

    /// The socket's number, for the readiness poll.
    pub fn fd(&self) -> RawFd {
        self.stream.as_raw_fd()
    }

    /// Whether bytes were read that no request has taken yet.
    pub fn unread(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Gives up memory that an idle connection needs not hold.
    pub fn rest(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > BUFFER_KEPT {
            self.buf = Vec::new();
        }
    }

    /// Whether calls on it wait from now on.
    pub fn wait_on_it(&mut self, waits: bool) -> io::Result<()> {
        if self.waits != waits {
            self.stream.set_nonblocking(!waits)?;
            self.waits = waits;
        }
        Ok(())
    }

    /// The request that has come, without waiting; `None`: not all of it has.
    pub fn try_request(&mut self) -> Result<Option<Request>, ReadError> {
        self.wait_on_it(false).map_err(ReadError::Io)?;
        loop {
            if let Some((head, method, path)) = parse_request(&self.buf)? {
                if head.body_len > BODY_MAX {
                    return Err(ReadError::TooLarge);
                }
                if self.buf.len() >= head.length + head.body_len {
                    let body = self.take_body(&head);
                    return Ok(Some(Request { method, path, body, close: head.close }));
                }
            } else if self.buf.len() > HEAD_MAX {
                return Err(ReadError::TooLarge);
            }
            match self.read_some() {
                Err(ReadError::TooSlow) => return Ok(None),
                read => read?,
            }
        }
    }

    /// Sends as much as the socket takes at once; how much that was.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.wait_on_it(false)?;
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(sent)
    }

    /// Sends all of it, and waits while the socket takes no more.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.wait_on_it(true)?;
        self.stream.write_all(bytes)
    }

    /// Whether the request that has come is a worker's or a health check's;
    /// `None` if the other side has closed.
    pub fn peek_worker(&mut self) -> Option<bool> {
        let mut start = [0u8; 11];
        match self.peek_now(&mut start) {
            Ok(0) => None,
            Ok(n) => {
                let start = &start[..n];
                Some(start.starts_with(b"POST /hello") || start.starts_with(b"GET /health"))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Some(false),
            Err(_) => None,
        }
    }

    fn peek_now(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.wait_on_it(false)?;
        self.stream.peek(into)
    }

    /// Throws away what has come, without waiting.
    pub fn drain(&mut self) {
        if self.wait_on_it(false).is_ok() {
            let mut chunk = [0u8; 4096];
            let _ = self.stream.read(&mut chunk);
        }
    }

    fn fill(&mut self, deadline: Instant) -> Result<(), ReadError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadError::TooSlow);
        }
        // Setting it costs a call; a little long is good enough.
        if self.timeout.is_none_or(|t| t > left + left || t + t < left) {
            self.stream.set_read_timeout(Some(left)).map_err(ReadError::Io)?;
            self.timeout = Some(left);
        }
        self.read_some()
    }

    fn read_some(&mut self) -> Result<(), ReadError> {
        let mut chunk = [0u8; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(ReadError::Closed),
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(ReadError::TooSlow)
            }
            Err(e) => Err(ReadError::Io(e)),
        }
    }

    fn body(&mut self, head: &Head, limit: usize, deadline: Instant) -> Result<Vec<u8>, ReadError> {
        if head.body_len > limit {
            return Err(ReadError::TooLarge);
        }
        while self.buf.len() < head.length + head.body_len {
            self.fill(deadline)?;
        }
        Ok(self.take_body(head))
    }

    fn take_body(&mut self, head: &Head) -> Vec<u8> {
        let end = head.length + head.body_len;
        let body = self.buf[head.length..end].to_vec();
        self.buf.drain(..end);
        if self.buf.capacity() > BODY_MAX {
            self.buf.shrink_to(BUFFER_KEPT);
        }
        body
    }

    /// Reads the request that has begun to come; `Nothing` if none has.
    pub fn read_request(&mut self) -> Result<Request, ReadError> {
        self.wait_on_it(true).map_err(ReadError::Io)?;
        let begun = Instant::now();
        loop {
            if let Some((head, method, path)) = parse_request(&self.buf)? {
                if head.body_len > BODY_MAX {
                    return Err(ReadError::TooLarge);
                }
                while self.buf.len() < head.length + head.body_len {
                    self.fill_slice(begun)?;
                }
                let body = self.take_body(&head);
                return Ok(Request { method, path, body, close: head.close });
            }
            if self.buf.len() > HEAD_MAX {
                return Err(ReadError::TooLarge);
            }
            match self.fill_slice(begun) {
                Err(ReadError::TooSlow) if self.buf.is_empty() => return Err(ReadError::Nothing),
                filled => filled?,
            }
        }
    }

    /// Reads what comes within a slice of time; the slice is set once, so that
    /// a request costs no further call.
    fn fill_slice(&mut self, begun: Instant) -> Result<(), ReadError> {
        loop {
            if self.timeout.is_none() {
                self.stream.set_read_timeout(Some(READ_SLICE)).map_err(ReadError::Io)?;
                self.timeout = Some(READ_SLICE);
            }
            match self.read_some() {
                Err(ReadError::TooSlow) if !self.buf.is_empty() => {
                    if begun.elapsed() > REQUEST_TIME {
                        return Err(ReadError::TooSlow);
                    }
                }
                read => return read,
            }
        }
    }

    /// Sends a response.
    pub fn respond(
        &mut self,
        status: u16,
        retry_after: Option<u32>,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        self.send(&response(status, retry_after, body, close))
    }

    fn read_response(&mut self, deadline: Instant) -> Result<(u16, Vec<u8>, bool), ReadError> {
        loop {
            if let Some((head, status)) = parse_response(&self.buf)? {
                let body = self.body(&head, RESPONSE_MAX, deadline)?;
                return Ok((status, body, head.close));
            }
            if self.buf.len() > HEAD_MAX {
                return Err(ReadError::TooLarge);
            }
            self.fill(deadline)?;
        }
    }

    /// Whether the other side has closed, or sent something unasked.
    fn stale(&mut self) -> bool {
        let mut byte = [0u8; 1];
        !matches!(self.peek_now(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
            || self.wait_on_it(true).is_err()
    }
}

/// A response as it is sent.
pub fn response(status: u16, retry_after: Option<u32>, body: &[u8], close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + body.len());
    // Writing to memory can't fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason(status));
    let _ = write!(out, "Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len());
    if let Some(s) = retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

fn parse_request(buf: &[u8]) -> Result<Option<(Head, String, String)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let (body_len, close) = lengths(req.headers, true)?;
            let close = close || req.version == Some(0);
            let method = req.method.unwrap_or_default().to_owned();
            let path = req.path.unwrap_or_default().to_owned();
            Ok(Some((Head { length, body_len, close }, method, path)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed),
    }
}

fn parse_response(buf: &[u8]) -> Result<Option<(Head, u16)>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut res = httparse::Response::new(&mut headers);
    match res.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let (body_len, close) = lengths(res.headers, false)?;
            let close = close || res.version == Some(0);
            Ok(Some((Head { length, body_len, close }, res.code.unwrap_or(0))))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ReadError::Malformed),
    }
}

fn lengths(headers: &[httparse::Header<'_>], request: bool) -> Result<(usize, bool), ReadError> {
    let mut length = None;
    let mut close = false;
    for h in headers {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let n = value.parse::<usize>().map_err(|_| ReadError::Malformed)?;
            if length.is_some_and(|l| l != n) {
                return Err(ReadError::Malformed);
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") && request {
            // Lengths are always given here; two ways to say one invite tricks.
            return Err(ReadError::Malformed);
        }
    }
    Ok((length.unwrap_or(0), close))
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

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// It never left: the connection wasn't made.
    NotSent,
    /// It may have arrived, or may yet.
    Unknown,
    /// It arrived, but its answer is malformed or too long: what became of it isn't known.
    Unreadable,
}

/// A client that keeps one connection to one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    conn: Option<(Conn, Instant)>,
}

impl Client {
    /// A client of that address; connects when needed.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None }
    }

    /// Connects, unless a connection is kept.
    pub fn connect(&mut self) -> io::Result<()> {
        if self.conn.is_none() {
            let conn = TcpStream::connect_timeout(&self.addr, CONNECT_TIME).and_then(Conn::new)?;
            self.conn = Some((conn, Instant::now()));
        }
        Ok(())
    }

    /// Asks and waits for the answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let kept = self.conn.take();
        let kept = kept.and_then(|(mut conn, used)| {
            (used.elapsed() < STALE_AFTER || !conn.stale()).then_some((conn, used))
        });
        let mut conn = match kept {
            Some((conn, _)) => conn,
            None => TcpStream::connect_timeout(&self.addr, CONNECT_TIME)
                .and_then(Conn::new)
                .map_err(|_| CallError::NotSent)?,
        };
        let mut out = Vec::with_capacity(160 + body.len());
        let _ = write!(
            out,
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/cbor\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        out.extend_from_slice(body);
        conn.stream.write_all(&out).map_err(|_| CallError::Unknown)?;
        let answer = conn.read_response(Instant::now() + timeout);
        let (status, body, close) = answer.map_err(|e| match e {
            ReadError::Malformed | ReadError::TooLarge => CallError::Unreadable,
            _ => CallError::Unknown,
        })?;
        if !close {
            self.conn = Some((conn, Instant::now()));
        }
        Ok((status, body))
    }
}
