//! Records of jobs that move to another cell. The home cell keeps its part in the job's
//! spec record, so that a transaction on that record's version decides between a transfer,
//! a cancellation and an end.

use crate::ids::{CellName, JobId};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Prefix of jobs accepted from other cells, until home has their end.
pub const INBOUND: &str = "w/in/";
/// Prefix of final states that the home cell must still acknowledge to the other one.
pub const ACKNOWLEDGE: &str = "w/ack/";
/// Prefix of cancellations that users want of jobs that may be elsewhere.
pub const CANCEL_WANTED: &str = "w/want/";
/// Prefix of cells that an operator declared lost.
pub const LOST_CELLS: &str = "w/lost/";
/// Prefix of transfers refused for good.
pub const REFUSED: &str = "refused/";

/// Key of a job accepted from another cell.
pub fn inbound_key(job: &JobId) -> String {
    format!("{INBOUND}{job}")
}
/// Key of an acknowledgement.
pub fn acknowledge_key(job: &JobId) -> String {
    format!("{ACKNOWLEDGE}{job}")
}
/// Key of a cancellation wanted.
pub fn cancel_wanted_key(job: &JobId) -> String {
    format!("{CANCEL_WANTED}{job}")
}
/// Key of a cell declared lost.
pub fn lost_cell_key(cell: &CellName) -> String {
    format!("{LOST_CELLS}{cell}")
}
/// Key of a refusal.
pub fn refused_key(transfer: &TransferId) -> String {
    format!("{REFUSED}{transfer}")
}

/// Identifies one transfer: unique, as each term of a cell has one leader, which counts its
/// transfers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// The cell that the job was submitted to.
    pub home: CellName,
    /// Term of the home leader that began the transfer.
    pub term: u64,
    /// Number within the term.
    pub number: u32,
}

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}-{}", self.home, self.term, self.number)
    }
}

/// At home: a job was offered to another cell and can't start here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRecord {
    /// The transfer.
    pub transfer: TransferId,
    /// The cell it was offered to.
    pub target: CellName,
    /// That cell accepted it: it is there for good.
    #[serde(default)]
    pub accepted: bool,
}

/// At the target: a job accepted from another cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InboundRecord {
    /// The transfer.
    pub transfer: TransferId,
}

/// At home: a job that was elsewhere is over, and home must acknowledge to the other cell
/// that it has recorded this.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcknowledgeRecord {
    /// The transfer.
    pub transfer: TransferId,
    /// The cell it was transferred to.
    pub target: CellName,
}

/// Why a transfer was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// There is no room for it, or work of the cell's own waits.
    NoRoom,
    /// A type, zone or team that it needs is unknown there.
    Unsuitable,
    /// Its user cancelled it before it was accepted.
    Withdrawn,
    /// Another job has its id there.
    IdInUse,
    /// A reason that this version doesn't know.
    #[serde(other)]
    Other,
}

/// At the target: a transfer that was refused, so that no late copy of the offer can be
/// accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Why.
    pub reason: RefusalReason,
}
