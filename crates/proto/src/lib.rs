//! Wire types, their validation, the state records and the peer service.
//!
//! Names that appear on the wire live here and nowhere else: the rest of the
//! program uses the field's usual terms (leader, term, lease, task, attempt).

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
