//! Until when this process may act for the controllers, as its owner last knew.
//!
//! A process may stand still for seconds between a decision and the moment its
//! bytes leave, while its grant ends and another leads. So whatever only a
//! leader may say is checked against this right before it is sent, not only
//! where it was decided.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A leadership's right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its term, which is its first token.
    pub term: u64,
    /// Its highest token: it alone took all from its term to this.
    pub highest_token: u64,
    /// When the right ends.
    pub until: Instant,
}

/// The right to act, shared between the owner and those who send.
#[derive(Clone, Debug, Default)]
pub struct Authority(Arc<Mutex<Option<Held>>>);

impl Authority {
    /// What the owner knows now, if it leads.
    pub fn set(&self, held: Option<Held>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = held;
    }

    fn held(&self) -> Option<Held> {
        let held = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        held.filter(|held| Instant::now() < held.until)
    }

    /// The term in which we may act now.
    pub fn term(&self) -> Option<u64> {
        self.held().map(|held| held.term)
    }

    /// Whether we may act now, and that token is one of ours.
    pub fn holds(&self, token: u64) -> bool {
        self.held().is_some_and(|held| (held.term..=held.highest_token).contains(&token))
    }
}

#[cfg(test)]
#[path = "tests/authority.rs"]
mod tests;
