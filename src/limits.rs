//! Limits, timeouts and shares used outside the core, each with unit and reason.

use std::time::Duration;

/// Largest request body (given by the protocol), bytes.
pub const REQUEST_BODY_MAX: usize = 64 * 1024;
/// Largest request or response head, bytes: the heads of this program and of the services that it
/// calls are short.
pub const HEAD_MAX: usize = 8 * 1024;
/// Maximum number of headers in a head.
pub const HEADERS_MAX: usize = 48;
/// Largest response body accepted, bytes: the protocol doesn't limit a watch answer, but memory
/// is limited.
pub const RESPONSE_BODY_MAX: usize = 8 * 1024 * 1024;
/// A request must be complete within this time after its first byte.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a thread waits for a request that the readiness poll reported: longer than the delay
/// of a packet, but short, as the poll's event may be stale.
pub const READ_SLICE: Duration = Duration::from_millis(250);
/// Minimum time after which an idle connection is closed: users poll every 5 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// Minimum idle time in heartbeat intervals, so that workers' connections stay open.
pub const IDLE_HEARTBEATS: f64 = 3.0;
/// Write timeout of a socket.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a request waits for the core's answer before it gets a 503: workers wait 4 s.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Answers to requests older than this are discarded: users wait 5 s for a submission and 2 s for
/// a poll, workers 4 s, and only a process that was paused is this late. It is more than the
/// event loop may normally take (`ANSWER_TIMEOUT`).
pub const ANSWER_MAX_AGE: Duration = Duration::from_millis(3_700);
/// A request that waited this long for a thread is told to retry later: users give up a poll
/// after 2 s.
pub const QUEUED_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Stack size of a thread, bytes (only pages that are touched use memory).
pub const THREAD_STACK_BYTES: usize = 160 * 1024;
/// Maximum number of pool threads. The operators limit a process to 2,000 threads; this leaves
/// ample room for the links and the async runtimes.
pub const THREADS_MAX: usize = 1_000;
/// Share of the memory limit for threads.
pub const THREADS_SHARE: f64 = 0.15;
/// Memory used by a thread, including the touched part of its stack and its buffers, KB.
pub const THREAD_KB: f64 = 48.0;
/// Share of the threads that serve users; these wait for the key-value store.
pub const USER_THREADS_SHARE: f64 = 0.45;
/// Share of the threads that serve workers; these wait only for the event loop.
pub const WORKER_THREADS_SHARE: f64 = 0.15;
/// Share of the threads that send commands to workers; an unreachable worker occupies one for two
/// seconds.
pub const COMMAND_THREADS_SHARE: f64 = 0.4;
/// A pool thread exits after being idle for this long.
pub const POOL_IDLE: Duration = Duration::from_secs(15);
/// Share of the memory limit for connections.
pub const CONNECTIONS_SHARE: f64 = 0.25;
/// Memory of an idle connection with its buffer, KB.
pub const CONNECTION_KB: f64 = 6.0;
/// Sockets reserved for connections other than clients' connections and commands to workers:
/// key-value store, cloud, peers (incoming and outgoing), listeners, polls, and connections
/// accepted beyond the limit.
pub const RESERVED_SOCKETS: usize = 80;
/// Above this share of the connection limit, users' connections are closed after each response:
/// every worker needs a connection, and users can connect to another controller.
pub const USER_KEEP_ALIVE_SHARE: f64 = 0.6;
/// Above this share, workers' connections are closed after each response too: a fleet may have
/// more machines than a controller has sockets.
pub const WORKER_KEEP_ALIVE_SHARE: f64 = 0.85;
/// Share of the connections on which workers may wait for an answer that is held until there is a
/// start to send. The others remain for users and for workers that connect.
pub const HELD_HEARTBEATS_SHARE: f64 = 0.4;
/// Share of the sockets left free in addition: connections that wait to be accepted count too,
/// and a link that reconnects while a fleet moves to this controller needs a free socket.
pub const SPARE_SOCKETS_SHARE: f64 = 0.06;
/// Connections accepted beyond the limit, for one response each.
pub const EXTRA_CONNECTIONS: usize = 32;
/// Listen backlog: a fleet of six thousand workers that moves to this controller connects within
/// a second or two. The kernel may allow fewer.
pub const LISTEN_BACKLOG: i32 = 8_192;
/// Maximum number of events per call of the readiness poll.
pub const POLL_EVENTS: usize = 256;
/// The listener's token in the readiness poll.
pub const LISTENER_TOKEN: mio::Token = mio::Token(usize::MAX);
/// Number of bits of a connection's token that contain its slot; the others contain the slot's
/// generation.
pub const SLOT_BITS: usize = 20;
/// Mask of the slot bits.
pub const SLOT_MASK: usize = (1 << SLOT_BITS) - 1;
/// Mask of the generation, which keeps tokens below the listener's.
pub const GENERATION_MASK: u32 = 0x7fff_ffff;
/// Interval of the check for idle connections.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Wait after the readiness poll failed.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Buffer that an idle connection may keep, bytes: the typical size of a heartbeat.
pub const IDLE_BUFFER_BYTES: usize = 2 * 1024;
/// Capacity of the event loop's queue: more than all threads together can have in flight, so that
/// there is always room for heartbeats.
pub const EVENT_QUEUE_LEN: usize = 1_024;
/// Queue length from which polls and cancellations are refused: heartbeats have priority.
pub const QUEUE_LEN_FOR_POLLS: usize = 640;
/// Queue length from which submissions are refused: polls have priority.
pub const QUEUE_LEN_FOR_SUBMISSIONS: usize = 320;
/// Maximum number of messages in a batch: on a small CPU each takes a good part of a millisecond,
/// and timers run only after the batch.
pub const EVENT_BATCH: usize = 64;
/// Capacity of the queue for answers of the key-value store: one for each of its threads, and
/// some to spare.
pub const PRIORITY_QUEUE_LEN: usize = 16;
/// Threads that make requests to the key-value store: more than the leader's reads of uncertain
/// records may occupy (`UNCERTAIN_READS_MAX`).
pub const STORE_THREADS: usize = 4;
/// Capacity of each queue to the key-value store; further requests are refused immediately.
pub const STORE_QUEUE_LEN: usize = 64;
/// Threads that make requests to the cloud.
pub const CLOUD_THREADS: usize = 2;
/// Capacity of the queue to the cloud.
pub const CLOUD_QUEUE_LEN: usize = 16;
/// Timeout of connecting to the key-value store, a worker, the cloud or another cell.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a request to the key-value store: an answer usually takes 10 ms, at times a few
/// hundred.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a request for a store lease: shorter, so that there is time for another renewal.
pub const STORE_LEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two watches: it batches changes that are made close together, and each watch
/// counts against the key-value store's rate limit.
pub const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Initial backoff of a failed watch: short, because a leader's copy becomes outdated meanwhile.
pub const WATCH_RETRY_FIRST: Duration = Duration::from_millis(150);
/// Maximum backoff: it doubles with each consecutive failure up to this.
pub const WATCH_RETRY_MAX: Duration = Duration::from_millis(600);
/// After this many unreadable answers in a row all watched keys are read again: the cause may be
/// one change that can't be decoded, or more changes than fit in an answer.
pub const WATCH_UNREADABLE_MAX: u32 = 3;
/// Timeout of a request to the cloud.
pub const CLOUD_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of commands to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A persistent connection that was idle for longer is checked for closure before it is used
/// again.
pub const STALE_AFTER: Duration = Duration::from_millis(800);
/// Timeout of a call to another controller.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// Capacity of the queue of messages to the other controllers.
pub const PEER_QUEUE_LEN: usize = 64;
/// Capacity of the queue of requests to another cell; further requests are refused and made again
/// later.
pub const CELL_QUEUE_LEN: usize = 64;
/// Maximum number of concurrent requests in flight with another cell, in each direction.
pub const CELL_CALLS_MAX: usize = 16;
/// Timeout of a call to another cell, which writes a record before it answers.
pub const CELL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which another cell's request is answered or refused.
pub const CELL_ANSWER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Maximum HTTP/2 frame size between cells, bytes.
pub const CELL_FRAME_BYTES: u32 = 16 * 1024;
/// Smallest value limit of the key-value store that the records fit into, KiB: a submission with
/// a few dozen DAG dependencies, and a few machines' records.
pub const VALUE_KB_MIN: f64 = 2.0;

