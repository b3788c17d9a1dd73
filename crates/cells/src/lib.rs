//! Transfer of jobs between cells: state machines without I/O, and the gRPC service.
//!
//! A cell is a complete installation with its own controllers, state service, machines and cloud
//! account. A job is submitted to its home cell. If that has no capacity for it, the job moves to
//! another cell, the target, at most once. In the target it is called a guest.
//!
//! - [`outbound`]: the home side of a transfer; [`inbound`]: the target side.
//! - [`capacity`]: which cells have free capacity; [`choice`] picks one of them, and [`policy`]
//!   lets operators pick one with a script.
//! - [`stay`]: why a waiting job is not offered.
//! - [`message`] and [`error`]: requests, replies and errors; [`rpc`]: their gRPC form;
//!   [`sender_terms`]: which senders are accepted.
//! - [`settings`]: the operators' configuration file.
//!
//! Dependencies between the modules are acyclic: [`capacity`], [`error`] and [`stay`] use none of
//! the others; [`message`] uses those three.

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
