//! Messages between cells as gRPC has them, and back. Whatever comes is checked; what makes
//! no sense is refused with the fitting status.

use crate::capacity::{Amounts, CapacityReport, REPORT_ITEMS_MAX, Room};
use crate::message::*;
use crate::outbound::EXCHANGE_JOBS_MAX;
use crate::wire;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{RefusalReason, TransferId};
use tonic::{Code, Status};

/// Longest name taken, bytes.
const NAME_MAX: usize = 200;

impl From<CellError> for Status {
    fn from(error: CellError) -> Self {
        let code = match error {
            CellError::NotLeader | CellError::NoAnswer => Code::Unavailable,
            CellError::UnknownCell => Code::PermissionDenied,
            CellError::StaleTerm => Code::FailedPrecondition,
            CellError::Malformed => Code::InvalidArgument,
            CellError::HomeHere => Code::AlreadyExists,
            CellError::Busy => Code::ResourceExhausted,
        };
        Status::new(code, error.to_string())
    }
}

/// What a status means to the one who asked.
pub fn error_of(status: &Status) -> CellError {
    match status.code() {
        Code::PermissionDenied => CellError::UnknownCell,
        Code::FailedPrecondition => CellError::StaleTerm,
        Code::InvalidArgument => CellError::Malformed,
        Code::AlreadyExists => CellError::HomeHere,
        Code::ResourceExhausted => CellError::Busy,
        Code::Unavailable if status.message() == CellError::NotLeader.to_string() => {
            CellError::NotLeader
        }
        _ => CellError::NoAnswer,
    }
}

fn sender_out(sender: &Sender) -> wire::Sender {
    wire::Sender { cell: sender.cell.to_string(), term: sender.term }
}

fn cell_in(name: &str) -> Result<CellName, CellError> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Err(CellError::Malformed);
    }
    Ok(CellName::new(name))
}

fn sender_in(sender: Option<wire::Sender>) -> Result<Sender, CellError> {
    let sender = sender.ok_or(CellError::Malformed)?;
    Ok(Sender { cell: cell_in(&sender.cell)?, term: sender.term })
}

fn transfer_out(transfer: &TransferId) -> wire::TransferId {
    wire::TransferId {
        home: transfer.home.to_string(),
        term: transfer.term,
        number: transfer.number,
    }
}

fn transfer_in(transfer: Option<wire::TransferId>) -> Result<TransferId, CellError> {
    let transfer = transfer.ok_or(CellError::Malformed)?;
    Ok(TransferId { home: cell_in(&transfer.home)?, term: transfer.term, number: transfer.number })
}

fn job_in(name: &str) -> Result<JobId, CellError> {
    if JobId::well_formed(name) { Ok(JobId::new(name)) } else { Err(CellError::Malformed) }
}

impl From<&Exchange> for wire::ExchangeRequest {
    fn from(exchange: &Exchange) -> Self {
        let tracked = exchange.tracked.iter().map(|tracked| wire::TrackedJob {
            job: tracked.job.to_string(),
            transfer: Some(transfer_out(&tracked.transfer)),
            cancel: tracked.cancel,
        });
        let finished = exchange.finished.iter().map(|finished| wire::FinishedJob {
            job: finished.job.to_string(),
            transfer: Some(transfer_out(&finished.transfer)),
        });
        Self {
            sender: Some(sender_out(&exchange.sender)),
            tracked: tracked.collect(),
            finished: finished.collect(),
        }
    }
}

impl TryFrom<wire::ExchangeRequest> for Exchange {
    type Error = CellError;
    fn try_from(request: wire::ExchangeRequest) -> Result<Self, CellError> {
        if request.tracked.len().max(request.finished.len()) > EXCHANGE_JOBS_MAX {
            return Err(CellError::Malformed);
        }
        let tracked = request.tracked.into_iter().map(|tracked| {
            Ok(TrackedJob {
                job: job_in(&tracked.job)?,
                transfer: transfer_in(tracked.transfer)?,
                cancel: tracked.cancel,
            })
        });
        let finished = request.finished.into_iter().map(|finished| {
            Ok(FinishedJob {
                job: job_in(&finished.job)?,
                transfer: transfer_in(finished.transfer)?,
            })
        });
        Ok(Self {
            sender: sender_in(request.sender)?,
            tracked: tracked.collect::<Result<_, CellError>>()?,
            finished: finished.collect::<Result<_, CellError>>()?,
        })
    }
}

