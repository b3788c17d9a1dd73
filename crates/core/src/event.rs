//! What goes into the core and what comes out.

use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_proto::ids::{CellName, JobId, MachineId, NodeId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::wire::{
    Command, Heartbeat, HeartbeatAnswer, Item, ItemPage, JobStatus, MachineList, MachineType, Rent,
    Txn, WatchEvent,
};

/// Seconds of the steady clock since the process began.
pub type Secs = f64;

/// Names a request that waits for an answer from the core.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct ReplyTo(pub u64);

/// Where an answer goes that nobody waits for.
pub const NOBODY: ReplyTo = ReplyTo(0);

/// Names a request that the core made.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct OpId(pub u64);

/// A user's request, validated.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// Submit a job.
    Submit(Box<JobSpec>),
    /// Ask how a job stands.
    Poll(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Whether this controller can take requests.
    Health,
}

/// An answer to a user or worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A job's status, with the HTTP status that goes with it.
    Job(u16, JobStatus),
    /// Healthy.
    Healthy,
    /// Commands for a worker.
    Heartbeat(HeartbeatAnswer),
    /// Ask that controller (421).
    Elsewhere(Option<NodeId>),
    /// No such job.
    NotFound,
    /// Can never run, and why.
    NeverRuns(&'static str),
    /// Names DAG dependencies that were never accepted (422), which these are.
    UnknownDependencies(Vec<JobId>),
    /// Too much is asked; come back after so many seconds.
    Full(u32),
    /// Can't decide now; come back after so many seconds.
    Unavailable(u32),
    /// The controllers and what each runs.
    Members(Box<crate::membership::MembershipView>),
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// A transaction.
    Commit(Txn),
    /// One key.
    Get(String),
    /// A page of keys under a prefix.
    Range {
        /// The prefix.
        prefix: String,
        /// Begin after this key.
        after: String,
    },
    /// A new lease of so many milliseconds.
    GrantLease(u64),
    /// Renew a lease.
    KeepAlive(u64),
    /// End a lease.
    RevokeLease(u64),
}

/// How a request to the state service went.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// Committed at this revision.
    Committed(u64),
    /// These conditions failed.
    Conflict(Vec<String>),
    /// The key, or that there is none.
    Value(Option<Item>),
    /// A page.
    Page(ItemPage),
    /// A lease.
    LeaseGranted(u64),
    /// The lease lives on, or was ended as asked.
    LeaseRenewed,
    /// The lease is gone.
    NoLease,
    /// Not executed: refused, limited or unreachable.
    Refused,
    /// Not executed, and never will be as it stands.
    Rejected,
    /// Perhaps executed, perhaps later.
    Unknown,
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Machine types.
    Types,
    /// A page of the machine list.
    List {
        /// Begin after this machine.
        after: Option<MachineId>,
    },
    /// Rent.
    Rent(Rent),
    /// Return machines.
    Release(Vec<MachineId>),
}

/// How a request to the cloud went.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudResult {
    /// Types.
    Types(Vec<MachineType>),
    /// A page of the list.
    List(MachineList),
    /// Rented these.
    Rented(Vec<MachineId>),
    /// None available.
    NoCapacity,
    /// The machines and all on them are gone.
    Released,
    /// Not executed (limited, outage, unreachable), or malformed.
    Refused,
    /// Perhaps executed.
    Unknown,
}

/// How direct commands went.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectResult {
    /// Executed (true) or refused for token or epoch (false), with a heartbeat.
    Heartbeat(bool, Box<Heartbeat>),
    /// The worker never got it.
    NotSent,
    /// Perhaps executed, perhaps later.
    Unknown,
}

/// News of the watch.
#[derive(Clone, Debug)]
pub struct WatchNews {
    /// When the request that it answers was sent.
    pub sent: Secs,
    /// With it, the copy is whole up to this revision.
    pub revision: u64,
    /// What it brought.
    pub content: WatchContent,
}

/// What the watch brought.
#[derive(Clone, Debug)]
pub enum WatchContent {
    /// All keys, read anew.
    Reset(Vec<Item>),
    /// Changes, perhaps none.
    Events(Vec<WatchEvent>),
}

/// A peer's answer to a leader that asks for its pledge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PledgeAnswer {
    /// It won't stand for a while.
    pub granted: bool,
    /// It names every cancellation that the peer confirmed and the leader may
    /// not know.
    pub whole: bool,
    /// Cancelled jobs, and the revisions at which they were.
    pub cancelled: Vec<(JobId, u64)>,
    /// There are more, beyond the last of these.
    pub more: bool,
}

