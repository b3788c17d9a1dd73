//! The links to the consensus-backed key-value store (the state service of the protocol), the
//! cloud and the workers: threads with blocking sockets behind small queues. A request that finds
//! its queue full is refused immediately, so that the core can react.

mod cloud;
mod request_queue;
mod store;
mod worker;

pub use cloud::CloudLink;
pub use store::StoreLink;
pub use worker::WorkerLink;

use crate::cells::CellLink;
use crate::peers::Peers;

/// All links of a controller.
pub struct Links {
    /// The key-value store.
    pub store: StoreLink,
    /// The cloud.
    pub cloud: CloudLink,
    /// The workers.
    pub workers: WorkerLink,
    /// The other controllers.
    pub peers: Peers,
    /// The other cells, if there are any.
    pub cells: Option<CellLink>,
}
