//! Errors of requests between cells.

/// Why a request between cells was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellError {
    /// The receiving controller is not the leader of its cell; the sender tries the cell's next
    /// controller.
    #[error("this controller does not lead its cell")]
    NotLeader,
    /// The sender is not a configured cell, or claims to be the receiving cell.
    #[error("unknown cell")]
    UnknownCell,
    /// The receiver has already accepted a request from a later leader of the sender's cell.
    #[error("the sender's term is over")]
    StaleTerm,
    /// The request is malformed.
    #[error("malformed request")]
    Malformed,
    /// The offered job's home cell is the receiving cell.
    #[error("the job is at home here")]
    HomeHere,
    /// The request cannot be decided now; the sender repeats it.
    #[error("busy, ask again")]
    Busy,
    /// No answer was received.
    #[error("no answer")]
    NoAnswer,
}
