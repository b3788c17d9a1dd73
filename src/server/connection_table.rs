//! All open connections, in slots that are reused.

use crate::http::Connection;
use crate::limits::{GENERATION_MASK, SLOT_BITS, SLOT_MASK};
use mio::Token;
use std::time::{Duration, Instant};

/// Who is at the other end, as its first request shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// It has sent nothing yet.
    Unknown,
    /// A worker or a health check.
    Worker,
    /// A user.
    User,
}

/// A connection without a request.
struct Idle {
    connection: Connection,
    since: Instant,
    client: ClientKind,
}

enum State {
    Free,
    Idle(Idle),
    /// With a thread; `readable_again`: the poll announced more meanwhile.
    Serving {
        readable_again: bool,
    },
}

struct Slot {
    /// Counts the slot's connections, so that a late event of one never reaches the next.
    generation: u32,
    state: State,
}

/// A connection taken out of its slot, to be served.
pub struct Ready {
    /// Its slot, which stays its own.
    pub slot: usize,
    /// The connection.
    pub connection: Connection,
    /// Who is at the other end.
    pub client: ClientKind,
}

/// All open connections, by slot.
#[derive(Default)]
pub struct ConnectionTable {
    slots: Vec<Slot>,
    free: Vec<usize>,
    open: usize,
}

impl ConnectionTable {
    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The name of a slot's connection in the readiness poll.
    pub fn token(&self, slot: usize) -> Token {
        Token((self.slots[slot].generation as usize) << SLOT_BITS | slot)
    }

    /// Takes in a new connection, idle; its slot.
    pub fn insert(&mut self, connection: Connection) -> usize {
        self.open += 1;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, state: State::Free });
            self.slots.len() - 1
        });
        self.set_idle(slot, connection, ClientKind::Unknown);
        slot
    }

    /// Frees a slot; closes its connection if it is idle.
    pub fn remove(&mut self, slot: usize) {
        let freed = &mut self.slots[slot];
        // Events still in hand for this connection must not reach the slot's next.
        freed.generation = freed.generation.wrapping_add(1) & GENERATION_MASK;
        freed.state = State::Free;
        self.free.push(slot);
        self.open -= 1;
    }

    /// Takes the connection that the poll announced as readable, if it is idle.
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

    /// Puts a served connection back, idle; whether the poll announced more meanwhile.
    pub fn put_back(&mut self, slot: usize, connection: Connection, client: ClientKind) -> bool {
        let readable_again =
            matches!(self.slots[slot].state, State::Serving { readable_again: true });
        self.set_idle(slot, connection, client);
        readable_again
    }

    /// Closes the connection of a user that has been idle longest: it can make
    /// another, and who connects now may be a worker whose lease runs out.
    pub fn evict_idle_user(&mut self) -> bool {
        let idle_users = self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let State::Idle(idle) = &slot.state else { return None };
            (idle.client == ClientKind::User).then_some((idle.since, index))
        });
        let Some((_, oldest)) = idle_users.min() else { return false };
        self.remove(oldest);
        true
    }

    /// Closes what has been idle for longer than `limit`.
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
