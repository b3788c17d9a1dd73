//! Handles the answers of other cells about jobs of this cell, and makes their outcome durable.

use super::{Call, Pending, cond, put};
use crate::consts::STORE_RETRY_S;
use crate::event::{ActionSink, OpId, Secs, StoreResult};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_cells::message::{CellError, CellReply, ExchangeReply, GuestState, GuestStatus};
use marblebarrow_cells::outbound::{Settlement, refusal_backoff};
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key, spec_key};
use marblebarrow_proto::transfer::{AcknowledgeRecord, acknowledge_key, cancel_wanted_key};
use marblebarrow_proto::wire::{Txn, Write};
use std::sync::Arc;

/// State service changes needed to delete a record.
const DROP_CHANGES: f64 = 1.0;
/// Most state service changes needed to record the end of a job that ran in another cell.
const FINISH_CHANGES: usize = 4;

impl Leader {
    /// Handles the answer of another cell, or the error that took its place.
    pub(crate) fn cell_answered(
        &mut self,
        now: Secs,
        op: OpId,
        answer: Result<Box<CellReply>, CellError>,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(cells) = &mut self.cells else { return };
        match (cells.calls.remove(&op), answer.map(|reply| *reply)) {
            (Some(Call::Offer { job, transfer, .. }), answer) => {
                let (reply, error) = match answer {
                    Ok(CellReply::Offer(reply)) => (Some(reply), None),
                    Ok(_) => (None, None),
                    Err(error) => (None, Some(error)),
                };
                if let Some(CellError::NoAnswer | CellError::NotLeader) = error {
                    cells.outbound.offer_unanswered(&job, &transfer);
                }
                let settled = cells.outbound.offer_answered(now, &job, &transfer, reply.as_ref());
                if let Some(settlement) = settled {
                    self.settle(now, &settlement, out);
                }
            }
            (Some(Call::Exchange { cell, sent }), answer) => {
                if let Err(CellError::NotLeader | CellError::NoAnswer) = answer {
                    return cells.outbound.exchange_failed(now, &cell);
                }
                cells.outbound.exchange_answered(&cell);
                if let Ok(CellReply::Exchange(reply)) = answer {
                    self.exchange_replied(now, &cell, sent, reply, replica, out);
                }
            }
            (None, _) => {}
        }
    }

    /// Makes a cell's verdict on an offer durable.
    fn settle(&mut self, now: Secs, settlement: &Settlement, out: &mut ActionSink) {
        let (Settlement::Accepted(id) | Settlement::Refused(id, _)) = settlement;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut record = SpecRecord::clone(&job.record);
        match settlement {
            Settlement::Accepted(_) => {
                self.log.debug(|| format!("event=transfer_accepted job={id}"));
                if let Some(forward) = &mut record.forward {
                    forward.accepted = true;
                }
            }
            Settlement::Refused(_, reason) => {
                self.log.debug(|| format!("event=transfer_refused job={id} why={reason:?}"));
                record.forward = None;
                record.refusals = record.refusals.saturating_add(1);
                job.offer_backoff_until = now + refusal_backoff(record.refusals, *reason);
                if let Some(cells) = &mut self.cells {
                    cells.counts.refusals_received += 1;
                }
            }
        }
        self.write_settlement(id, record, out);
    }

