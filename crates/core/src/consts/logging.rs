//! Rate limits and intervals of the log.

/// Rate limit of info lines per second, on average. A zone of a thousand machines that is cut off
/// makes as many starts unconfirmed at once, and logging each of them helps nobody. A line costs
/// some 10 us of a core, so this rate takes 0.02%.
pub const INFO_LINES_PER_S: f64 = 20.0;
/// Burst size of the rate limit of info lines.
pub const INFO_LINES_BURST: f64 = 60.0;
/// Interval at which a leader logs its counters of messages to workers, in seconds.
pub const WORKER_MESSAGES_LOG_S: f64 = 60.0;
