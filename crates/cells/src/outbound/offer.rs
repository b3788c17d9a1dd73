//! Offers to other cells: when each is sent, its retries with backoff, and what an answer
//! settles.

use crate::message::{OfferReply, Verdict};
use crate::outbound::{OpenTransfer, Outbound};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::{RefusalReason, TransferId};

/// Wait before an offer without an answer is repeated, seconds; doubles.
pub(super) const OFFER_RETRY_FIRST_S: f64 = 0.5;
/// Longest such wait, seconds: a link that is back is noticed soon.
const OFFER_RETRY_MAX_S: f64 = 8.0;
/// Refusals after which a job stays at home.
pub const REFUSALS_MAX: u32 = 6;

/// What is to be made durable after an answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The job is elsewhere for good.
    Accepted(JobId),
    /// The job is at home again.
    Refused(JobId, RefusalReason),
}

/// An offer to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct DueOffer {
    /// The job.
    pub job: JobId,
    /// The transfer.
    pub transfer: TransferId,
    /// To which cell.
    pub target: CellName,
}

impl Outbound {
    /// Offers that are to be sent now. They count as under way from then on.
    pub fn due_offers(&mut self, now: f64, most: usize) -> Vec<DueOffer> {
        let due = |open: &OpenTransfer| {
            !open.record.accepted
                && !open.call.under_way(now)
                && !open.settling
                && now >= open.next_offer
        };
        let mut offers = Vec::new();
        for (job, open) in self.open.iter_mut().filter(|(_, open)| due(open)).take(most) {
            open.call.begin(now);
            offers.push(DueOffer {
                job: job.clone(),
                transfer: open.record.transfer.clone(),
                target: open.record.target.clone(),
            });
        }
        offers
    }

    /// A cell answered an offer, or (`None`) didn't. What must be made durable, if anything:
    /// an answer to another transfer than the one open changes nothing.
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
            open.next_offer = now + open.retry;
            open.retry = (open.retry * 2.0).min(OFFER_RETRY_MAX_S);
            return None;
        };
        if open.record.accepted {
            return None;
        }
        open.settling = true;
        Some(match verdict {
            Verdict::Accepted => Settlement::Accepted(job.clone()),
            Verdict::Refused(reason) => Settlement::Refused(job.clone(), reason),
        })
    }

    /// A settlement couldn't be made durable: the cell is asked again, and says the same.
    pub fn settle_again(&mut self, now: f64, job: &JobId) {
        if let Some(open) = self.open.get_mut(job) {
            open.settling = false;
            open.next_offer = now + open.retry;
        }
    }

    /// Whether something of this job is being made durable already.
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