    fn write_settlement(&mut self, id: &JobId, record: SpecRecord, out: &mut ActionSink) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut writes = vec![put(spec_key(id), &record)];
        if record.forward.is_none() {
            // Clears the pending cancellation: the user repeats the request, which is then handled
            // in this cell.
            writes.push(Write::Delete { key: cancel_wanted_key(id) });
        }
        // Charged without waiting for the write rate, because the other cell already acts on its
        // verdict.
        self.writer.charge(writes.len() as f64);
        let txn = Txn { conditions: vec![cond(spec_key(id), job.spec_version)], writes };
        let (job, record) = (id.clone(), Box::new(record));
        self.commit_for_cells(txn, |_| Pending::Settle { job, record }, out);
    }

    /// Handles the outcome of writing a settlement. If the write failed, the offer is sent again
    /// and the target repeats its verdict.
    pub(super) fn settled(
        &mut self,
        now: Secs,
        job: JobId,
        record: SpecRecord,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Committed(version) => {
                self.apply_spec_record(now, &Arc::new(record), *version)
            }
            StoreResult::Refused => self.settle_later(now, &job),
            _ => self.read_again(job, out),
        }
    }

    fn settle_later(&mut self, now: Secs, job: &JobId) {
        if let Some(cells) = &mut self.cells {
            cells.outbound.settle_again(now + STORE_RETRY_S, job);
        }
    }

    fn exchange_replied(
        &mut self,
        now: Secs,
        cell: &CellName,
        sent: Secs,
        reply: ExchangeReply,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(cells) = &mut self.cells else { return };
        cells.capacity_reports.update(cell, reply.capacity, sent);
        for GuestStatus { job, transfer, state } in reply.statuses {
            if cells.outbound.apply_status(cell, &job, &transfer, state).is_some() {
                self.log.debug(|| format!("event=end_heard job={job} cell={cell}"));
            }
        }
        self.record_ends(now, replica, out);
        let drops: Vec<(JobId, u64)> = reply
            .dropped
            .into_iter()
            .filter_map(|job| {
                let (record, version) = replica.acknowledge.get(&job)?;
                (record.target == *cell).then_some((job, *version))
            })
            .collect();
        for (job, version) in drops {
            self.drop_record(acknowledge_key(&job), version, out);
        }
    }

    /// Deletes a record that is no longer needed if the write rate allows it; otherwise a later
    /// exchange does.
    pub(super) fn drop_record(&mut self, key: String, version: u64, out: &mut ActionSink) {
        if !self.writer.afford(DROP_CHANGES) {
            return;
        }
        let conditions = vec![cond(key.clone(), version)];
        let txn = Txn { conditions, writes: vec![Write::Delete { key }] };
        self.commit_for_cells(txn, |_| Pending::Drop, out);
    }

    /// Records the ends that other cells reported, in the order in which they were received, as far
    /// as the write rate allows. The rest wait for a later call.
    pub(super) fn record_ends(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        while self.writer.may_afford(FINISH_CHANGES as f64) {
            let next = self.cells.as_mut().and_then(|cells| cells.outbound.next_end(now));
            let Some((job, end)) = next else { return };
            self.finish_elsewhere(&job, end, replica, out);
        }
    }

    /// Records the end of a job that is durably over in another cell. The end becomes durable here
    /// before anybody is notified.
    fn finish_elsewhere(
        &mut self,
        id: &JobId,
        end: GuestState,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let forward = self.jobs.get(id).and_then(|job| job.record.forward.clone());
        let (Some(forward), Some(job)) = (forward, self.jobs.get(id)) else { return };
        let (version, tasks) = (job.spec_version, job.spec().tasks);
        let cancelled = end == GuestState::Cancelled;
        let acknowledge = AcknowledgeRecord { transfer: forward.transfer, target: forward.target };
        let mut conditions = vec![cond(spec_key(id), version), cond(end_key(id), 0)];
        let mut writes = vec![
            put(end_key(id), &EndRecord { cancelled, tasks }),
            put(acknowledge_key(id), &acknowledge),
            Write::Delete { key: spec_key(id) },
        ];
        if replica.cancel_wanted.contains(id) {
            writes.push(Write::Delete { key: cancel_wanted_key(id) });
        } else {
            conditions.push(cond(cancel_wanted_key(id), 0));
        }
        self.writer.charge(writes.len() as f64);
        let txn = Txn { conditions, writes };
        let job = id.clone();
        self.commit_for_cells(txn, |_| Pending::Finish { job, cancelled, tasks }, out);
    }

    /// Handles the outcome of recording the end of a job that ran in another cell.
    pub(super) fn finish_written(
        &mut self,
        now: Secs,
        job: JobId,
        cancelled: bool,
        tasks: u32,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Committed(_) => {
                self.log.debug(|| format!("event=end_recorded job={job}"));
                self.closed_elsewhere(now, &job, cancelled, tasks);
            }
            StoreResult::Refused => self.settle_later(now, &job),
            // The end may already be recorded.
            _ => self.read_again(job, out),
        }
    }

    /// Takes back the jobs transferred to a cell that an operator has declared lost.
    pub(super) fn reclaim_from_lost_cells(&mut self, replica: &Replica, out: &mut ActionSink) {
        let Some(cells) = &mut self.cells else { return };
        if replica.lost_cells.is_empty() {
            return;
        }
        let lost: Vec<JobId> = cells
            .outbound
            .iter()
            .filter(|(_, open)| replica.lost_cells.contains(&open.record.target))
            .map(|(job, _)| job.clone())
            .collect();
        for id in lost {
            let free = self.cells.as_mut().is_some_and(|cells| cells.outbound.begin_settling(&id));
            let Some(job) = self.jobs.get(&id).filter(|_| free) else { continue };
            let mut record = SpecRecord::clone(&job.record);
            record.forward = None;
            self.log.debug(|| format!("event=taken_back job={id}"));
            self.write_settlement(&id, record, out);
        }
    }
}
