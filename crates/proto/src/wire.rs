//! Messages of workers, cloud and state service.

use crate::cbor::{f64_lax, opt_f64_lax};
use crate::ids::{Attempt, JobId, MachineId};
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// What users are told of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "ref")]
    pub id: JobId,
    /// Where it stands.
    pub stage: Stage,
    /// Completed tasks, for display.
    #[serde(default)]
    pub done: u32,
    /// Running tasks, for display.
    #[serde(default)]
    pub running: u32,
    /// DAG dependencies that this controller still sees unfinished. Left out
    /// when empty, so that answers without dependencies stay as before.
    #[serde(rename = "waits_on", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<JobId>,
}

/// A job's stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// State of a task on a worker. Unknown words read as `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// A gang's task that has its image and waits for the others.
    #[serde(rename = "gathering")]
    Waiting,
    /// Runs.
    #[serde(rename = "running")]
    Running,
    /// Saves before it ends.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// Why a task ended. Unknown words read as `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: no room.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: here already with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Refused: no such job.
    #[serde(rename = "no_such")]
    Unknown,
    /// Another task of its gang went.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The others of its gang didn't come in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportTask {
    /// `job/index`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Its attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default)]
    pub why: Option<Why>,
}

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The machine.
    #[serde(rename = "barrow")]
    pub machine: MachineId,
    /// Where its worker listens.
    pub addr: String,
    /// Its type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Session of the worker.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Order of messages within the session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until a spot machine is taken.
    #[serde(rename = "warning_s", default, deserialize_with = "opt_f64_lax")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<ReportTask>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "launch")]
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time it may use to save.
        #[serde(rename = "leave_s")]
        grace_s: f64,
    },
    /// Forget an ended task.
    #[serde(rename = "clear")]
    Forget {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// The leader's term.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's term.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Session meant.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Where a worker should report instead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Elsewhere {
    /// The leader's node name.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// The body of a 422 to a submission that names DAG dependencies never accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UnknownDependencies {
    /// What is wrong, for people.
    pub error: String,
    /// The named jobs that were never accepted.
    pub waits_on: Vec<JobId>,
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "vcpus", deserialize_with = "f64_lax")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", deserialize_with = "f64_lax")]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "mem_gb", deserialize_with = "f64_lax")]
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(deserialize_with = "f64_lax")]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(deserialize_with = "f64_lax")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(deserialize_with = "f64_lax")]
    pub price: f64,
    /// Spot price an hour now.
    #[serde(deserialize_with = "f64_lax")]
    pub spot_price: f64,
    /// Usual boot time, seconds.
    #[serde(rename = "startup_s", deserialize_with = "f64_lax")]
    pub boot_s: f64,
    /// Zones it can be had in.
    #[serde(rename = "quarters")]
    pub zones: Vec<String>,
}

/// Answer of the cloud on types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TypeList {
    /// The types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rent {
    /// Name of the request, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Machine names: answer to a rental, body of a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "barrows")]
    pub machines: Vec<MachineId>,
}

/// State of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// Boots.
    #[serde(rename = "starting")]
    Booting,
    /// Up, as far as the cloud knows.
    #[serde(rename = "running")]
    Running,
    /// Stopped by itself.
    #[serde(rename = "failed")]
    Failed,
    /// Something newer than this program.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "ref")]
    pub machine: MachineId,
    /// Type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State.
    #[serde(rename = "stage")]
    pub state: ListedState,
    /// Age since the rental request, seconds.
    #[serde(deserialize_with = "f64_lax")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "barrows")]
    pub machines: Vec<ListedMachine>,
    /// More follow.
    #[serde(rename = "truncated")]
    pub more: bool,
}

/// A condition of a transaction: the key has this version (0: absent).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cond {
    /// The key.
    pub key: String,
    /// Its version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Set a key.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Grant the key is attached to.
        #[serde(rename = "hold", default, skip_serializing_if = "Option::is_none")]
        grant: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Default)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "when")]
    pub conds: Vec<Cond>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction, whichever way it went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Revision.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// The keys.
    pub items: Vec<Item>,
    /// More follow.
    #[serde(rename = "truncated")]
    pub more: bool,
    /// Revision the page describes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// Version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which all is told.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The events, in order.
    pub events: Vec<WatchEvent>,
}

/// A grant asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Time to live, milliseconds.
    pub ttl_ms: u64,
}

/// A grant given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantGiven {
    /// Its id.
    #[serde(rename = "hold")]
    pub grant: u64,
}

#[cfg(test)]
#[path = "tests/wire.rs"]
mod tests;
