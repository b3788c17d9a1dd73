//! The monotonic clock of the process, as the core counts it: seconds since the start.

use marblebarrow_core::event::Secs;
use std::time::{Duration, Instant};

/// The steady clock, counted from when the process began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins to count.
    pub fn start() -> Self {
        Self(Instant::now())
    }
    /// Now.
    pub fn now(self) -> Secs {
        self.0.elapsed().as_secs_f64()
    }
    /// The moment that so many seconds stand for.
    pub fn at(self, secs: Secs) -> Instant {
        self.0 + Duration::from_secs_f64(secs.max(0.0))
    }
}
