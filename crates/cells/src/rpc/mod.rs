//! Conversion between the typed messages of [`crate::message`] and their gRPC form.
//!
//! Everything received is checked here: malformed ids and requests with too many jobs are
//! rejected with [`CellError::Malformed`](crate::error::CellError::Malformed), lists in
//! replies are cut to their bounds, and job states of a newer version that this one doesn't
//! know are ignored.

mod capacity;
mod exchange;
mod identity;
mod offer;
mod operator;
mod status;

pub use operator::lost_cell_in;
pub use status::error_of;
