//! Constants of the shell round the core, with unit and reason.

use std::time::Duration;

/// Largest request body (protocol page), bytes.
pub const REQUEST_BODY_MAX: usize = 64 * 1024;
/// Largest request or response head, bytes: ours and our partners' are short.
pub const HEAD_MAX: usize = 8 * 1024;
/// Headers in a head at most.
pub const HEADERS_MAX: usize = 48;
/// Largest response taken from a partner, bytes: a watch answer has no limit
/// of its own, and memory has.
pub const RESPONSE_BODY_MAX: usize = 8 * 1024 * 1024;
/// A request must be whole this long after its first byte.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// A thread waits this long for a request that the readiness poll announced:
/// longer than a packet takes, short as the poll's event may be an old one.
pub const READ_SLICE: Duration = Duration::from_millis(250);
/// A connection without requests is closed after this, at least: polls come
/// every 5 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// And at least after so many heartbeat intervals: workers' stay open.
pub const IDLE_HEARTBEATS: f64 = 3.0;
/// An answer must be taken within this.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection waits this long for the core, then says 503: workers wait 4 s.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// An answer found longer ago than this is not given any more: users wait 5 s
/// for a submission and 2 s for a poll, workers 4 s, and only a process that
/// stood still is so late. More than the event loop may take when all goes well.
pub const ANSWER_MAX_AGE: Duration = Duration::from_millis(3_700);
/// A request that waited so long for a thread is told to come back: a poll is
/// given up after 2 s.
pub const QUEUED_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Stack of a thread, bytes (only what is touched is held).
pub const THREAD_STACK_BYTES: usize = 160 * 1024;
/// Threads that the program may have, of the 2,000 that a process may (what
/// operators wrote), so that links and runtime never come near it.
pub const THREADS_MAX: usize = 1_000;
/// Share of the memory limit that threads may take.
pub const THREADS_SHARE: f64 = 0.15;
/// Memory of a thread with what it touches of its stack and buffers, KB.
pub const THREAD_KB: f64 = 48.0;
/// Share of the threads that serve users: they wait for the key-value store.
pub const USER_THREADS_SHARE: f64 = 0.45;
/// Share of the threads that serve workers: they wait for the event loop only.
pub const WORKER_THREADS_SHARE: f64 = 0.15;
/// Share of the threads that carry commands to workers: a silent worker holds one
/// for two seconds.
pub const COMMAND_THREADS_SHARE: f64 = 0.4;
/// A thread of a pool ends when it had nothing to do for so long.
pub const POOL_IDLE: Duration = Duration::from_secs(15);
/// Share of the memory limit that connections may take.
pub const CONNECTIONS_SHARE: f64 = 0.25;
/// Memory of an idle connection with its buffer, KB.
pub const CONNECTION_KB: f64 = 6.0;
/// Sockets kept for the program's own connections besides commands to
/// workers: key-value store, cloud, peers (theirs and ours), listeners, polls, guests.
pub const RESERVED_SOCKETS: usize = 80;
/// Beyond this share of the connections allowed, those of users are closed
/// after each answer: every worker needs one, and users can connect elsewhere.
pub const CROWDED_SHARE: f64 = 0.6;
/// Beyond this share workers' are closed after each answer too: a fleet may
/// have more machines than a controller has sockets.
pub const FULL_SHARE: f64 = 0.85;
/// Share of the sockets left free besides: connections that wait to be accepted
/// count too, and a link that must connect anew while a fleet changes its
/// controller must find one.
pub const SPARE_SOCKETS_SHARE: f64 = 0.06;
/// Connections accepted beyond the bound, for one answer each.
pub const EXTRA_CONNECTIONS: usize = 32;
/// Connections that the system holds for us until we accept them: a fleet of six thousand
/// that changes its controller comes within a second or two (the system may allow fewer).
pub const LISTEN_BACKLOG: i32 = 8_192;
/// Events taken from the readiness poll at once.
pub const POLL_EVENTS: usize = 256;
/// The listener's token in the readiness poll.
pub const LISTENER_TOKEN: mio::Token = mio::Token(usize::MAX);
/// Bits of a connection's token that are its slot; the rest is the slot's generation.
pub const SLOT_BITS: usize = 20;
/// Those bits.
pub const SLOT_MASK: usize = (1 << SLOT_BITS) - 1;
/// Keeps the generation below the listener's token.
pub const GENERATION_MASK: u32 = 0x7fff_ffff;
/// How often connections are looked over for idle ones.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Wait after a poll or an accept that failed.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Buffer that an idle connection may keep, bytes: a heartbeat's usual size.
pub const IDLE_BUFFER_BYTES: usize = 2 * 1024;
/// Messages that may wait for the event loop: more than all threads together can have
/// under way, so that heartbeats always find room.
pub const EVENT_QUEUE_LEN: usize = 1_024;
/// Polls and cancels are refused when so many wait already: heartbeats outrank them.
pub const QUEUE_LEN_FOR_POLLS: usize = 640;
/// Submissions are refused when so many wait already: polls outrank them.
pub const QUEUE_LEN_FOR_SUBMISSIONS: usize = 320;
/// Messages taken in one batch: on a small processor each takes a good part of a
/// millisecond, and what is due comes after the batch.
pub const EVENT_BATCH: usize = 64;
/// Answers of the key-value store that may wait: one for each of its threads and some to
/// spare.
pub const PRIORITY_QUEUE_LEN: usize = 16;
/// Threads that make requests of the key-value store: more than the leader's reads of
/// uncertain records may take (`UNCERTAIN_READS_MAX`).
pub const STORE_THREADS: usize = 4;
/// Requests that may wait for them; more are refused at once.
pub const STORE_QUEUE_LEN: usize = 64;
/// Threads that ask the cloud.
pub const CLOUD_THREADS: usize = 2;
/// Requests that may wait for them.
pub const CLOUD_QUEUE_LEN: usize = 16;
/// Connecting to the key-value store, a worker or the cloud.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Answer of the key-value store: usually 10 ms, at times a few hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Answer to the renewal of a store lease: less, so that there is time for another.
pub const STORE_LEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two watches: changes that come together are taken together,
/// and each opened watch counts as a request of the key-value store.
pub const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Wait before a failed watch is tried again for the first time: short, since a leader's
/// copy grows old meanwhile.
pub const WATCH_RETRY_FIRST: Duration = Duration::from_millis(150);
/// The wait doubles with each failure in a row, up to this.
pub const WATCH_RETRY_MAX: Duration = Duration::from_millis(600);
/// After so many unreadable answers in a row all watched keys are read anew: what can't be
/// read may be one change, or more of them than an answer may hold.
pub const WATCH_UNREADABLE_MAX: u32 = 3;
/// Answer of the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(3);
/// Answer of a worker to commands.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A kept connection idle longer is looked at before it is used again.
pub const STALE_AFTER: Duration = Duration::from_millis(800);
/// Answer of another controller.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Messages to the other controllers that may wait.
pub const PEER_QUEUE_LEN: usize = 64;
/// Requests to another cell that may wait: more are refused, and made again later.
pub const CELL_QUEUE_LEN: usize = 64;
/// Requests under way with another cell at once, in either direction.
pub const CELL_CALLS_MAX: usize = 16;
/// Answer of another cell: it writes a record first.
pub const CELL_TIMEOUT: Duration = Duration::from_secs(4);
/// Within this a request of another cell is answered, or told to come back.
pub const CELL_ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Frames between cells, bytes.
pub const CELL_FRAME_BYTES: u32 = 16 * 1024;
/// Least value limit of the key-value store that our records fit, KiB: a submission with
/// a few dozen DAG dependencies, and a few machines' records.
pub const VALUE_KB_MIN: f64 = 2.0;

