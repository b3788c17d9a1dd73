//! Users' requests, and heartbeats between controllers.

/// Submissions and cancels waiting for the store at once, at each controller;
/// more are told to come back. What the store takes from one in a second where
/// it takes 60 to 90 changes from all.
pub const USER_WRITES_MAX: usize = 24;
/// Polls waiting at once; more are told to come back. A controller has threads
/// for some hundreds of users at once, and a check answers dozens of them.
pub const POLLS_MAX: usize = 400;
/// Retry-After given when the store can't be reached, seconds: an outage ends
/// unannounced, and this is the least that users wait anyway.
pub const RETRY_STORE_S: u32 = 1;
/// Retry-After given to a cancellation that another cell must confirm, seconds: its leader
/// is asked once a second, and writes its record.
pub const RETRY_ELSEWHERE_S: u32 = 2;
/// Retry-After given when this controller is too full, seconds.
pub const RETRY_FULL_S: u32 = 2;
/// Final answers remembered; the rest are read from the store. A fleet of four
/// thousand machines ends six jobs a second, and users ask again for minutes:
/// about a quarter of an hour's, in less than two MB.
pub const FINALS_KEPT: usize = 6_000;
/// How often the leader shows the followers progress, seconds: status may lag
/// three seconds, and this is for display only.
pub const PROGRESS_EVERY_S: f64 = 1.0;
/// Every so many such rounds all jobs are shown, as a word may have been lost.
pub const PROGRESS_ALL_EVERY: u32 = 8;
/// How often controllers beat to each other, seconds.
pub const HEARTBEAT_EVERY_S: f64 = 1.0;
/// The same while a fresh process waits to learn that nobody leads.
pub const HEARTBEAT_FIRST_S: f64 = 0.3;
/// How long a peer's word may be under way, seconds: what comes later was said later than the
/// watch's news.
pub const PEER_WORD_DELAY_S: f64 = 0.5;
/// A peer's word on the store is believed for this long, seconds.
pub const HEARTBEAT_FRESH_S: f64 = 2.5;
