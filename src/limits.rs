//! Constants of the shell round the core, with unit and reason.

use std::time::Duration;

/// Largest request body (protocol page), bytes.
pub const BODY_MAX: usize = 64 * 1024;
/// Largest request or response head, bytes: ours and our partners' are short.
pub const HEAD_MAX: usize = 8 * 1024;
/// Headers in a head at most.
pub const HEADERS_MAX: usize = 48;
/// Largest response taken from a partner, bytes: a watch answer has no limit
/// of its own, and memory has.
pub const RESPONSE_MAX: usize = 8 * 1024 * 1024;
/// A request must be whole this long after its first byte.
pub const REQUEST_TIME: Duration = Duration::from_secs(4);
/// A connection without requests is closed after this: polls come every 5 s,
/// reports more often.
pub const IDLE_TIME: Duration = Duration::from_secs(16);
/// An answer must be taken within this.
pub const WRITE_TIME: Duration = Duration::from_secs(3);
/// A connection waits this long for the core, then says 503: workers wait 4 s.
pub const ANSWER_TIME: Duration = Duration::from_millis(3_500);
/// Stack of a connection's thread, bytes (only what is touched is held).
pub const STACK: usize = 160 * 1024;
/// Share of the memory limit that connections may take.
pub const CONNECTIONS_SHARE: f64 = 0.7;
/// Memory of a connection with its thread and buffers, KB: simulated days with
/// 530 to 830 of them came to 45 to 58 KB each, all else included.
pub const CONNECTION_KB: f64 = 60.0;
/// Sockets kept for the program's own connections: state service, cloud,
/// peers, direct commands, listeners.
pub const OWN_SOCKETS: usize = 112;
/// Beyond this share of the connections allowed, those of users are closed
/// after each answer: every worker needs one, and users can connect elsewhere.
pub const CROWDED_SHARE: f64 = 0.6;
/// Events that may wait for the owner.
pub const QUEUE: usize = 1_024;
/// Polls and cancels are refused when so many wait already: reports outrank them.
pub const QUEUE_POLL: usize = 640;
/// Submissions are refused when so many wait already: polls outrank them.
pub const QUEUE_SUBMIT: usize = 320;
/// Events taken in one batch.
pub const BATCH: usize = 256;
/// Threads that ask the state service.
pub const STORE_THREADS: usize = 4;
/// Requests that may wait for them; more are refused at once.
pub const STORE_QUEUE: usize = 64;
/// Threads that ask the cloud.
pub const CLOUD_THREADS: usize = 2;
/// Requests that may wait for them.
pub const CLOUD_QUEUE: usize = 16;
/// Connecting to the state service, a worker or the cloud.
pub const CONNECT_TIME: Duration = Duration::from_millis(600);
/// Answer of the state service: usually 10 ms, at times a few hundred.
pub const STORE_TIME: Duration = Duration::from_millis(1_200);
/// Answer to a touch: less, so that there is time for another.
pub const TOUCH_TIME: Duration = Duration::from_millis(800);
/// How long a watch blocks, milliseconds; so short that a watch held by a cut
/// is soon given up.
pub const WATCH_MS: u64 = 2_500;
/// Answer of a watch, beyond its blocking.
pub const WATCH_SLACK: Duration = Duration::from_millis(1_500);
/// Pause between two watches: changes that come together are taken together,
/// and each opened watch counts as a request of the state service.
pub const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Wait before a failed watch is tried again.
pub const WATCH_RETRY: Duration = Duration::from_millis(300);
/// Answer of the cloud.
pub const CLOUD_TIME: Duration = Duration::from_secs(3);
/// Answer of a worker to direct commands.
pub const DIRECT_TIME: Duration = Duration::from_millis(1_500);
/// A thread for direct commands ends when it had nothing to send for so long.
pub const DIRECT_IDLE: Duration = Duration::from_secs(15);
/// A kept connection idle longer is looked at before it is used again.
pub const STALE_AFTER: Duration = Duration::from_millis(800);
/// Answer of another controller.
pub const PEER_TIME: Duration = Duration::from_millis(700);
/// Words to the other controllers that may wait.
pub const PEER_QUEUE: usize = 64;
/// Least value limit of the state service that our records fit, KiB: two bit
/// maps of a part's tasks, and the names of the machines a job may be on.
pub const VALUE_KB_MIN: f64 = 8.0;