/// How many tasks of a job are done and how many run, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Done.
    pub done: u32,
    /// Running.
    pub running: u32,
}

/// The leader's figures of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCounts {
    /// The job.
    pub job: JobId,
    /// Its figures.
    pub counts: TaskCounts,
}

/// A word between controllers.
#[derive(Clone, Debug)]
pub enum PeerNews {
    /// A peer beat, or answered one.
    Heartbeat {
        /// The peer.
        node: NodeId,
        /// Whether the store serves it.
        store_ok: bool,
        /// It answered a question of ours, so it was alive after our start:
        /// whether it holds the leadership.
        leading: Option<bool>,
    },
    /// A peer told what it runs, in a beat or in the answer to one.
    Announced {
        /// The peer.
        node: NodeId,
        /// What it runs.
        runs: crate::membership::Announcement,
    },
    /// A leader asks for a pledge.
    PledgeAsked {
        /// Where the answer goes.
        reply: ReplyTo,
        /// The leader.
        from: NodeId,
        /// Its term.
        term: u64,
        /// Its copy of the store is whole up to here.
        revision: u64,
        /// It was told of jobs up to this one already.
        after: Option<JobId>,
    },
    /// A peer answered a request for its pledge.
    Pledged {
        /// The peer.
        node: NodeId,
        /// When we asked, first.
        sent: Secs,
        /// Its answer.
        answer: PledgeAnswer,
    },
    /// The leader's figures of jobs that changed.
    Progress(Vec<JobCounts>),
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A user asks.
    User(ReplyTo, UserRequest),
    /// A heartbeat of a worker.
    Heartbeat(ReplyTo, Box<Heartbeat>),
    /// The store answered.
    Store(OpId, StoreResult),
    /// The watch brought something.
    Watch(WatchNews),
    /// The cloud answered.
    Cloud(OpId, CloudResult),
    /// A worker answered direct commands.
    Direct(OpId, DirectResult),
    /// Another controller.
    Peer(PeerNews),
    /// Another cell, or an operator, asks.
    CellRequest(ReplyTo, Box<CellRequest>),
    /// Another cell answered, or didn't.
    CellAnswer(OpId, Result<Box<CellReply>, CellError>),
    /// An operator asks which controllers run what.
    Members(ReplyTo),
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a user or worker.
    Reply(ReplyTo, Answer),
    /// Answer a pledge request.
    PledgeReply(ReplyTo, PledgeAnswer),
    /// Ask the store.
    Store(OpId, StoreRequest),
    /// Ask the cloud.
    Cloud(OpId, CloudRequest),
    /// Send direct commands.
    Direct {
        /// Our name for it.
        op: OpId,
        /// Where the worker listens.
        addr: String,
        /// Our term.
        fencing_token: u64,
        /// Agent epoch meant.
        agent_epoch: u64,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Tell the peers whether the store serves us and whether we lead.
    PeerHeartbeat {
        /// The store serves us.
        store_ok: bool,
        /// We hold the leadership.
        leading: bool,
    },
    /// Ask all peers for pledges.
    AskPledges {
        /// Our term.
        term: u64,
        /// Our copy of the store is whole up to here.
        revision: u64,
    },
    /// Send the peers the figures of jobs that changed.
    SendProgress(Vec<JobCounts>),
    /// Ask another cell.
    CellCall {
        /// Our name for it.
        op: OpId,
        /// Which.
        cell: CellName,
        /// What.
        request: Box<CellRequest>,
    },
    /// Answer another cell, or an operator.
    CellReply(ReplyTo, Result<Box<CellReply>, CellError>),
}

/// Collects actions and names requests.
#[derive(Debug, Default)]
pub struct ActionSink {
    /// The actions so far.
    pub actions: Vec<Action>,
    next: u64,
}

impl ActionSink {
    /// A new request name.
    pub fn op(&mut self) -> OpId {
        self.next += 1;
        OpId(self.next)
    }
    /// Asks the store; returns the request's name.
    pub fn store(&mut self, req: StoreRequest) -> OpId {
        let op = self.op();
        self.actions.push(Action::Store(op, req));
        op
    }
    /// Asks the cloud.
    pub fn cloud(&mut self, req: CloudRequest) -> OpId {
        let op = self.op();
        self.actions.push(Action::Cloud(op, req));
        op
    }
    /// Answers.
    pub fn reply(&mut self, to: ReplyTo, answer: Answer) {
        self.actions.push(Action::Reply(to, answer));
    }
}
