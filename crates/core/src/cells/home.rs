//! Home side of transfers: offers jobs of this cell to other cells.

use super::staying::waits_at_home;
use super::{Call, Cells, Pending, Retry, cond, put};
use crate::consts::STORE_RETRY_S;
use crate::event::{Action, ActionSink, Secs, StoreRequest, StoreResult, TaskCounts};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_cells::capacity::RoomRequest;
use marblebarrow_cells::choice::Choice;
use marblebarrow_cells::message::{CellRequest, Exchange, Offer, Sender};
use marblebarrow_cells::outbound::{DueOffer, finished_for};
use marblebarrow_cells::stay::StayReason;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::{EndRecord, SpecRecord, end_key, progress_key, spec_key};
use marblebarrow_proto::transfer::{ForwardRecord, TransferId};
use marblebarrow_proto::wire::Txn;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Seconds between scans for jobs that may move. Such jobs have already waited for much longer.
const SCAN_INTERVAL_S: f64 = 0.5;
/// State service changes needed to record the intent of a transfer.
const INTENT_CHANGES: f64 = 1.0;

impl Cells {
    /// Returns the cells that may be offered another job. Each cell has its own limit on transfers
    /// without an answer, so that an unreachable cell does not block transfers to the others.
    fn cells_below_transfer_limit(&self, replica: &Replica) -> Vec<CellName> {
        let others = self.settings.others.iter().map(|other| &other.name);
        let known = others.filter(|name| !replica.lost_cells.contains(name));
        let below = known.filter(|name| self.in_flight_to(name) < self.settings.transfers_max);
        below.cloned().collect()
    }

    /// Counts the transfers to a cell that are being recorded or are waiting for its answer.
    fn in_flight_to(&self, cell: &CellName) -> usize {
        let to_cell = |pending: &&Pending| {
            let Pending::Intent { record, .. } = pending else { return false };
            record.forward.as_ref().is_some_and(|forward| forward.target == *cell)
        };
        let recorded = self.outbound.in_doubt_with(cell);
        recorded + self.pending.values().filter(to_cell).count()
    }
}

impl Leader {
    /// Applies the transfer in a job's record, if any, to the in-memory state.
    pub(crate) fn apply_forward(&mut self, now: Secs, id: &JobId) {
        let (Some(cells), Some(job)) = (&mut self.cells, self.jobs.get_mut(id)) else { return };
        let forward = job.record.forward.as_ref();
        job.blocked_by_transfer = forward.is_some();
        cells.outbound.apply_record(now, &job.record.spec, forward);
    }

    /// Applies a newer version of a known job's record.
    pub(crate) fn apply_spec_record(&mut self, now: Secs, record: &Arc<SpecRecord>, version: u64) {
        let id = record.spec.id.clone();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if version <= job.spec_version {
            return;
        }
        job.spec_version = version;
        job.record = record.clone();
        self.apply_forward(now, &id);
        self.place_due = true;
    }

    /// Returns the task counts of a job that another cell has accepted.
    pub(crate) fn remote_task_counts(&self, id: &JobId) -> Option<TaskCounts> {
        let open = self.cells.as_ref()?.outbound.get(id)?;
        let (done, running) = open.counts;
        open.record.accepted.then_some(TaskCounts { done, running })
    }

    /// Records the intent to transfer each job that has waited long enough and that renting
    /// machines cannot help. For every other waiting job, records why it is not offered.
    pub(super) fn offer_waiting_jobs(
        &mut self,
        now: Secs,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(cells) = &mut self.cells else { return };
        if now < cells.next_scan {
            return;
        }
        cells.next_scan = now + SCAN_INTERVAL_S;
        let (mut movable, mut staying) = (Vec::new(), BTreeMap::new());
        for (id, job) in self.jobs.iter().filter(|(_, job)| waits_at_home(job)) {
            match self.stay_reason(now, job) {
                Some(reason) => {
                    staying.insert(id.clone(), reason);
                }
                None => movable.push((job.arrived, id.clone())),
            }
        }
        movable.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let movable = movable.into_iter().map(|(_, id)| id).collect();
        staying.extend(self.begin_transfers(now, movable, replica, out));
        self.record_staying(now, staying);
    }

