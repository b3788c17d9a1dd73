//! Counts of events in a run.

use super::{LeaseExpiry, RepeatCounts};

/// Counts by which a test checks that the faults of a run took effect.
#[derive(Debug, Default)]
pub struct Observations {
    /// Cancellations confirmed while a task of the job ran: the step, and the controller that
    /// confirmed.
    pub cancelled: Vec<(u32, usize)>,
    /// Of these cancellations, those with a task on an unreachable or hung machine.
    pub cancelled_unreachable: u32,
    /// Transactions that got no answer and took effect seconds later.
    pub late_writes: u32,
    /// Duplicates of heartbeats that were sent again.
    pub copies: u32,
    /// Direct commands delayed because their machine was unreachable or hung, and delivered
    /// afterwards.
    pub delayed_commands: u32,
    /// Answers to heartbeats that an unreachable machine never received.
    pub undelivered_answers: u32,
    /// Steps at which transactions with changes were refused because a condition failed.
    pub conflicts: Vec<u32>,
    /// Committed transactions that create a block of machine records and change others.
    pub blocks_split: u32,
    /// Transactions that were executed and whose answer was lost.
    pub answers_lost: u32,
    /// Old heartbeats that reached the controllers after a change of leader.
    pub held_heartbeats: u32,
    /// Jobs about which users sent a burst of requests.
    pub close_polls: u32,
    /// Jobs cancelled as their last task ended.
    pub cancelled_at_end: u32,
    /// Direct commands executed by machines whose heartbeats reach no controller.
    pub one_way_commands: u32,
    /// Steps at which a new leader took over.
    pub changes_of_leader: Vec<u32>,
    /// Of these changes, those while the team's tasks used its whole limit, or all but one CPU.
    pub changes_at_limit: u32,
    /// Starts executed after the cancellation of their job was confirmed.
    pub late_starts: u32,
    /// Submissions refused because the job can never run.
    pub unrunnable_refused: u32,
    /// Direct messages that carried commands.
    pub commands: u32,
    /// Of these messages, those that only clear entries from a worker's list of tasks.
    pub clearing_commands: u32,
    /// Steps at which the store went down for all controllers while it held no leader key.
    pub outages_without_leader: Vec<u32>,
    /// Starts of tasks of jobs bound to a zone.
    pub zoned_starts: u32,
    /// Jobs with dependencies that started after all their dependencies were done.
    pub dependents_started: u32,
    /// Jobs reported as cancelled that their users did not cancel, because a dependency was
    /// cancelled.
    pub cascade_cancelled: u32,
    /// Direct commands that arrived after their sender had timed out.
    pub late_commands: u32,
    /// Commands in such messages that arrived in the agent epoch they were sent to and name a task
    /// of a job all of whose tasks had to be gone.
    pub commands_past_cancellation: u32,
    /// Starts in answers to heartbeats that were delayed.
    pub delayed_starts: u32,
    /// Starts in answers that reached a worker which no longer waited for them.
    pub discarded_starts: u32,
    /// Direct commands that were executed and whose answer arrived after the sender had timed out.
    pub late_answers: u32,
    /// Direct commands that were delivered again.
    pub repeats: RepeatCounts,
    /// Leases that expired while their workers held tasks.
    pub lease_expiries: Vec<LeaseExpiry>,
    /// Requests that the store refused because of its rate limits.
    pub store_refusals: u32,
    /// Transactions that the store rejected as too large.
    pub rejections: u32,
    /// Submissions rejected by the store as too large.
    pub submissions_rejected: u32,
    /// Polls about the cascade's jobs that were answered without a status, because the controller's
    /// replica was behind or the controller was overloaded.
    pub cascade_unanswered: u32,
}
