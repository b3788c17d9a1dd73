//! Log lines that state what was decided and why.
//!
//! Lines of [`Level::Info`] tell an operator which controller led and what was at risk. They are
//! rate-limited independently of the size of the fleet, and suppressed lines are counted. Lines of
//! [`Level::Debug`] are formatted only if debug logging is enabled.

use crate::consts::{INFO_LINES_BURST, INFO_LINES_PER_S};
use crate::event::Secs;

/// Severity of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Always written.
    Info,
    /// Written if debug logging is enabled.
    Debug,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: Level,
    /// The text, in the form `event=name key=value ...`.
    pub text: String,
}

/// Buffer of log lines until they are taken.
#[derive(Debug)]
pub struct Log {
    debug_enabled: bool,
    lines: Vec<LogLine>,
    /// Number of info lines that may be written now.
    allowance: f64,
    allowance_at: Secs,
    /// Number of info lines dropped by the rate limit.
    suppressed: u64,
}

impl Default for Log {
    /// A log without debug lines.
    fn default() -> Self {
        Self::new(false)
    }
}

impl Log {
    /// Creates a log that keeps debug lines only if they are enabled.
    pub fn new(debug_enabled: bool) -> Self {
        Self {
            debug_enabled,
            lines: Vec::new(),
            allowance: INFO_LINES_BURST,
            allowance_at: 0.0,
            suppressed: 0,
        }
    }

    /// Adds a debug line, if these are enabled.
    pub fn debug(&mut self, line: impl FnOnce() -> String) {
        if self.debug_enabled {
            self.lines.push(LogLine { level: Level::Debug, text: line() });
        }
    }

    /// Adds an info line, unless the rate limit is exceeded.
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

    /// Number of info lines dropped so far by the rate limit.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Appends the remaining lines of another log.
    pub fn append(&mut self, mut other: Vec<LogLine>) {
        self.lines.append(&mut other);
    }

    /// Takes the lines that have accumulated since the last call.
    pub fn take(&mut self) -> Vec<LogLine> {
        std::mem::take(&mut self.lines)
    }
}
