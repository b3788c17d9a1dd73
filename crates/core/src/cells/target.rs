//! Target side of transfers: handles offers and exchanges from other cells.

use super::{Pending, cond, put};
use crate::event::{Action, ActionSink, ReplyTo, Secs, StoreRequest, StoreResult};
use crate::leader::Leader;
use crate::replica::Replica;
use crate::user_api::never_runs;
use marblebarrow_cells::inbound::{Decision, TargetView};
use marblebarrow_cells::message::{
    CellError, CellReply, Exchange, ExchangeReply, FinishedJob, GuestState, GuestStatus, Offer,
    OfferReply, TrackedJob, Verdict,
};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key, spec_key};
use marblebarrow_proto::transfer::{
    InboundRecord, RefusalReason, RefusalRecord, TransferId, inbound_key, lost_cell_key,
    refused_key,
};
use marblebarrow_proto::wire::Txn;
use std::sync::Arc;

/// State service changes needed to accept a job.
const ACCEPT_CHANGES: f64 = 2.0;
/// State service changes needed to record a refusal.
const REFUSE_CHANGES: f64 = 1.0;

/// Work for the controller that results from an exchange, besides its answer.
#[derive(Debug, Default)]
pub(crate) struct ExchangeWork {
    /// Jobs whose users have requested cancellation.
    pub(crate) cancel: Vec<JobId>,
    /// Jobs whose end record must be read, so that a later exchange can report it.
    pub(crate) read_end: Vec<JobId>,
}

impl Leader {
    /// Handles an offer from another cell.
    pub(crate) fn offered(
        &mut self,
        now: Secs,
        reply: ReplyTo,
        offer: Offer,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        match self.decide_on(now, &offer, replica) {
            Err(error) => self.refuse_request(reply, error, out),
            Ok(Decision::AlreadyAccepted) => {
                answer_offer(reply, offer.transfer, Verdict::Accepted, out)
            }
            Ok(Decision::Busy) => reply_busy(reply, out),
            Ok(Decision::Accept) => self.accept(reply, offer, out),
            Ok(Decision::Refuse(reason)) => self.refuse(reply, &offer, reason, replica, out),
        }
    }

    fn decide_on(
        &mut self,
        now: Secs,
        offer: &Offer,
        replica: &Replica,
    ) -> Result<Decision, CellError> {
        // Free capacity is unknown until all running tasks are known.
        if self.loading.is_some() || self.recovering {
            return Ok(Decision::Busy);
        }
        self.release_reservations();
        let room = self.capacity_report(now);
        let suitable = never_runs(&offer.spec, &self.facts, &self.cloud_requests.types).is_none()
            && self.team_has_room(&offer.spec);
        let job = &offer.spec.id;
        let view = TargetView {
            inbound: replica.inbound.get(job).map(|(record, _)| record),
            id_known: replica.specs.contains_key(job) || self.jobs.contains_key(job),
            suitable,
            room: &room,
        };
        let Some(cells) = &mut self.cells else { return Err(CellError::UnknownCell) };
        cells.inbound.admit(&offer.sender)?;
        cells.inbound.decide(offer, &view)
    }

    /// Rejects an invalid request.
    pub(crate) fn refuse_request(
        &mut self,
        reply: ReplyTo,
        error: CellError,
        out: &mut ActionSink,
    ) {
        if let Some(cells) = &mut self.cells {
            cells.counts.bad_requests += 1;
        }
        out.actions.push(Action::CellReply(reply, Err(error)));
    }

    /// Records the acceptance of another cell's job. The transaction fails if the transfer was
    /// refused before or if the job id is already in use in this cell.
    fn accept(&mut self, reply: ReplyTo, offer: Offer, out: &mut ActionSink) {
        if !self.writer.afford(ACCEPT_CHANGES) {
            return reply_busy(reply, out);
        }
        let id = offer.spec.id.clone();
        let mut record = SpecRecord::submitted(offer.spec.clone(), offer.at_ms);
        record.origin = Some(offer.transfer.clone());
        let inbound = InboundRecord { transfer: offer.transfer.clone() };
        let txn = Txn {
            conditions: vec![
                cond(spec_key(&id), 0),
                cond(end_key(&id), 0),
                cond(inbound_key(&id), 0),
                cond(refused_key(&offer.transfer), 0),
            ],
            writes: vec![put(spec_key(&id), &record), put(inbound_key(&id), &inbound)],
        };
        if let Some(cells) = &mut self.cells {
            cells.inbound.recording(&offer.transfer);
            cells.inbound.reserve(&offer.spec, &offer.transfer);
        }
        let offer = Box::new(offer);
        self.commit_for_cells(txn, |_| Pending::Accept { reply, offer }, out);
    }