impl From<&Offer> for wire::OfferRequest {
    fn from(offer: &Offer) -> Self {
        Self {
            sender: Some(sender_out(&offer.sender)),
            transfer: Some(transfer_out(&offer.transfer)),
            spec: cbor::encode(&offer.spec),
            at_ms: offer.at_ms,
            withdraw: offer.withdraw,
        }
    }
}

impl TryFrom<wire::OfferRequest> for Offer {
    type Error = CellError;
    fn try_from(request: wire::OfferRequest) -> Result<Self, CellError> {
        Ok(Self {
            sender: sender_in(request.sender)?,
            transfer: transfer_in(request.transfer)?,
            spec: JobSpec::parse(&request.spec).map_err(|_| CellError::Malformed)?,
            at_ms: request.at_ms,
            withdraw: request.withdraw,
        })
    }
}

fn refusal_out(reason: RefusalReason) -> u32 {
    match reason {
        RefusalReason::Other => 0,
        RefusalReason::NoRoom => 1,
        RefusalReason::Unsuitable => 2,
        RefusalReason::Withdrawn => 3,
        RefusalReason::IdInUse => 4,
    }
}

// A reason that this version doesn't know, or one left out, is a refusal all the same.
fn refusal_in(reason: u32) -> RefusalReason {
    match reason {
        1 => RefusalReason::NoRoom,
        2 => RefusalReason::Unsuitable,
        3 => RefusalReason::Withdrawn,
        4 => RefusalReason::IdInUse,
        _ => RefusalReason::Other,
    }
}

impl From<&OfferReply> for wire::OfferReply {
    fn from(reply: &OfferReply) -> Self {
        let (accepted, refusal) = match reply.verdict {
            Verdict::Accepted => (true, 0),
            Verdict::Refused(reason) => (false, refusal_out(reason)),
        };
        Self { transfer: Some(transfer_out(&reply.transfer)), accepted, refusal }
    }
}

impl TryFrom<wire::OfferReply> for OfferReply {
    type Error = CellError;
    fn try_from(reply: wire::OfferReply) -> Result<Self, CellError> {
        let verdict = if reply.accepted {
            Verdict::Accepted
        } else {
            Verdict::Refused(refusal_in(reply.refusal))
        };
        Ok(Self { transfer: transfer_in(reply.transfer)?, verdict })
    }
}

fn amounts_out(amounts: &Amounts) -> wire::Amounts {
    wire::Amounts { cpus: amounts.cpus, gpus: amounts.gpus, memory_gb: amounts.memory_gb }
}

fn amounts_in(amounts: Option<wire::Amounts>) -> Amounts {
    let amount = |n: f64| if n.is_finite() { n.max(0.0) } else { 0.0 };
    let amounts = amounts.unwrap_or_default();
    Amounts {
        cpus: amount(amounts.cpus),
        gpus: amount(amounts.gpus),
        memory_gb: amount(amounts.memory_gb),
    }
}

impl From<&CapacityReport> for wire::CapacityReport {
    fn from(report: &CapacityReport) -> Self {
        let rooms = report.rooms.iter().take(REPORT_ITEMS_MAX).map(|room| wire::Room {
            machine_type: room.machine_type.clone(),
            zone: room.zone.clone(),
            spot: room.spot,
            free: Some(amounts_out(&room.free)),
            machine: Some(amounts_out(&room.machine)),
            rentable: room.rentable,
        });
        Self {
            term: report.term,
            sequence: report.sequence,
            backlog: report.backlog,
            rooms: rooms.collect(),
            teams: report.teams.iter().take(REPORT_ITEMS_MAX).cloned().collect(),
            images: report.images.iter().take(REPORT_ITEMS_MAX).cloned().collect(),
        }
    }
}

fn names_in(names: Vec<String>) -> Vec<String> {
    names.into_iter().filter(|name| name.len() <= NAME_MAX).take(REPORT_ITEMS_MAX).collect()
}

