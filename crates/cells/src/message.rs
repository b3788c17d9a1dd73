//! Requests and replies between cells, as typed values that are independent of gRPC.
//!
//! [`crate::rpc`] converts them to and from the wire and checks the ids of jobs and transfers, so
//! that a value of these types is well formed.

pub use crate::error::CellError;

use crate::capacity::CapacityReport;
use crate::stay::StayReason;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::transfer::{RefusalReason, TransferId};
use std::collections::BTreeMap;

/// Limit on the tracked jobs, and separately on the finished jobs, in one exchange. The remaining
/// ones follow in the next exchanges.
pub const EXCHANGE_JOBS_MAX: usize = 256;

/// Limit on the ends reported in one exchange, which must fit into a message together with
/// everything else.
pub const ENDS_REPORTED_MAX: usize = 64;

/// The leader that sends a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sender {
    /// The leader's cell.
    pub cell: CellName,
    /// The leader's term.
    pub term: u64,
}

/// A request from another cell or from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum CellRequest {
    /// Requests free capacity and the state of transferred jobs.
    Exchange(Exchange),
    /// Offers a job.
    Offer(Box<Offer>),
    /// An operator requests this cell's overview.
    Overview,
    /// An operator declares a cell permanently lost.
    DeclareLost(CellName),
}

impl CellRequest {
    /// Returns the sending leader, or `None` for a request from an operator.
    pub fn sender(&self) -> Option<&Sender> {
        match self {
            Self::Exchange(exchange) => Some(&exchange.sender),
            Self::Offer(offer) => Some(&offer.sender),
            Self::Overview | Self::DeclareLost(_) => None,
        }
    }
}

/// The request that a home cell's leader sends once a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Exchange {
    /// The leader that polls.
    pub sender: Sender,
    /// Jobs that the receiving cell has accepted, and whether their users want them cancelled.
    pub tracked: Vec<TrackedJob>,
    /// Jobs whose end is durable in their home cell.
    pub finished: Vec<FinishedJob>,
    /// Jobs of the receiving cell that ended in the sending cell, reported while the receiving cell
    /// does not poll for them.
    pub ended: Vec<EndedGuest>,
}

/// A transferred job whose state the home cell requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TrackedJob {
    /// The job's id.
    pub job: JobId,
    /// The transfer by which the job moved.
    pub transfer: TransferId,
    /// Whether the user wants the job cancelled.
    pub cancel: bool,
}

/// A job whose end is durable in its home cell.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedJob {
    /// The job's id.
    pub job: JobId,
    /// The transfer by which the job moved.
    pub transfer: TransferId,
}

/// A job of another cell whose end is durable in this cell.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedGuest {
    /// The job's id.
    pub job: JobId,
    /// The transfer by which the job moved.
    pub transfer: TransferId,
    /// Whether the job was cancelled; otherwise it is done.
    pub cancelled: bool,
}

/// The offer of a job to another cell. The intent is recorded in the home cell before the offer is
/// sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The leader that makes the offer.
    pub sender: Sender,
    /// The id of the transfer.
    pub transfer: TransferId,
    /// The offered job.
    pub spec: JobSpec,
    /// When the home cell accepted the submission, in milliseconds since 1970.
    pub at_ms: u64,
    /// Whether the user has cancelled the job. The target then refuses it unless it has already
    /// accepted it.
    pub withdraw: bool,
}

/// A cell's final decision on a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The target cell has accepted the job and owns it from now on.
    Accepted,
    /// The target cell will never accept the job by this transfer.
    Refused(RefusalReason),
}

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferReply {
    /// The id of the transfer.
    pub transfer: TransferId,
    /// The verdict on the transfer.
    pub verdict: Verdict,
}

/// The state of a job in the cell that owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuestState {
    /// The job has not ended.
    Open {
        /// Number of tasks done.
        done: u32,
        /// Number of running tasks.
        running: u32,
    },
    /// The job is durably done.
    Done,
    /// The job is durably cancelled.
    Cancelled,
}

/// The state of a transferred job.
#[derive(Clone, Debug, PartialEq)]
pub struct GuestStatus {
    /// The job's id.
    pub job: JobId,
    /// The transfer by which the job moved.
    pub transfer: TransferId,
    /// The job's state.
    pub state: GuestState,
}

/// The answer to an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeReply {
    /// The replying cell's free capacity.
    pub capacity: CapacityReport,
    /// State of the tracked jobs, as far as known.
    pub statuses: Vec<GuestStatus>,
    /// Finished jobs of which the replying cell keeps no record for the home cell any more.
    pub dropped: Vec<JobId>,
}

/// Another cell, as shown to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct CellOverview {
    /// The cell's name.
    pub cell: CellName,
    /// Seconds since the request was sent that the cell answered last; infinite if it never
    /// answered.
    pub last_answer_age_s: f64,
    /// Free CPUs according to the cell's latest report.
    pub free_cpus: f64,
    /// Estimated number of machines that the cell can rent.
    pub rentable: u32,
    /// Waiting tasks of the cell's own jobs.
    pub backlog: u32,
    /// Whether an operator has declared the cell lost.
    pub lost: bool,
}

/// A transfer in flight, or a job in another cell, as shown to an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferOverview {
    /// The job's id.
    pub job: JobId,
    /// The cell that the job was offered to or is in.
    pub target: CellName,
    /// Whether the target cell has accepted the job; otherwise the transfer is in doubt.
    pub accepted: bool,
    /// Seconds for which this leader has known of the transfer.
    pub age_s: f64,
    /// Whether the user wants the job cancelled.
    pub cancel_wanted: bool,
}

/// A cell's knowledge of itself and of the other cells.
#[derive(Clone, Debug, PartialEq)]
pub struct Overview {
    /// The replying cell.
    pub cell: CellName,
    /// The term of the cell's leader.
    pub term: u64,
    /// The other cells.
    pub cells: Vec<CellOverview>,
    /// Jobs that are offered to other cells, or that other cells have accepted.
    pub transfers: Vec<TransferOverview>,
    /// Number of other cells' jobs in this cell.
    pub guests: u32,
    /// Counts since this leader took over.
    pub counts: Counts,
    /// Number of this cell's waiting jobs that each reason keeps here, as of the last scan.
    pub staying: BTreeMap<StayReason, u32>,
}

/// Counts since a leader took over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offers sent, including repeats.
    pub offers_sent: u64,
    /// Refusals received from other cells.
    pub refusals_received: u64,
    /// Refusals sent to other cells.
    pub refusals_given: u64,
    /// Requests rejected as invalid.
    pub bad_requests: u64,
}

/// The answer to a [`CellRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum CellReply {
    /// Answers [`CellRequest::Exchange`].
    Exchange(ExchangeReply),
    /// Answers [`CellRequest::Offer`].
    Offer(OfferReply),
    /// Answers [`CellRequest::Overview`].
    Overview(Box<Overview>),
    /// The declaration of a lost cell is recorded; answers [`CellRequest::DeclareLost`].
    DeclaredLost,
}