    /// Handles the outcome of recording an acceptance.
    pub(super) fn accept_written(
        &mut self,
        (now, wall_ms): (Secs, u64),
        reply: ReplyTo,
        offer: Offer,
        result: &StoreResult,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        if let Some(cells) = &mut self.cells {
            cells.inbound.recorded(&offer.transfer);
        }
        let id = &offer.spec.id;
        match result {
            StoreResult::Committed(version) => {
                let mut record = SpecRecord::submitted(offer.spec.clone(), offer.at_ms);
                record.origin = Some(offer.transfer.clone());
                self.log.debug(|| format!("event=accepted job={id} transfer={}", offer.transfer));
                self.add_job(now, wall_ms, Arc::new(record), *version, false);
                answer_offer(reply, offer.transfer, Verdict::Accepted, out);
            }
            StoreResult::Conflict(keys) if keys.contains(&refused_key(&offer.transfer)) => {
                self.read_refusal(reply, offer.transfer, out);
            }
            StoreResult::Conflict(keys) if keys.contains(&inbound_key(id)) => {
                reply_busy(reply, out)
            }
            // Another job with this id exists or existed in this cell.
            StoreResult::Conflict(_) => {
                self.refuse(reply, &offer, RefusalReason::IdInUse, replica, out);
            }
            StoreResult::Rejected => {
                self.refuse(reply, &offer, RefusalReason::Unsuitable, replica, out);
            }
            // The acceptance may have been recorded. The sender repeats the offer, which is then
            // decided by the records in the store.
            _ => reply_busy(reply, out),
        }
    }

    /// Records a refusal, so that no delayed copy of the offer can be accepted later.
    fn refuse(
        &mut self,
        reply: ReplyTo,
        offer: &Offer,
        reason: RefusalReason,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        if !self.writer.afford(REFUSE_CHANGES) {
            return reply_busy(reply, out);
        }
        let id = &offer.spec.id;
        let transfer = offer.transfer.clone();
        let inbound = replica.inbound.get(id).map_or(0, |(_, version)| *version);
        let key = refused_key(&transfer);
        // The second condition fails if the job was accepted by a transaction that the replica has
        // not seen yet.
        let conditions = vec![cond(key.clone(), 0), cond(inbound_key(id), inbound)];
        let txn = Txn { conditions, writes: vec![put(key, &RefusalRecord { reason })] };
        if let Some(cells) = &mut self.cells {
            cells.inbound.recording(&transfer);
        }
        self.commit_for_cells(txn, |_| Pending::Refuse { reply, transfer, reason }, out);
    }

    /// Handles the outcome of recording a refusal.
    pub(super) fn refusal_written(
        &mut self,
        reply: ReplyTo,
        transfer: TransferId,
        reason: RefusalReason,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        if let Some(cells) = &mut self.cells {
            cells.inbound.recorded(&transfer);
        }
        match result {
            StoreResult::Committed(_) => {
                if let Some(cells) = &mut self.cells {
                    cells.counts.refusals_given += 1;
                }
                answer_offer(reply, transfer, Verdict::Refused(reason), out);
            }
            StoreResult::Conflict(keys) if keys.contains(&refused_key(&transfer)) => {
                self.read_refusal(reply, transfer, out);
            }
            _ => reply_busy(reply, out),
        }
    }

    fn read_refusal(&mut self, reply: ReplyTo, transfer: TransferId, out: &mut ActionSink) {
        let Some(cells) = &mut self.cells else { return };
        let op = out.store(StoreRequest::Get(refused_key(&transfer)));
        cells.pending.insert(op, Pending::ReadRefusal { reply, transfer });
    }

