//! Job transfers to and from other cells, as carried out by the leader.
//!
//! - `home`: offers waiting jobs of this cell to other cells.
//! - `staying`: records why the remaining jobs are not offered.
//! - `settle`: makes the answers of other cells durable.
//! - `target`: decides on jobs that other cells offer.
//! - `guest_ends`: reports the ends of other cells' jobs to home cells that do not poll.
//! - `room`: computes the free capacity that this cell reports.
//!
//! The state service holds the authoritative record of every transfer. The state in this module may
//! be lost with the leader at any moment; the next leader loads the records and continues from
//! them.

mod guest_ends;
mod home;
mod room;
mod settle;
mod staying;
mod target;

use crate::event::{ActionSink, OpId, ReplyTo, Secs, StoreRequest, StoreResult};
use crate::leader::{Leader, WriteOutcome};
use crate::replica::Replica;
use guest_ends::GuestEnds;
use marblebarrow_cells::capacity::{CapacityReport, CapacityReports};
use marblebarrow_cells::inbound::Inbound;
use marblebarrow_cells::message::{
    CellOverview, CellReply, Counts, Offer, Overview, TransferOverview,
};
use marblebarrow_cells::outbound::{CALL_TIMEOUT_S, Outbound};
use marblebarrow_cells::policy::Policy;
use marblebarrow_cells::settings::CellsSettings;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{self, SpecRecord};
use marblebarrow_proto::transfer::{RefusalReason, TransferId};
use marblebarrow_proto::wire::{Condition, Txn, Write};
use staying::StayingJobs;
use std::collections::HashMap;
use std::sync::Arc;

/// A state service request that is waiting for its answer.
#[derive(Debug)]
enum Pending {
    /// Records the intent to offer a job. The transaction is repeated until its outcome is known.
    Intent { job: JobId, txn: Txn, record: Box<SpecRecord> },
    /// Updates a job's record after an answer to its offer, or after its target cell was declared
    /// lost.
    Settle { job: JobId, record: Box<SpecRecord> },
    /// Records the end of a job that ran in another cell.
    Finish { job: JobId, cancelled: bool, tasks: u32 },
    /// Reads a job's record again after a condition on it failed.
    Reread { job: JobId },
    /// Reads the end record of a job that ran in another cell.
    ReadEnd { job: JobId },
    /// Reads the end record of another cell's job that ran in this cell.
    ReadGuestEnd { job: JobId },
    /// Deletes a record that is no longer needed.
    Drop,
    /// Records the acceptance of another cell's job.
    Accept { reply: ReplyTo, offer: Box<Offer> },
    /// Records the refusal of an offer.
    Refuse { reply: ReplyTo, transfer: TransferId, reason: RefusalReason },
    /// Reads a refusal that was recorded earlier.
    ReadRefusal { reply: ReplyTo, transfer: TransferId },
    /// Records that an operator declared a cell lost.
    DeclareLost { reply: ReplyTo },
}

/// A state service request to be retried.
#[derive(Debug)]
enum Retry {
    /// Repeat the transaction of a transfer intent whose outcome is unknown.
    Intent { job: JobId, txn: Txn, record: Box<SpecRecord> },
    /// Read a job's record.
    Reread(JobId),
    /// Read a job's end record.
    ReadEnd(JobId),
}

/// A request to another cell that is waiting for its answer.
#[derive(Debug)]
enum Call {
    Offer { job: JobId, transfer: TransferId, sent: Secs },
    Exchange { cell: CellName, sent: Secs },
}

impl Call {
    fn sent(&self) -> Secs {
        match self {
            Self::Offer { sent, .. } | Self::Exchange { sent, .. } => *sent,
        }
    }
}

/// The leader's state for transfers between cells.
#[derive(Debug)]
pub(crate) struct Cells {
    settings: Arc<CellsSettings>,
    policy: Option<Policy>,
    outbound: Outbound,
    inbound: Inbound,
    guest_ends: GuestEnds,
    capacity_reports: CapacityReports,
    counts: Counts,
    pending: HashMap<OpId, Pending>,
    calls: HashMap<OpId, Call>,
    /// Sequence number of the last capacity report made.
    sequence: u64,
    /// The last capacity report, and when it was made.
    report: Option<(Secs, CapacityReport)>,
    /// State service requests that failed or whose outcome is unknown, and when to retry each.
    retries: Vec<(Secs, Retry)>,
    /// When waiting jobs are next scanned for those that may move.
    next_scan: Secs,
    /// Why each waiting job is not offered, as of the last scan.
    staying: StayingJobs,
    /// The array restricted to this cell that was last placed before services.
    pub(crate) starved_array: Option<JobId>,
}

impl Cells {
    /// Creates the state of a new leader, with no transfer in flight.
    pub(crate) fn new(settings: Arc<CellsSettings>, now: Secs) -> Self {
        let known = settings.others.iter().map(|other| other.name.clone()).collect();
        // `CellsSettings::parse` has already compiled this script, so it cannot fail here.
        let policy = settings.policy.as_deref().and_then(|script| Policy::compile(script).ok());
        Self {
            inbound: Inbound::new(settings.name.clone(), known, settings.transfers_max),
            settings,
            policy,
            outbound: Outbound::default(),
            guest_ends: GuestEnds::new(now),
            capacity_reports: CapacityReports::default(),
            counts: Counts::default(),
            pending: HashMap::new(),
            calls: HashMap::new(),
            sequence: 0,
            report: None,
            retries: Vec::new(),
            next_scan: now,
            staying: StayingJobs::default(),
            starved_array: None,
        }
    }
}

