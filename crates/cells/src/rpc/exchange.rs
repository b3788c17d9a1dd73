//! Conversion of the periodic exchange: tracked, finished and ended jobs in the request, capacity
//! and job states in the reply.

use crate::error::CellError;
use crate::message::{
    ENDS_REPORTED_MAX, EXCHANGE_JOBS_MAX, EndedGuest, Exchange, ExchangeReply, FinishedJob,
    GuestState, GuestStatus, TrackedJob,
};
use crate::rpc::capacity::capacity_from_wire;
use crate::rpc::identity::{
    job_from_wire, sender_from_wire, sender_to_wire, transfer_from_wire, transfer_to_wire,
};
use crate::wire;

impl From<&Exchange> for wire::ExchangeRequest {
    fn from(exchange: &Exchange) -> Self {
        let tracked = exchange.tracked.iter().map(|tracked| wire::TrackedJob {
            job: tracked.job.to_string(),
            transfer: Some(transfer_to_wire(&tracked.transfer)),
            cancel: tracked.cancel,
        });
        let finished = exchange.finished.iter().map(|finished| wire::FinishedJob {
            job: finished.job.to_string(),
            transfer: Some(transfer_to_wire(&finished.transfer)),
        });
        let ended = exchange.ended.iter().map(|ended| wire::EndedGuest {
            job: ended.job.to_string(),
            transfer: Some(transfer_to_wire(&ended.transfer)),
            cancelled: ended.cancelled,
        });
        Self {
            sender: Some(sender_to_wire(&exchange.sender)),
            tracked: tracked.collect(),
            finished: finished.collect(),
            ended: ended.collect(),
        }
    }
}

impl TryFrom<wire::ExchangeRequest> for Exchange {
    type Error = CellError;
    fn try_from(request: wire::ExchangeRequest) -> Result<Self, CellError> {
        if request.tracked.len().max(request.finished.len()) > EXCHANGE_JOBS_MAX {
            return Err(CellError::Malformed);
        }
        if request.ended.len() > ENDS_REPORTED_MAX {
            return Err(CellError::Malformed);
        }
        let ended = request.ended.into_iter().map(|ended| {
            Ok(EndedGuest {
                job: job_from_wire(&ended.job)?,
                transfer: transfer_from_wire(ended.transfer)?,
                cancelled: ended.cancelled,
            })
        });
        let tracked = request.tracked.into_iter().map(|tracked| {
            Ok(TrackedJob {
                job: job_from_wire(&tracked.job)?,
                transfer: transfer_from_wire(tracked.transfer)?,
                cancel: tracked.cancel,
            })
        });
        let finished = request.finished.into_iter().map(|finished| {
            Ok(FinishedJob {
                job: job_from_wire(&finished.job)?,
                transfer: transfer_from_wire(finished.transfer)?,
            })
        });
        Ok(Self {
            sender: sender_from_wire(request.sender)?,
            tracked: tracked.collect::<Result<_, CellError>>()?,
            finished: finished.collect::<Result<_, CellError>>()?,
            ended: ended.collect::<Result<_, CellError>>()?,
        })
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
                transfer: Some(transfer_to_wire(&status.transfer)),
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

// A job state unknown to this version is ignored.
fn status_from_wire(status: wire::GuestStatus) -> Result<Option<GuestStatus>, CellError> {
    let state = match status.state() {
        wire::JobState::Unknown => return Ok(None),
        wire::JobState::Open => GuestState::Open { done: status.done, running: status.running },
        wire::JobState::Done => GuestState::Done,
        wire::JobState::Cancelled => GuestState::Cancelled,
    };
    let transfer = transfer_from_wire(status.transfer)?;
    Ok(Some(GuestStatus { job: job_from_wire(&status.job)?, transfer, state }))
}

impl TryFrom<wire::ExchangeReply> for ExchangeReply {
    type Error = CellError;
    fn try_from(reply: wire::ExchangeReply) -> Result<Self, CellError> {
        let mut statuses = Vec::new();
        for status in reply.statuses.into_iter().take(EXCHANGE_JOBS_MAX) {
            statuses.extend(status_from_wire(status)?);
        }
        let dropped = reply.dropped.iter().take(EXCHANGE_JOBS_MAX).map(|job| job_from_wire(job));
        Ok(Self {
            capacity: reply.capacity.map(capacity_from_wire).unwrap_or_default(),
            statuses,
            dropped: dropped.collect::<Result<_, CellError>>()?,
        })
    }
}
