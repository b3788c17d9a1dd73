//! Messages on their way, and who waits for an answer.

use super::*;

/// A direct command on its way.
pub(super) struct DirectOnWay {
    pub(super) node: usize,
    pub(super) boot: f64,
    pub(super) op: OpId,
    pub(super) machine: MachineId,
    pub(super) cmd: DirectCommands,
    /// Whether its sender still waits for the answer.
    pub(super) answer: bool,
}

/// Something that happens at a later step.
pub(super) enum Late {
    /// A store request takes effect, and its answer comes unless lost.
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
    Direct(DirectOnWay),
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

/// Who waits for an answer of a controller.
pub(super) enum Asked {
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
    /// Another cell, by the number of its call.
    Cell(u64),
}

/// What becomes of a direct command on its way.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Passage {
    /// It arrives, and its answer does.
    Answered,
    /// Its sender gives it up; it arrives so many steps later, at least and fewer than.
    Late { least: u32, most: u32 },
    /// It arrives at once; its answer comes after its sender has given it up.
    AnswerLate,
}

/// A request to another cell.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// The controller that asks.
    pub node: usize,
    /// Its process.
    pub boot: f64,
    /// When it asked, in steps.
    pub at: u32,
    /// Its name for the request.
    pub op: OpId,
    /// The cell asked.
    pub cell: CellName,
    /// What it asks.
    pub request: CellRequest,
}

/// What a cell answered to another's call.
pub type CellAnswer = Result<Box<CellReply>, CellError>;
