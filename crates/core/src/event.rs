//! The events that the core handles and the actions that it requests.

use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_proto::ids::{CellName, JobId, MachineId, NodeId};
use marblebarrow_proto::job::{InvalidJob, JobSpec};
use marblebarrow_proto::wire::{
    Command, Heartbeat, HeartbeatAnswer, Item, ItemPage, JobStatus, MachineList, MachineType,
    RentalRequest, Txn, WatchEvent,
};

/// Seconds of the monotonic clock since the process started.
pub type Secs = f64;

/// Identifies a request that waits for an answer from the core.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct ReplyTo(pub u64);

/// Reply id of a request whose answer is discarded.
pub const DISCARD_REPLY: ReplyTo = ReplyTo(0);

/// Identifies a request that the core made.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct OpId(pub u64);

/// A user request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submit a job.
    Submit(Box<JobSpec>),
    /// Submit the job with this id; a field of its description is missing or invalid.
    SubmitInvalid(JobId, InvalidJob),
    /// Query the status of a job.
    Poll(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Query whether this controller accepts requests.
    Health,
}

/// An answer to a user or worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A job's status, with the HTTP status code.
    Job(u16, JobStatus),
    /// The controller accepts requests.
    Healthy,
    /// Commands for a worker.
    Heartbeat(HeartbeatAnswer),
    /// Redirects to that controller, if one is known (421).
    RedirectTo(Option<NodeId>),
    /// The job doesn't exist.
    NotFound,
    /// The submission is invalid, and its job was never accepted (400).
    Invalid(InvalidJob),
    /// The job can never run, for this reason.
    NeverRuns(&'static str),
    /// The job names these DAG dependencies, which were never accepted (422).
    UnknownDependencies(Vec<JobId>),
    /// The controller is overloaded; retry after this many seconds.
    Overloaded(u32),
    /// The controller can't answer now; retry after this many seconds.
    Unavailable(u32),
    /// The controllers and the version that each runs.
    Members(Box<crate::membership::MembershipView>),
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Commit a transaction.
    Commit(Txn),
    /// Read one key.
    Get(String),
    /// Read a page of the keys under a prefix.
    Range {
        /// The prefix.
        prefix: String,
        /// Start after this key.
        after: String,
    },
    /// Grant a lease of this many milliseconds.
    GrantLease(u64),
    /// Renew the lease with this id.
    KeepAlive(u64),
    /// Revoke the lease with this id.
    RevokeLease(u64),
}

/// The result of a request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// The transaction was not executed, as the conditions on these keys failed.
    Conflict(Vec<String>),
    /// The value read, or `None` if the key doesn't exist.
    Value(Option<Item>),
    /// A page of keys.
    Page(ItemPage),
    /// A lease with this id was granted.
    LeaseGranted(u64),
    /// The lease was renewed, or revoked as requested.
    LeaseRenewed,
    /// The lease doesn't exist any more.
    NoLease,
    /// Not executed: refused, rate limited or unreachable.
    Refused,
    /// Not executed, and a retry of the same request can't succeed.
    Rejected,
    /// Unknown: may have been executed, or may be executed later.
    Unknown,
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// List the machine types.
    Types,
    /// Read a page of the machine list.
    List {
        /// Start after this machine.
        after: Option<MachineId>,
    },
    /// Rent machines.
    Rent(RentalRequest),
    /// Return machines.
    Release(Vec<MachineId>),
}

/// The result of a request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudResult {
    /// The machine types.
    Types(Vec<MachineType>),
    /// A page of the machine list.
    List(MachineList),
    /// These machines were rented.
    Rented(Vec<MachineId>),
    /// No machine is available.
    NoCapacity,
    /// The machines are released, and everything that ran on them is gone.
    Released,
    /// Not executed (rate limited, outage, unreachable), or malformed.
    Refused,
    /// May have been executed.
    Unknown,
}

/// The result of direct commands.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectResult {
    /// Executed (true), or refused because of the token or agent epoch (false); with a heartbeat.
    Heartbeat(bool, Box<Heartbeat>),
    /// The worker never received the commands.
    NotSent,
    /// Unknown: may have been executed, or may be executed later.
    Unknown,
}

/// An update from the watch.
#[derive(Clone, Debug)]
pub struct WatchUpdate {
    /// When the request that this answers was sent.
    pub sent: Secs,
    /// With this update, the replica is complete up to this revision.
    pub revision: u64,
    /// The keys or changes.
    pub content: WatchContent,
}

/// The content of a watch update.
#[derive(Clone, Debug)]
pub enum WatchContent {
    /// A full snapshot of all watched keys.
    Reset(Vec<Item>),
    /// Changes since the previous update, possibly none.
    Events(Vec<WatchEvent>),
}