    /// Starts the transfers of these jobs in the given order, and returns the jobs that were not
    /// transferred, with the reason. A job that no cell has room for does not block later jobs with
    /// different requirements.
    fn begin_transfers(
        &mut self,
        now: Secs,
        jobs: Vec<JobId>,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> Vec<(JobId, StayReason)> {
        let mut staying = Vec::new();
        let mut without_room = HashSet::new();
        let mut reason_for_all = None;
        for id in jobs {
            let Some(request) = self.jobs.get(&id).map(|job| RoomRequest::of(job.spec())) else {
                continue;
            };
            let begun = match reason_for_all {
                Some(reason) => Err(reason),
                None if without_room.contains(&request) => Err(StayReason::NoCellWithRoom),
                None => self.begin_transfer(now, &id, replica, out),
            };
            let Err(reason) = begun else { continue };
            match reason {
                StayReason::NoCellWithRoom => {
                    without_room.insert(request);
                }
                StayReason::RecordTooLarge => {}
                reason => reason_for_all = Some(reason),
            }
            staying.push((id, reason));
        }
        staying
    }

    /// Chooses a cell and records the intent to transfer the job, or returns the reason why it
    /// stays.
    fn begin_transfer(
        &mut self,
        now: Secs,
        id: &JobId,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> Result<(), StayReason> {
        let Some(record) = self.jobs.get(id).map(|job| job.record.clone()) else {
            return Err(StayReason::NoCellWithRoom);
        };
        let target = self.choose_cell(now, &record.spec, replica)?;
        if !self.transfer_fits(&record, &target) {
            return Err(StayReason::RecordTooLarge);
        }
        if !self.writer.afford(INTENT_CHANGES) {
            return Err(StayReason::StoreRate);
        }
        let (Some(cells), Some(job)) = (&mut self.cells, self.jobs.get_mut(id)) else {
            return Err(StayReason::NoCellWithRoom);
        };
        let transfer = cells.outbound.new_transfer(&cells.settings.name, self.term.0);
        self.log.debug(|| format!("event=transfer job={id} target={target} transfer={transfer}"));
        let mut intended = SpecRecord::clone(&record);
        intended.forward = Some(ForwardRecord { transfer, target, accepted: false });
        // From here on no task of the job is started in this cell, whatever the outcome of the
        // transaction.
        job.blocked_by_transfer = true;
        let conditions = vec![
            cond(spec_key(id), job.spec_version),
            cond(end_key(id), 0),
            cond(progress_key(id, 0), 0),
        ];
        let txn = Txn { conditions, writes: vec![put(spec_key(id), &intended)] };
        let (job, record) = (id.clone(), Box::new(intended));
        self.commit_for_cells(txn, |txn| Pending::Intent { job, txn, record }, out);
        Ok(())
    }

    /// Whether the job's record fits a value of the state service throughout a transfer, whatever
    /// the other cell answers. Otherwise the offer or its verdict could not be recorded.
    fn transfer_fits(&self, record: &SpecRecord, target: &CellName) -> bool {
        let Some(cells) = &self.cells else { return false };
        let home = cells.settings.name.clone();
        let transfer = TransferId { home, term: self.term.0, number: u32::MAX };
        let mut largest = record.clone();
        largest.forward = Some(ForwardRecord { transfer, target: target.clone(), accepted: false });
        largest.refusals = u32::MAX;
        self.writer.record_fits(&largest)
    }

    fn choose_cell(
        &mut self,
        now: Secs,
        spec: &JobSpec,
        replica: &Replica,
    ) -> Result<CellName, StayReason> {
        let cells = self.cells.as_ref().ok_or(StayReason::NoCellWithRoom)?;
        let names = cells.cells_below_transfer_limit(replica);
        if names.is_empty() {
            return Err(StayReason::TransfersAtLimit);
        }
        let choice = Choice {
            cells: &names,
            capacity_reports: &cells.capacity_reports,
            reserved: &cells.outbound.reserved(),
            now,
            report_age_s: cells.settings.report_age_s,
            policy: cells.policy.as_ref(),
        };
        let chosen = choice.choose(spec, &mut self.rng).ok_or(StayReason::NoCellWithRoom)?;
        if let Some(error) = &chosen.policy_error {
            self.log.debug(|| format!("event=policy_failed job={} why=\"{error}\"", spec.id));
        }
        Ok(chosen.cell)
    }

    /// Handles the outcome of recording an intent. An unknown outcome is resolved by repeating the
    /// transaction, whose conditions let it take effect at most once.
    pub(super) fn intent_written(
        &mut self,
        now: Secs,
        job: JobId,
        txn: Txn,
        record: Box<SpecRecord>,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Committed(version) => {
                self.apply_spec_record(now, &Arc::new(*record), *version)
            }
            StoreResult::Conflict(_) | StoreResult::Rejected => self.read_again(job, out),
            _ => self.retry_later(now, Retry::Intent { job, txn, record }),
        }
    }

    fn retry_later(&mut self, now: Secs, retry: Retry) {
        if let Some(cells) = &mut self.cells {
            cells.retries.push((now + STORE_RETRY_S, retry));
        }
    }

    /// Repeats the state service requests that are due for a retry.
    pub(super) fn retry_store(&mut self, now: Secs, out: &mut ActionSink) {
        let Some(cells) = &mut self.cells else { return };
        for (_, retry) in cells.retries.extract_if(.., |(at, _)| now >= *at) {
            let (request, pending) = match retry {
                Retry::Intent { job, txn, record } => {
                    (StoreRequest::Commit(txn.clone()), Pending::Intent { job, txn, record })
                }
                Retry::Reread(job) => (StoreRequest::Get(spec_key(&job)), Pending::Reread { job }),
                Retry::ReadEnd(job) => (StoreRequest::Get(end_key(&job)), Pending::ReadEnd { job }),
            };
            cells.pending.insert(out.store(request), pending);
        }
    }

    pub(super) fn read_again(&mut self, job: JobId, out: &mut ActionSink) {
        let Some(cells) = &mut self.cells else { return };
        let op = out.store(StoreRequest::Get(spec_key(&job)));
        cells.pending.insert(op, Pending::Reread { job });
    }

    /// Handles the answer to a repeated read of a job's record.
    pub(super) fn reread(
        &mut self,
        now: Secs,
        job: JobId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Value(Some(item)) => {
                if let Ok(record) = from_value::<SpecRecord>(&item.value) {
                    self.apply_spec_record(now, &Arc::new(record), item.version);
                }
                // The attempted write did not take effect and never will, because the condition
                // that it failed on is permanent.
                self.apply_forward(now, &job);
                if let Some(cells) = &mut self.cells {
                    cells.outbound.settle_again(now, &job);
                }
            }
            // The job is over. For a job that ran in this cell, the writer handles the end.
            StoreResult::Value(None) => {
                let away = self.jobs.get(&job).is_some_and(|j| j.record.forward.is_some());
                if let Some(cells) = self.cells.as_mut().filter(|_| away) {
                    let op = out.store(StoreRequest::Get(end_key(&job)));
                    cells.pending.insert(op, Pending::ReadEnd { job });
                }
            }
            _ => self.retry_later(now, Retry::Reread(job)),
        }
    }

