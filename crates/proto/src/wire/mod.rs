//! Bodies of the messages of users, workers, cloud and state service.
//!
//! The wire has names of its own. They appear in the `serde` attributes of this module and
//! of [`job`](crate::job) only: types and fields have the usual names of the field, and a
//! table in the source of each submodule (`users`, `workers`, `cloud`, `store`) translates
//! them. Names that are the same in both are left out.

mod cloud;
mod store;
mod users;
mod workers;

pub use cloud::{
    ListedMachine, ListedState, MachineList, MachineNames, MachineType, Rent, TypeList,
};
pub use store::{
    Cond, Item, ItemPage, LeaseGranted, LeaseRequest, Txn, TxnAnswer, WatchAnswer, WatchEvent,
    Write,
};
pub use users::{JobStatus, Stage, UnknownDependencies};
pub use workers::{
    Command, DirectCommands, Elsewhere, Heartbeat, HeartbeatAnswer, HeartbeatTask, TaskState, Why,
};

#[cfg(test)]
#[path = "../tests/wire.rs"]
mod tests;
