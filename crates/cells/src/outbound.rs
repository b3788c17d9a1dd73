//! The home side: jobs offered to other cells, and jobs that are there.
//!
//! What is true stands in the records; this holds what is under way between them. A transfer
//! in doubt is offered to the same cell again until that cell has spoken. No answer is never
//! taken for a refusal.

use crate::capacity::{Amounts, needed};
use crate::message::{FinishedJob, GuestState, OfferReply, TrackedJob, Verdict};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{AcknowledgeRecord, ForwardRecord, RefusalReason, TransferId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Wait before an offer without an answer is repeated, seconds; doubles.
const OFFER_RETRY_FIRST_S: f64 = 0.5;
/// Longest such wait, seconds: a link that is back is noticed soon.
const OFFER_RETRY_MOST_S: f64 = 8.0;
/// Seconds between two exchanges with a cell: polls may lag by three.
const EXCHANGE_EVERY_S: f64 = 1.0;
/// Jobs asked about, and ends told, in one exchange: the rest comes with the next.
pub const EXCHANGE_JOBS_MAX: usize = 256;
/// A call that had no answer for so long, seconds, is over: the link gives up sooner, and
/// what it says may be lost on its way through a full queue. (Answers that came while a leader
/// was unsure of its authority were once dropped, and its cell was never asked again.)
pub const CALL_LOST_S: f64 = 10.0;
/// Refusals from which on a job rests before it is offered again: fewer come by chance, as
/// cells fill while jobs land.
const REFUSALS_BEFORE_REST: u32 = 6;
/// First such rest, seconds; doubles with each refusal. A cell's next report comes meanwhile.
const REFUSED_REST_FIRST_S: f64 = EXCHANGE_EVERY_S;
/// Longest rest after a cell had no room, seconds: it is offered again only where a newer
/// report tells of room, and room that comes up is to be noticed soon.
const NO_ROOM_REST_MOST_S: f64 = 8.0;
/// Longest rest after another refusal, seconds: it may last, and a dozen refusals an hour bound
/// the records that both cells write of it.
const REFUSED_REST_MOST_S: f64 = 300.0;
/// Doublings after which any rest is the longest.
const REFUSED_DOUBLINGS_MAX: u32 = 16;

/// How long a job that was refused so often, last for that reason, rests before it is offered
/// anew, seconds. Never for ever: what refuses it passes, and its home may have no room again.
/// (After six refusals jobs stayed at home for good once. As cells fill while jobs land, one in
/// some hundreds got so many, and at a home that stays full it waited for ever.)
pub fn rest_after(refusals: u32, reason: RefusalReason) -> f64 {
    let Some(doublings) = refusals.checked_sub(REFUSALS_BEFORE_REST) else { return 0.0 };
    let most = match reason {
        RefusalReason::NoRoom => NO_ROOM_REST_MOST_S,
        _ => REFUSED_REST_MOST_S,
    };
    let doubled = f64::from(1u32 << doublings.min(REFUSED_DOUBLINGS_MAX));
    (REFUSED_REST_FIRST_S * doubled).min(most)
}

/// What is to be made durable after an answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The job is elsewhere for good.
    Accepted(JobId),
    /// The job is at home again.
    Refused(JobId, RefusalReason),
}

/// A job offered to a cell, or with it.
#[derive(Clone, Debug)]
pub struct OpenTransfer {
    /// Its record.
    pub record: ForwardRecord,
    /// Since when this leader knows of it.
    pub since: f64,
    /// Tasks done and running there, as last heard.
    pub counts: (u32, u32),
    /// Room it was promised.
    need: Amounts,
    next_offer: f64,
    retry: f64,
    calling: Calling,
    settling: bool,
}

/// Whether a call is under way.
#[derive(Clone, Copy, Debug, Default)]
struct Calling {
    since: Option<f64>,
}

impl Calling {
    fn begin(&mut self, now: f64) {
        self.since = Some(now);
    }

    fn end(&mut self) {
        self.since = None;
    }

    fn under_way(&self, now: f64) -> bool {
        self.since.is_some_and(|since| now - since < CALL_LOST_S)
    }
}

#[derive(Clone, Debug, Default)]
struct ExchangeState {
    calling: Calling,
    next: f64,
    after: Option<JobId>,
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

/// Transfers of a home leader.
#[derive(Debug, Default)]
pub struct Outbound {
    next_number: u32,
    open: BTreeMap<JobId, OpenTransfer>,
    exchanges: BTreeMap<CellName, ExchangeState>,
}

impl Outbound {
    /// A transfer that no leader ever named before.
    pub fn new_transfer(&mut self, home: &CellName, term: u64) -> TransferId {
        self.next_number += 1;
        TransferId { home: home.clone(), term, number: self.next_number }
    }

