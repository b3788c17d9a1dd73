//! Record format versions during a rolling upgrade.

use super::HEARTBEAT_FRESH_S;

/// Format number of the records and requests that this version reads and writes; format 2 added DAG
/// dependencies (`waits_on`). It is raised by each change that an older version would misread.
pub const FORMAT: u32 = 2;
/// Format of a version that announces none: the version in production before formats were
/// introduced.
pub const PRODUCTION_FORMAT: u32 = 1;
/// Format that every controller must support before users may submit DAG dependencies.
pub const DEPENDENCIES_FORMAT: u32 = 2;
/// A controller not heard from for longer than this is shown as unreachable, and the time it has
/// been seen for restarts when it is heard again, in seconds. Same as the lifetime of its report on
/// the store, over two heartbeats.
pub const MEMBER_FRESH_S: f64 = HEARTBEAT_FRESH_S;
