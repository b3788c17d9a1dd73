//! The log.

/// Info lines a second at most, in the mean: a zone of a thousand machines that is cut off
/// makes as many starts unconfirmed at once, and a log of them all helps nobody. A line costs
/// some 10 us of a core, so this is 0.02%.
pub const INFO_LINES_PER_S: f64 = 20.0;
/// Info lines that may come at once.
pub const INFO_LINES_BURST: f64 = 60.0;
/// How often a leader tells its counters of unconfirmed starts, seconds.
pub const UNCONFIRMED_LOG_S: f64 = 60.0;
