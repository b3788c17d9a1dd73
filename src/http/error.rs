//! Errors of reading a message and of making a call.

use std::io;

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection before a message began.
    #[error("connection closed before a message began")]
    Closed,
    /// The message did not arrive in time.
    #[error("timed out")]
    TooSlow,
    /// No message has begun.
    #[error("no message has begun")]
    Nothing,
    /// Not in the subset of HTTP/1.1 that this program supports.
    #[error("malformed message")]
    Malformed,
    /// The message exceeds a size limit.
    #[error("message too large")]
    TooLarge,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
}

/// Why a client's call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request was not sent: no connection was available.
    #[error("request not sent")]
    NotSent,
    /// The request may have arrived, or may still arrive.
    #[error("no response")]
    Unknown,
    /// The request arrived, but the response is malformed or too large, so its outcome is
    /// unknown.
    #[error("unreadable response")]
    Unreadable,
}
