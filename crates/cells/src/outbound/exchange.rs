//! The periodic exchange with each other cell: when it is due, which jobs it requests the state of,
//! and how the states in the reply are applied.

use crate::message::{EXCHANGE_JOBS_MAX, FinishedJob, GuestState, TrackedJob};
use crate::outbound::call::PendingCall;
use crate::outbound::{OpenTransfer, Outbound};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{AcknowledgeRecord, TransferId};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Seconds between two exchanges with a cell. A job's state here may lag by three intervals.
pub(super) const EXCHANGE_INTERVAL_S: f64 = 1.0;
/// Seconds between two exchanges while more jobs remain to be polled. With this interval a thousand
/// jobs are polled within [`EXCHANGE_INTERVAL_S`].
const EXCHANGE_BATCH_INTERVAL_S: f64 = 0.2;
/// Seconds until an exchange that reached no leader is repeated, because the cell's next controller
/// may be the leader.
const EXCHANGE_RETRY_S: f64 = 0.2;

/// The state of the exchanges with one cell.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangeState {
    call: PendingCall,
    /// When the next exchange is due.
    next: f64,
    /// When the last exchange started.
    started_at: f64,
    /// When the first exchange of the current round started. Each job is polled once in a round.
    round_started_at: f64,
    /// The last job polled, if later jobs in this round remain to be polled.
    cursor: Option<JobId>,
    /// The value of `cursor` before the last exchange, restored if that exchange fails.
    previous_cursor: Option<JobId>,
}

impl Outbound {
    /// Returns whether an exchange with a cell is due. If so, the exchange counts as in flight from
    /// then on.
    pub fn exchange_due(&mut self, now: f64, cell: &CellName) -> bool {
        let state = self.exchanges.entry(cell.clone()).or_default();
        if state.call.is_pending(now) || now < state.next {
            return false;
        }
        state.call.begin(now);
        state.started_at = now;
        if state.cursor.is_none() {
            state.round_started_at = now;
        }
        state.next =
            (state.round_started_at + EXCHANGE_INTERVAL_S).max(now + EXCHANGE_BATCH_INTERVAL_S);
        true
    }

    /// Notes that a leader answered an exchange. The cell is reachable, so offers to it that got no
    /// answer are repeated at once.
    pub fn exchange_answered(&mut self, cell: &CellName) {
        self.exchanges.entry(cell.clone()).or_default().call.end();
        self.retry_unanswered_offers(cell);
    }

    /// Notes that an exchange reached no leader. The same jobs are polled again after a short wait.
    pub fn exchange_failed(&mut self, now: f64, cell: &CellName) {
        let state = self.exchanges.entry(cell.clone()).or_default();
        state.call.end();
        state.cursor = state.previous_cursor.take();
        state.next = state.next.min(now + EXCHANGE_RETRY_S);
    }

    /// Returns the next jobs to poll from a cell, in round-robin order.
    pub fn next_tracked_jobs(
        &mut self,
        cell: &CellName,
        cancels: &BTreeSet<JobId>,
    ) -> Vec<TrackedJob> {
        let state = self.exchanges.entry(cell.clone()).or_default();
        let from = state.cursor.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let is_polled = |open: &OpenTransfer| {
            open.record.accepted && open.end.is_none() && open.record.target == *cell
        };
        let tracked: Vec<TrackedJob> = self
            .open
            .range((from, Bound::Unbounded))
            .filter(|(_, open)| is_polled(open))
            .take(EXCHANGE_JOBS_MAX)
            .map(|(job, open)| TrackedJob {
                job: job.clone(),
                transfer: open.record.transfer.clone(),
                cancel: cancels.contains(job),
            })
            .collect();
        let full = tracked.len() == EXCHANGE_JOBS_MAX;
        let last = tracked.last().filter(|_| full).map(|last| last.job.clone());
        state.previous_cursor = std::mem::replace(&mut state.cursor, last);
        if full {
            self.expedite_next_exchange(cell);
        }
        tracked
    }

    /// Makes the next exchange with a cell due early, because the data for it does not fit into one
    /// message.
    pub fn expedite_next_exchange(&mut self, cell: &CellName) {
        let state = self.exchanges.entry(cell.clone()).or_default();
        state.next = state.started_at + EXCHANGE_BATCH_INTERVAL_S;
    }

    /// Applies the state of a job reported by a cell. Returns the job's end if it has ended and the
    /// end was not received before; the end is kept for [`Self::next_end`].
    pub fn apply_status(
        &mut self,
        cell: &CellName,
        job: &JobId,
        transfer: &TransferId,
        state: GuestState,
    ) -> Option<GuestState> {
        let open = self.open.get_mut(job)?;
        let matching = open.record.transfer == *transfer && open.record.target == *cell;
        if !matching || !open.record.accepted || open.settling || open.end.is_some() {
            return None;
        }
        match state {
            GuestState::Open { done, running } => {
                open.counts = (done.max(open.counts.0), running);
                None
            }
            over => {
                self.store_end(job, over);
                Some(over)
            }
        }
    }
}

/// Returns the finished jobs whose recorded end must be acknowledged to a cell.
pub fn finished_for<'a>(
    cell: &CellName,
    records: impl Iterator<Item = (&'a JobId, &'a AcknowledgeRecord)>,
) -> Vec<FinishedJob> {
    records
        .filter(|(_, record)| record.target == *cell)
        .take(EXCHANGE_JOBS_MAX)
        .map(|(job, record)| FinishedJob { job: job.clone(), transfer: record.transfer.clone() })
        .collect()
}
