//! Counts of what came about in a run.

use super::LeaseLapse;

/// What came about, so that a test can tell whether its troubles met.
#[derive(Debug, Default)]
pub struct Met {
    /// Cancellations confirmed while a task of the job ran: when, and by whom.
    pub cancelled: Vec<(u32, usize)>,
    /// Of those, with a task on a machine that was cut off or hung.
    pub cancelled_apart: u32,
    /// Transactions without an answer that take effect seconds later.
    pub late_writes: u32,
    /// Copies of heartbeats that came again.
    pub copies: u32,
    /// Orders held back by a cut, a hang or deafness, and executed after it.
    pub held_orders: u32,
    /// Answers to heartbeats that a machine out of reach never got.
    pub unheard: u32,
    /// When transactions with changes were refused as a condition failed, steps.
    pub conflicts: Vec<u32>,
    /// Transactions carried out whose answer was lost.
    pub answers_lost: u32,
    /// Old heartbeats that reached a controller as another began to lead.
    pub kept: u32,
    /// Jobs looked at closely.
    pub looks: u32,
    /// Jobs called off as their last task ended.
    pub cancelled_at_end: u32,
    /// Orders carried out by machines that reach no controller.
    pub mute_orders: u32,
    /// When another began to lead.
    pub changes_of_leader: Vec<u32>,
    /// Of those, while the team's tasks took all that it may use, or all but one.
    pub changes_at_limit: u32,
    /// Starts executed after their job's cancellation was confirmed.
    pub late_starts: u32,
    /// Submissions refused as they can never run.
    pub odd: u32,
    /// Direct orders with commands.
    pub orders: u32,
    /// Of those, with nothing but entries to clear from a worker's list.
    pub clearing_orders: u32,
    /// When the store went down for all while it held no leader's key.
    pub outages_without_leader: Vec<u32>,
    /// Starts of jobs bound to a zone.
    pub zoned_starts: u32,
    /// Jobs with DAG dependencies that began, all the jobs they need done.
    pub dependents_started: u32,
    /// Jobs told cancelled that their users did not cancel: a job they need was.
    pub cascaded: u32,
    /// Direct commands that arrived after their sender had given them up.
    pub late_commands: u32,
    /// Starts in such commands that arrived in the epoch they were sent to, after their
    /// job's tasks had to be gone: nothing but the token can keep them from being carried out.
    pub starts_past_cancellation: u32,
    /// Direct commands carried out whose answer came after their sender had given it up.
    pub late_answers: u32,
    /// Leases that ran out while their workers held tasks.
    pub lease_lapses: Vec<LeaseLapse>,
    /// Requests that the store refused as beyond its limits.
    pub store_refusals: u32,
    /// Transactions larger than the store takes.
    pub rejections: u32,
    /// Polls of the cascade's jobs that were answered without their state, as the
    /// controller's copy was behind or it was asked too much.
    pub cascade_unanswered: u32,
}
