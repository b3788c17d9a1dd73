//! Records of jobs that are transferred to another cell. The home cell, which a job was submitted
//! to, keeps the state of the transfer in the job's spec record, so that a transaction on
//! that record's version decides between a transfer, a cancellation and completion.

use crate::ids::{CellName, JobId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Key prefix of jobs accepted from other cells, kept until the home cell has recorded their
/// final state.
pub const INBOUND_PREFIX: &str = "w/in/";
/// Key prefix of final states that the home cell has yet to acknowledge to the target cell.
pub const ACKNOWLEDGE_PREFIX: &str = "w/ack/";
/// Key prefix of cancellations requested by users for jobs that may be in another cell.
pub const CANCEL_WANTED_PREFIX: &str = "w/want/";
/// Key prefix of cells that an operator declared lost.
pub const LOST_CELLS_PREFIX: &str = "w/lost/";
/// Key prefix of transfers that were refused; a refusal is final.
pub const REFUSED_PREFIX: &str = "refused/";

/// Key of a job accepted from another cell.
pub fn inbound_key(job: &JobId) -> String {
    format!("{INBOUND_PREFIX}{job}")
}
/// Key of an acknowledgement that is still to be delivered.
pub fn acknowledge_key(job: &JobId) -> String {
    format!("{ACKNOWLEDGE_PREFIX}{job}")
}
/// Key of a requested cancellation.
pub fn cancel_wanted_key(job: &JobId) -> String {
    format!("{CANCEL_WANTED_PREFIX}{job}")
}
/// Key of a cell declared lost.
pub fn lost_cell_key(cell: &CellName) -> String {
    format!("{LOST_CELLS_PREFIX}{cell}")
}
/// Key of a refused transfer.
pub fn refused_key(transfer: &TransferId) -> String {
    format!("{REFUSED_PREFIX}{transfer}")
}

/// Unique id of a transfer. Each term of a cell has one leader, which numbers its transfers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// Home cell: the cell that the job was submitted to.
    pub home: CellName,
    /// Term of the home cell's leader that began the transfer.
    pub term: u64,
    /// Sequence number of the transfer within the term.
    pub number: u32,
}

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}-{}", self.home, self.term, self.number)
    }
}

/// Stored in the home cell: the job was offered to another cell and can't start in this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRecord {
    /// Id of the transfer.
    pub transfer: TransferId,
    /// The cell that the job was offered to.
    pub target: CellName,
    /// Whether the target cell accepted the job. An accepted job never returns.
    #[serde(default)]
    pub accepted: bool,
}

/// Stored in the target cell: a job accepted from another cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InboundRecord {
    /// Id of the transfer.
    pub transfer: TransferId,
}

/// Stored in the home cell: a transferred job reached its final state and the home cell
/// recorded it, but has yet to acknowledge this to the target cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcknowledgeRecord {
    /// Id of the transfer.
    pub transfer: TransferId,
    /// The cell that the job was transferred to.
    pub target: CellName,
}

/// Reason for the refusal of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The cell has no capacity for the job, or has queued jobs of its own.
    NoRoom,
    /// The cell doesn't know a machine type, zone or team that the job requires.
    Unsuitable,
    /// A user cancelled the job before it was accepted.
    Withdrawn,
    /// The id belongs to a different job in the cell.
    IdInUse,
    /// A reason added by a newer version.
    #[serde(other)]
    Other,
}

/// Stored in the target cell: the transfer was refused. The record prevents a delayed copy of
/// the offer from being accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Reason for the refusal.
    pub reason: RefusalReason,
}
