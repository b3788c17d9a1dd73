//! The authority to act as leader and its expiry, as last published by the event loop.
//!
//! A process may be paused for seconds between a decision and the write to the socket. Its store
//! lease may expire meanwhile and another controller take over. So every message that only a
//! leader may send is checked against this authority immediately before it is sent, and not only
//! where it was decided.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A leader's term, fencing tokens and expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The leader's term, which is also its first fencing token.
    pub term: u64,
    /// The leader's highest fencing token: all tokens from the term to this one are its own.
    pub highest_fencing_token: u64,
    /// When the authority expires.
    pub valid_until: Instant,
}

/// The current leadership, shared between the event loop and the threads that send.
#[derive(Clone, Debug, Default)]
pub struct Authority(Arc<Mutex<Option<Leadership>>>);

impl Authority {
    /// Replaces the leadership; `None` if this process doesn't lead.
    pub fn set(&self, leadership: Option<Leadership>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = leadership;
    }

    /// The term in which this process leads now, if it does.
    pub fn term(&self) -> Option<u64> {
        self.current().map(|leadership| leadership.term)
    }

    /// Whether this process leads now and `fencing_token` is one of its own.
    pub fn permits(&self, fencing_token: u64) -> bool {
        self.current().is_some_and(|leadership| {
            (leadership.term..=leadership.highest_fencing_token).contains(&fencing_token)
        })
    }

    fn current(&self) -> Option<Leadership> {
        let leadership = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        leadership.filter(|leadership| Instant::now() < leadership.valid_until)
    }
}

#[cfg(test)]
#[path = "tests/authority.rs"]
mod tests;
