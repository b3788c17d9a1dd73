//! Heartbeats of workers ("reports"), and the commands that controllers give them, in
//! answers to heartbeats or directly.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `barrow` | machine |
//! | `build` | machine type (`kind`) |
//! | `quarter` | zone |
//! | `loaners` | spot |
//! | `shift` | the agent's epoch, which rises as its lease runs out |
//! | `tally` | sequence number within the agent epoch (`seq`) |
//! | `baton` | fencing token, which is the leader's term |
//! | `warning_s` | notice before a spot machine is taken |
//! | `pieces`, `piece` | tasks, task |
//! | `try` | attempt |
//! | `stage`, `cause` | state of a task, why it ended |
//! | states `pulling`, `gathering`, `flushing`, `ended` | fetching, waiting, saving, exited |
//! | causes `full`, `in_use`, `no_such` | no room, busy, unknown job |
//! | causes `mates_gone`, `incomplete` | peers of the gang lost, or not there in time |
//! | `orders`, `verb` | commands, command |
//! | `launch`, `kill`, `clear` | start, stop, forget |
//! | `leave_s` | grace period |
//! | `foreman` | the controller to report to instead |

use crate::cbor::opt_f64_lax;
use crate::ids::{Attempt, MachineId};
use serde::{Deserialize, Serialize};

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

/// One task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatTask {
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

/// A worker's heartbeat, with the whole state of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
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
    /// Epoch of the worker: rises each time its lease runs out, as all its tasks are gone then.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Order of messages within the agent epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until a spot machine is taken.
    #[serde(rename = "warning_s", default, deserialize_with = "opt_f64_lax")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<HeartbeatTask>,
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

/// Answer to a heartbeat. It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Fencing token: the leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker. They don't renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token: the leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The agent epoch meant: in any other one nothing is executed.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
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
