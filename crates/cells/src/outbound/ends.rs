//! Ends of jobs in other cells that were received but are not yet durable here. They are kept until
//! they are durable, because the cell that reported one may become unreachable for a long time.

use crate::message::{EndedGuest, GuestState};
use crate::outbound::{OpenTransfer, Outbound};
use marblebarrow_proto::ids::{CellName, JobId};

/// How a job ended in another cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedEnd {
    state: GuestState,
    /// Position in the order in which ends were received.
    pub(super) number: u64,
}

/// Why an end reported by another cell is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndRefusal {
    /// No job with this id is offered to, or was accepted by, another cell.
    #[error("no such job is elsewhere")]
    UnknownJob,
    /// The job moved by a different transfer.
    #[error("the job went by another transfer")]
    OtherTransfer,
    /// The job was transferred to a different cell than the one that reported its end.
    #[error("the job is in another cell")]
    OtherCell,
}

impl Outbound {
    /// Handles an end that a cell reports without being polled, and returns whether it is new. The
    /// report also proves that the cell accepted the job, even if the offer is still in doubt.
    ///
    /// # Errors
    ///
    /// [`EndRefusal`] if, according to the records here, that cell does not own the job by that
    /// transfer.
    pub fn end_reported(
        &mut self,
        cell: &CellName,
        ended: &EndedGuest,
    ) -> Result<bool, EndRefusal> {
        let open = self.open.get(&ended.job).ok_or(EndRefusal::UnknownJob)?;
        if open.record.target != *cell {
            return Err(EndRefusal::OtherCell);
        }
        if open.record.transfer != ended.transfer {
            return Err(EndRefusal::OtherTransfer);
        }
        if open.end.is_some() {
            return Ok(false);
        }
        let state = if ended.cancelled { GuestState::Cancelled } else { GuestState::Done };
        self.store_end(&ended.job, state);
        Ok(true)
    }

    /// Stores the end of a job until it is durable here.
    pub(super) fn store_end(&mut self, job: &JobId, state: GuestState) {
        let Some(open) = self.open.get_mut(job) else { return };
        self.ends_received += 1;
        open.end = Some(ReceivedEnd { state, number: self.ends_received });
        self.ended.insert(self.ends_received, job.clone());
    }

    /// Returns the number of ends that were received but are not yet durable here.
    pub fn ends_to_record(&self) -> usize {
        self.ended.len()
    }

    /// Returns the end to be recorded next, in the order of receipt. It counts as being recorded
    /// until [`Self::settle_again`] or [`Self::forget`] is called.
    pub fn next_end(&mut self, now: f64) -> Option<(JobId, GuestState)> {
        let due = |open: &OpenTransfer| !open.settling && now >= open.next_attempt;
        let job = self.ended.values().find(|job| self.open.get(*job).is_some_and(due))?.clone();
        let open = self.open.get_mut(&job)?;
        open.settling = true;
        open.end.map(|end| (job, end.state))
    }
}
