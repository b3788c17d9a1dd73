//! Lines for the log: what was decided, and why.

/// Lines until they are taken. Where nobody wants them, none is put together.
#[derive(Debug, Default)]
pub struct Log {
    wanted: bool,
    lines: Vec<String>,
}

impl Log {
    /// A log that is kept if it is wanted.
    pub fn new(wanted: bool) -> Self {
        Self { wanted, lines: Vec::new() }
    }

    /// Adds a line.
    pub fn push(&mut self, line: impl FnOnce() -> String) {
        if self.wanted {
            self.lines.push(line());
        }
    }

    /// The lines since the last call.
    pub fn take(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }
}
