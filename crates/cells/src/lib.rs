//! Transfer of jobs between cells: state machines without I/O, and the gRPC service.
//!
//! A cell is a whole service: controllers, state service, fleet and cloud of its own. A job
//! that its home cell has no capacity for moves to another cell, at most once.
//!
//! - [`outbound`]: the home side of a transfer; [`inbound`]: the target's.
//! - [`capacity`]: which cells have free capacity; [`choice`] picks one of them, and
//!   [`policy`] lets operators do so by a script.
//! - [`stay`]: why a waiting job is not offered.
//! - [`message`] and [`error`]: requests, replies and errors; [`rpc`]: their gRPC form;
//!   [`sender_terms`]: which senders are heard.
//! - [`settings`]: the operators' configuration file.
//!
//! Dependencies between the modules go one way: [`capacity`] and [`error`] use none of the
//! others, nor does [`stay`]; [`message`] uses those three.

pub mod capacity;
pub mod choice;
pub mod error;
pub mod inbound;
pub mod message;
pub mod outbound;
pub mod policy;
pub mod rpc;
pub mod sender_terms;
pub mod settings;
pub mod stay;

/// The generated gRPC service between cells.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    tonic::include_proto!("marblebarrow.cells");
}
