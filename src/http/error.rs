//! How reading a message, or a whole call, fails.

use std::io;

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
    /// Not HTTP/1.1 as this program speaks it.
    #[error("malformed")]
    Malformed,
    /// Larger than allowed.
    #[error("too large")]
    TooLarge,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
}

/// How a client's call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request never left: no connection was made.
    #[error("not sent")]
    NotSent,
    /// The request may have arrived, or may yet.
    #[error("no answer")]
    Unknown,
    /// The request arrived, but its response is malformed or too long: its outcome isn't known.
    #[error("unreadable answer")]
    Unreadable,
}
