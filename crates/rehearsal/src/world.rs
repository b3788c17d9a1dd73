//! One cell among stand-ins of workers, state service, cloud and users, with troubles at set
//! times. Time runs in steps of 0.1 s; the rules are checked at each.

use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_cells::settings::CellsSettings;
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::*;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::wire::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

const STEP: f64 = 0.1;
const LEASE_S: f64 = 8.0;
const REPORT_S: f64 = 1.0;
const CANCEL_S: f64 = 20.0;
const NODES: usize = 3;
const LIMIT: f64 = 10.0;
/// Longest that a job may go unanswered after all troubles, steps.
const SILENCE: u32 = 300;

/// Something that goes wrong; lengths in steps.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A controller ends, and is started again after so long.
    Crash(usize, u32),
    /// All controllers end, and are started again after so long.
    CrashAll(u32),
    /// Meant for whichever controller leads by then.
    AtLeader(Box<Trouble>),
    /// A controller stands still while its clocks run on; then it goes on with
    /// all that waited for it.
    Freeze(usize, u32),
    /// The state service is down for all.
    StoreDown(u32),
    /// The state service refuses one controller.
    StoreRefuses(usize, u32),
    /// No worker reaches a controller, nor it them.
    WorkersCut(usize, u32),
    /// A machine is cut off; what is sent to it comes when the cut ends.
    MachineCut(usize, u32),
    /// All machines of a zone are cut off.
    ZoneCut(&'static str, u32),
    /// Its reports arrive; answers and commands don't reach it.
    MachineDeaf(usize, u32),
    /// A machine is gone, with all on it.
    MachineDies(usize),
    /// Its worker is back at once, empty and counting from the beginning.
    MachineReborn(usize),
    /// The cloud answers nobody.
    CloudDown(u32),
    /// Neither store nor peers, but workers and users.
    Isolated(usize, u32),
    /// Copies of all reports come again, up to so much later.
    LateCopies(u32),
    /// The state service takes up to two seconds for each answer.
    StoreSlow(u32),
    /// Controllers don't reach each other.
    PeersRefuse(u32),
    /// A third of all transactions get no answer, and take effect 2 to 12 s later,
    /// after newer ones.
    LateWrites(u32),
    /// Machines rented take so many tenths of the usual boot, and every third of them
    /// never comes up if it is more than that.
    Boots(u32, u32),
    /// Users ask eight times as often.
    PollStorm(u32),
    /// Tasks on it take six times as long.
    MachineSlow(usize, u32),
    /// A controller's watch brings nothing, while the store serves it otherwise.
    WatchStuck(usize, u32),
    /// Users call off so many jobs that run, at once.
    CancelNow(usize),
    /// A third of all transactions are carried out at once, and only the answer is lost.
    AnswersLost(u32),
    /// Copies of a third of all reports are kept, and reach every controller as soon
    /// as another leads.
    KeptReports(u32),
    /// Users ask every controller at once, and repeat what they asked, right after a job
    /// was accepted, ended or cancelled.
    CloseLooks(u32),
    /// Half of the jobs that end are called off at that moment.
    CancelAtEnd(u32),
    /// It reaches no controller; direct orders reach it.
    MachineMute(usize, u32),
    /// None of the machines reaches a controller; direct orders reach them.
    AllMute(u32),
    /// A zone's machines reach this controller alone, and it reaches them alone.
    ZoneApart(&'static str, usize, u32),
    /// It does nothing at all, and then goes on with what waited for it.
    MachineHangs(usize, u32),
}

impl Trouble {
    /// How long it lasts.
    pub fn steps(&self) -> u32 {
        match self {
            Self::Crash(_, s)
            | Self::CrashAll(s)
            | Self::StoreDown(s)
            | Self::StoreRefuses(_, s)
            | Self::Freeze(_, s)
            | Self::WorkersCut(_, s)
            | Self::MachineCut(_, s)
            | Self::ZoneCut(_, s)
            | Self::MachineDeaf(_, s)
            | Self::CloudDown(s)
            | Self::Isolated(_, s)
            | Self::LateCopies(s)
            | Self::StoreSlow(s)
            | Self::PeersRefuse(s)
            | Self::LateWrites(s)
            | Self::Boots(_, s)
            | Self::PollStorm(s)
            | Self::WatchStuck(_, s)
            | Self::AnswersLost(s)
            | Self::KeptReports(s)
            | Self::CloseLooks(s)
            | Self::CancelAtEnd(s)
            | Self::MachineMute(_, s)
            | Self::AllMute(s)
            | Self::MachineHangs(_, s)
            | Self::ZoneApart(_, _, s)
            | Self::MachineSlow(_, s) => *s,
            Self::AtLeader(t) => t.steps(),
            Self::MachineDies(_) | Self::MachineReborn(_) | Self::CancelNow(_) => 0,
        }
    }
}

struct Host {
    node: Option<Node>,
    born: f64,
    back_at: u32,
    synced: bool,
    watched: u64,
    /// When the watch that is open was sent, by its own clock.
    watch_sent: f64,
    watch_stuck_until: u32,
    /// The revision it named when it last asked for pledges.
    asked_revision: u64,
    refused_until: u32,
    cut_until: u32,
    alone_until: u32,
    frozen_until: u32,
}

#[derive(Clone)]
struct Running {
    attempt: Attempt,
    state: TaskState,
    why: Option<Why>,
    ends: f64,
}

struct Worker {
    kind: String,
    zone: String,
    spot: bool,
    up_at: f64,
    dead: bool,
    cut_until: u32,
    deaf_until: u32,
    mute_until: u32,
    hung_until: u32,
    slow_until: u32,
    session: u64,
    seq: u64,
    token: u64,
    leased_from: f64,
    next_report: f64,
    at: usize,
    waiting: Option<f64>,
    tasks: BTreeMap<TaskId, Running>,
}

enum Late {
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
    Direct {
        node: usize,
        boot: f64,
        op: OpId,
        machine: MachineId,
        cmd: DirectCommands,
        answer: bool,
    },
    Report {
        node: usize,
        report: Report,
        sent: f64,
    },
    ReportAnswer {
        machine: MachineId,
        session: u64,
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

enum Asked {
    Report {
        machine: MachineId,
        session: u64,
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

/// What came about, so that a test can tell whether its troubles met.
#[derive(Debug, Default)]
pub struct Met {
    /// Cancellations confirmed while a task of the job ran: when, and by whom.
    pub cancelled: Vec<(u32, usize)>,
    /// Of those, with a task on a machine that was cut off or hung.
    pub cancelled_apart: u32,
    /// Transactions without an answer that take effect seconds later.
    pub late_writes: u32,
    /// Copies of reports that came again.
    pub copies: u32,
    /// Orders held back by a cut, a hang or deafness, and executed after it.
    pub held_orders: u32,
    /// Answers to reports that a machine out of reach never got.
    pub unheard: u32,
    /// Transactions carried out whose answer was lost.
    pub answers_lost: u32,
    /// Old reports that reached a controller as another began to lead.
    pub kept: u32,
    /// Jobs looked at closely.
    pub looks: u32,
    /// Jobs called off as their last task ended.
    pub cancelled_at_end: u32,
    /// Orders carried out by machines that reach no controller.
    pub mute_orders: u32,
    /// When another began to lead.
    pub changes_of_leader: Vec<u32>,
    /// Of those, while the team's tasks took all that it may use, or all but one.
    pub changes_at_limit: u32,
    /// Starts executed after their job's cancellation was confirmed.
    pub late_starts: u32,
    /// Submissions refused as they can never run.
    pub odd: u32,
    /// Direct orders with commands.
    pub orders: u32,
    /// Of those, with nothing but entries to clear from a worker's list.
    pub clearing_orders: u32,
    /// When the store went down for all while it held no leader's key.
    pub outages_without_leader: Vec<u32>,
    /// Starts of jobs bound to a zone.
    pub zoned_starts: u32,
}

/// Numbers of one cell's jobs.
const NUMBERS: u32 = 100_000;

/// A job's number within its cell.
fn number_of(id: &JobId) -> u32 {
    id.as_str()[4..].parse::<u32>().unwrap_or(0) % NUMBERS
}

/// What the store was asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreWork {
    /// Keys put or deleted.
    pub changes: usize,
    /// Bytes of the values put.
    pub bytes: usize,
    /// Bytes of the largest value put.
    pub largest_value: usize,
    /// Bytes of the values of the largest transaction.
    pub largest_transaction: usize,
}

impl StoreWork {
    fn add(&mut self, txn: &Txn) {
        let mut total = 0;
        for write in &txn.writes {
            if let Write::Put { value, .. } = write {
                let bytes = cbor::encode(value).len();
                self.largest_value = self.largest_value.max(bytes);
                total += bytes;
            }
        }
        self.changes += txn.writes.len();
        self.bytes += total;
        self.largest_transaction = self.largest_transaction.max(total);
    }
}

/// The world.
pub struct World {
    rng: StdRng,
    step: u32,
    hosts: Vec<Host>,
    troubles: Vec<(u32, Trouble)>,
    kv: BTreeMap<String, (ciborium::Value, u64, Option<u64>)>,
    history: Vec<(u64, String, Option<ciborium::Value>)>,
    revision: u64,
    grants: BTreeMap<u64, (f64, f64)>,
    next_grant: u64,
    store_down_until: u32,
    store_slow_until: u32,
    cloud_down_until: u32,
    late_writes_until: u32,
    answers_lost_until: u32,
    keep_until: u32,
    looks_until: u32,
    cancel_ends_until: u32,
    storm_until: u32,
    /// Reports kept for the next leader.
    kept: Vec<(Report, f64)>,
    /// Jobs to be looked at closely, and since when.
    looks: Vec<(JobId, u32)>,
    /// Jobs that their users want to call off now.
    called_off: BTreeSet<JobId>,
    /// A zone and its controller that are apart from the rest, and until when.
    apart: (&'static str, usize, u32),
    /// The last term that was seen to lead.
    last_term: u64,
    /// How long boots take, in tenths of the usual, and until when.
    boots: (u32, u32),
    /// Until when reports are copied, and how late the copies may come.
    copies: (u32, u32),
    /// When the last trouble ends.
    calm_from: u32,
    /// When each accepted job was last answered about.
    heard_of: BTreeMap<JobId, u32>,
    machines: BTreeMap<MachineId, Worker>,
    released: BTreeSet<MachineId>,
    rents: HashMap<String, Vec<MachineId>>,
    next_machine: u32,
    late: Vec<(u32, Late)>,
    asked: HashMap<(usize, ReplyTo), Asked>,
    next_reply: u64,
    specs: BTreeMap<JobId, JobSpec>,
    accepted: BTreeSet<JobId>,
    told: BTreeMap<JobId, (Stage, u32)>,
    cancels: BTreeMap<JobId, u32>,
    finished: BTreeSet<TaskId>,
    /// This cell and the others, if there are others.
    pub cells: Option<Arc<CellsSettings>>,
    /// Added to the numbers of this cell's jobs, so that no two cells share an id.
    pub first_number: u32,
    /// Specs of jobs that other cells' users submitted.
    pub guest_specs: BTreeMap<JobId, JobSpec>,
    /// What controllers logged since this was last taken, if there are other cells.
    pub events: Vec<String>,
    /// Jobs that are in other cells.
    pub elsewhere: BTreeSet<JobId>,
    /// Tasks that completed here since these were last taken.
    pub newly_finished: Vec<TaskId>,
    /// Requests to other cells since they were last taken.
    pub cell_calls: Vec<OutgoingCall>,
    /// Answers to other cells' calls, by number, since they were last taken.
    pub cell_answers: Vec<(u64, CellAnswer)>,
    /// What came about.
    pub met: Met,
    /// Every third job is bound to a zone.
    pub zoned: bool,
    /// Every fourth job is called off a second after it was accepted.
    pub quarter: bool,
    /// Users also submit jobs that can never run.
    pub odd: bool,
    /// What broke a rule.
    pub broken: Vec<String>,
    /// Tasks started.
    pub starts: u32,
    /// Machines that were found slow or faulty.
    pub cordons: usize,
    /// Steps between submissions, until that step.
    pub pace: (u32, u32),
    /// When a task of each job first started, steps.
    pub begun: BTreeMap<JobId, u32>,
    /// When each job was first told accepted, steps.
    pub accepted_at: BTreeMap<JobId, u32>,
    /// Machines at most, and the team's limit in CPUs.
    pub size: (usize, f64),
    /// Report interval and lease, seconds.
    pub beat: (f64, f64),
    /// Replicas of a service.
    pub replicas: u32,
    /// Keys in a page of the store.
    pub page: usize,
    flying: [usize; NODES],
    /// Tasks of an array at most.
    pub width: u32,
    /// Most direct commands that were ever under way at once, from one node.
    pub directs: usize,
    /// Most changes to the store in a second.
    pub changes: usize,
    /// What the store was asked for, in all.
    pub store_work: StoreWork,
    changed: Vec<(u32, usize)>,
    /// Jobs whose number divides by this fail on every machine, until cancelled.
    pub mistaken: Option<u32>,
    /// Tasks of a job end far apart, ...
    pub gaps: bool,
    /// ... each so many seconds after the one before.
    pub gap_s: f64,
    /// Attempts that failed.
    pub fails: u32,
    /// Machines rented so far.
    pub rented: u32,
    /// No services at all.
    pub no_services: bool,
    /// Sessions that ended as their lease ran out.
    pub lapses: u32,
    /// The job of this number is idle work, of so many tasks that run a minute each.
    pub idle: Option<(u32, u32)>,
    /// Ordinary machines rented so far.
    pub ordinary: u32,
    /// No services, and the job of this number is wide, with so many tasks, and
    /// hopeless.
    pub wide: Option<(u32, u32)>,
}

impl World {
    /// A cell that has just begun, with what will go wrong and when, in steps.
    pub fn new(seed: u64, mut troubles: Vec<(u32, Trouble)>) -> Self {
        troubles.sort_by_key(|t| t.0);
        let calm_from = troubles.iter().map(|(at, t)| at + t.steps()).max().unwrap_or(0);
        let host = |i: usize| Host {
            node: None,
            born: 0.0,
            back_at: i as u32,
            synced: false,
            watched: 0,
            watch_sent: 0.0,
            watch_stuck_until: 0,
            asked_revision: 0,
            refused_until: 0,
            cut_until: 0,
            alone_until: 0,
            frozen_until: 0,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            hosts: (0..NODES).map(host).collect(),
            troubles,
            kv: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
            grants: BTreeMap::new(),
            next_grant: 0,
            store_down_until: 0,
            store_slow_until: 0,
            cloud_down_until: 0,
            late_writes_until: 0,
            answers_lost_until: 0,
            keep_until: 0,
            looks_until: 0,
            cancel_ends_until: 0,
            kept: Vec::new(),
            looks: Vec::new(),
            called_off: BTreeSet::new(),
            last_term: 0,
            apart: ("", 0, 0),
            quarter: false,
            odd: false,
            met: Met::default(),
            zoned: false,
            storm_until: 0,
            boots: (10, 0),
            copies: (0, 0),
            calm_from,
            heard_of: BTreeMap::new(),
            machines: BTreeMap::new(),
            released: BTreeSet::new(),
            rents: HashMap::new(),
            next_machine: 0,
            late: Vec::new(),
            asked: HashMap::new(),
            next_reply: 0,
            specs: BTreeMap::new(),
            accepted: BTreeSet::new(),
            told: BTreeMap::new(),
            cancels: BTreeMap::new(),
            finished: BTreeSet::new(),
            broken: Vec::new(),
            cells: None,
            first_number: 0,
            guest_specs: BTreeMap::new(),
            events: Vec::new(),
            elsewhere: BTreeSet::new(),
            newly_finished: Vec::new(),
            cell_calls: Vec::new(),
            cell_answers: Vec::new(),
            starts: 0,
            cordons: 0,
            pace: (25, 500),
            begun: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            wide: None,
            lapses: 0,
            mistaken: None,
            gaps: false,
            gap_s: 8.0,
            fails: 0,
            rented: 0,
            no_services: false,
            idle: None,
            ordinary: 0,
            size: (12, LIMIT),
            beat: (REPORT_S, LEASE_S),
            replicas: 1,
            // So that paging is tried.
            page: 3,
            flying: [0; NODES],
            width: 6,
            directs: 0,
            changes: 0,
            store_work: StoreWork::default(),
            changed: Vec::new(),
        }
    }

    fn now(&self) -> f64 {
        f64::from(self.step) * STEP
    }

    fn after(&mut self, least: u32, late: Late) {
        let at = self.step + least + self.rng.random_range(0..2);
        self.late.push((at, late));
    }

    fn facts(&self, i: usize) -> Facts {
        let limit = self.size.1;
        let name = |i: usize| NodeId::new(&format!("c{i}"));
        Facts {
            node: name(i),
            others: (0..NODES).filter(|&o| o != i).map(name).collect(),
            teams: vec![Team {
                name: "t".into(),
                cpus: 4.0,
                cpus_max: limit,
                gpus: 0.0,
                gpus_max: 0.0,
            }],
            deadlines: Vec::new(),
            finishes: Vec::new(),
            report_s: self.beat.0,
            lease_s: self.beat.1,
            cancel_s: self.beat.1 + CANCEL_S - LEASE_S,
            core_share: 1.0,
            log: true,
            store_rps: 200.0,
            store_write_rps: 60.0,
            store_txn_ops: 16,
            cloud_rps: 5.0,
            list_lag_s: 2.0,
            direct_most: 40,
            tuning: Tuning::default(),
            cells: self.cells.clone(),
        }
    }

    /// Replicas that run, on machines that live.
    pub fn serving(&self) -> usize {
        let spec = |t: &TaskId| self.specs.get(&t.job).or_else(|| self.guest_specs.get(&t.job));
        let service = |t: &&TaskId| spec(t).is_some_and(|s| s.kind == Kind::Service);
        let live = self.machines.values().filter(|w| !w.dead);
        live.map(|w| {
            let on = w.tasks.iter().filter(|(_, r)| r.state == TaskState::Running);
            on.filter(|(t, _)| service(t)).count()
        })
        .sum()
    }

    /// Machines that were returned, or are to be, so far.
    pub fn returned(&self) -> usize {
        self.released.len()
    }

    /// Machines that are up.
    pub fn up(&self) -> usize {
        self.machines.values().filter(|w| !w.dead).count()
    }

    /// Runs so many steps, then checks that all work was done.
    pub fn run(&mut self, steps: u32) {
        while self.step < steps && self.broken.is_empty() {
            self.advance(steps);
        }
        self.check_over();
    }

    /// One step of a run of so many.
    pub fn advance(&mut self, steps: u32) {
        self.step += 1;
        self.trouble();
        self.users(steps);
        self.expire();
        self.deliver();
        self.work();
        for i in 0..NODES {
            self.change_leadership(i);
        }
        self.check_known();
        self.check_leader();
    }

    /// Checks that all work was done.
    pub fn check_over(&mut self) {
        self.check_served();
        if self.broken.is_empty() {
            for (id, spec) in &self.specs {
                let over = self
                    .told
                    .get(id)
                    .is_some_and(|(s, _)| matches!(s, Stage::Done | Stage::Cancelled));
                if self.accepted.contains(id) && spec.kind != Kind::Service && !over {
                    self.broken.push(format!("{id} was never told over: {:?}", self.told.get(id)));
                }
            }
        }
    }

    /// Once all troubles have been over for 90 s, no service waits while its team is
    /// under its limit and there is room, or could be. (Arrays must be over by then.)
    fn check_served(&mut self) {
        if self.step < self.calm_from + 900 {
            return;
        }
        let on = |w: &Worker, id: &JobId| {
            let on = |(t, r): &(&TaskId, &Running)| t.job == *id && r.state != TaskState::Exited;
            w.tasks.iter().filter(on).count()
        };
        let live = || self.machines.values().filter(|w| !w.dead);
        let booked = |w: &Worker| w.tasks.values().filter(|r| r.state != TaskState::Exited).count();
        let used: usize = live().map(booked).sum();
        let room = live().any(|w| booked(w) < 4) || self.machines.len() < self.size.0;
        if !room || used as f64 + 1.0 > self.size.1 {
            return;
        }
        let waits = |(id, spec): &(&JobId, &JobSpec)| {
            let known = self.accepted_at.get(*id).is_some_and(|at| at + 900 < self.step);
            let open = !matches!(self.told.get(*id), Some((Stage::Cancelled, _)));
            let has: usize = live().map(|w| on(w, id)).sum();
            let here = !self.elsewhere.contains(*id);
            spec.kind == Kind::Service && known && open && here && has < spec.tasks as usize
        };
        let waiting: Vec<String> =
            self.specs.iter().filter(waits).map(|(id, _)| format!("waits: {id}")).collect();
        self.broken.extend(waiting);
    }

    /// Once all troubles are over, no accepted job goes unanswered for long.
    fn check_known(&mut self) {
        for id in &self.accepted {
            let last = self.heard_of.get(id).copied().unwrap_or(0).max(self.calm_from);
            if self.step > last + SILENCE {
                self.broken.push(format!("forgotten: {id} unanswered since step {last}"));
            }
        }
    }

    /// As another begins to lead, the reports kept for it arrive, everywhere.
    fn check_leader(&mut self) {
        let terms = self.hosts.iter().filter_map(|h| h.node.as_ref()?.authority());
        let last = terms.map(|(term, _)| term).max().unwrap_or(0);
        if last <= self.last_term {
            return;
        }
        if self.last_term != 0 {
            self.met.changes_of_leader.push(self.step);
            let running = self.machines.values().flat_map(|w| w.tasks.values());
            let used = running.filter(|r| r.state != TaskState::Exited).count();
            self.met.changes_at_limit += u32::from(used as f64 >= self.size.1 - 1.0);
        }
        self.last_term = last;
        for (report, sent) in std::mem::take(&mut self.kept) {
            self.met.kept += 1;
            for node in 0..NODES {
                self.after(0, Late::Report { node, report: report.clone(), sent });
            }
        }
    }

    fn trouble(&mut self) {
        while let Some((at, t)) = self.troubles.first().cloned() {
            if at > self.step {
                return;
            }
            self.troubles.remove(0);
            let step = self.step;
            match t {
                Trouble::Crash(n, s) => self.crash(n, s),
                Trouble::CrashAll(s) => (0..NODES).for_each(|n| self.crash(n, s)),
                Trouble::Freeze(n, s) => self.hosts[n].frozen_until = step + s,
                Trouble::AtLeader(t) => {
                    let n = (0..NODES).find(|&n| self.leads(n)).unwrap_or(0);
                    let there = match *t {
                        Trouble::Crash(_, s) => Trouble::Crash(n, s),
                        Trouble::Freeze(_, s) => Trouble::Freeze(n, s),
                        Trouble::StoreRefuses(_, s) => Trouble::StoreRefuses(n, s),
                        Trouble::WorkersCut(_, s) => Trouble::WorkersCut(n, s),
                        Trouble::Isolated(_, s) => Trouble::Isolated(n, s),
                        Trouble::WatchStuck(_, s) => Trouble::WatchStuck(n, s),
                        Trouble::ZoneApart(z, _, s) => Trouble::ZoneApart(z, n, s),
                        other => other,
                    };
                    self.troubles.insert(0, (step, there));
                }
                Trouble::StoreDown(s) => {
                    if !self.kv.contains_key(marblebarrow_proto::records::LEADER) {
                        self.met.outages_without_leader.push(step);
                    }
                    self.store_down_until = step + s;
                }
                Trouble::StoreRefuses(n, s) => self.hosts[n].refused_until = step + s,
                Trouble::WorkersCut(n, s) => self.hosts[n].cut_until = step + s,
                Trouble::CloudDown(s) => self.cloud_down_until = step + s,
                Trouble::MachineCut(m, s) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.cut_until = step + s;
                    }
                }
                Trouble::ZoneCut(zone, s) => {
                    let there = self.machines.values_mut().filter(|w| w.zone == zone);
                    there.for_each(|w| w.cut_until = step + s);
                }
                Trouble::Isolated(n, s) => {
                    self.hosts[n].refused_until = step + s;
                    self.hosts[n].alone_until = step + s;
                }
                Trouble::PeersRefuse(s) => {
                    self.hosts.iter_mut().for_each(|h| h.alone_until = step + s);
                }
                Trouble::StoreSlow(s) => self.store_slow_until = step + s,
                Trouble::MachineSlow(m, s) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.slow_until = step + s;
                    }
                }
                Trouble::WatchStuck(n, s) => self.hosts[n].watch_stuck_until = step + s,
                Trouble::CancelNow(most) => {
                    let running = self.running_jobs();
                    let open = |id: &JobId| !self.cancels.contains_key(id);
                    self.called_off.extend(running.into_iter().filter(open).take(most));
                }
                Trouble::AnswersLost(s) => self.answers_lost_until = step + s,
                Trouble::KeptReports(s) => self.keep_until = step + s,
                Trouble::CloseLooks(s) => self.looks_until = step + s,
                Trouble::CancelAtEnd(s) => self.cancel_ends_until = step + s,
                Trouble::MachineMute(m, s) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.mute_until = step + s;
                    }
                }
                Trouble::AllMute(s) => {
                    self.machines.values_mut().for_each(|w| w.mute_until = step + s);
                }
                Trouble::ZoneApart(zone, n, s) => {
                    self.apart = (zone, n, step + s);
                    self.hosts[n].refused_until = step + s;
                    self.hosts[n].alone_until = step + s;
                }
                Trouble::MachineHangs(m, s) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.hung_until = step + s;
                    }
                }
                Trouble::LateWrites(s) => self.late_writes_until = step + s,
                Trouble::Boots(tenths, s) => self.boots = (tenths, step + s),
                Trouble::PollStorm(s) => self.storm_until = step + s,
                Trouble::LateCopies(s) => self.copies = (step + s, s),
                Trouble::MachineDeaf(m, s) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.deaf_until = step + s;
                    }
                }
                Trouble::MachineReborn(m) => {
                    let now = self.now();
                    // Not while cut off: an order held back for its former self
                    // would match its session and token, and nothing in the
                    // protocol could tell (see docs/questions.md).
                    let up = |w: &Worker| {
                        !w.dead && now >= w.up_at && step >= w.cut_until.max(w.deaf_until)
                    };
                    if let Some((id, w)) = self.machines.iter_mut().nth(m).filter(|(_, w)| up(w)) {
                        // Connections to the one before died with it, and who
                        // sent over them learns no more than that.
                        for (at, late) in &mut self.late {
                            let Late::Direct { node, boot, op, machine, answer, .. } = late else {
                                continue;
                            };
                            if machine == id && *answer {
                                let event = Event::Direct(*op, DirectResult::Unknown);
                                *late = Late::Event { node: *node, boot: *boot, event };
                                *at = step + 15;
                            } else if machine == id {
                                // Its sender is told already.
                                *machine = MachineId::new("gone");
                            }
                        }
                        w.tasks.clear();
                        (w.session, w.seq, w.token) = (1, 0, 0);
                        w.leased_from = now;
                        w.next_report = now;
                        w.waiting = None;
                    }
                }
                Trouble::MachineDies(m) => {
                    if let Some(w) = self.machines.values_mut().nth(m) {
                        w.dead = true;
                        w.tasks.clear();
                    }
                }
            }
        }
    }

    /// Whether a zone that is apart lies between a controller and a machine.
    fn parted(&self, n: usize, machine: &MachineId) -> bool {
        let (zone, host, until) = self.apart;
        let inside = self.machines.get(machine).is_some_and(|w| w.zone == zone);
        self.step < until && inside != (n == host)
    }

    /// Jobs with a task on a live machine.
    fn running_jobs(&self) -> BTreeSet<JobId> {
        let live = self.machines.values().filter(|w| !w.dead);
        let running = |w: &Worker| {
            let on = w.tasks.iter().filter(|(_, r)| r.state == TaskState::Running);
            on.map(|(t, _)| t.job.clone()).collect::<Vec<_>>()
        };
        live.flat_map(running).filter(|id| self.accepted.contains(id)).collect()
    }

    // One that stands still or was cut off may still think so: the last to win leads.
    fn leads(&self, n: usize) -> bool {
        let term = |h: &Host| h.node.as_ref().and_then(|n| n.authority()).map(|a| a.0);
        let last = self.hosts.iter().filter_map(term).max();
        last.is_some() && term(&self.hosts[n]) == last
    }

    fn crash(&mut self, n: usize, steps: u32) {
        self.hosts[n].node = None;
        self.flying[n] = 0;
        self.hosts[n].back_at = self.step + steps;
    }

    fn spec(&mut self, n: u32) -> JobSpec {
        // Many replicas: every other job is a service, and none is cancelled.
        let turn = if self.replicas > 1 { n % 2 == 1 } else { n % 4 == 3 };
        let service = turn && self.wide.is_none() && !self.no_services;
        JobSpec {
            id: JobId::new(&format!("req-{:06}", self.first_number + n)),
            class: if service { "s" } else { "a" }.into(),
            team: "t".into(),
            kind: if service { Kind::Service } else { Kind::Array },
            priority: if service { Priority::Production } else { Priority::Normal },
            tasks: if service { self.replicas } else { self.rng.random_range(1..=self.width) },
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: format!("i{}", n % 2),
            image_gb: 0.5,
            types: None,
            zone: (self.zoned && n.is_multiple_of(3)).then(|| "ab"[(n % 2) as usize..][..1].into()),
            one_zone: false,
            spread: false,
            spot: !service,
            estimate_s: 3.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: Some(30.0),
        }
    }

    fn users(&mut self, steps: u32) {
        let (every, until) = self.pace;
        if self.step % every == 5 % every && self.step < until {
            let mut spec = self.spec(self.step / every);
            if let Some((_, tasks)) = self.wide.filter(|(n, _)| *n == self.step / every) {
                spec.kind = Kind::Array;
                spec.tasks = tasks;
                spec.deadline_s = Some(1.0);
            }
            if let Some((_, tasks)) = self.idle.filter(|(n, _)| *n == self.step / every) {
                spec.kind = Kind::Array;
                spec.priority = Priority::Low;
                (spec.class, spec.tasks, spec.spot) = ("i".into(), tasks, true);
                (spec.estimate_s, spec.checkpoint_s) = (60.0, 5.0);
                spec.deadline_s = None;
            }
            self.specs.insert(spec.id.clone(), spec);
        }
        self.look_closely();
        let storm = self.step < self.storm_until;
        if !self.step.is_multiple_of(10) && !storm {
            return;
        }
        for (id, spec) in self.specs.clone() {
            let n = self.rng.random_range(0..NODES);
            let over = matches!(self.told.get(&id), Some((Stage::Done | Stage::Cancelled, _)));
            // Services, and one array in five, are cancelled some time.
            let number = number_of(&id);
            let cancel = self.called_off.contains(&id)
                || (spec.kind == Kind::Service || number.is_multiple_of(5) || self.mistaken(&id))
                    && self.replicas == 1
                    && self.step > number * 25 + 250
                    && self.accepted.contains(&id);
            let (what, req) = if !self.accepted.contains(&id) {
                ('s', UserRequest::Submit(Box::new(spec)))
            } else if cancel && !over {
                self.cancels.entry(id.clone()).or_insert(self.step);
                ('c', UserRequest::Cancel(id.clone()))
            } else if over && self.step + 100 < steps && self.rng.random_range(0..8) == 0 {
                ('s', UserRequest::Submit(Box::new(spec)))
            } else {
                ('p', UserRequest::Poll(id.clone()))
            };
            self.ask(n, Asked::User { job: id, what, asked: self.step }, |to| Event::User(to, req));
        }
    }

    // Every controller is asked within one step and the next, and told again what
    // the user has told one already; those who call off repeat it until answered.
    fn look_closely(&mut self) {
        let step = self.step;
        self.looks.retain(|(_, since)| step <= since + 2);
        for (id, _) in self.looks.clone() {
            for n in 0..NODES {
                let asked = |what| Asked::User { job: id.clone(), what, asked: step };
                self.ask(n, asked('p'), |to| Event::User(to, UserRequest::Poll(id.clone())));
                let spec = Box::new(self.specs[&id].clone());
                self.ask(n, asked('s'), |to| Event::User(to, UserRequest::Submit(spec)));
                if self.cancels.contains_key(&id) {
                    self.ask(n, asked('c'), |to| Event::User(to, UserRequest::Cancel(id.clone())));
                }
            }
        }
        if self.quarter {
            let number = number_of;
            let due = |(id, at): &(&JobId, &u32)| number(id).is_multiple_of(4) && step == *at + 10;
            let due = self.accepted_at.iter().filter(due).map(|(id, _)| id.clone());
            self.called_off.extend(due);
        }
        if self.odd && step.is_multiple_of(40) {
            self.submit_odd();
        }
        let over =
            |id: &JobId| matches!(self.told.get(id), Some((Stage::Done | Stage::Cancelled, _)));
        let open: Vec<JobId> = self.called_off.iter().filter(|id| !over(id)).cloned().collect();
        for id in open {
            self.cancels.entry(id.clone()).or_insert(step);
            let n = self.rng.random_range(0..NODES);
            let asked = Asked::User { job: id.clone(), what: 'c', asked: step };
            self.ask(n, asked, |to| Event::User(to, UserRequest::Cancel(id)));
        }
    }

    // Jobs that fit no machine, no team or no zone, or ask for more than the limit.
    fn submit_odd(&mut self) {
        let mut spec = self.spec(3);
        spec.id = JobId::new(&format!("odd-{:06}", self.step));
        match self.rng.random_range(0..4) {
            0 => spec.cpus = 100.0,
            1 => spec.team = "nobody".into(),
            2 => spec.zone = Some("z".into()),
            _ => (spec.kind, spec.tasks) = (Kind::Service, self.size.1 as u32 + 1),
        }
        let n = self.rng.random_range(0..NODES);
        let asked = Asked::User { job: spec.id.clone(), what: 's', asked: self.step };
        self.ask(n, asked, |to| Event::User(to, UserRequest::Submit(Box::new(spec))));
    }

    fn mistaken(&self, id: &JobId) -> bool {
        let number = number_of(id);
        self.mistaken.is_some_and(|k| number.is_multiple_of(k))
    }

    fn ask(&mut self, n: usize, asked: Asked, event: impl FnOnce(ReplyTo) -> Event) {
        if self.hosts[n].node.is_none() {
            return;
        }
        self.next_reply += 1;
        let to = ReplyTo(self.next_reply);
        self.asked.insert((n, to), asked);
        self.handle(n, event(to));
    }

    fn handle(&mut self, n: usize, event: Event) {
        let frozen = self.hosts[n].frozen_until;
        if self.step < frozen {
            let boot = self.hosts[n].born;
            return self.late.push((frozen, Late::Event { node: n, boot, event }));
        }
        if matches!(event, Event::Direct(..)) {
            self.flying[n] -= 1;
        }
        let now = self.now();
        let host = &mut self.hosts[n];
        if let Some(node) = &mut host.node {
            node.handle(now - host.born, 1_000_000 + (now * 1e3) as u64, event);
        }
        self.act(n);
    }

    fn change_leadership(&mut self, n: usize) {
        let now = self.now();
        if self.hosts[n].node.is_none() {
            if self.step < self.hosts[n].back_at {
                return;
            }
            let boot = self.rng.random::<u64>() >> 1;
            let facts = self.facts(n);
            let host = &mut self.hosts[n];
            host.node = Some(Node::new(facts, boot, 0.0));
            host.born = now;
            host.synced = false;
            host.frozen_until = 0;
        }
        if self.step < self.hosts[n].frozen_until {
            return;
        }
        self.watch(n);
        let host = &mut self.hosts[n];
        if let Some(node) = &mut host.node {
            node.tick(now - host.born, 1_000_000 + (now * 1e3) as u64);
        }
        self.act(n);
    }

    fn watch(&mut self, n: usize) {
        let host = &self.hosts[n];
        let now = self.now() - host.born;
        // In an outage watches stay open and bring nothing.
        if self.store_refuses(n)
            || self.step < host.watch_stuck_until
            || self.rng.random_range(0..3) == 0
        {
            return;
        }
        if !host.synced {
            let items = self
                .kv
                .range("w/".to_owned()..)
                .take_while(|(k, _)| k.starts_with("w/"))
                .map(|(k, (v, version, _))| Item {
                    key: k.clone(),
                    value: v.clone(),
                    version: *version,
                })
                .collect();
            self.hosts[n].synced = true;
            self.hosts[n].watched = self.revision;
            self.hosts[n].watch_sent = now;
            let content = WatchContent::Reset(items);
            let news = WatchNews { sent: now, revision: self.revision, content };
            return self.handle(n, Event::Watch(news));
        }
        let after = host.watched;
        let first = self.history.partition_point(|(r, ..)| *r <= after);
        let events: Vec<WatchEvent> = self.history[first..]
            .iter()
            .filter(|(_, k, _)| k.starts_with("w/"))
            .map(|(r, k, v)| match v {
                Some(v) => WatchEvent::Put { key: k.clone(), value: v.clone(), version: *r },
                None => WatchEvent::Delete { key: k.clone(), version: *r },
            })
            .collect();
        // Without news a watch is answered after 2.5 s.
        let sent = self.hosts[n].watch_sent;
        if !events.is_empty() || now - sent >= 2.5 {
            self.hosts[n].watched = self.revision;
            self.hosts[n].watch_sent = now;
            let content = WatchContent::Events(events);
            self.handle(n, Event::Watch(WatchNews { sent, revision: self.revision, content }));
        }
    }

    fn store_refuses(&self, n: usize) -> bool {
        self.step < self.store_down_until || self.step < self.hosts[n].refused_until
    }

    fn act(&mut self, n: usize) {
        let Some(node) = &mut self.hosts[n].node else { return };
        let cordon = |l: &&String| l.contains("event=cordon");
        let log = node.take_log();
        self.cordons += log.iter().filter(cordon).count();
        if self.cells.is_some() {
            let at = self.now();
            self.events.extend(log.into_iter().map(|line| format!("t={at:.1} c{n} {line}")));
        }
        let boot = self.hosts[n].born;
        let actions = self.hosts[n].node.as_mut().map(Node::take_actions).unwrap_or_default();
        for action in actions {
            match action {
                Action::Reply(to, answer) => self.reply(n, to, answer),
                Action::PledgeReply(to, answer) => {
                    // `to` carries the asker.
                    let asker = (to.0 % 10) as usize;
                    let sent = f64::from((to.0 / 10) as u32) / 1e3;
                    let born = self.hosts[asker].born;
                    if self.hosts[asker].node.is_some() && sent >= born {
                        if answer.more {
                            self.broken.push("more cancellations than an answer holds".into());
                        }
                        let node = NodeId::new(&format!("c{n}"));
                        let news = PeerNews::Pledged { node, sent: sent - born, answer };
                        let event = Event::Peer(news);
                        // Some answers come late, some twice.
                        let late = if self.rng.random_range(0..20) == 0 { 25 } else { 1 };
                        if late > 1 {
                            let event = event.clone();
                            self.after(1, Late::Event { node: asker, boot: born, event });
                        }
                        self.after(late, Late::Event { node: asker, boot: born, event });
                    }
                }
                Action::Store(op, req) => {
                    // Some answers are lost, some requests take effect late.
                    let late = self.step < self.late_writes_until
                        && matches!(req, StoreRequest::Commit(_))
                        && self.rng.random_range(0..3) == 0;
                    let mute = self.step < self.answers_lost_until
                        && matches!(req, StoreRequest::Commit(_))
                        && self.rng.random_range(0..3) == 0;
                    self.met.answers_lost += u32::from(mute);
                    self.met.late_writes += u32::from(late);
                    let answer = !late && !mute && self.rng.random_range(0..40) != 0;
                    let slow = self.step < self.store_slow_until;
                    let most = if answer { if slow { 20 } else { 1 } } else { 60 };
                    let delay = if late {
                        self.rng.random_range(20..120)
                    } else if mute {
                        0
                    } else {
                        self.rng.random_range(0..most)
                    };
                    if answer && delay > 12 {
                        // The link gives up before the answer is there.
                        let event = Event::Store(op, StoreResult::Unknown);
                        self.after(12, Late::Event { node: n, boot, event });
                    }
                    let answer = answer && delay <= 12;
                    if !answer {
                        let event = Event::Store(op, StoreResult::Unknown);
                        self.after(12, Late::Event { node: n, boot, event });
                    }
                    self.after(delay, Late::Store { node: n, boot, op, req, answer });
                }
                Action::Cloud(op, req) => {
                    let answer = self.rng.random_range(0..30) != 0;
                    if !answer {
                        self.after(
                            30,
                            Late::Event {
                                node: n,
                                boot,
                                event: Event::Cloud(op, CloudResult::Unknown),
                            },
                        );
                    }
                    self.after(2, Late::Cloud { node: n, boot, op, req, answer });
                }
                Action::Direct { op, addr, token, session, commands } => {
                    let clears = |c: &Command| matches!(c, Command::Forget { .. });
                    self.met.orders += u32::from(!commands.is_empty());
                    self.met.clearing_orders +=
                        u32::from(!commands.is_empty() && commands.iter().all(clears));
                    self.flying[n] += 1;
                    self.directs = self.directs.max(self.flying[n]);
                    let machine = MachineId::new(&addr);
                    let cut = self.step < self.hosts[n].cut_until
                        || self.parted(n, &machine)
                        || self.machines.get(&machine).is_none_or(|w| {
                            w.dead || self.step < w.cut_until || self.step < w.deaf_until
                        });
                    let lost = cut || self.rng.random_range(0..25) == 0;
                    if lost {
                        let event = Event::Direct(op, DirectResult::Unknown);
                        self.after(15, Late::Event { node: n, boot, event });
                    }
                    let delay = if lost { self.rng.random_range(0..120) } else { 0 };
                    let cmd = DirectCommands { token, session, commands };
                    self.after(
                        delay,
                        Late::Direct { node: n, boot, op, machine, cmd, answer: !lost },
                    );
                }
                Action::Heartbeat { store_ok, leading } => self.peers(n, |_| PeerNews::Heartbeat {
                    node: NodeId::new(&format!("c{n}")),
                    store_ok,
                    leading: Some(leading),
                }),
                Action::AskPledges { term, revision } => {
                    self.hosts[n].asked_revision = revision;
                    let sent = (self.now() * 1e3) as u64;
                    self.peers(n, |_| PeerNews::PledgeAsked {
                        reply: ReplyTo(sent * 10 + n as u64),
                        from: NodeId::new(&format!("c{n}")),
                        term,
                        revision,
                        after: None,
                    });
                }
                Action::SendProgress(jobs) => self.peers(n, |_| PeerNews::Progress(jobs.clone())),
                Action::CellCall { op, cell, request } => {
                    let request = *request;
                    let at = self.step;
                    self.cell_calls.push(OutgoingCall { node: n, boot, at, op, cell, request });
                }
                Action::CellReply(to, answer) => {
                    if let Some(Asked::Cell(call)) = self.asked.remove(&(n, to)) {
                        self.cell_answers.push((call, answer));
                    }
                }
            }
        }
    }

    /// Another cell's request reaches a controller.
    pub fn take_cell_request(&mut self, node: usize, call: u64, request: CellRequest) {
        let asked = Asked::Cell(call);
        self.ask(node, asked, |to| Event::CellRequest(to, Box::new(request)));
    }

    /// Another cell's answer, or that there is none, reaches the process that asked.
    pub fn take_cell_answer(&mut self, call: &OutgoingCall, answer: CellAnswer) {
        self.event(call.node, call.boot, Event::CellAnswer(call.op, answer));
    }

    /// A task completed in another cell.
    pub fn finished_elsewhere(&mut self, task: &TaskId) {
        self.finished.insert(task.clone());
    }

    /// Jobs submitted here.
    pub fn submitted(&self) -> &BTreeMap<JobId, JobSpec> {
        &self.specs
    }

    /// Jobs accepted here.
    pub fn accepted_jobs(&self) -> &BTreeSet<JobId> {
        &self.accepted
    }

    /// The stage that a job's user was last told, and since when.
    pub fn last_told(&self, job: &JobId) -> Option<(Stage, u32)> {
        self.told.get(job).copied()
    }

    /// Jobs whose users were told so long ago that they are cancelled that nothing of them
    /// may be left.
    pub fn surely_cancelled(&self) -> impl Iterator<Item = &JobId> {
        let bound = CANCEL_S + self.beat.1 - LEASE_S;
        self.told
            .iter()
            .filter(move |(_, (stage, at))| {
                *stage == Stage::Cancelled && f64::from(self.step - at) * STEP >= bound
            })
            .map(|(id, _)| id)
    }

    /// Whether a machine here holds a task of the job that hasn't exited.
    pub fn holds(&self, job: &JobId) -> bool {
        let on =
            |(task, run): (&TaskId, &Running)| task.job == *job && run.state != TaskState::Exited;
        self.machines.values().any(|w| !w.dead && w.tasks.iter().any(on))
    }

    /// Jobs recorded here as accepted from other cells.
    pub fn inbound(&self) -> impl Iterator<Item = JobId> + '_ {
        let prefix = marblebarrow_proto::transfer::INBOUND;
        self.kv
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter_map(move |(key, _)| key.strip_prefix(prefix).map(JobId::new))
    }

    /// Keys under a prefix.
    pub fn keys_under(&self, prefix: &str) -> usize {
        self.kv.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Marks when the last trouble ends, other cells' and links' included.
    pub fn calm_after(&mut self, step: u32) {
        self.calm_from = self.calm_from.max(step);
    }

    /// The controller that leads, if one does.
    pub fn leading(&self) -> Option<usize> {
        (0..NODES).find(|&n| self.leads(n))
    }

    fn peers(&mut self, n: usize, news: impl Fn(usize) -> PeerNews) {
        let alone = |h: &Host| self.step < h.alone_until;
        let cut = alone(&self.hosts[n]);
        let reached: Vec<usize> =
            (0..NODES).filter(|&o| o != n && !cut && !alone(&self.hosts[o])).collect();
        for o in reached {
            if self.hosts[o].node.is_some() {
                let boot = self.hosts[o].born;
                self.after(1, Late::Event { node: o, boot, event: Event::Peer(news(o)) });
            }
        }
    }

    fn reply(&mut self, n: usize, to: ReplyTo, answer: Answer) {
        match self.asked.remove(&(n, to)) {
            Some(Asked::Report { machine, session, sent }) => {
                self.after(0, Late::ReportAnswer { machine, session, sent, answer });
            }
            Some(Asked::User { job, what, asked }) => self.user_told(n, &job, what, asked, &answer),
            Some(Asked::Cell(_)) | None => {}
        }
    }

    fn user_told(&mut self, by: usize, id: &JobId, what: char, asked: u32, answer: &Answer) {
        let known = self.told.get(id).cloned();
        if id.as_str().starts_with("odd") {
            if matches!(answer, Answer::Job(..)) {
                self.broken.push(format!("accepted, and can never run: {id}"));
            }
            self.met.odd += u32::from(matches!(answer, Answer::NeverRuns(_)));
            return;
        }
        match answer {
            Answer::Job(_, status) => {
                if what == 's' {
                    self.accepted.insert(id.clone());
                    self.accepted_at.entry(id.clone()).or_insert(self.step);
                }
                self.heard_of.insert(id.clone(), self.step);
                let final_before = known
                    .filter(|(s, at)| matches!(s, Stage::Done | Stage::Cancelled) && *at < asked);
                if let Some((stage, _)) = final_before
                    && stage != status.stage
                {
                    self.broken.push(format!("went_back: {id} {stage:?} then {:?}", status.stage));
                }
                if status.stage == Stage::Cancelled && !self.cancels.contains_key(id) {
                    self.broken.push(format!("went_back: {id} cancelled by nobody"));
                }
                if status.stage == Stage::Done {
                    let tasks = self.specs[id].tasks;
                    let done = (0..tasks)
                        .all(|index| self.finished.contains(&TaskId { job: id.clone(), index }));
                    if !done {
                        self.broken.push(format!("not_done: {id}"));
                    }
                }
                let over = |s: &Stage| matches!(s, Stage::Done | Stage::Cancelled);
                let news = self.told.get(id).is_none_or(|(s, _)| over(&status.stage) && !over(s));
                if news {
                    if self.step < self.looks_until {
                        self.met.looks += 1;
                        self.looks.push((id.clone(), self.step));
                    }
                    if status.stage == Stage::Cancelled {
                        self.note_cancelled(by, id);
                    }
                }
                let entry = self.told.entry(id.clone()).or_insert((status.stage, self.step));
                if entry.0 != status.stage && !matches!(entry.0, Stage::Done | Stage::Cancelled) {
                    *entry = (status.stage, self.step);
                }
            }
            Answer::NotFound | Answer::NeverRuns(_) if self.accepted.contains(id) => {
                self.broken.push(format!("forgotten: {id} {what} {answer:?}"));
            }
            _ => {}
        }
    }

    fn note_cancelled(&mut self, by: usize, id: &JobId) {
        let runs = |w: &Worker| {
            !w.dead && w.tasks.iter().any(|(t, r)| t.job == *id && r.state == TaskState::Running)
        };
        let step = self.step;
        if self.machines.values().any(runs) {
            self.met.cancelled.push((step, by));
        }
        let zone = if step < self.apart.2 { self.apart.0 } else { "" };
        let apart = |w: &Worker| {
            step < w.cut_until.max(w.hung_until).max(w.mute_until).max(w.deaf_until)
                || w.zone == zone
        };
        let on_one = self.machines.values().any(|w| runs(w) && apart(w));
        self.met.cancelled_apart += u32::from(on_one);
    }

    fn expire(&mut self) {
        let now = self.now();
        if self.step < self.store_down_until {
            // Once an outage ends, every grant has its full time again.
            for (ttl, until) in self.grants.values_mut() {
                *until = now + *ttl;
            }
            return;
        }
        let dead: Vec<u64> =
            self.grants.iter().filter(|(_, (_, until))| now > *until).map(|(g, _)| *g).collect();
        for g in dead {
            self.end_grant(g);
        }
    }

    fn end_grant(&mut self, g: u64) {
        self.grants.remove(&g);
        let keys: Vec<String> =
            self.kv.iter().filter(|(_, v)| v.2 == Some(g)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.kv.remove(&key);
            self.history.push((self.revision, key, None));
        }
    }

    fn deliver(&mut self) {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.step);
        self.late = rest;
        for (_, late) in due {
            match late {
                Late::Store { node, boot, op, req, answer } => {
                    let result = if self.store_refuses(node) {
                        StoreResult::Refused
                    } else {
                        self.store(&req)
                    };
                    if answer {
                        self.event(node, boot, Event::Store(op, result));
                    }
                }
                Late::Event { node, boot, event } => self.event(node, boot, event),
                Late::Direct { node, boot, op, machine, cmd, answer } => {
                    // A cut holds packets back: they come when it ends.
                    let held = self
                        .machines
                        .get(&machine)
                        .map_or(0, |w| w.cut_until.max(w.deaf_until).max(w.hung_until));
                    if held > self.step {
                        self.met.held_orders += 1;
                        if answer {
                            // The link gives up waiting.
                            let event = Event::Direct(op, DirectResult::Unknown);
                            self.after(15, Late::Event { node, boot, event });
                        }
                        self.late.push((
                            held,
                            Late::Direct { node, boot, op, machine, cmd, answer: false },
                        ));
                        continue;
                    }
                    if let Some(result) = self.direct(&machine, &cmd)
                        && answer
                    {
                        self.event(node, boot, Event::Direct(op, result));
                    } else if answer {
                        self.event(node, boot, Event::Direct(op, DirectResult::NotSent));
                    }
                }
                Late::Report { node, report, sent } => {
                    let (machine, session) = (report.machine.clone(), report.session);
                    if self.step >= self.hosts[node].cut_until && !self.parted(node, &machine) {
                        self.ask(node, Asked::Report { machine, session, sent }, |to| {
                            Event::Report(to, Box::new(report))
                        });
                    }
                }
                Late::ReportAnswer { machine, session, sent, answer } => {
                    self.report_answered(&machine, session, sent, answer);
                }
                Late::Cloud { node, boot, op, req, answer } => {
                    let result = self.cloud(&req);
                    if answer {
                        self.event(node, boot, Event::Cloud(op, result));
                    }
                }
            }
        }
    }

    fn event(&mut self, node: usize, boot: f64, event: Event) {
        // Answers to a process that has died go nowhere.
        if self.hosts[node].node.is_some() && self.hosts[node].born == boot {
            self.handle(node, event);
        }
    }

    fn store(&mut self, req: &StoreRequest) -> StoreResult {
        let now = self.now();
        match req {
            StoreRequest::Commit(txn) => {
                let failed: Vec<String> = txn
                    .conds
                    .iter()
                    .filter(|c| self.kv.get(&c.key).map_or(0, |v| v.1) != c.version)
                    .map(|c| c.key.clone())
                    .collect();
                if !failed.is_empty() {
                    return StoreResult::Conflict(failed);
                }
                let bad = txn.writes.iter().any(
                    |w| matches!(w, Write::Put { grant: Some(g), .. } if !self.grants.contains_key(g)),
                );
                if bad {
                    return StoreResult::Rejected;
                }
                if txn.writes.len() > 16 || txn.conds.len() > 64 {
                    self.broken.push(format!("too large a transaction: {}", txn.writes.len()));
                }
                if !txn.writes.is_empty() {
                    self.store_work.add(txn);
                    self.revision += 1;
                    let second = self.step.saturating_sub(10);
                    self.changed.retain(|(at, _)| *at > second);
                    self.changed.push((self.step, txn.writes.len()));
                    let changes = self.changed.iter().map(|(_, n)| n).sum();
                    self.changes = self.changes.max(changes);
                }
                for w in &txn.writes {
                    match w {
                        Write::Put { key, value, grant } => {
                            self.kv.insert(key.clone(), (value.clone(), self.revision, *grant));
                            self.history.push((self.revision, key.clone(), Some(value.clone())));
                        }
                        Write::Delete { key } => {
                            if self.kv.remove(key).is_some() {
                                self.history.push((self.revision, key.clone(), None));
                            }
                        }
                    }
                }
                StoreResult::Committed(self.revision)
            }
            StoreRequest::Get(key) => {
                StoreResult::Value(self.kv.get(key).map(|(v, version, _)| Item {
                    key: key.clone(),
                    value: v.clone(),
                    version: *version,
                }))
            }
            StoreRequest::Range { prefix, after } => {
                let mut items: Vec<Item> = self
                    .kv
                    .range(prefix.clone().max(after.clone())..)
                    .take_while(|(k, _)| k.starts_with(prefix))
                    .filter(|(k, _)| *k > after)
                    .take(self.page + 1)
                    .map(|(k, (v, version, _))| Item {
                        key: k.clone(),
                        value: v.clone(),
                        version: *version,
                    })
                    .collect();
                let more = items.len() > self.page;
                items.truncate(self.page);
                StoreResult::Page(ItemPage { items, more, revision: self.revision })
            }
            StoreRequest::Grant(ttl) => {
                self.next_grant += 1;
                let ttl = *ttl as f64 / 1e3;
                self.grants.insert(self.next_grant, (ttl, now + ttl));
                StoreResult::Granted(self.next_grant)
            }
            StoreRequest::Touch(g) => match self.grants.get_mut(g) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreResult::Touched
                }
                None => StoreResult::NoGrant,
            },
            StoreRequest::Revoke(g) => {
                self.end_grant(*g);
                StoreResult::Touched
            }
        }
    }

    fn cloud(&mut self, req: &CloudRequest) -> CloudResult {
        if self.step < self.cloud_down_until {
            return CloudResult::Refused;
        }
        let now = self.now();
        match req {
            CloudRequest::Types => CloudResult::Types(vec![MachineType {
                name: "k".into(),
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: 8.0,
                cache_gb: 10.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.4,
                boot_s: 3.0,
                zones: vec!["a".into(), "b".into()],
            }]),
            CloudRequest::List { .. } => {
                let machines = self
                    .machines
                    .iter()
                    .map(|(id, w)| ListedMachine {
                        machine: id.clone(),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if now < w.up_at {
                            ListedState::Booting
                        } else {
                            ListedState::Running
                        },
                        age_s: 3.0,
                    })
                    .collect();
                CloudResult::List(MachineList { machines, more: false })
            }
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.rents.get(&rent.request) {
                    return CloudResult::Rented(names.clone());
                }
                if self.machines.len() + rent.count as usize > self.size.0 {
                    return CloudResult::NoCapacity;
                }
                let mut names = Vec::new();
                self.ordinary += if rent.spot { 0 } else { rent.count };
                self.rented += rent.count;
                let factor = if self.step < self.boots.1 { self.boots.0 } else { 10 };
                for _ in 0..rent.count {
                    self.next_machine += 1;
                    let never = factor > 10 && self.next_machine.is_multiple_of(3);
                    let boot = if never { 1e9 } else { 0.3 * f64::from(factor) };
                    let id = MachineId::new(&format!("n-{:04}", self.next_machine));
                    names.push(id.clone());
                    self.machines.insert(
                        id,
                        Worker {
                            kind: rent.kind.clone(),
                            zone: rent.zone.clone(),
                            spot: rent.spot,
                            up_at: now + boot,
                            dead: false,
                            cut_until: 0,
                            deaf_until: 0,
                            mute_until: 0,
                            hung_until: 0,
                            slow_until: 0,
                            session: 1,
                            seq: 0,
                            token: 0,
                            leased_from: now + boot,
                            next_report: now + boot,
                            at: 0,
                            waiting: None,
                            tasks: BTreeMap::new(),
                        },
                    );
                }
                self.rents.insert(rent.request.clone(), names.clone());
                CloudResult::Rented(names)
            }
            CloudRequest::Release(names) => {
                for id in names {
                    self.machines.remove(id);
                    self.released.insert(id.clone());
                }
                CloudResult::Released
            }
        }
    }

    fn report_of(&mut self, id: &MachineId) -> Option<Report> {
        let w = self.machines.get_mut(id)?;
        w.seq += 1;
        Some(Report {
            machine: id.clone(),
            addr: id.to_string(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|(t, r)| ReportTask {
                    task: t.to_string(),
                    attempt: r.attempt,
                    state: r.state,
                    why: r.why,
                })
                .collect(),
        })
    }

    /// Workers: leases, ends of tasks, reports.
    fn work(&mut self) {
        let now = self.now();
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            let Some(w) = self.machines.get_mut(&id) else { continue };
            if w.dead || now < w.up_at {
                continue;
            }
            // One that hangs does this as it goes on, before anything else.
            if now - w.leased_from > self.beat.1 {
                self.lapses += u32::from(!w.tasks.is_empty());
                w.tasks.clear();
                w.session += 1;
                w.seq = 0;
                w.leased_from = now;
            }
            if self.step < w.hung_until {
                continue;
            }
            for (task, r) in &mut w.tasks {
                if r.state == TaskState::Running && now >= r.ends {
                    r.state = TaskState::Exited;
                    let number = number_of(&task.job);
                    if self.mistaken.is_some_and(|k| number.is_multiple_of(k)) {
                        r.why = Some(Why::Error);
                        self.fails += 1;
                        w.next_report = w.next_report.min(now + 0.5);
                        continue;
                    }
                    r.why = Some(Why::Done);
                    self.finished.insert(task.clone());
                    self.newly_finished.push(task.clone());
                    let last = self.specs.get(&task.job).is_some_and(|s| {
                        let done = |index| TaskId { job: task.job.clone(), index };
                        (0..s.tasks).all(|index| self.finished.contains(&done(index)))
                    });
                    if last
                        && self.step < self.cancel_ends_until
                        && self.rng.random_range(0..2) == 0
                    {
                        self.met.cancelled_at_end += 1;
                        self.called_off.insert(task.job.clone());
                    }
                    w.next_report = w.next_report.min(now + 0.5);
                }
            }
            if w.waiting.is_some_and(|sent| now - sent > 4.0) {
                w.waiting = None;
                w.at = (w.at + 1) % NODES;
                w.next_report = now + 1.0;
            }
            if w.waiting.is_none() && now >= w.next_report {
                w.waiting = Some(now);
                w.next_report = now + self.beat.0;
                let (node, cut) = (w.at, w.cut_until);
                let mute = self.step < w.mute_until;
                if let Some(report) = self.report_of(&id).filter(|_| !mute) {
                    if self.step < self.keep_until && self.rng.random_range(0..3) == 0 {
                        self.kept.push((report.clone(), now));
                    }
                    let late = Late::Report { node, report, sent: now };
                    // Held back by a cut, and delivered when it ends.
                    if let Late::Report { node, report, sent } = &late
                        && self.step < self.copies.0
                    {
                        // A copy of it comes later, to any controller.
                        let (node, report, sent) =
                            ((node + self.step as usize) % NODES, report.clone(), *sent);
                        let delay = self.rng.random_range(1..self.copies.1.max(2));
                        self.met.copies += 1;
                        self.late.push((self.step + delay, Late::Report { node, report, sent }));
                    }
                    if cut > self.step {
                        self.late.push((cut, late));
                    } else {
                        self.after(0, late);
                    }
                }
            }
        }
        self.check_cancelled();
    }

    fn check_cancelled(&mut self) {
        for (id, (stage, at)) in &self.told {
            if *stage != Stage::Cancelled
                || f64::from(self.step - at) * STEP < CANCEL_S + self.beat.1 - LEASE_S
            {
                continue;
            }
            for (m, w) in &self.machines {
                let on = |(t, r): (&TaskId, &Running)| t.job == *id && r.state != TaskState::Exited;
                if w.tasks.iter().any(on) {
                    self.broken.push(format!("ran_cancelled: {id} on {m}"));
                }
            }
        }
    }

    fn report_answered(&mut self, id: &MachineId, session: u64, sent: f64, answer: Answer) {
        let now = self.now();
        let Some(w) = self.machines.get_mut(id) else { return };
        let apart = self.step < w.cut_until.max(w.deaf_until).max(w.hung_until);
        self.met.unheard += u32::from(apart);
        if w.dead
            || w.waiting != Some(sent)
            || w.session != session
            || self.step < w.cut_until.max(w.deaf_until).max(w.hung_until)
        {
            return;
        }
        w.waiting = None;
        match answer {
            Answer::Report(a) => {
                if a.token < w.token {
                    return;
                }
                if a.token > w.token {
                    w.next_report = w.next_report.min(now + 0.5);
                }
                w.token = a.token;
                w.leased_from = sent;
                self.execute(id, &a.commands);
            }
            Answer::Elsewhere(node) => {
                let named = node.and_then(|n| n.as_str()[1..].parse().ok());
                w.at = named.unwrap_or((w.at + 1) % NODES);
                w.next_report = now + 0.5;
            }
            _ => {
                w.at = (w.at + 1) % NODES;
                w.next_report = now + 1.0;
            }
        }
    }

    fn direct(&mut self, id: &MachineId, cmd: &DirectCommands) -> Option<DirectResult> {
        let now = self.now();
        let w = self.machines.get_mut(id)?;
        if w.dead || now < w.up_at {
            return None;
        }
        let good = cmd.token >= w.token && cmd.session == w.session;
        if good {
            self.met.mute_orders += u32::from(self.step < w.mute_until);
            w.token = cmd.token;
            self.execute(id, &cmd.commands);
        }
        Some(DirectResult::Report(good, Box::new(self.report_of(id)?)))
    }

    fn execute(&mut self, id: &MachineId, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { task, attempt } => self.start(id, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    let Some(w) = self.machines.get_mut(id) else { return };
                    let Some(task) = TaskId::parse(task) else { continue };
                    if let Some(r) = w.tasks.get_mut(&task)
                        && r.attempt == *attempt
                        && r.state != TaskState::Exited
                    {
                        r.state = TaskState::Exited;
                        r.why = Some(Why::Stopped);
                        w.next_report = w.next_report.min(self.step as f64 * STEP + 0.5);
                    }
                }
                Command::Forget { task, attempt } => {
                    let Some(w) = self.machines.get_mut(id) else { return };
                    let Some(task) = TaskId::parse(task) else { continue };
                    if w.tasks.get(&task).is_some_and(|r| r.attempt == *attempt) {
                        w.tasks.remove(&task);
                    }
                }
            }
        }
    }

    fn start(&mut self, id: &MachineId, name: &str, attempt: Attempt) {
        let now = self.now();
        let Some(task) = TaskId::parse(name) else {
            return self.broken.push(format!("invented: {name}"));
        };
        let spec = self.specs.get(&task.job).or_else(|| self.guest_specs.get(&task.job));
        let Some(spec) = spec.cloned() else {
            return self.broken.push(format!("invented: {task}"));
        };
        let Some(w) = self.machines.get(id) else { return };
        if w.tasks.get(&task).is_some_and(|r| r.attempt == attempt) {
            return;
        }
        let on = |r: &&Running| r.state != TaskState::Exited;
        let used = w.tasks.values().filter(on).count();
        let why = if w.tasks.contains_key(&task) {
            Some(Why::Busy)
        } else if used >= 4 {
            Some(Why::NoRoom)
        } else {
            None
        };
        if why.is_none() {
            self.starts += 1;
            self.begun.entry(task.job.clone()).or_insert(self.step);
            let twice = self
                .machines
                .iter()
                .find(|(o, w)| *o != id && !w.dead && w.tasks.get(&task).is_some_and(|r| on(&r)));
            if let Some((other, _)) = twice {
                self.broken.push(format!("ran_twice: {task} on {id} and {other}"));
            }
            if w.spot && !spec.spot || spec.zone.as_ref().is_some_and(|z| *z != w.zone) {
                self.broken.push(format!("wrong_place: {task} on {id}"));
            }
            self.met.zoned_starts += u32::from(spec.zone.is_some());
            let team: usize =
                self.machines.values().map(|w| w.tasks.values().filter(on).count()).sum();
            if team as f64 + 1.0 > self.size.1 {
                self.broken.push(format!("quota: {task} on {id}"));
            }
            if let Some((Stage::Cancelled, at)) = self.told.get(&task.job) {
                self.met.late_starts += 1;
                if f64::from(self.step - at) * STEP > CANCEL_S + self.beat.1 - LEASE_S {
                    self.broken.push(format!("ran_cancelled: {task} starts on {id}"));
                }
            }
        }
        let slow = self.machines.get(id).is_some_and(|w| self.step < w.slow_until);
        let usual = self.rng.random_range(1.0..5.0);
        let run = match spec.priority {
            Priority::Low => 60.0,
            _ if self.gaps && task.index > 0 => self.gap_s * f64::from(task.index),
            _ => usual,
        };
        let run = run * if slow { 6.0 } else { 1.0 };
        let done = self.finished.contains(&task);
        let ends = match spec.kind {
            _ if self.mistaken(&task.job) => now + 0.5,
            Kind::Service => f64::INFINITY,
            _ if done => now,
            _ => now + run,
        };
        let state = if why.is_some() { TaskState::Exited } else { TaskState::Running };
        if let Some(w) = self.machines.get_mut(id) {
            w.next_report = w.next_report.min(now + 0.5);
            if why != Some(Why::Busy) {
                w.tasks.insert(task, Running { attempt, state, why, ends });
            }
        }
    }
}
