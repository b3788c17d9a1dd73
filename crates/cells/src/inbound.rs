//! The target side of transfers: decides on offers of other cells. A reply is sent only after the
//! decision is durable, so that a repeated offer gets the same decision.

use crate::capacity::{Amounts, CapacityReport, needed};
use crate::message::{CellError, Offer, Sender};
use crate::sender_terms::SenderTerms;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{InboundRecord, RefusalReason, TransferId};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two rounds of deleting records that a home cell no longer needs. A home cell
/// polls once a second, and most deletions of one round are written before its next poll.
const DROP_INTERVAL_S: f64 = 1.0;

/// The target cell's knowledge of an offered job.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// The record of a job with this id that was accepted from another cell.
    pub inbound: Option<&'a InboundRecord>,
    /// Whether a job with this id is known in this cell, whatever its origin.
    pub id_known: bool,
    /// Whether the job could ever run in this cell.
    pub suitable: bool,
    /// The cell's current free capacity.
    pub room: &'a CapacityReport,
}

/// What to do with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job was accepted earlier: reply so.
    AlreadyAccepted,
    /// Record the job, then reply that it is accepted.
    Accept,
    /// Record the refusal, then reply so.
    Refuse(RefusalReason),
    /// A decision on this transfer is being recorded, or the limit of decisions being recorded at
    /// once is reached: the sender repeats the offer.
    Busy,
}

/// Tracks the offers whose decision is being recorded, and the capacity reserved for accepted jobs
/// until they first start.
#[derive(Debug)]
pub struct Inbound {
    cell: CellName,
    configured: BTreeSet<CellName>,
    terms: SenderTerms,
    recording: BTreeSet<TransferId>,
    recording_max: usize,
    /// Capacity reserved for accepted jobs that have not started yet.
    reserved: BTreeMap<JobId, Reservation>,
    /// For each home cell, when records that it no longer needs may next be deleted.
    next_drop: BTreeMap<CellName, f64>,
}

/// Capacity reserved for one accepted job.
#[derive(Debug)]
struct Reservation {
    transfer: TransferId,
    amounts: Amounts,
}

impl Inbound {
    /// Creates the state of cell `cell`, with no decision being recorded. `configured` holds the
    /// configured cells; `recording_max` limits the decisions being recorded at once.
    pub fn new(cell: CellName, configured: BTreeSet<CellName>, recording_max: usize) -> Self {
        Self {
            cell,
            configured,
            terms: SenderTerms::default(),
            recording: BTreeSet::new(),
            recording_max,
            reserved: BTreeMap::new(),
            next_drop: BTreeMap::new(),
        }
    }

    /// Checks that the sender is a configured cell and that its term is the latest known.
    pub fn admit(&mut self, sender: &Sender) -> Result<(), CellError> {
        self.terms.admit(&sender.cell, sender.term, &self.configured)
    }

    /// Decides on an offer whose sender has passed [`Self::admit`].
    pub fn decide(&self, offer: &Offer, view: &TargetView<'_>) -> Result<Decision, CellError> {
        if offer.transfer.home == self.cell {
            return Err(CellError::HomeHere);
        }
        if offer.transfer.home != offer.sender.cell || offer.transfer.term > offer.sender.term {
            return Err(CellError::Malformed);
        }
        if view.inbound.is_some_and(|record| record.transfer == offer.transfer) {
            return Ok(Decision::AlreadyAccepted);
        }
        let full = self.recording.len() >= self.recording_max;
        if full || self.recording.contains(&offer.transfer) {
            return Ok(Decision::Busy);
        }
        let reason = if offer.withdraw {
            RefusalReason::Withdrawn
        } else if view.id_known || view.inbound.is_some() {
            RefusalReason::IdInUse
        } else if !view.suitable {
            RefusalReason::Unsuitable
        } else if !view.room.has_room(&offer.spec, &self.total_reserved()) {
            RefusalReason::NoRoom
        } else {
            return Ok(Decision::Accept);
        };
        Ok(Decision::Refuse(reason))
    }

    /// Notes that the decision on a transfer is being recorded.
    pub fn recording(&mut self, transfer: &TransferId) {
        self.recording.insert(transfer.clone());
    }

    /// Notes that the attempt to record a decision has ended, successfully or not.
    pub fn recorded(&mut self, transfer: &TransferId) {
        self.recording.remove(transfer);
    }

    /// Returns whether records that an admitted home cell no longer needs may be deleted now; if so,
    /// the next round is due `DROP_INTERVAL_S` later. The interval is kept per home cell: with a
    /// shared one, the cell that polls first in each second would use up the round even with nothing
    /// to delete, and records of another cell's jobs would remain for minutes.
    pub fn drop_due(&mut self, now: f64, home: &CellName) -> bool {
        let next = self.next_drop.entry(home.clone()).or_insert(now);
        let due = now >= *next;
        if due {
            *next = now + DROP_INTERVAL_S;
        }
        due
    }

    /// Reserves capacity for a job, from now until its first start.
    pub fn reserve(&mut self, spec: &JobSpec, transfer: &TransferId) {
        let reservation = Reservation { transfer: transfer.clone(), amounts: needed(spec) };
        self.reserved.insert(spec.id.clone(), reservation);
    }

    /// Releases the reservations of jobs that are neither being recorded nor, according to `waits`,
    /// waiting for their first start.
    pub fn release_reservations(&mut self, waits: impl Fn(&JobId) -> bool) {
        let recording = &self.recording;
        self.reserved
            .retain(|job, reservation| recording.contains(&reservation.transfer) || waits(job));
    }

    /// Returns the sum of all reservations.
    pub fn total_reserved(&self) -> Amounts {
        let mut all = Amounts::default();
        self.reserved.values().for_each(|reservation| all.add(&reservation.amounts));
        all
    }
}