/// A peer's answer to a leader's pledge request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PledgeAnswer {
    /// The peer pledges not to stand for election for a while.
    pub granted: bool,
    /// The answer includes every cancellation that the peer confirmed and that the leader may not
    /// know.
    pub complete: bool,
    /// Cancelled jobs, and the revisions of their cancellations.
    pub cancelled: Vec<(JobId, u64)>,
    /// There are more cancellations after the last of these.
    pub more: bool,
}

/// Numbers of a job's completed and running tasks, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// The task counts of one job as known to the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCounts {
    /// The job.
    pub job: JobId,
    /// Its task counts.
    pub counts: TaskCounts,
}

/// A message from another controller.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// A peer's heartbeat, or its answer to one.
    Heartbeat {
        /// The peer.
        node: NodeId,
        /// Whether the store serves the peer.
        store_ok: bool,
        /// Whether the peer is the leader. Only set in an answer to a request of this controller,
        /// which proves that the peer was alive after this process started.
        leading: Option<bool>,
    },
    /// A peer announced its version, in a heartbeat or in the answer to one.
    Announced {
        /// The peer.
        node: NodeId,
        /// The announced version and format.
        runs: crate::membership::Announcement,
    },
    /// A leader requests a pledge.
    PledgeRequested {
        /// Where to send the answer.
        reply: ReplyTo,
        /// The leader.
        from: NodeId,
        /// Its term.
        term: u64,
        /// The leader's replica of the store is complete up to this revision.
        revision: u64,
        /// The leader already received the cancellations up to this job.
        after: Option<JobId>,
    },
    /// A peer answered a pledge request.
    PledgeReceived {
        /// The peer.
        node: NodeId,
        /// When this controller first sent the request.
        sent: Secs,
        /// Its answer.
        answer: PledgeAnswer,
    },
    /// The leader's task counts of jobs that changed.
    Progress(Vec<JobCounts>),
}

/// An input to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user request.
    User(ReplyTo, UserRequest),
    /// A worker's heartbeat.
    Heartbeat(ReplyTo, Box<Heartbeat>),
    /// The store's answer to a request.
    Store(OpId, StoreResult),
    /// An update from the watch.
    Watch(WatchUpdate),
    /// The cloud's answer to a request.
    Cloud(OpId, CloudResult),
    /// The result of direct commands to a worker.
    Direct(OpId, DirectResult),
    /// A message from another controller.
    Peer(PeerEvent),
    /// A request from another cell or an operator.
    CellRequest(ReplyTo, Box<CellRequest>),
    /// The answer of another cell, or the error if there is none.
    CellAnswer(OpId, Result<Box<CellReply>, CellError>),
    /// An operator's request for the controllers and their versions.
    Members(ReplyTo),
}

/// An effect requested by the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an answer to a user or worker.
    Reply(ReplyTo, Answer),
    /// Send the answer to a pledge request.
    PledgeReply(ReplyTo, PledgeAnswer),
    /// Send a request to the store.
    Store(OpId, StoreRequest),
    /// Send a request to the cloud.
    Cloud(OpId, CloudRequest),
    /// Send direct commands to a worker.
    Direct {
        /// Id of this request.
        op: OpId,
        /// Address that the worker listens on.
        addr: String,
        /// Fencing token for this worker.
        fencing_token: u64,
        /// Agent epoch that the commands are meant for.
        agent_epoch: u64,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Send the peers a heartbeat.
    PeerHeartbeat {
        /// Whether the store serves this controller.
        store_ok: bool,
        /// Whether this controller is the leader.
        leading: bool,
    },
    /// Send a pledge request to all peers.
    RequestPledges {
        /// This leader's term.
        term: u64,
        /// This leader's replica of the store is complete up to this revision.
        revision: u64,
    },
    /// Send the peers the task counts of jobs that changed.
    SendProgress(Vec<JobCounts>),
    /// Send a request to another cell.
    CellCall {
        /// Id of this request.
        op: OpId,
        /// The cell to ask.
        cell: CellName,
        /// The request.
        request: Box<CellRequest>,
    },
    /// Send an answer to another cell or an operator.
    CellReply(ReplyTo, Result<Box<CellReply>, CellError>),
}

/// Collects the core's actions and assigns request ids.
#[derive(Debug, Default)]
pub struct ActionSink {
    /// The actions collected so far.
    pub actions: Vec<Action>,
    next: u64,
}

impl ActionSink {
    /// Returns a new request id.
    pub fn op(&mut self) -> OpId {
        self.next += 1;
        OpId(self.next)
    }
    /// Adds a store request; returns its id.
    pub fn store(&mut self, req: StoreRequest) -> OpId {
        let op = self.op();
        self.actions.push(Action::Store(op, req));
        op
    }
    /// Adds a cloud request; returns its id.
    pub fn cloud(&mut self, req: CloudRequest) -> OpId {
        let op = self.op();
        self.actions.push(Action::Cloud(op, req));
        op
    }
    /// Adds an answer.
    pub fn reply(&mut self, to: ReplyTo, answer: Answer) {
        self.actions.push(Action::Reply(to, answer));
    }
}