/// How the memory, the sockets and the threads that the settings allow are
/// shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Connections of users, workers and health checks.
    pub connections: usize,
    /// Threads for users.
    pub user_threads: usize,
    /// Threads for workers' heartbeats.
    pub worker_threads: usize,
    /// Threads, each with a socket, for commands to workers.
    pub command_threads: usize,
}

impl ResourceShares {
    /// Shares out what a controller has. Little of either means a degraded
    /// service, never none.
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let kb = memory_mb.max(0.0) * 1024.0;
        let by_memory = (kb * THREADS_SHARE / THREAD_KB) as usize;
        let threads = by_memory.min(THREADS_MAX).min(sockets / 4);
        let share = |of: f64| ((threads as f64 * of) as usize).max(4);
        let command_threads = share(COMMAND_THREADS_SHARE);
        let spare = (sockets as f64 * SPARE_SOCKETS_SHARE) as usize;
        let by_sockets = sockets.saturating_sub(RESERVED_SOCKETS + command_threads + spare);
        let by_memory = (kb * CONNECTIONS_SHARE / CONNECTION_KB) as usize;
        Self {
            connections: by_memory.min(by_sockets).clamp(16, SLOT_MASK),
            user_threads: share(USER_THREADS_SHARE),
            worker_threads: share(WORKER_THREADS_SHARE),
            command_threads,
        }
    }
}

#[cfg(test)]
#[path = "tests/limits.rs"]
mod tests;
