//! Conversion between errors and gRPC status codes.

use crate::error::CellError;
use tonic::{Code, Status};

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

/// Returns the error that a status received from another cell stands for. A status that no cell
/// produces, such as for a broken connection, is [`CellError::NoAnswer`].
pub fn error_from_status(status: &Status) -> CellError {
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
