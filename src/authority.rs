//! Until when this process may act for the controllers, as its owner last knew.
//!
//! A process may stand still for seconds between a decision and the moment its
//! bytes leave, while its grant ends and another leads. So whatever only a
//! leader may say is checked against this right before it is sent, not only
//! where it was decided.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// The right to act, shared between the owner and those who send.
#[derive(Clone, Debug, Default)]
pub struct Authority(Arc<Mutex<Option<(u64, Instant)>>>);

impl Authority {
    /// What the owner knows now: term and end, if it leads.
    pub fn set(&self, held: Option<(u64, Instant)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = held;
    }

    /// The term in which we may act now.
    pub fn term(&self) -> Option<u64> {
        let held = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        held.filter(|(_, until)| Instant::now() < *until).map(|(term, _)| term)
    }

    /// Whether we may act now, and in that term.
    pub fn holds(&self, term: u64) -> bool {
        self.term() == Some(term)
    }
}

#[cfg(test)]
#[path = "tests/authority.rs"]
mod tests;
