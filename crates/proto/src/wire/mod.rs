//! Bodies of the messages exchanged with users, workers, the cloud and the state service.
//!
//! The wire protocol has its own vocabulary, which appears only in this module and in
//! [`job`](crate::job), mainly in `serde` attributes. Types and fields have the standard names.
//! A table in each submodule (`users`, `workers`, `cloud`, `store`) maps one to the other and
//! omits names that are the same in both.

mod cloud;
mod store;
mod users;
mod workers;

pub use cloud::{
    ListedMachine, ListedState, MachineList, MachineNames, MachineType, RentalRequest, TypeList,
};
pub use store::{
    Condition, Item, ItemPage, LeaseRequest, LeaseResponse, Txn, TxnAnswer, WatchAnswer,
    WatchEvent, Write,
};
pub use users::{JobStatus, Stage, UnknownDependencies};
pub use workers::{
    Command, DirectCommands, EndReason, Heartbeat, HeartbeatAnswer, HeartbeatTask, LeaderRedirect,
    TaskState,
};

#[cfg(test)]
#[path = "../tests/wire.rs"]
mod tests;