    /// Handles the answer to a read of a refusal that was recorded earlier.
    pub(super) fn refusal_read(
        &mut self,
        reply: ReplyTo,
        transfer: TransferId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Value(Some(item)) => {
                let reason = from_value::<RefusalRecord>(&item.value)
                    .map_or(RefusalReason::Other, |record| record.reason);
                answer_offer(reply, transfer, Verdict::Refused(reason), out);
            }
            _ => reply_busy(reply, out),
        }
    }

    /// Handles the exchange of a home cell's leader, which requests the state of its jobs in this
    /// cell and this cell's free capacity. `terminal` returns the end record of a job if it is
    /// known to be in the state service.
    pub(crate) fn exchange(
        &mut self,
        now: Secs,
        exchange: &Exchange,
        replica: &Replica,
        terminal: impl Fn(&JobId) -> Option<EndRecord>,
        out: &mut ActionSink,
    ) -> Result<(ExchangeReply, ExchangeWork), CellError> {
        let Some(cells) = &mut self.cells else { return Err(CellError::UnknownCell) };
        cells.inbound.admit(&exchange.sender)?;
        if self.loading.is_some() {
            return Err(CellError::Busy);
        }
        cells.guest_ends.polled(now, &exchange.sender.cell);
        self.ends_reported(now, &exchange.sender.cell, &exchange.ended, replica, out);
        self.release_reservations();
        let mut work = ExchangeWork::default();
        let statuses = exchange
            .tracked
            .iter()
            .filter_map(|tracked| self.status_of(tracked, replica, &terminal, &mut work))
            .collect();
        let dropped = self.drop_finished(now, exchange, replica, out);
        let mut capacity = self.capacity_report_for_others(now);
        if self.recovering {
            capacity.rooms.clear();
        }
        Ok((ExchangeReply { capacity, statuses, dropped }, work))
    }

    /// Returns the state of another cell's job, if it is known here under the given transfer.
    fn status_of(
        &self,
        tracked: &TrackedJob,
        replica: &Replica,
        terminal: &impl Fn(&JobId) -> Option<EndRecord>,
        work: &mut ExchangeWork,
    ) -> Option<GuestStatus> {
        let id = &tracked.job;
        let (record, _) = replica.inbound.get(id)?;
        if record.transfer != tracked.transfer {
            return None;
        }
        let state = match (terminal(id), self.jobs.get(id)) {
            (Some(end), _) if end.cancelled => GuestState::Cancelled,
            (Some(_), _) => GuestState::Done,
            // The cancellation mark is written in the same transaction as the end.
            (None, _) if replica.is_cancelled(id) => GuestState::Cancelled,
            (None, Some(job)) => {
                if tracked.cancel {
                    work.cancel.push(id.clone());
                }
                GuestState::Open { done: job.finished.len(), running: job.running() }
            }
            (None, None) => {
                work.read_end.push(id.clone());
                return None;
            }
        };
        Some(GuestStatus { job: id.clone(), transfer: tracked.transfer.clone(), state })
    }

    /// Returns the finished jobs of which no record is left for their home cell. If a round of
    /// deletions is due, deletes the records of the other finished jobs whose spec is gone.
    fn drop_finished(
        &mut self,
        now: Secs,
        exchange: &Exchange,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> Vec<JobId> {
        let finished = &exchange.finished;
        let matching = |f: &FinishedJob| {
            let (record, version) = replica.inbound.get(&f.job)?;
            (record.transfer == f.transfer).then_some(*version)
        };
        let gone = finished.iter().filter(|f| matching(f).is_none());
        let dropped = gone.map(|f| f.job.clone()).collect();
        let due = self
            .cells
            .as_mut()
            .is_some_and(|cells| cells.inbound.drop_due(now, &exchange.sender.cell));
        for f in finished.iter().filter(|_| due) {
            // The inbound record is kept as long as the job's spec: for a cancelled job, until all
            // its tasks are gone.
            let over = !replica.specs.contains_key(&f.job);
            if let Some(version) = matching(f).filter(|_| over) {
                self.drop_record(inbound_key(&f.job), version, out);
            }
        }
        dropped
    }

    /// Records an operator's declaration that a cell is permanently lost.
    pub(crate) fn declare_lost(&mut self, reply: ReplyTo, cell: CellName, out: &mut ActionSink) {
        let known = self
            .cells
            .as_ref()
            .is_some_and(|cells| cells.settings.others.iter().any(|other| other.name == cell));
        if !known {
            return self.refuse_request(reply, CellError::UnknownCell, out);
        }
        let txn = Txn { conditions: Vec::new(), writes: vec![put(lost_cell_key(&cell), &true)] };
        self.commit_for_cells(txn, |_| Pending::DeclareLost { reply }, out);
    }

    /// Handles the outcome of recording that a cell was declared lost.
    pub(super) fn declare_lost_written(reply: ReplyTo, result: &StoreResult, out: &mut ActionSink) {
        let answer = match result {
            StoreResult::Committed(_) => Ok(Box::new(CellReply::DeclaredLost)),
            _ => Err(CellError::Busy),
        };
        out.actions.push(Action::CellReply(reply, answer));
    }
}

fn answer_offer(reply: ReplyTo, transfer: TransferId, verdict: Verdict, out: &mut ActionSink) {
    let answer = CellReply::Offer(OfferReply { transfer, verdict });
    out.actions.push(Action::CellReply(reply, Ok(Box::new(answer))));
}

fn reply_busy(reply: ReplyTo, out: &mut ActionSink) {
    out.actions.push(Action::CellReply(reply, Err(CellError::Busy)));
}
