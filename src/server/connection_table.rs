//! The table of open connections, in reusable slots.

use crate::http::Connection;
use crate::limits::{GENERATION_MASK, SLOT_BITS, SLOT_MASK};
use mio::Token;
use std::time::{Duration, Instant};

/// The kind of client, determined from its first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// The client has not sent a request yet.
    Unknown,
    /// A worker or a health check.
    Worker,
    /// A user.
    User,
}

/// A connection that waits for a request.
struct Idle {
    connection: Connection,
    since: Instant,
    client: ClientKind,
}

enum State {
    Free,
    Idle(Idle),
    /// Being served by a thread; `readable_again` is set if the poll reported the connection
    /// readable meanwhile.
    Serving {
        readable_again: bool,
    },
}

struct Slot {
    /// Counts the connections that used the slot, so that a late event for one is not taken for
    /// the next.
    generation: u32,
    state: State,
}

/// A connection taken out of the table to be served.
pub struct Ready {
    /// The connection's slot, which stays reserved for it.
    pub slot: usize,
    /// The connection.
    pub connection: Connection,
    /// The kind of client.
    pub client: ClientKind,
}

/// All open connections, indexed by slot.
#[derive(Default)]
pub struct ConnectionTable {
    slots: Vec<Slot>,
    free: Vec<usize>,
    open: usize,
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The readiness poll's token for the connection in `slot`.
    pub fn token(&self, slot: usize) -> Token {
        Token((self.slots[slot].generation as usize) << SLOT_BITS | slot)
    }

    /// Adds a new idle connection and returns its slot.
    pub fn insert(&mut self, connection: Connection) -> usize {
        self.open += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, state: State::Free });
            self.slots.len() - 1
        });
        self.set_idle(slot, connection, ClientKind::Unknown);
        slot
    }

    /// Frees a slot, closing its connection if it is idle.
    pub fn remove(&mut self, slot: usize) {
        let freed = &mut self.slots[slot];
        // Pending events for this connection must not be taken for the slot's next one.
        freed.generation = freed.generation.wrapping_add(1) & GENERATION_MASK;
        freed.state = State::Free;
        self.free.push(slot);
        self.open -= 1;
    }

    /// Takes the connection that the poll reported readable, if it is idle.
    pub fn take_ready(&mut self, token: Token) -> Option<Ready> {
        let slot = token.0 & SLOT_MASK;
        if slot >= self.slots.len() || self.token(slot) != token {
            return None;
        }
        let state = &mut self.slots[slot].state;
        match std::mem::replace(state, State::Serving { readable_again: false }) {
            State::Idle(Idle { connection, client, .. }) => {
                Some(Ready { slot, connection, client })
            }
            State::Serving { .. } => {
                *state = State::Serving { readable_again: true };
                None
            }
            State::Free => {
                *state = State::Free;
                None
            }
        }
    }

    /// Returns a served connection to its slot as idle. Returns whether the poll reported it
    /// readable meanwhile.
    pub fn put_back(&mut self, slot: usize, connection: Connection, client: ClientKind) -> bool {
        let readable_again =
            matches!(self.slots[slot].state, State::Serving { readable_again: true });
        self.set_idle(slot, connection, client);
        readable_again
    }

    /// Closes the user connection that has been idle longest. A user can reconnect, while the new
    /// connection may be of a worker whose lease is about to expire.
    pub fn evict_idle_user(&mut self) -> bool {
        let idle_users = self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let State::Idle(idle) = &slot.state else { return None };
            (idle.client == ClientKind::User).then_some((idle.since, index))
        });
        let Some((_, oldest)) = idle_users.min() else { return false };
        self.remove(oldest);
        true
    }

    /// Closes all connections that have been idle for longer than `limit`.
    pub fn close_idle(&mut self, limit: Duration) {
        for slot in 0..self.slots.len() {
            if let State::Idle(idle) = &self.slots[slot].state
                && idle.since.elapsed() > limit
            {
                self.remove(slot);
            }
        }
    }

    fn set_idle(&mut self, slot: usize, connection: Connection, client: ClientKind) {
        let idle = Idle { connection, since: Instant::now(), client };
        self.slots[slot].state = State::Idle(idle);
    }
}
