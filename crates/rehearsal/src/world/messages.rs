//! Messages in flight, and the requesters that wait for answers.

use super::repeated_commands::RepeatedCommand;
use super::*;

/// Direct commands in flight.
pub(super) struct DirectInFlight {
    pub(super) node: usize,
    pub(super) boot: f64,
    pub(super) op: OpId,
    pub(super) machine: MachineId,
    pub(super) cmd: DirectCommands,
    /// Whether the sender still waits for the answer.
    pub(super) answer: bool,
}

/// A delivery that happens at a later step.
pub(super) enum Delivery {
    /// A store request takes effect, and is answered unless the answer is lost.
    Store {
        node: usize,
        boot: f64,
        op: OpId,
        req: StoreRequest,
        answer: bool,
    },
    Event {
        node: usize,
        boot: f64,
        event: Event,
    },
    Direct(DirectInFlight),
    RepeatedCommand(RepeatedCommand),
    Heartbeat {
        node: usize,
        heartbeat: Heartbeat,
        sent: f64,
    },
    HeartbeatAnswer {
        machine: MachineId,
        agent_epoch: u64,
        sent: f64,
        answer: Answer,
    },
    Cloud {
        node: usize,
        boot: f64,
        op: OpId,
        req: CloudRequest,
        answer: bool,
    },
}

/// The requester that waits for a controller's answer.
pub(super) enum Requester {
    Heartbeat {
        machine: MachineId,
        agent_epoch: u64,
        sent: f64,
    },
    User {
        job: JobId,
        what: char,
        asked: u32,
    },
    /// Another cell, identified by the number of its call.
    Cell(u64),
}

/// How a direct command is delivered.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum DirectOutcome {
    /// The command and its answer both arrive.
    Answered,
    /// The command arrives after at least `min_steps` and fewer than `max_steps` steps, and its
    /// sender times out before.
    Late { min_steps: u32, max_steps: u32 },
    /// The command arrives at once, and its answer after the sender has timed out.
    AnswerLate,
}

/// A request to another cell.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Index of the controller that sends the request.
    pub node: usize,
    /// When its process started, which identifies the process.
    pub boot: f64,
    /// The step at which the request was sent.
    pub at: u32,
    /// The controller's identifier of the operation.
    pub op: OpId,
    /// The cell that the request is sent to.
    pub cell: CellName,
    /// The request itself.
    pub request: CellRequest,
}

/// The answer to a call from another cell, or the error.
pub type CellAnswer = Result<Box<CellReply>, CellError>;
