//! Limits for DAG dependencies and cascading cancellations.

/// Maximum number of concurrent reads of dependencies' final states. After a takeover the leader
/// reads one for each dependency that finished before it became known to the leader; the bound
/// keeps these reads from exhausting the store's request rate.
pub const DEPENDENCY_READS_MAX: usize = 16;
/// Delay before a dependency's final state is read again after a read that failed or found none, in
/// seconds.
pub const DEPENDENCY_READ_RETRY_S: f64 = 2.0;
/// Maximum number of transaction conditions in the check behind a poll: the job's final state and
/// its spec.
pub const CONDS_PER_POLL: usize = 2;
/// How long a poll waits when the local replica lacks the latest cascade, in seconds. Users wait 2
/// s for an answer (protocol page), and a watch delivers a change within tenths of a second.
pub const CASCADE_WAIT_S: f64 = 1.0;
/// A poll that has waited this long for the watch triggers a read of the cascade lists from the
/// store, in seconds. A healthy watch is faster than that, and enough of [`CASCADE_WAIT_S`] remains
/// to read the pages.
pub const CASCADE_READ_AFTER_S: f64 = 0.3;
/// Delay before the check behind a poll is retried while the replica lacks the latest cascade, in
/// seconds; 0.1 s makes ten requests a second.
pub const CASCADE_RECHECK_S: f64 = 0.1;
/// Number of jobs queued for cancellation from which they are recorded in lists instead of one by
/// one. With fewer jobs, individual writes take at most 16 changes, one second of the smallest
/// store's rate, while lists cost three extra changes in total (the generation, a list and its
/// removal). The operators' pipelines have 4 to 6 jobs.
pub const CASCADE_LIST_MIN_JOBS: usize = 9;
/// Maximum number of cascade lists in one transaction. With the generation this makes five changes,
/// the smallest transaction limit that was announced; the lists hold some 500 jobs.
pub const CASCADE_LISTS_PER_TXN: usize = 4;
/// Maximum number of concurrent writes of listed jobs' final states; each is one transaction.
pub const CASCADE_ENDS_MAX: usize = 2;
/// Share of the store's change rate available to the final states of listed jobs. Users already
/// have their answers by then, and starts and submissions need the rest.
pub const CASCADE_ENDS_SHARE: f64 = 0.25;
/// Maximum number of concurrent cascade cancellations; each is one transaction.
pub const CASCADE_WRITES_MAX: usize = 4;
/// Store changes that one cascade cancellation costs: the final state and the spec.
pub const CASCADE_CHANGES: f64 = 2.0;