    /// Handles the answer to a read of the end record of a job that ran in another cell.
    pub(super) fn end_read(&mut self, now: Secs, job: JobId, result: &StoreResult) {
        let end = match result {
            StoreResult::Value(Some(item)) => from_value::<EndRecord>(&item.value).ok(),
            _ => None,
        };
        match end {
            Some(end) => self.closed_elsewhere(now, &job, end.cancelled, end.tasks),
            None => self.retry_later(now, Retry::ReadEnd(job)),
        }
    }

    pub(super) fn closed_elsewhere(&mut self, now: Secs, job: &JobId, cancelled: bool, tasks: u32) {
        if let Some(cells) = &mut self.cells {
            cells.outbound.forget(job);
        }
        self.closed(now, job, cancelled, tasks);
    }

    /// Sends the offers that are due, up to the limit on offers in flight.
    pub(super) fn send_offers(
        &mut self,
        now: Secs,
        wall_ms: u64,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(cells) = &mut self.cells else { return };
        let offers_in_flight =
            cells.calls.values().filter(|c| matches!(c, Call::Offer { .. })).count();
        let bound = cells.settings.transfers_max * cells.settings.others.len();
        let maximum = bound.saturating_sub(offers_in_flight);
        for DueOffer { job, transfer, target } in cells.outbound.due_offers(now, maximum) {
            let Some(record) = self.jobs.get(&job).map(|j| j.record.clone()) else { continue };
            let offer = Offer {
                sender: Sender { cell: cells.settings.name.clone(), term: self.term.0 },
                transfer: transfer.clone(),
                spec: record.spec.clone(),
                at_ms: record.at_ms.min(wall_ms),
                withdraw: replica.cancel_wanted.contains(&job),
            };
            cells.counts.offers_sent += 1;
            let request = Box::new(CellRequest::Offer(Box::new(offer)));
            let op = out.op();
            cells.calls.insert(op, Call::Offer { job, transfer, sent: now });
            out.actions.push(Action::CellCall { op, cell: target, request });
        }
    }

    /// Sends the periodic exchange to each other cell: requests its free capacity and the state of
    /// the jobs transferred to it.
    pub(super) fn send_exchanges(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let Some(cells) = &mut self.cells else { return };
        let names: Vec<CellName> =
            cells.settings.others.iter().map(|other| other.name.clone()).collect();
        for cell in names {
            let Some(cells) = &mut self.cells else { return };
            if replica.lost_cells.contains(&cell) || !cells.outbound.exchange_due(now, &cell) {
                continue;
            }
            let ended = self.ends_to_report(now, &cell, replica, out);
            let Some(cells) = &mut self.cells else { return };
            let exchange = Exchange {
                sender: Sender { cell: cells.settings.name.clone(), term: self.term.0 },
                tracked: cells.outbound.next_tracked_jobs(&cell, &replica.cancel_wanted),
                finished: finished_for(
                    &cell,
                    replica.acknowledge.iter().map(|(job, (record, _))| (job, record)),
                ),
                ended,
            };
            let request = Box::new(CellRequest::Exchange(exchange));
            let op = out.op();
            cells.calls.insert(op, Call::Exchange { cell: cell.clone(), sent: now });
            out.actions.push(Action::CellCall { op, cell, request });
        }
    }
}
