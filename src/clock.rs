//! The monotonic clock of the process, in the core's unit: seconds since startup.

use marblebarrow_core::event::Secs;
use std::time::{Duration, Instant};

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self(Instant::now())
    }
    /// Seconds since the start.
    pub fn now(self) -> Secs {
        self.0.elapsed().as_secs_f64()
    }
    /// The instant that is `secs` after the start.
    pub fn at(self, secs: Secs) -> Instant {
        self.0 + Duration::from_secs_f64(secs.max(0.0))
    }
}
