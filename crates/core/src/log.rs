//! Lines for the log: what was decided, and why.
//!
//! Lines of level [`Level::Info`] are what an operator needs to see who led and what was at
//! risk. Their number is bounded per second, whatever the size of the fleet; what exceeds the
//! bound is counted. Lines of level [`Level::Debug`] are put together only if they are wanted.

use crate::consts::{INFO_LINES_BURST, INFO_LINES_PER_S};
use crate::event::Secs;

/// How much a line matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Always written.
    Info,
    /// Written where every decision is wanted.
    Debug,
}

/// A line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// How much it matters.
    pub level: Level,
    /// `event=name key=value ...`.
    pub text: String,
}

/// Lines until they are taken.
#[derive(Debug)]
pub struct Log {
    debug_wanted: bool,
    lines: Vec<LogLine>,
    /// Info lines that may be written now.
    allowance: f64,
    allowance_at: Secs,
    /// Info lines left out for the bound.
    suppressed: u64,
}

impl Log {
    /// A log that keeps debug lines if they are wanted.
    pub fn new(debug_wanted: bool) -> Self {
        Self {
            debug_wanted,
            lines: Vec::new(),
            allowance: INFO_LINES_BURST,
            allowance_at: 0.0,
            suppressed: 0,
        }
    }

    /// Adds a debug line.
    pub fn push(&mut self, line: impl FnOnce() -> String) {
        if self.debug_wanted {
            self.lines.push(LogLine { level: Level::Debug, text: line() });
        }
    }

    /// Adds an info line, unless too many came lately.
    pub fn info(&mut self, now: Secs, line: impl FnOnce() -> String) {
        let earned = (now - self.allowance_at).max(0.0) * INFO_LINES_PER_S;
        self.allowance = (self.allowance + earned).min(INFO_LINES_BURST);
        self.allowance_at = now;
        if self.allowance < 1.0 {
            self.suppressed += 1;
            return;
        }
        self.allowance -= 1.0;
        self.lines.push(LogLine { level: Level::Info, text: line() });
    }

    /// How many info lines were left out so far.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Takes over the lines of another log that ends.
    pub fn append(&mut self, mut other: Vec<LogLine>) {
        self.lines.append(&mut other);
    }

    /// The lines since the last call.
    pub fn take(&mut self) -> Vec<LogLine> {
        std::mem::take(&mut self.lines)
    }
}