    /// A job's record as it is in the store.
    pub fn learn(&mut self, now: f64, spec: &JobSpec, forward: Option<&ForwardRecord>) {
        let Some(record) = forward else {
            self.open.remove(&spec.id);
            return;
        };
        let open = self.open.entry(spec.id.clone()).or_insert_with(|| OpenTransfer {
            record: record.clone(),
            since: now,
            counts: (0, 0),
            need: needed(spec),
            next_offer: now,
            retry: OFFER_RETRY_FIRST_S,
            calling: Calling::default(),
            settling: false,
        });
        if open.record != *record {
            open.record = record.clone();
            open.settling = false;
            open.calling.end();
        }
    }

    /// A job is over.
    pub fn forget(&mut self, job: &JobId) {
        self.open.remove(job);
    }

    /// The transfer of a job.
    pub fn get(&self, job: &JobId) -> Option<&OpenTransfer> {
        self.open.get(job)
    }

    /// All transfers.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &OpenTransfer)> {
        self.open.iter()
    }

    /// Transfers that no cell has spoken on yet.
    pub fn in_doubt(&self) -> usize {
        self.open.values().filter(|open| !open.record.accepted).count()
    }

    /// Room promised to transfers in doubt, by cell.
    pub fn promised(&self) -> BTreeMap<CellName, Amounts> {
        let mut promised: BTreeMap<CellName, Amounts> = BTreeMap::new();
        for open in self.open.values().filter(|open| !open.record.accepted) {
            promised.entry(open.record.target.clone()).or_default().add(&open.need);
        }
        promised
    }

    /// Offers that are to be sent now. They count as under way from then on.
    pub fn due_offers(&mut self, now: f64, most: usize) -> Vec<DueOffer> {
        let due = |open: &OpenTransfer| {
            !open.record.accepted
                && !open.calling.under_way(now)
                && !open.settling
                && now >= open.next_offer
        };
        let mut offers = Vec::new();
        for (job, open) in self.open.iter_mut().filter(|(_, open)| due(open)).take(most) {
            open.calling.begin(now);
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
        open.calling.end();
        let verdict = reply.filter(|reply| reply.transfer == *transfer).map(|reply| reply.verdict);
        let Some(verdict) = verdict else {
            open.next_offer = now + open.retry;
            open.retry = (open.retry * 2.0).min(OFFER_RETRY_MOST_S);
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

    /// Whether it is time for an exchange with a cell; it counts as under way from then on.
    pub fn exchange_due(&mut self, now: f64, cell: &CellName) -> bool {
        let state = self.exchanges.entry(cell.clone()).or_default();
        if state.calling.under_way(now) || now < state.next {
            return false;
        }
        state.calling.begin(now);
        state.next = now + EXCHANGE_EVERY_S;
        true
    }

    /// An exchange was answered, or wasn't.
    pub fn exchange_answered(&mut self, cell: &CellName) {
        self.exchanges.entry(cell.clone()).or_default().calling.end();
    }

    /// Jobs to ask a cell about, in turn.
    pub fn tracked(&mut self, cell: &CellName, cancels: &BTreeSet<JobId>) -> Vec<TrackedJob> {
        let state = self.exchanges.entry(cell.clone()).or_default();
        let from = state.after.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let there = |open: &OpenTransfer| open.record.accepted && open.record.target == *cell;
        let tracked: Vec<TrackedJob> = self
            .open
            .range((from, Bound::Unbounded))
            .filter(|(_, open)| there(open))
            .take(EXCHANGE_JOBS_MAX)
            .map(|(job, open)| TrackedJob {
                job: job.clone(),
                transfer: open.record.transfer.clone(),
                cancel: cancels.contains(job),
            })
            .collect();
        let full = tracked.len() == EXCHANGE_JOBS_MAX;
        state.after = tracked.last().filter(|_| full).map(|last| last.job.clone());
        tracked
    }

    /// A cell told how a job stands. Its end, if it is over and that isn't being recorded
    /// already.
    pub fn status(
        &mut self,
        cell: &CellName,
        job: &JobId,
        transfer: &TransferId,
        state: GuestState,
    ) -> Option<GuestState> {
        let open = self.open.get_mut(job)?;
        let ours = open.record.transfer == *transfer && open.record.target == *cell;
        if !ours || !open.record.accepted || open.settling {
            return None;
        }
        match state {
            GuestState::Open { done, running } => {
                open.counts = (done.max(open.counts.0), running);
                None
            }
            over => {
                open.settling = true;
                Some(over)
            }
        }
    }
}

/// Ends that a cell must be told are known at home.
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
