//! Conversion and validation of the names of cells, jobs and transfers.

use crate::error::CellError;
use crate::message::Sender;
use crate::wire;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::transfer::TransferId;

/// Longest name accepted, in bytes.
pub(super) const NAME_MAX: usize = 200;

pub(super) fn sender_to_wire(sender: &Sender) -> wire::Sender {
    wire::Sender { cell: sender.cell.to_string(), term: sender.term }
}

pub(super) fn cell_from_wire(name: &str) -> Result<CellName, CellError> {
    if name.is_empty() || name.len() > NAME_MAX {
        return Err(CellError::Malformed);
    }
    Ok(CellName::new(name))
}

pub(super) fn sender_from_wire(sender: Option<wire::Sender>) -> Result<Sender, CellError> {
    let sender = sender.ok_or(CellError::Malformed)?;
    Ok(Sender { cell: cell_from_wire(&sender.cell)?, term: sender.term })
}

pub(super) fn transfer_to_wire(transfer: &TransferId) -> wire::TransferId {
    wire::TransferId {
        home: transfer.home.to_string(),
        term: transfer.term,
        number: transfer.number,
    }
}

pub(super) fn transfer_from_wire(
    transfer: Option<wire::TransferId>,
) -> Result<TransferId, CellError> {
    let transfer = transfer.ok_or(CellError::Malformed)?;
    Ok(TransferId {
        home: cell_from_wire(&transfer.home)?,
        term: transfer.term,
        number: transfer.number,
    })
}

pub(super) fn job_from_wire(name: &str) -> Result<JobId, CellError> {
    if JobId::is_well_formed(name) { Ok(JobId::new(name)) } else { Err(CellError::Malformed) }
}
