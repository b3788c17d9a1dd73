//! A connection that has become readable, with the state of its request.

use super::connection_table::ClientKind;
use crate::http::{Connection, Request};
use std::time::Instant;

/// The part of a response that the socket didn't accept immediately.
pub struct UnsentResponse {
    /// The bytes still to be sent.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed afterwards.
    pub close: bool,
}

/// An incoming request with its connection.
pub struct PendingRequest {
    /// The connection's slot.
    pub slot: usize,
    /// The connection.
    pub connection: Connection,
    /// The kind of client.
    pub client: ClientKind,
    /// When the poll reported the connection readable.
    pub since: Instant,
    /// The request, if it was read already.
    pub request: Option<Request>,
    /// The rest of its response, if it was answered but not completely sent.
    pub unsent: Option<UnsentResponse>,
}

impl PendingRequest {
    /// Creates a request of which nothing has been read yet.
    pub fn new(slot: usize, connection: Connection, client: ClientKind) -> Self {
        Self { slot, connection, client, since: Instant::now(), request: None, unsent: None }
    }
}
