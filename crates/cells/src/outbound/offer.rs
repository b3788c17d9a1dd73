//! Offers to other cells: when each is sent, its retries with backoff, and what an answer settles.

use crate::message::{OfferReply, Verdict};
use crate::outbound::exchange::EXCHANGE_INTERVAL_S;
use crate::outbound::{OpenTransfer, Outbound};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{RefusalReason, TransferId};

/// Initial wait before an offer without an answer is repeated, in seconds. It doubles with each
/// retry.
pub(super) const OFFER_RETRY_FIRST_S: f64 = 0.5;
/// Longest wait between retries, in seconds, short enough that a restored link is soon noticed.
const OFFER_RETRY_MAX_S: f64 = 8.0;
/// Number of refusals from which on a job backs off before it is offered again. Fewer refusals
/// occur by chance, because cells fill up while jobs are in transfer.
const REFUSALS_BEFORE_BACKOFF: u32 = 6;
/// First backoff after refusals, in seconds; it doubles with each refusal. The cell's next report
/// arrives in the meantime.
const REFUSED_BACKOFF_FIRST_S: f64 = EXCHANGE_INTERVAL_S;
/// Longest backoff after a refusal for lack of room, in seconds, short enough that freed room is
/// soon noticed.
const NO_ROOM_BACKOFF_MAX_S: f64 = 8.0;
/// Longest backoff after a refusal for any other reason, in seconds. Such a reason may persist, and
/// at most a dozen refusals an hour limit the records that both cells write.
const REFUSED_BACKOFF_MAX_S: f64 = 300.0;
/// Number of doublings after which every backoff has reached its maximum.
const REFUSED_DOUBLINGS_MAX: u32 = 16;

/// Returns the seconds that a job backs off before it is offered again, given its number of
/// refusals and the reason of the last one. The backoff is always finite, because the reason for a
/// refusal may pass, and the home cell may still have no room.
pub fn refusal_backoff(refusals: u32, reason: RefusalReason) -> f64 {
    let Some(doublings) = refusals.checked_sub(REFUSALS_BEFORE_BACKOFF) else { return 0.0 };
    let maximum = match reason {
        RefusalReason::NoRoom => NO_ROOM_BACKOFF_MAX_S,
        _ => REFUSED_BACKOFF_MAX_S,
    };
    let doubled = f64::from(1u32 << doublings.min(REFUSED_DOUBLINGS_MAX));
    (REFUSED_BACKOFF_FIRST_S * doubled).min(maximum)
}

/// What must be made durable after an answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The target cell has accepted the job and owns it from now on.
    Accepted(JobId),
    /// The target cell has refused the job, which returns to its home cell.
    Refused(JobId, RefusalReason),
}

/// An offer that is due to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOffer {
    /// The job's id.
    pub job: JobId,
    /// The id of the transfer.
    pub transfer: TransferId,
    /// The cell that the job is offered to.
    pub target: CellName,
}

impl Outbound {
    /// Returns at most `maximum` offers that are due. They count as in flight from then on.
    pub fn due_offers(&mut self, now: f64, maximum: usize) -> Vec<DueOffer> {
        let due = |open: &OpenTransfer| {
            open.in_doubt()
                && !open.call.is_pending(now)
                && !open.settling
                && now >= open.next_attempt
        };
        let mut offers = Vec::new();
        for (job, open) in self.open.iter_mut().filter(|(_, open)| due(open)).take(maximum) {
            open.call.begin(now);
            offers.push(DueOffer {
                job: job.clone(),
                transfer: open.record.transfer.clone(),
                target: open.record.target.clone(),
            });
        }
        offers
    }

    /// Notes that an offer or its answer was lost. The offer is repeated as soon as the cell is
    /// reachable.
    pub fn offer_unanswered(&mut self, job: &JobId, transfer: &TransferId) {
        let open = self.open.get_mut(job).filter(|open| open.record.transfer == *transfer);
        if let Some(open) = open {
            open.unanswered = true;
        }
    }

    pub(super) fn retry_unanswered_offers(&mut self, cell: &CellName) {
        let unanswered = |open: &&mut OpenTransfer| open.unanswered && open.record.target == *cell;
        for open in self.open.values_mut().filter(unanswered) {
            open.unanswered = false;
            open.next_attempt = f64::NEG_INFINITY;
            open.retry_delay_s = OFFER_RETRY_FIRST_S;
        }
    }

    /// Handles a cell's answer to an offer, or its absence (`None`). Returns what must be made
    /// durable, if anything. An answer to a transfer other than the open one changes nothing.
    pub fn offer_answered(
        &mut self,
        now: f64,
        job: &JobId,
        transfer: &TransferId,
        reply: Option<&OfferReply>,
    ) -> Option<Settlement> {
        let open = self.open.get_mut(job)?;
        if open.record.transfer != *transfer {
            return None;
        }
        open.call.end();
        let verdict = reply.filter(|reply| reply.transfer == *transfer).map(|reply| reply.verdict);
        let Some(verdict) = verdict else {
            open.next_attempt = now + open.retry_delay_s;
            open.retry_delay_s = (open.retry_delay_s * 2.0).min(OFFER_RETRY_MAX_S);
            return None;
        };
        if !open.in_doubt() {
            return None;
        }
        open.settling = true;
        Some(match verdict {
            Verdict::Accepted => Settlement::Accepted(job.clone()),
            Verdict::Refused(reason) => Settlement::Refused(job.clone(), reason),
        })
    }

    /// Notes that a settlement could not be made durable. The cell is asked again and repeats its
    /// verdict.
    pub fn settle_again(&mut self, now: f64, job: &JobId) {
        if let Some(open) = self.open.get_mut(job) {
            open.settling = false;
            open.next_attempt = now + open.retry_delay_s;
        }
    }

    /// Marks a job as being settled. Returns `false` if there is no such transfer, or if a verdict
    /// or an end of it is already being made durable.
    pub fn begin_settling(&mut self, job: &JobId) -> bool {
        match self.open.get_mut(job) {
            Some(open) if !open.settling => {
                open.settling = true;
                true
            }
            _ => false,
        }
    }
}
