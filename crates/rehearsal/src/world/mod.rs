//! Simulation of one cell: real controllers with simulated workers, state service, cloud and users,
//! and faults at set times. Time advances in steps of 0.1 s, and the safety rules are checked after
//! each step.

mod actions;
mod cascades;
mod cells;
mod checks;
mod clock;
mod cloud;
mod controllers;
mod direct;
mod faults;
mod late_acceptance;
mod lease_trace;
mod machine_blocks;
mod members;
mod messages;
mod observations;
mod repeated_commands;
mod settings;
mod store;
mod store_limits;
mod tasks;
mod upgrade;
mod users;
mod views;
mod workers;

pub use cascades::{CascadePlan, CascadeTimes};
pub use faults::{Fault, HoldPlan};
pub use lease_trace::{HeartbeatAttempt, HeartbeatOutcome, LeaseExpiry, LeaseTrace};
use machine_blocks::StoredBlocks;
pub use messages::{CellAnswer, OutgoingCall};
pub use observations::Observations;
use repeated_commands::SentCommand;
pub use repeated_commands::{RepeatCounts, RepeatPlan};
pub use store::StoreWork;
pub use store_limits::StoreLimits;

use marblebarrow_cells::message::{CellError, CellReply, CellRequest};
use marblebarrow_cells::settings::CellsSettings;
use marblebarrow_core::consts::FORMAT;
use marblebarrow_core::event::*;
use marblebarrow_core::facts::{Facts, Team, Tuning};
use marblebarrow_core::log::{Level, LogLine};
use marblebarrow_core::node::Node;
use marblebarrow_proto::cbor;
use marblebarrow_proto::ids::*;
use marblebarrow_proto::job::{JobSpec, Kind, Priority};
use marblebarrow_proto::wire::*;
use members::{Host, Running, Worker};
use messages::{Delivery, DirectInFlight, DirectOutcome, Requester};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

const STEP: f64 = 0.1;
const LEASE_S: f64 = 8.0;
const REPORT_S: f64 = 1.0;
const CANCEL_S: f64 = 20.0;
const NODES: usize = 3;
const DEFAULT_TEAM_CPUS: f64 = 10.0;
/// Longest time without an answer about an accepted job after the last fault, in steps.
const MAX_UNANSWERED_STEPS: u32 = 300;

/// Size of the range of job numbers of one cell.
const NUMBERS: u32 = 100_000;

/// The number of a job within its cell.
fn number_of(id: &JobId) -> u32 {
    id.as_str()[4..].parse::<u32>().unwrap_or(0) % NUMBERS
}

