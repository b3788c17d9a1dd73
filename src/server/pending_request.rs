//! A connection that has become readable, on its way through the server's threads.

use super::connection_table::ClientKind;
use crate::http::{Connection, Request};
use std::time::Instant;

/// The part of a response that the socket didn't take at once.
pub struct UnsentResponse {
    /// What is left to be sent.
    pub bytes: Vec<u8>,
    /// Whether the connection closes then.
    pub close: bool,
}

/// A request that arrives, with its connection.
pub struct PendingRequest {
    /// The connection's slot.
    pub slot: usize,
    /// The connection.
    pub connection: Connection,
    /// Who is at the other end.
    pub client: ClientKind,
    /// When the poll announced it.
    pub since: Instant,
    /// The request, if it was read already.
    pub request: Option<Request>,
    /// Its response, if it was answered but not sent whole.
    pub unsent: Option<UnsentResponse>,
}

impl PendingRequest {
    /// A request of which nothing was read yet.
    pub fn new(slot: usize, connection: Connection, client: ClientKind) -> Self {
        Self { slot, connection, client, since: Instant::now(), request: None, unsent: None }
    }
}
