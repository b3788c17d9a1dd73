//! Until when this process may act as leader, as the event loop last knew.
//!
//! A process may stand still for seconds between a decision and the moment its
//! bytes leave, while its store lease ends and another leads. So whatever only a
//! leader may send is checked against this right before it is sent, not only
//! where it was decided.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A leader's right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// Its term, which is its first fencing token.
    pub term: u64,
    /// Its highest fencing token: it alone took all from its term to this.
    pub highest_fencing_token: u64,
    /// When the right ends.
    pub valid_until: Instant,
}

/// The right to act, shared between the event loop and those who send.
#[derive(Clone, Debug, Default)]
pub struct Authority(Arc<Mutex<Option<Leadership>>>);

impl Authority {
    /// Replaces the right to act; `None`: this process doesn't lead.
    pub fn set(&self, leadership: Option<Leadership>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = leadership;
    }

    /// The term in which this process may act now.
    pub fn term(&self) -> Option<u64> {
        self.current().map(|leadership| leadership.term)
    }

    /// Whether this process may act now, and that fencing token is one of its own.
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