/// A simulated cell. Fields that end in `_until` are steps up to which a fault lasts.
pub struct World {
    rng: StdRng,
    step: u32,
    hosts: Vec<Host>,
    faults: Vec<(u32, Fault)>,
    kv: BTreeMap<String, (ciborium::Value, u64, Option<u64>)>,
    history: Vec<(u64, String, Option<ciborium::Value>)>,
    revision: u64,
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
    store_down_until: u32,
    store_slow_until: u32,
    cloud_down_until: u32,
    late_writes_until: u32,
    answers_lost_until: u32,
    answers_late_until: u32,
    keep_heartbeats_until: u32,
    request_bursts_until: u32,
    cancel_at_end_until: u32,
    poll_storm_until: u32,
    /// How direct commands are delayed, and until when.
    held: Option<(HoldPlan, u32)>,
    /// How direct commands are delivered again, and until when. By default some are in every run.
    repeated: Option<(RepeatPlan, u32)>,
    /// The blocks of machine records in the store.
    stored_blocks: StoredBlocks,
    /// The commands sent directly to each machine while they are repeated.
    sent_directly: BTreeMap<MachineId, Vec<SentCommand>>,
    /// Source of the random decisions about repeated commands. Separate, so that runs with and
    /// without them share all others.
    repeat_rng: StdRng,
    /// Copies of heartbeats that reach every controller when the next leader takes over, and when
    /// each was sent.
    kept_heartbeats: Vec<(Heartbeat, f64)>,
    /// Jobs about which users send a burst of requests, and since when.
    request_bursts: Vec<(JobId, u32)>,
    /// Jobs that their users will cancel, and when.
    cancels_due: Vec<(u32, JobId)>,
    /// Jobs that their users want cancelled now.
    cancel_requested: BTreeSet<JobId>,
    /// A network partition: a zone, the only controller that it can reach, and the step at which
    /// the partition ends.
    partition: (&'static str, usize, u32),
    /// The highest term in which a controller was seen to lead.
    last_term: u64,
    /// Boot time of new machines, in tenths of the usual one, and until when this holds.
    boots: (u32, u32),
    /// Until when heartbeats are duplicated, and the largest delay of a duplicate, in steps.
    copies: (u32, u32),
    /// The step at which the last fault has ended.
    faults_over_from: u32,
    /// The step at which a user last got the status of each accepted job.
    last_answer_at: BTreeMap<JobId, u32>,
    machines: BTreeMap<MachineId, Worker>,
    released: BTreeSet<MachineId>,
    rents: HashMap<String, Vec<MachineId>>,
    next_machine: u32,
    deliveries: Vec<(u32, Delivery)>,
    requesters: HashMap<(usize, ReplyTo), Requester>,
    next_reply: u64,
    specs: BTreeMap<JobId, JobSpec>,
    accepted: BTreeSet<JobId>,
    last_reported: BTreeMap<JobId, (Stage, u32)>,
    cancels: BTreeMap<JobId, u32>,
    finished: BTreeSet<TaskId>,
    /// Settings of this cell and of the other cells, if there are any.
    pub cells: Option<Arc<CellsSettings>>,
    /// Added to the numbers of this cell's jobs, so that no two cells share an id.
    pub first_number: u32,
    /// Specs of jobs that users of other cells submitted.
    pub guest_specs: BTreeMap<JobId, JobSpec>,
    /// Lines that controllers logged at the `info` level.
    pub info: Vec<String>,
    /// Lines that controllers logged since this was last taken. Collected only if there are other
    /// cells.
    pub events: Vec<String>,
    /// Jobs of this cell that other cells have accepted.
    pub elsewhere: BTreeSet<JobId>,
    /// Tasks that completed in this cell since this was last taken.
    pub newly_finished: Vec<TaskId>,
    /// Requests to other cells since this was last taken.
    pub cell_calls: Vec<OutgoingCall>,
    /// Answers to other cells' calls, with the number of each call, since this was last taken.
    pub cell_answers: Vec<(u64, CellAnswer)>,
    /// Counts of the run, by which tests check that faults took effect.
    pub observed: Observations,
    /// Whether every third job is bound to a zone.
    pub zone_bound_jobs: bool,
    /// Whether every fourth job is cancelled one second after it was accepted.
    pub cancel_every_fourth: bool,
    /// Whether users also submit jobs that can never run.
    pub submit_unrunnable_jobs: bool,
    /// Violations of the safety rules.
    pub violations: Vec<String>,
    /// Tasks started.
    pub starts: u32,
    /// Machines that a controller cordoned as slow or faulty.
    pub cordons: usize,
    /// Steps between submissions, and the step at which submissions end.
    pub submission_interval_and_end: (u32, u32),
    /// Whether the store executes and answers every request at once, apart from the faults of the
    /// run.
    pub store_answers_all: bool,
    /// Jobs submitted at the same time.
    pub jobs_at_once: u32,
    /// The step at which the first task of each job started.
    pub started_at: BTreeMap<JobId, u32>,
    /// The step at which the user of each job was first told that it is accepted.
    pub accepted_at: BTreeMap<JobId, u32>,
    /// The largest number of machines, and the team's limit in CPUs.
    pub size: (usize, f64),
    /// Heartbeat interval and lease of workers, in seconds.
    pub heartbeat_and_lease_s: (f64, f64),
    /// Replicas of each service.
    pub replicas: u32,
    /// Keys in a page of a range read from the store.
    pub store_page_keys: usize,
    directs_in_flight: [usize; NODES],
    /// The largest number of tasks of an array.
    pub max_tasks: u32,
    /// The largest number of direct commands that one controller had in flight.
    pub max_direct_commands: usize,
    /// The largest number of changes to the store within a second.
    pub max_changes_per_second: usize,
    /// Totals of the changes made to the store.
    pub store_work: StoreWork,
    recent_changes: Vec<(u32, usize)>,
    /// Number of puts by kind of key.
    puts: BTreeMap<String, usize>,
    /// Tasks of jobs whose number is a multiple of this fail on every machine. Users cancel these
    /// jobs.
    pub failing_job_interval: Option<u32>,
    /// Whether the first attempt of each task fails.
    pub first_attempts_fail: bool,
    /// Tasks whose first attempt failed for that reason.
    failed_once: BTreeSet<TaskId>,
    /// Whether the tasks of a job end far apart, task `i` after `stagger_s * i` seconds.
    pub staggered_tasks: bool,
    /// Seconds between the ends of consecutive tasks of a job if `staggered_tasks` is set.
    pub stagger_s: f64,
    /// Task attempts that failed.
    pub failed_attempts: u32,
    /// Machines rented so far.
    pub rented: u32,
    /// Whether users submit no services.
    pub no_services: bool,
    /// Whether the cloud partly fills a request for more machines than it has, instead of refusing
    /// it.
    pub rents_in_part: bool,
    /// If set, the first job is a service with this many tasks that its users keep, and all other
    /// jobs are arrays of one task.
    pub filled_by: Option<u32>,
    /// Whether arrays may use spot machines.
    pub spot_arrays: bool,
    /// Agent epochs that ended with tasks because the lease expired.
    pub expired_leases: u32,
    /// Number of a low-priority job, and how many tasks it has. Each runs for a minute.
    pub idle_job: Option<(u32, u32)>,
    /// Ordinary (not spot) machines rented so far.
    pub ordinary: u32,
    /// If set, there are no services, and the job of this number has this many tasks and a deadline
    /// of 1 s that it can't meet.
    pub wide_job: Option<(u32, u32)>,
    /// If set, arrays form pipelines of this many jobs: each names the jobs before it in its
    /// pipeline as dependencies, and is submitted once they are accepted.
    pub pipeline: Option<u32>,
    /// Whether a rolling upgrade is simulated: controllers learn the versions of the others from
    /// heartbeats, and the store has no record of the common format yet. Otherwise the upgrade was
    /// complete before the start.
    upgrading: bool,
    /// A large set of jobs that depend on one job, which is cancelled.
    pub cascade: Option<CascadePlan>,
    /// When the users of jobs that depend on the cancelled one were told that theirs are cancelled,
    /// in seconds.
    cascade_told: Vec<f64>,
    /// Steps between polls of each user, a multiple of ten.
    pub poll_every: u32,
    /// Jobs submitted before this step name many machine types, so that their specs are large.
    pub large_specs_until: u32,
    /// Limits of the state service, if any.
    pub store_limits: Option<StoreLimits>,
    store_budget: store_limits::StoreBudget,
}
