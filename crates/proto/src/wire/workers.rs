//! Heartbeats of workers (called reports in the protocol), and the commands that controllers
//! send to workers, in responses to heartbeats or directly.
//!
//! | on the wire | in the code |
//! | --- | --- |
//! | `barrow` | machine |
//! | `build` | machine type (`kind`) |
//! | `quarter` | zone |
//! | `loaners` | spot |
//! | `shift` | agent epoch, which increases each time the worker's lease expires |
//! | `tally` | sequence number within the agent epoch (`seq`) |
//! | `baton` | fencing token, which is the leader's term |
//! | `warning_s` | seconds until a spot machine is reclaimed (`notice_s`) |
//! | `pieces`, `piece` | tasks, task |
//! | `try` | attempt |
//! | `stage`, `cause` | state of a task, why it ended |
//! | states `pulling`, `gathering`, `flushing`, `ended` | fetching, waiting, saving, exited |
//! | causes `full`, `in_use`, `no_such` | no room, busy, unknown job |
//! | causes `mates_gone`, `incomplete` | other tasks of the gang ended, or didn't arrive in time |
//! | `orders`, `verb` | commands, command |
//! | `launch`, `kill`, `clear` | start, stop, forget |
//! | `leave_s` | grace period, seconds |
//! | `foreman` | the controller to report to instead |

use crate::cbor::opt_f64_from_number;
use crate::ids::{Attempt, MachineId};
use serde::{Deserialize, Serialize};

/// State of a task on a worker. Unknown values decode as `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for the image to be fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// A task of a gang that has its image and waits for the other tasks of the gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Saving its state before it ends.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "ended")]
    Exited,
    /// A value added by a newer version of the protocol.
    #[serde(other)]
    Other,
}

/// Reason why a task ended. Unknown values decode as `Other`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Start refused: the machine lacks the free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// Start refused: the task is on the machine with another attempt.
    #[serde(rename = "in_use")]
    Busy,
    /// Start refused: the job is unknown.
    #[serde(rename = "no_such")]
    Unknown,
    /// Another task of the gang ended.
    #[serde(rename = "mates_gone")]
    Peers,
    /// The other tasks of the gang weren't ready in time.
    #[serde(rename = "incomplete")]
    Alone,
    /// A value added by a newer version of the protocol.
    #[serde(other)]
    Other,
}

/// State of one task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatTask {
    /// Id of the task in its wire form, `job/index`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt of the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State of the task.
    #[serde(rename = "stage")]
    pub state: TaskState,
    /// Reason why the task ended; `None` if it hasn't.
    #[serde(rename = "cause", default)]
    pub end_reason: Option<EndReason>,
}

/// A worker's heartbeat, with the complete state of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "barrow")]
    pub machine: MachineId,
    /// Address that the worker listens on.
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone that the machine is in.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Agent epoch of the worker. It increases each time the worker's lease expires, as the
    /// expiry ends all tasks on the machine.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Sequence number, which orders the worker's heartbeats within an agent epoch.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the spot machine; `None` without notice.
    #[serde(rename = "warning_s", default, deserialize_with = "opt_f64_from_number")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces")]
    pub tasks: Vec<HeartbeatTask>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts a task.
    #[serde(rename = "launch")]
    Start {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    #[serde(rename = "kill")]
    Stop {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Grace period in which the task may save its state, seconds.
        #[serde(rename = "leave_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the worker's state.
    #[serde(rename = "clear")]
    Forget {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt of the task.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Response to a heartbeat. It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// Fencing token: the leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker. They don't renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token: the leader's term.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Agent epoch that the commands are meant for. The worker executes none of them in any
    /// other epoch.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a worker that should send its heartbeats to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// Node name of the leader; `None` if no leader is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