/// How the memory, sockets and threads that the settings allow are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShares {
    /// Connections of users, workers and health checks.
    pub connections: usize,
    /// Threads for users.
    pub user_threads: usize,
    /// Threads for workers' heartbeats.
    pub worker_threads: usize,
    /// Threads for commands to workers, each with a socket.
    pub command_threads: usize,
    /// Heartbeats whose answers wait for a start, each with a connection.
    pub held_heartbeats: usize,
}

impl ResourceShares {
    /// Divides a controller's memory and sockets. If there is little of either, the service is
    /// degraded but every share stays above zero.
    pub fn of(memory_mb: f64, sockets: usize) -> Self {
        let kb = memory_mb.max(0.0) * 1024.0;
        let by_memory = (kb * THREADS_SHARE / THREAD_KB) as usize;
        let threads = by_memory.min(THREADS_MAX).min(sockets / 4);
        let share = |of: f64| ((threads as f64 * of) as usize).max(4);
        let command_threads = share(COMMAND_THREADS_SHARE);
        let spare = (sockets as f64 * SPARE_SOCKETS_SHARE) as usize;
        let by_sockets = sockets.saturating_sub(RESERVED_SOCKETS + command_threads + spare);
        let by_memory = (kb * CONNECTIONS_SHARE / CONNECTION_KB) as usize;
        let connections = by_memory.min(by_sockets).clamp(16, SLOT_MASK);
        Self {
            connections,
            user_threads: share(USER_THREADS_SHARE),
            worker_threads: share(WORKER_THREADS_SHARE),
            command_threads,
            held_heartbeats: (connections as f64 * HELD_HEARTBEATS_SHARE) as usize,
        }
    }
}

#[cfg(test)]
#[path = "tests/limits.rs"]
mod tests;
