//! A connection: its socket, the bytes read but not yet consumed, and its blocking mode.

use super::error::ReadError;
use super::parse::Framing;
use crate::limits::{IDLE_BUFFER_BYTES, REQUEST_BODY_MAX, WRITE_TIMEOUT};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsRawFd as _, RawFd};
use std::time::{Duration, Instant};

/// Maximum number of bytes per read from a socket.
const READ_CHUNK: usize = 4096;

/// A connection with a buffer of unconsumed bytes.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: Vec<u8>,
    /// The socket's read timeout, if one was set.
    pub(super) read_timeout: Option<Duration>,
    blocking: bool,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Self { stream, buffer: Vec::new(), read_timeout: None, blocking: true })
    }

    /// The socket's file descriptor, for the readiness poll.
    pub fn fd(&self) -> RawFd {
        self.stream.as_raw_fd()
    }

    /// Whether the buffer contains unconsumed bytes.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Frees buffer memory that an idle connection doesn't need.
    pub fn shrink_idle_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > IDLE_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
    }

    /// Sends as much as the socket accepts without blocking; returns the number of bytes sent.
    pub fn try_send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.set_blocking(false)?;
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

    /// Sends all bytes, blocking as needed.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.set_blocking(true)?;
        self.stream.write_all(bytes)
    }

    /// Discards one chunk of received data, without blocking.
    pub fn drain(&mut self) {
        if self.set_blocking(false).is_ok() {
            let mut chunk = [0u8; READ_CHUNK];
            let _ = self.stream.read(&mut chunk);
        }
    }

    pub(super) fn set_blocking(&mut self, blocking: bool) -> io::Result<()> {
        if self.blocking != blocking {
            self.stream.set_nonblocking(!blocking)?;
            self.blocking = blocking;
        }
        Ok(())
    }

    /// Peeks at the next bytes without consuming them or blocking.
    pub(super) fn peek_now(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.set_blocking(false)?;
        self.stream.peek(into)
    }

    /// Reads once into the buffer; [`ReadError::TooSlow`] if nothing arrived within the read
    /// timeout, or immediately on a non-blocking socket.
    pub(super) fn read_some(&mut self) -> Result<(), ReadError> {
        let mut chunk = [0u8; READ_CHUNK];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(ReadError::Closed),
            Ok(n) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(ReadError::TooSlow)
            }
            Err(e) => Err(ReadError::Io(e)),
        }
    }

    /// Reads once into the buffer, waiting until `deadline` at the latest.
    pub(super) fn read_until(&mut self, deadline: Instant) -> Result<(), ReadError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadError::TooSlow);
        }
        // Setting the timeout costs a system call, so the previous timeout is kept if it is
        // within a factor of two.
        if self.read_timeout.is_none_or(|set| set > left + left || set + set < left) {
            self.set_read_timeout(left)?;
        }
        self.read_some()
    }

    pub(super) fn set_read_timeout(&mut self, timeout: Duration) -> Result<(), ReadError> {
        self.stream.set_read_timeout(Some(timeout)).map_err(ReadError::Io)?;
        self.read_timeout = Some(timeout);
        Ok(())
    }

    /// Whether the buffer contains the complete message.
    pub(super) fn contains_message(&self, framing: &Framing) -> bool {
        self.buffer.len() >= framing.message_len()
    }

    /// Consumes a message that is complete in the buffer and returns its body.
    pub(super) fn take_body(&mut self, framing: &Framing) -> Vec<u8> {
        let end = framing.message_len();
        let body = self.buffer[framing.head_len..end].to_vec();
        self.buffer.drain(..end);
        if self.buffer.capacity() > REQUEST_BODY_MAX {
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
        body
    }
}
