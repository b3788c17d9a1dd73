//! Conversion of job offers and the verdicts on them.

use crate::error::CellError;
use crate::message::{Offer, OfferReply, Verdict};
use crate::rpc::identity::{
    sender_from_wire, sender_to_wire, transfer_from_wire, transfer_to_wire,
};
use crate::wire;
use marblebarrow_proto::cbor;
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::RefusalReason;

impl From<&Offer> for wire::OfferRequest {
    fn from(offer: &Offer) -> Self {
        Self {
            sender: Some(sender_to_wire(&offer.sender)),
            transfer: Some(transfer_to_wire(&offer.transfer)),
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
            sender: sender_from_wire(request.sender)?,
            transfer: transfer_from_wire(request.transfer)?,
            spec: JobSpec::parse(&request.spec).map_err(|_| CellError::Malformed)?,
            at_ms: request.at_ms,
            withdraw: request.withdraw,
        })
    }
}

fn refusal_to_wire(reason: RefusalReason) -> u32 {
    match reason {
        RefusalReason::Other => 0,
        RefusalReason::NoRoom => 1,
        RefusalReason::Unsuitable => 2,
        RefusalReason::Withdrawn => 3,
        RefusalReason::IdInUse => 4,
    }
}

// An unknown or missing reason still means that the offer is refused.
fn refusal_from_wire(reason: u32) -> RefusalReason {
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
            Verdict::Refused(reason) => (false, refusal_to_wire(reason)),
        };
        Self { transfer: Some(transfer_to_wire(&reply.transfer)), accepted, refusal }
    }
}

impl TryFrom<wire::OfferReply> for OfferReply {
    type Error = CellError;
    fn try_from(reply: wire::OfferReply) -> Result<Self, CellError> {
        let verdict = if reply.accepted {
            Verdict::Accepted
        } else {
            Verdict::Refused(refusal_from_wire(reply.refusal))
        };
        Ok(Self { transfer: transfer_from_wire(reply.transfer)?, verdict })
    }
}
