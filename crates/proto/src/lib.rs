//! Message types and their validation, the records in the state service, and the peer service.
//!
//! - [`job`]: the submission of a job; [`wire`]: all other messages exchanged with users,
//!   workers, the cloud and the state service; [`cbor`]: their encoding.
//! - [`records`] and [`transfer`]: keys and records in the state service.
//! - [`ids`] and [`intset`]: identifiers, and compact sets of task indices or machine numbers.
//! - [`peer`]: the gRPC service between controllers.
//!
//! The wire protocol has its own vocabulary. Its names appear only in [`job`] and [`wire`],
//! mainly in their `serde` attributes. Tables in the documentation of these modules map them to
//! the standard terms (leader, term, lease, task, attempt) that the rest of the program uses.

pub mod cbor;
pub mod ids;
pub mod intset;
pub mod job;
pub mod records;
pub mod transfer;
pub mod wire;

/// Generated code of the gRPC service between controllers.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    tonic::include_proto!("marblebarrow.peer");
}
