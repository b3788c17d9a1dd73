//! Resource limits of the HTTP server.

use std::time::Duration;

/// Limits on connections and threads, and the idle timeout.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of connections.
    pub connections: usize,
    /// Threads for users' requests.
    pub user_threads: usize,
    /// Threads for workers' heartbeats and health checks.
    pub worker_threads: usize,
    /// An idle connection is closed after this time.
    pub idle_timeout: Duration,
}
