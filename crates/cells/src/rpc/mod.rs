//! Conversion between the typed messages of [`crate::message`] and their gRPC form.
//!
//! Everything received is validated here: malformed ids and requests with too many jobs are
//! rejected with [`CellError::Malformed`](crate::error::CellError::Malformed), lists in replies are
//! truncated to their limits, and job states unknown to this version are ignored.

mod capacity;
mod exchange;
mod identity;
mod offer;
mod operator;
mod status;

pub use operator::parse_declared_lost_cell;
pub use status::error_from_status;