fn capacity_in(report: wire::CapacityReport) -> CapacityReport {
    let rooms = report.rooms.into_iter().take(REPORT_ITEMS_MAX).map(|room| Room {
        free: amounts_in(room.free),
        machine: amounts_in(room.machine),
        machine_type: room.machine_type,
        zone: room.zone,
        spot: room.spot,
        rentable: room.rentable,
    });
    CapacityReport {
        term: report.term,
        sequence: report.sequence,
        backlog: report.backlog,
        rooms: rooms.collect(),
        teams: names_in(report.teams),
        images: names_in(report.images),
    }
}

impl From<&ExchangeReply> for wire::ExchangeReply {
    fn from(reply: &ExchangeReply) -> Self {
        let statuses = reply.statuses.iter().map(|status| {
            let (state, done, running) = match status.state {
                GuestState::Open { done, running } => (wire::JobState::Open, done, running),
                GuestState::Done => (wire::JobState::Done, 0, 0),
                GuestState::Cancelled => (wire::JobState::Cancelled, 0, 0),
            };
            wire::GuestStatus {
                job: status.job.to_string(),
                transfer: Some(transfer_out(&status.transfer)),
                state: state.into(),
                done,
                running,
            }
        });
        Self {
            capacity: Some((&reply.capacity).into()),
            statuses: statuses.collect(),
            dropped: reply.dropped.iter().map(ToString::to_string).collect(),
        }
    }
}

// A state that this version doesn't know says nothing of the job.
fn status_in(status: wire::GuestStatus) -> Result<Option<GuestStatus>, CellError> {
    let state = match status.state() {
        wire::JobState::Unknown => return Ok(None),
        wire::JobState::Open => GuestState::Open { done: status.done, running: status.running },
        wire::JobState::Done => GuestState::Done,
        wire::JobState::Cancelled => GuestState::Cancelled,
    };
    let transfer = transfer_in(status.transfer)?;
    Ok(Some(GuestStatus { job: job_in(&status.job)?, transfer, state }))
}

impl TryFrom<wire::ExchangeReply> for ExchangeReply {
    type Error = CellError;
    fn try_from(reply: wire::ExchangeReply) -> Result<Self, CellError> {
        let mut statuses = Vec::new();
        for status in reply.statuses.into_iter().take(EXCHANGE_JOBS_MAX) {
            statuses.extend(status_in(status)?);
        }
        let dropped = reply.dropped.iter().take(EXCHANGE_JOBS_MAX).map(|job| job_in(job));
        Ok(Self {
            capacity: reply.capacity.map(capacity_in).unwrap_or_default(),
            statuses,
            dropped: dropped.collect::<Result<_, CellError>>()?,
        })
    }
}

impl From<&Overview> for wire::OverviewReply {
    fn from(overview: &Overview) -> Self {
        let cells = overview.cells.iter().map(|cell| wire::CellOverview {
            cell: cell.cell.to_string(),
            heard_s: cell.silent_s,
            free_cpus: cell.free_cpus,
            rentable: cell.rentable,
            backlog: cell.backlog,
            lost: cell.lost,
        });
        let transfers = overview.transfers.iter().map(|transfer| wire::TransferOverview {
            job: transfer.job.to_string(),
            target: transfer.target.to_string(),
            accepted: transfer.accepted,
            age_s: transfer.age_s,
            cancel_wanted: transfer.cancel_wanted,
        });
        Self {
            cell: overview.cell.to_string(),
            term: overview.term,
            cells: cells.collect(),
            transfers: transfers.collect(),
            guests: overview.guests,
            offers_sent: overview.counts.offers_sent,
            refusals_received: overview.counts.refusals_received,
            refusals_given: overview.counts.refusals_given,
            bad_requests: overview.counts.bad_requests,
        }
    }
}

/// An operator's word that a cell is lost: its name must be typed twice.
pub fn lost_cell_in(request: &wire::DeclareLostRequest) -> Result<CellName, CellError> {
    if request.cell != request.typed_name {
        return Err(CellError::Malformed);
    }
    cell_in(&request.cell)
}
