//! DAG dependencies, and cascades of cancellations.

/// Most reads of dependencies' final states under way at once: a leader that takes over
/// reads one for each job named that ended before it knew it, and must not crowd the
/// store's request rate.
pub const DEPENDENCY_READS_MAX: usize = 16;
/// Seconds before a dependency's final state is read again when a read found none or
/// failed.
pub const DEPENDENCY_READ_RETRY_S: f64 = 2.0;
/// Conditions that a check behind a poll takes at most: the job's final state and its spec.
pub const CONDS_PER_POLL: usize = 2;
/// How long a poll waits for a copy that lacks the latest cascade, seconds: users wait 2 s
/// for an answer (protocol page), and a watch brings a change within tenths of one.
pub const CASCADE_WAIT_S: f64 = 1.0;
/// A poll that has waited so long for the watch has the lists read from the store, seconds: a
/// watch that goes on is quicker, and there is time for the pages within the wait above.
pub const CASCADE_READ_AFTER_S: f64 = 0.3;
/// Pause before a check is tried again with such a copy, seconds: ten requests a second.
pub const CASCADE_LOOK_S: f64 = 0.1;
/// Jobs queued for cancellation from which on they are recorded in lists, instead of one by
/// one: below, writing each takes at most 16 changes, a second of the smallest store's rate,
/// while lists cost three changes more in all (the generation, a list and its removal). The
/// operators' pipelines have 4 to 6 jobs.
pub const CASCADE_LISTED_LEAST: usize = 9;
/// Most cascade lists in one transaction: with the generation, five changes, the smallest
/// limit of a transaction that was announced; they hold some 500 jobs.
pub const CASCADE_LISTS_PER_TXN: usize = 4;
/// Most final states of listed jobs under way at once; each is one transaction.
pub const CASCADE_ENDS_MAX: usize = 2;
/// Share of the store's change rate that the final states of listed jobs may take: users have
/// their answers already, and starts and submissions need the rest.
pub const CASCADE_ENDS_SHARE: f64 = 0.25;
/// Most cascade cancellations under way at once; each is one transaction.
pub const CASCADE_WRITES_MAX: usize = 4;
/// Changes one cascade cancellation costs the store: the final state and the spec.
pub const CASCADE_CHANGES: f64 = 2.0;
