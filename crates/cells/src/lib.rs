//! Transfer of jobs between cells: state machines without I/O, and the gRPC service.
//!
//! A cell is a whole service: controllers, state service, fleet and cloud of its own. A job
//! that its home cell has no room for moves to another cell, once. [`outbound`] is the home
//! side, [`inbound`] the target's; [`capacity`] says which cells have room and [`choice`]
//! picks one; [`message`] holds what cells tell each other and [`rpc`] its form on the wire.

pub mod capacity;
pub mod choice;
pub mod inbound;
pub mod message;
pub mod outbound;
pub mod policy;
pub mod rpc;
pub mod settings;

/// The generated gRPC service between cells.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    tonic::include_proto!("marblebarrow.cells");
}
