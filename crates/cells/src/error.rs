//! Why a request between cells has no answer.

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CellError {
    /// Another controller leads, or none: ask the next.
    #[error("this controller does not lead its cell")]
    NotLeader,
    /// The sender is no cell that this one knows, or is this one.
    #[error("unknown cell")]
    UnknownCell,
    /// A later leader of the sender's cell was heard already.
    #[error("the sender's term is over")]
    StaleTerm,
    /// The request makes no sense.
    #[error("malformed request")]
    Malformed,
    /// The job was submitted to this cell, or the transfer began here.
    #[error("the job is at home here")]
    HomeHere,
    /// Not now: ask again.
    #[error("busy, ask again")]
    Busy,
    /// No answer came.
    #[error("no answer")]
    NoAnswer,
}