impl Leader {
    /// Runs the periodic work on transfers: retries, recording of ends, new offers and exchanges.
    pub(crate) fn cells_tick(
        &mut self,
        now: Secs,
        wall_ms: u64,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        if self.cells.is_none() {
            return;
        }
        if let Some(cells) = &mut self.cells {
            cells.calls.retain(|_, call| now - call.sent() < CALL_TIMEOUT_S);
        }
        self.retry_store(now, out);
        // Ends are recorded before new transfers start, because the outcome of a finished job
        // matters more than where a waiting job runs.
        self.record_ends(now, replica, out);
        self.offer_waiting_jobs(now, replica, out);
        self.reclaim_from_lost_cells(replica, out);
        self.send_offers(now, wall_ms, replica, out);
        self.send_exchanges(now, replica, out);
    }

    /// Commits a transaction that takes effect only while this controller is the leader.
    fn commit_for_cells(
        &mut self,
        mut txn: Txn,
        pending: impl FnOnce(Txn) -> Pending,
        out: &mut ActionSink,
    ) {
        txn.conditions
            .insert(0, Condition { key: records::LEADER_KEY.into(), version: self.version });
        let Some(cells) = &mut self.cells else { return };
        let op = out.store(StoreRequest::Commit(txn.clone()));
        cells.pending.insert(op, pending(txn));
    }

    /// Handles an answer of the state service, and returns whether its request came from this
    /// module.
    pub(crate) fn cells_written(
        &mut self,
        now: Secs,
        wall_ms: u64,
        op: OpId,
        result: &StoreResult,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> WriteOutcome {
        let Some(pending) = self.cells.as_mut().and_then(|cells| cells.pending.remove(&op)) else {
            return WriteOutcome::Unrelated;
        };
        if let StoreResult::Conflict(keys) = result
            && keys.iter().any(|key| key == records::LEADER_KEY)
        {
            return WriteOutcome::NotLeading;
        }
        match pending {
            Pending::Intent { job, txn, record } => {
                self.intent_written(now, job, txn, record, result, out);
            }
            Pending::Settle { job, record } => self.settled(now, job, *record, result, out),
            Pending::Finish { job, cancelled, tasks } => {
                self.finish_written(now, job, cancelled, tasks, result, out);
            }
            Pending::Reread { job } => self.reread(now, job, result, out),
            Pending::ReadEnd { job } => self.end_read(now, job, result),
            Pending::ReadGuestEnd { job } => self.guest_end_read(&job, result),
            Pending::Drop => {}
            Pending::Accept { reply, offer } => {
                self.accept_written((now, wall_ms), reply, *offer, result, replica, out);
            }
            Pending::Refuse { reply, transfer, reason } => {
                self.refusal_written(reply, transfer, reason, result, out);
            }
            Pending::ReadRefusal { reply, transfer } => {
                self.refusal_read(reply, transfer, result, out);
            }
            Pending::DeclareLost { reply } => Self::declare_lost_written(reply, result, out),
        }
        WriteOutcome::Handled
    }

    /// Returns the overview of this cell that operators request.
    pub(crate) fn cells_overview(&self, now: Secs, replica: &Replica) -> Option<CellReply> {
        let cells = self.cells.as_ref()?;
        let others = cells.settings.others.iter().map(|other| {
            let report = cells.capacity_reports.last(&other.name);
            CellOverview {
                cell: other.name.clone(),
                last_answer_age_s: cells.capacity_reports.last_answer_age(&other.name, now),
                free_cpus: report.map_or(0.0, CapacityReport::free_cpus),
                rentable: report.map_or(0, CapacityReport::rentable),
                backlog: report.map_or(0, |report| report.backlog),
                lost: replica.lost_cells.contains(&other.name),
            }
        });
        let transfers = cells.outbound.iter().map(|(job, open)| TransferOverview {
            job: job.clone(),
            target: open.record.target.clone(),
            accepted: open.record.accepted,
            age_s: now - open.since,
            cancel_wanted: replica.cancel_wanted.contains(job),
        });
        Some(CellReply::Overview(Box::new(Overview {
            cell: cells.settings.name.clone(),
            term: self.term.0,
            cells: others.collect(),
            transfers: transfers.collect(),
            guests: replica.inbound.len() as u32,
            counts: cells.counts,
            staying: cells.staying.counts(),
        })))
    }
}

/// Builds a transaction condition on a key's version.
fn cond(key: String, version: u64) -> Condition {
    Condition { key, version }
}

/// Builds a write of a CBOR-encoded value.
fn put(key: String, value: &impl serde::Serialize) -> Write {
    Write::Put { key, value: marblebarrow_proto::cbor::to_value(value), lease: None }
}
