//! Requests to the state service and the sizes and write rates of its records.

/// Number of consecutive failures after which the controller treats the store as unavailable.
pub const STORE_UNAVAILABLE_AFTER: u32 = 2;
/// Interval at which a controller without other store traffic probes the store, in seconds.
pub const STORE_PROBE_S: f64 = 1.0;
/// Share of the store's change rate that is always available to the leader's records; the rest is
/// for submissions and cancellations at any controller.
pub const LEADER_WRITE_SHARE: f64 = 0.6;
/// Share of the store's change rate that the leader's records may take while users make no changes.
/// The users' change rate is subtracted from it, down to [`LEADER_WRITE_SHARE`].
pub const LEADER_WRITE_MAX: f64 = 0.9;
/// Averaging window of the users' change rate, in seconds.
pub const USER_RATE_S: f64 = 5.0;
/// How long finished tasks are collected before they are written, in seconds. The delay is harmless:
/// only the task lists of their machines wait for this write, and no job's end does, as the record
/// of a job's end covers all its tasks.
pub const FINISH_LAZY_S: f64 = 1.5;
/// How long removed machines are collected before their block is written, in seconds; image changes
/// are collected for longer, see [`IMAGES_WRITE_SHARE`].
pub const BLOCK_LAZY_S: f64 = 4.0;
/// A job's end that has waited this long is written before everything else, in seconds: users must
/// see a final state within three seconds.
pub const CLOSE_LATEST_S: f64 = 1.0;
/// Maximum number of machines whose records share a block. A takeover reads few blocks, and a
/// change of one machine rewrites no more than this many records.
pub const BLOCK_MACHINES: usize = 24;
/// Expected size of a machine's record in a block, in bytes of JSON, including the images it holds.
/// A new block gets as many machines as keep it below the value limit.
pub const MACHINE_RECORD_BYTES: usize = 250;
/// Maximum share of a value that one machine's record may take; beyond it, the least recently held
/// images are left out. At 1/6 of a value each, six records fit into a block, so a block of
/// [`BLOCK_MACHINES`] = 24 machines written by an earlier version or under wider limits splits into
/// at most 24 / 6 = 4 blocks, which fit into one transaction of [`MIN_TXN_CHANGES`] changes.
pub const MACHINE_RECORD_SHARE: f64 = 1.0 / 6.0;
/// Share of the value limit that records fill. The margin is needed because the way the state
/// service encodes JSON (spaces, escapes) is not specified.
pub const VALUE_FILL: f64 = 0.8;
/// Number of changes that a transaction must allow: a block split in four, or a job's end.
pub const MIN_TXN_CHANGES: usize = 4;
/// Number of consecutive refusals after which the size of the next transactions is halved, until
/// one succeeds. A burst of changes by others is over after one or two retries.
pub const REFUSALS_PER_HALVING: u32 = 3;
/// Lower bound of the value limit that the writer falls back to after rejections, in bytes: a
/// submission and a machine's record need about half of it.
pub const VALUE_BYTES_MIN: usize = 1024;
/// Share of the store's change rate available to records that change only in their list of images;
/// a new leader that lacks these fetches an image again. Without this limit, the image changes of
/// hundreds of machines in blocks of six would use up the whole rate of a store that allows 15
/// changes a second.
pub const IMAGES_WRITE_SHARE: f64 = 0.2;
/// Share of the store's request rate available to the transactions that check job states to answer
/// polls, over all controllers. They contain conditions and no writes.
pub const POLL_CHECK_SHARE: f64 = 0.3;
/// Minimum interval between two record transactions, in seconds: at most 20 transactions a second.
pub const FLUSH_EVERY_S: f64 = 0.05;
/// Maximum number of concurrent reads of records of uncertain version: one less than the threads
/// that send store requests, so that a store that answers none of these reads still leaves a thread
/// for users' requests.
pub const UNCERTAIN_READS_MAX: usize = 3;
/// Delay before a refused store request is retried, in seconds.
pub const STORE_RETRY_S: f64 = 0.25;
/// Number of keys requested per page: fits the service's 512 KiB answers and the controller's
/// memory.
pub const PAGE_LIMIT: u32 = 200;
/// Conditions that a transaction may have per allowed change (protocol page).
pub const CONDS_PER_OP: usize = 4;
/// Number of conditions in the check of one DAG dependency: its spec and its final state, both
/// absent (version 0).
pub const CONDS_PER_DEPENDENCY: usize = 2;
/// Size of the values in a transaction, in bytes of JSON, beyond which nothing more is added: below
/// the 64 KiB limit, with room for one more value and for the conditions.
pub const TXN_BYTES: usize = 32 * 1024;
