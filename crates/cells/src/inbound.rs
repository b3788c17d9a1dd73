//! The target side: decides on offers of other cells. A reply is sent only once the decision
//! is durable, so that a repeated offer gets the same one.

use crate::capacity::{Amounts, CapacityReport, needed};
use crate::message::{CellError, Offer, Sender};
use crate::sender_terms::SenderTerms;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{InboundRecord, RefusalReason, TransferId};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds between two rounds in which records that one home needs no more are dropped: a
/// home asks once a second, and the last round is mostly written by then.
const DROP_EVERY_S: f64 = 1.0;

/// What the target knows of an offered job.
#[derive(Debug)]
pub struct TargetView<'a> {
    /// The record of a job of that id accepted from another cell.
    pub inbound: Option<&'a InboundRecord>,
    /// A job of that id is known here, wherever it came from.
    pub id_known: bool,
    /// It could run here at all.
    pub suitable: bool,
    /// The cell's room now.
    pub room: &'a CapacityReport,
}

/// What to do about an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It was accepted: say so.
    Accepted,
    /// Record the job, then say so.
    Accept,
    /// Record the refusal, then say so.
    Refuse(RefusalReason),
    /// Its record is under way.
    Busy,
}

/// Offers whose decision is being recorded, and capacity reserved for accepted jobs until
/// they first start.
#[derive(Debug)]
pub struct Inbound {
    cell: CellName,
    known: BTreeSet<CellName>,
    terms: SenderTerms,
    recording: BTreeSet<TransferId>,
    recording_max: usize,
    /// Capacity reserved for accepted jobs that haven't started yet.
    promised: BTreeMap<JobId, Reservation>,
    /// When records that a home needs no more are next dropped.
    next_drop: BTreeMap<CellName, f64>,
}

/// Capacity reserved for a job.
#[derive(Debug)]
struct Reservation {
    transfer: TransferId,
    amounts: Amounts,
}

impl Inbound {
    /// No offer under way, at this cell; `known` are the configured cells, and `recording_max`
    /// bounds the decisions being recorded at once.
    pub fn new(cell: CellName, known: BTreeSet<CellName>, recording_max: usize) -> Self {
        Self {
            cell,
            known,
            terms: SenderTerms::default(),
            recording: BTreeSet::new(),
            recording_max,
            promised: BTreeMap::new(),
            next_drop: BTreeMap::new(),
        }
    }

    /// Checks that a sender is a configured cell, and of its latest known term.
    pub fn admit(&mut self, sender: &Sender) -> Result<(), CellError> {
        self.terms.admit(&sender.cell, sender.term, &self.known)
    }

    /// Decides on an offer of a sender that was admitted.
    pub fn decide(&self, offer: &Offer, view: &TargetView<'_>) -> Result<Decision, CellError> {
        if offer.transfer.home == self.cell {
            return Err(CellError::HomeHere);
        }
        if offer.transfer.home != offer.sender.cell || offer.transfer.term > offer.sender.term {
            return Err(CellError::Malformed);
        }
        if view.inbound.is_some_and(|record| record.transfer == offer.transfer) {
            return Ok(Decision::Accepted);
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
        } else if !view.room.has_room(&offer.spec, &self.promised_in_all()) {
            RefusalReason::NoRoom
        } else {
            return Ok(Decision::Accept);
        };
        Ok(Decision::Refuse(reason))
    }

    /// A record about a transfer is being written.
    pub fn recording(&mut self, transfer: &TransferId) {
        self.recording.insert(transfer.clone());
    }

    /// It was written, or not.
    pub fn recorded(&mut self, transfer: &TransferId) {
        self.recording.remove(transfer);
    }

    /// Whether it is time to drop records that a home, admitted before, needs no more. Each home
    /// has a time of its own. (With one for all, whichever home asked first in each second took
    /// it, also one that had nothing to drop, and guests of another stayed for minutes.)
    pub fn drop_due(&mut self, now: f64, home: &CellName) -> bool {
        let next = self.next_drop.entry(home.clone()).or_insert(now);
        let due = now >= *next;
        if due {
            *next = now + DROP_EVERY_S;
        }
        due
    }

    /// Reserves capacity for a job, from now until it first starts.
    pub fn promise(&mut self, spec: &JobSpec, transfer: &TransferId) {
        let reservation = Reservation { transfer: transfer.clone(), amounts: needed(spec) };
        self.promised.insert(spec.id.clone(), reservation);
    }

    /// Drops the reservations of jobs that are neither being recorded nor waiting (`waits`)
    /// for their first start.
    pub fn keep_promises(&mut self, waits: impl Fn(&JobId) -> bool) {
        let recording = &self.recording;
        self.promised.retain(|job, promise| recording.contains(&promise.transfer) || waits(job));
    }

    /// The sum of all reservations.
    pub fn promised_in_all(&self) -> Amounts {
        let mut all = Amounts::default();
        self.promised.values().for_each(|promise| all.add(&promise.amounts));
        all
    }
}
