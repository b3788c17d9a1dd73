//! Limits for user requests, and timing of heartbeats between controllers.

/// Maximum number of submissions and cancellations waiting for the store at each controller;
/// further ones are told to retry later. This is what the store takes from one controller in a
/// second if it takes 60 to 90 changes from all.
pub const USER_WRITES_MAX: usize = 24;
/// Maximum number of waiting polls; further ones are told to retry later. A controller has threads
/// for some hundreds of concurrent users, and one check answers dozens of polls.
pub const POLLS_MAX: usize = 400;
/// `Retry-After` value while the store is unreachable, in seconds: an outage ends without notice,
/// and this is the minimum that users wait anyway.
pub const RETRY_STORE_S: u32 = 1;
/// `Retry-After` value for a cancellation that another cell must confirm, in seconds: that cell's
/// leader is asked once a second and has to write its record.
pub const RETRY_OTHER_CELL_S: u32 = 2;
/// `Retry-After` value when this controller is overloaded, in seconds.
pub const RETRY_FULL_S: u32 = 2;
/// Number of final answers cached; others are read from the store. A fleet of four thousand
/// machines finishes six jobs a second, and users poll again for minutes: this covers about a
/// quarter of an hour, in less than two MB.
pub const FINALS_KEPT: usize = 6_000;
/// Interval at which the leader sends job progress to the followers, in seconds: status may lag
/// three seconds, and progress is for display only.
pub const PROGRESS_EVERY_S: f64 = 1.0;
/// Every such number of progress rounds all jobs are sent, in case an earlier message was lost.
pub const PROGRESS_ALL_EVERY: u32 = 8;
/// Interval of heartbeats between controllers, in seconds.
pub const HEARTBEAT_EVERY_S: f64 = 1.0;
/// Interval of heartbeats between controllers while a restarted process waits to learn that there
/// is no leader, in seconds.
pub const HEARTBEAT_FIRST_S: f64 = 0.3;
/// Maximum transit time assumed for a peer's message, in seconds: a message received later than
/// this after a watch update was sent after that update.
pub const PEER_REPORT_DELAY_S: f64 = 0.5;
/// How long a peer's report on whether the store serves it is trusted, in seconds.
pub const HEARTBEAT_FRESH_S: f64 = 2.5;
