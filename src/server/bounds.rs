//! Bounds of the server.

use std::time::Duration;

/// How many connections and threads there may be, and when idle connections are closed.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at most.
    pub connections: usize,
    /// Threads for users' requests.
    pub user_threads: usize,
    /// Threads for workers' heartbeats and health checks.
    pub worker_threads: usize,
    /// An idle connection is closed after this.
    pub idle_timeout: Duration,
}
