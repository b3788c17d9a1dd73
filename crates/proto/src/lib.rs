//! Wire types, their validation, the state records and the peer service.
//!
//! - [`job`]: the submission of a user; [`wire`]: all other messages of users, workers, cloud
//!   and state service, by interface; [`cbor`]: their encoding.
//! - [`records`] and [`transfer`]: keys and records in the state service.
//! - [`ids`] and [`intset`]: identifiers, and compact sets of task numbers.
//! - [`peer`]: the gRPC service between controllers.
//!
//! The names that appear on the wire live in the `serde` attributes of [`job`] and [`wire`],
//! and nowhere else. Tables in their sources translate them to the usual terms of the field
//! (leader, term, lease, task, attempt), which the rest of the program uses.

pub mod cbor;
pub mod ids;
pub mod intset;
pub mod job;
pub mod records;
pub mod transfer;
pub mod wire;

/// The generated gRPC service between controllers.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    tonic::include_proto!("marblebarrow.peer");
}
