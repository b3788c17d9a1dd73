//! The home side of transfers: jobs that are offered to other cells, and jobs that other cells have
//! accepted.
//!
//! The stored records are authoritative. An [`Outbound`] holds only the state that a leader needs
//! in memory, and is rebuilt from the records after a failover. A transfer without a verdict is
//! offered to the same cell again until that cell has given one: a missing answer is never treated
//! as a refusal.

mod call;
mod ends;
mod exchange;
mod offer;

pub use crate::message::EXCHANGE_JOBS_MAX;
pub use call::CALL_TIMEOUT_S;
pub use ends::EndRefusal;
pub use exchange::finished_for;
pub use offer::{DueOffer, Settlement, refusal_backoff};

use crate::capacity::{Amounts, needed};
use call::PendingCall;
use ends::ReceivedEnd;
use exchange::ExchangeState;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{ForwardRecord, TransferId};
use offer::OFFER_RETRY_FIRST_S;
use std::collections::BTreeMap;

/// A job that is offered to a cell or that a cell has accepted.
#[derive(Clone, Debug)]
pub struct OpenTransfer {
    /// The stored record of the transfer.
    pub record: ForwardRecord,
    /// When this leader learned of the transfer.
    pub since: f64,
    /// Numbers of tasks done and running in the target cell, as last reported.
    pub counts: (u32, u32),
    /// Capacity that the job is expected to take in the target cell.
    need: Amounts,
    /// When the offer may be sent again, or its end recorded again.
    next_attempt: f64,
    /// Whether the last offer or its answer was lost.
    unanswered: bool,
    /// Wait after the next failed attempt, in seconds.
    retry_delay_s: f64,
    call: PendingCall,
    /// Whether a verdict or an end is being made durable.
    settling: bool,
    /// The job's end in the target cell, once it was received.
    end: Option<ReceivedEnd>,
}

impl OpenTransfer {
    /// Returns whether it is unknown in this cell if the target accepted the job.
    fn in_doubt(&self) -> bool {
        !self.record.accepted && self.end.is_none()
    }
}

/// The transfers of a home cell, as held in memory by its leader.
#[derive(Debug, Default)]
pub struct Outbound {
    next_number: u32,
    open: BTreeMap<JobId, OpenTransfer>,
    /// Jobs whose end was received but is not yet durable here, in the order of receipt.
    ended: BTreeMap<u64, JobId>,
    ends_received: u64,
    exchanges: BTreeMap<CellName, ExchangeState>,
}

impl Outbound {
    /// Returns the id of a new transfer, which no leader has used before.
    pub fn new_transfer(&mut self, home: &CellName, term: u64) -> TransferId {
        self.next_number += 1;
        TransferId { home: home.clone(), term, number: self.next_number }
    }

    /// Applies a job's record as read from the state service.
    pub fn apply_record(&mut self, now: f64, spec: &JobSpec, forward: Option<&ForwardRecord>) {
        let Some(record) = forward else {
            return self.forget(&spec.id);
        };
        let open = self.open.get(&spec.id);
        if open.is_some_and(|open| open.record.transfer != record.transfer) {
            self.forget(&spec.id);
        }
        let open = self.open.entry(spec.id.clone()).or_insert_with(|| OpenTransfer {
            record: record.clone(),
            since: now,
            counts: (0, 0),
            need: needed(spec),
            next_attempt: now,
            unanswered: false,
            retry_delay_s: OFFER_RETRY_FIRST_S,
            call: PendingCall::default(),
            settling: false,
            end: None,
        });
        if open.record != *record {
            open.record = record.clone();
            open.settling = false;
            open.call.end();
        }
    }

    /// Discards the transfer of a job that is no longer in another cell.
    pub fn forget(&mut self, job: &JobId) {
        let end = self.open.remove(job).and_then(|open| open.end);
        if let Some(end) = end {
            self.ended.remove(&end.number);
        }
    }

    /// Returns the transfer of a job.
    pub fn get(&self, job: &JobId) -> Option<&OpenTransfer> {
        self.open.get(job)
    }

    /// Iterates over all transfers.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &OpenTransfer)> {
        self.open.iter()
    }

    /// Returns the number of transfers without a verdict.
    pub fn in_doubt(&self) -> usize {
        self.open.values().filter(|open| open.in_doubt()).count()
    }

    /// Returns the number of transfers to a cell without a verdict.
    pub fn in_doubt_with(&self, cell: &CellName) -> usize {
        let open = self.open.values();
        open.filter(|open| open.in_doubt() && open.record.target == *cell).count()
    }

    /// Returns the capacity reserved for transfers in doubt, by target cell.
    pub fn reserved(&self) -> BTreeMap<CellName, Amounts> {
        let mut reserved: BTreeMap<CellName, Amounts> = BTreeMap::new();
        for open in self.open.values().filter(|open| open.in_doubt()) {
            reserved.entry(open.record.target.clone()).or_default().add(&open.need);
        }
        reserved
    }
}
