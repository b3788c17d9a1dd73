//! Requests of the state service and records in it.

/// Consecutive failures after which the store counts as refusing us.
pub const STORE_BAD_AFTER: u32 = 2;
/// A controller without other traffic looks at the store this often, seconds.
pub const STORE_PROBE_S: f64 = 1.0;
/// Share of the store's change rate that the leader's records may always take;
/// the rest is for submissions and cancels at any controller.
pub const LEADER_WRITE_SHARE: f64 = 0.6;
/// The share they may take while users leave theirs unused.
pub const LEADER_WRITE_MAX: f64 = 0.9;
/// Users' changes are averaged over this long, seconds.
pub const USER_RATE_S: f64 = 5.0;
/// Finished tasks gather for this long before they are written, seconds: only
/// their machines' lists wait for it, and a job's end carries all of them.
pub const FINISH_LAZY_S: f64 = 1.5;
/// Machines gone gather for so long, seconds; images longer, see [`IMAGES_WRITE_SHARE`].
pub const BLOCK_LAZY_S: f64 = 4.0;
/// A job's end is written before all else when it waited this long, seconds:
/// users may be told three seconds late.
pub const CLOSE_LATEST_S: f64 = 1.0;
/// Machines whose records are written together at most: a takeover reads few blocks, and
/// one change of a machine rewrites no more than this.
pub const BLOCK_MACHINES: usize = 24;
/// What a machine's record takes of a block, bytes of JSON, images it holds included: a
/// new block is given so many machines that it stays below the value limit.
pub const MACHINE_RECORD_BYTES: usize = 250;
/// A machine's record may take this share of a value: images held longest ago are left
/// out beyond. So a block of [`BLOCK_MACHINES`], as an earlier version or wider limits
/// left it, splits into four, which one transaction of [`CHANGES_LEAST`] holds.
pub const MACHINE_RECORD_SHARE: f64 = 1.0 / 6.0;
/// Share of the value limit that records fill: how the state service writes JSON (spaces,
/// escapes) is not ours to know.
pub const VALUE_FILL: f64 = 0.8;
/// Changes that a transaction must allow: a block split in four, or a job's end.
pub const CHANGES_LEAST: usize = 4;
/// After so many refusals in a row the next transactions have half as many changes, until
/// one goes through: a burst of others' changes is over after one or two retries.
pub const REFUSALS_PER_HALVING: u32 = 3;
/// Value limit below which the writer never goes after rejections, bytes: a submission
/// and a machine's record need about half of it.
pub const VALUE_BYTES_LEAST: usize = 1024;
/// Share of the store's change rate that records may take which only list images: a
/// new leader that lacks them fetches an image again. (At 15 changes a second and six
/// machines a block, a fleet of hundreds would take the whole rate for them.)
pub const IMAGES_WRITE_SHARE: f64 = 0.2;
/// Share of the store's request rate for the checks behind polls, over all
/// controllers.
pub const POLL_CHECK_SHARE: f64 = 0.3;
/// Least time between two record transactions, seconds: a few batches a second.
pub const FLUSH_EVERY_S: f64 = 0.05;
/// Reads of records of uncertain version that may be under way at once: one less than the
/// threads that make requests of the store, so that a store that answers none of them still
/// leaves one to users' requests.
pub const UNCERTAIN_READS_MAX: usize = 3;
/// Wait before repeating a refused store request, seconds.
pub const STORE_RETRY_S: f64 = 0.25;
/// Keys asked for in a page: fits the service's 512 KiB answers and our memory.
pub const PAGE_LIMIT: u32 = 200;
/// Conditions of a transaction per change allowed (protocol page).
pub const CONDS_PER_OP: usize = 4;
/// Conditions that a check of one DAG dependency takes: its spec and its final
/// state, both absent (version 0).
pub const CONDS_PER_DEPENDENCY: usize = 2;
/// Bytes of JSON of the values in a transaction, beyond which no more is added: below the
/// 64 KiB limit with room for one more value and for the conditions.
pub const TXN_BYTES: usize = 32 * 1024;
