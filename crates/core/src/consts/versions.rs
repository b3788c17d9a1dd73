//! Versions during an upgrade.

use super::HEARTBEAT_FRESH_S;

/// What this version's records and requests may hold, a number: 2 knows DAG dependencies
/// (`waits_on`). Raised by a change that an older version would misread.
pub const FORMAT: u32 = 2;
/// The format of a version that announces none: the one in production before formats.
pub const PRODUCTION_FORMAT: u32 = 1;
/// The format that users' DAG dependencies need on every controller.
pub const DEPENDENCIES_FORMAT: u32 = 2;
/// A controller silent for longer is shown as such, and its sighting begins anew when it is
/// heard again, seconds: as long as its word on the store, over two beats.
pub const MEMBER_FRESH_S: f64 = HEARTBEAT_FRESH_S;
