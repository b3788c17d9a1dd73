//! The state of the leader and its event handlers. The rest of the leader is in these modules:
//! `recover` (takeover), `heartbeats`, `worker_commands` and `direct_results` (communication with
//! workers), `attempts` and `revocation` (which attempts may run), `place`, `gangs` and `preempt`
//! (placement), `writer` (records), `cloud_requests`, `provision` and `deprovision` (machines).

use crate::cascade::CascadeLists;
use crate::cells::Cells;
use crate::cloud_requests::CloudRequests;
use crate::consts::*;
use crate::dependencies::DependencyGraph;
use crate::direct_results::DirectSent;
use crate::event::{
    ActionSink, Answer, CloudResult, JobCounts, OpId, ReplyTo, Secs, StoreResult, TaskCounts,
};
use crate::facts::Facts;
use crate::fencing::FencingToken;
use crate::fleet::Machines;
use crate::heartbeats::HeartbeatDecision;
use crate::held_heartbeats::HeldHeartbeats;
use crate::jobs::Job;
use crate::log::Log;
use crate::place::{ImageDemand, QueueSnapshot};
use crate::prompts::MessageCounts;
use crate::recover::Loading;
use crate::replica::{Change, Replica};
use crate::writer::Writer;
use marblebarrow_proto::ids::{JobId, MachineId, Term};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::records::{EndRecord, SpecRecord};
use marblebarrow_proto::wire::Heartbeat;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Which part of the leader an answer of the state service belongs to, as seen from one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The answer belongs to another part.
    Unrelated,
    /// The answer belongs to this part.
    Handled,
    /// The answer belongs to this part and shows that another controller leads.
    NotLeading,
}

/// The knowledge that a leader's decisions are based on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Knowledge {
    /// Every cancellation that was confirmed to a user before this time is known, seconds.
    pub known_at: Secs,
    /// The replica is complete up to this revision.
    pub revision: u64,
    /// The leader may act until this time, as of the last update from the state service, seconds.
    pub authority_until: Secs,
}

/// The state of a controller while it leads.
#[derive(Debug)]
pub struct Leader {
    pub(crate) facts: Arc<Facts>,
    pub(crate) term: Term,
    /// Version of the leader key; all writes are conditional on it.
    pub(crate) version: u64,
    pub(crate) rng: StdRng,
    pub(crate) loading: Option<Loading>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// DAG dependencies among the jobs, and cascading cancellations.
    pub(crate) dependencies: DependencyGraph,
    /// The lists that record large cascades durably.
    pub(crate) cascade_lists: CascadeLists,
    /// Whether every controller is known to support these lists.
    pub cascade_lists_allowed: bool,
    pub(crate) machines: Machines,
    pub(crate) released_machines: BTreeMap<MachineId, Secs>,
    pub(crate) directs: HashMap<OpId, DirectSent>,
    pub(crate) next_attempt: u32,
    /// The highest machine number assigned by any leader.
    pub(crate) next_number: u32,
    /// Whether the last placement pass left tasks waiting, and the CPUs of the smallest task seen:
    /// together they tell whether a pass is worthwhile for a machine with free capacity.
    pub(crate) backlog: bool,
    pub(crate) least_cpus: f64,
    /// The waiting tasks as of the last placement pass.
    pub(crate) queue_snapshot: QueueSnapshot,
    /// The demand of waiting arrays for each image, as of the last placement pass.
    pub(crate) image_demand: HashMap<String, ImageDemand>,
    /// Average time from the placement of an array's task until it runs, including the image fetch,
    /// seconds.
    pub(crate) start_lag: Secs,
    next_step: Secs,
    next_sweep: Secs,
    /// When this controller was elected.
    elected_at: Secs,
    /// Since when this leader has heard most machines; `None` while it doesn't.
    pub(crate) majority_heard_since: Option<Secs>,
    /// Since when this process has been scheduled on a processor without delay.
    pub(crate) unstalled_since: Secs,
    pub(crate) next_direct_round_at: Secs,
    pub(crate) writer: Writer,
    pub(crate) cloud_requests: CloudRequests,
    pub(crate) cells: Option<Cells>,
    pub(crate) recovering: bool,
    pub(crate) place_due: bool,
    pub(crate) placed_at: Secs,
    pub(crate) terminal_states: Vec<(JobId, EndRecord)>,
    next_progress: Secs,
    progress_rounds: u32,
    progress_sent: BTreeMap<JobId, TaskCounts>,
    /// The knowledge that its decisions are based on.
    pub knowledge: Knowledge,
    /// The lowest format that any controller was heard to run; 0 while one hasn't been heard.
    pub common_format: u32,
    pub(crate) fencing: FencingToken,
    /// Whether more fencing tokens should be reserved.
    pub(crate) tokens_needed: bool,
    /// Heartbeats whose answers wait for a start command.
    pub(crate) held_heartbeats: HeldHeartbeats,
    /// Counters of messages to workers.
    pub(crate) message_counts: MessageCounts,
    pub(crate) next_messages_log: Secs,
    /// Log lines: decisions and their reasons.
    pub log: Log,
}

impl Leader {
    /// Starts a leadership: loads the records, then recovers, then places tasks.
    pub fn new(
        facts: Arc<Facts>,
        term: Term,
        version: u64,
        now: Secs,
        out: &mut ActionSink,
    ) -> Self {
        let log = Log::new(facts.log);
        let mut leader = Self {
            writer: Writer::new(&facts, now),
            cloud_requests: CloudRequests::new(now),
            cells: facts.cells.clone().map(|settings| Cells::new(settings, now)),
            facts,
            term,
            version,
            rng: StdRng::seed_from_u64(term.0),
            loading: None,
            jobs: BTreeMap::new(),
            dependencies: DependencyGraph::default(),
            cascade_lists: CascadeLists::new(term.0, version, now),
            cascade_lists_allowed: false,
            machines: Machines::new(),
            released_machines: BTreeMap::new(),
            directs: HashMap::new(),
            next_attempt: 0,
            next_number: 0,
            backlog: true,
            least_cpus: f64::INFINITY,
            queue_snapshot: QueueSnapshot::default(),
            image_demand: HashMap::new(),
            start_lag: 0.0,
            next_step: 0.0,
            next_sweep: 0.0,
            elected_at: now,
            majority_heard_since: None,
            unstalled_since: now,
            next_direct_round_at: 0.0,
            recovering: true,
            place_due: true,
            placed_at: 0.0,
            terminal_states: Vec::new(),
            next_progress: 0.0,
            progress_rounds: 0,
            progress_sent: BTreeMap::new(),
            knowledge: Knowledge::default(),
            common_format: 0,
            fencing: FencingToken::new(term.0, version),
            tokens_needed: true,
            held_heartbeats: HeldHeartbeats::default(),
            message_counts: MessageCounts::default(),
            next_messages_log: now + WORKER_MESSAGES_LOG_S,
            log,
        };
        leader.start_loading(out);
        leader
    }

    /// Takes the terminal states that were written since the last call.
    pub fn take_terminal_states(&mut self) -> Vec<(JobId, EndRecord)> {
        std::mem::take(&mut self.terminal_states)
    }

    /// Advances timers. Called only while this controller may act.
    pub fn tick(&mut self, now: Secs, wall_ms: u64, replica: &Replica, out: &mut ActionSink) {
        if self.loading.is_some() {
            return self.keep_loading(now, wall_ms, replica, out);
        }
        if now < self.next_step {
            return;
        }
        self.next_step = now + STEP_EVERY_S.max(self.facts.step_interval(self.machines.len()));
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_EVERY_S;
            self.expire_leases(now);
            self.check_recovered(now);
            self.drain_machines_with_notice(now);
            self.probe_doubtful_machines(now);
            self.withdraw_unsent_starts(now);
            self.reserve_tokens(now, out);
            self.log_message_counts(now);
        }
        let pause = PLACE_EVERY_S.max(self.machines.len() as f64 * PLACE_PER_MACHINE_S);
        let pass_due = self.place_due && now >= self.placed_at + pause;
        if pass_due || now >= self.placed_at + PLACE_IDLE_S.max(pause) {
            self.place_due = false;
            self.placed_at = now;
            self.place(now, None);
        }
        self.flush(now, replica, out);
        self.dependencies_tick(now, replica, out);
        self.cloud_tick(now, replica, out);
        self.cells_tick(now, wall_ms, replica, out);
        self.answer_held_heartbeats(now, out);
        self.push_direct(now, out);
    }

    /// Handles a change of a watched key.
    pub fn apply_change(&mut self, now: Secs, wall_ms: u64, change: &Change, replica: &Replica) {
        if self.loading.is_some() {
            return;
        }
        match change {
            Change::Leader => {}
            Change::Job(id) => {
                if !Self::written_for_transfer(id, replica) {
                    self.writer.saw_user_changes(1.0);
                }
                self.apply_job_record(now, wall_ms, id, replica);
            }
            Change::Cancelled(id) => {
                self.writer.saw_user_changes(2.0);
                self.cancel(now, id);
            }
            Change::All => {
                let ids: Vec<JobId> = replica.specs.keys().cloned().collect();
                for id in ids {
                    self.apply_job_record(now, wall_ms, &id, replica);
                }
                for id in replica.cancelled() {
                    self.cancel(now, id);
                }
            }
        }
    }

    /// Whether a job's record was last written by a leader for a transfer, and not on behalf of a
    /// user.
    fn written_for_transfer(id: &JobId, replica: &Replica) -> bool {
        replica.specs.get(id).is_some_and(|(record, _)| {
            record.forward.is_some() || record.origin.is_some() || record.refusals > 0
        })
    }

    /// Adds or updates a job from the replica.
    pub(crate) fn apply_job_record(
        &mut self,
        now: Secs,
        wall_ms: u64,
        id: &JobId,
        replica: &Replica,
    ) {
        let Some((record, version)) = replica.specs.get(id) else {
            return;
        };
        if self.jobs.contains_key(id) {
            return self.apply_spec_record(now, record, *version);
        }
        self.add_job(now, wall_ms, record.clone(), *version, replica.is_cancelled(id));
        self.track_dependencies(now, id, replica);
    }

    /// Adds a job that isn't known yet, from the watch or from this leader's own write.
    ///
    /// Either may come first, so a known job is left alone. Without this check, a job of another
    /// cell arrived by the watch and was placed; the answer to the write of its record then added
    /// it as a new job, and it was started again.
    pub(crate) fn add_job(
        &mut self,
        now: Secs,
        wall_ms: u64,
        record: Arc<SpecRecord>,
        version: u64,
        cancelled: bool,
    ) {
        let id = record.spec.id.clone();
        if self.jobs.contains_key(&id) || self.writer.closed(&id, version) {
            return;
        }
        let age = wall_ms.saturating_sub(record.at_ms) as f64 / 1e3;
        let mut job = Job::new(record, version, now - age, &self.facts.tuning, &mut self.rng);
        job.cancelled = cancelled;
        job.has_objective = self.facts.aimed(&job.spec().class);
        job.finish_objective_s = self.facts.finish_objective_s(&job.spec().class);
        job.start_within = self.facts.start_within(&job.spec().class);
        self.cloud_requests.record_arrival(now, job.spec());
        self.log.debug(|| {
            format!(
                "event=known job={id} kind={:?} rank={:?} tasks={} age_s={age:.1} term={}",
                job.spec().kind,
                job.spec().priority,
                job.spec().tasks,
                self.term.0
            )
        });
        self.least_cpus = self.least_cpus.min(job.spec().cpus);
        if job.cancelled {
            self.writer.close(&id, now);
        }
        self.jobs.insert(id.clone(), job);
        self.apply_forward(now, &id);
        self.place_due = true;
    }

    /// Updates the sizes of all machines from their machine types.
    pub(crate) fn apply_machine_types(&mut self) {
        for m in self.machines.values_mut() {
            m.apply_machine_type(self.cloud_requests.types.iter().find(|t| t.name == m.info.kind));
        }
    }

    /// Handles a heartbeat of a worker that arrived at that time.
    pub fn handle_heartbeat(
        &mut self,
        now: Secs,
        arrived: Secs,
        to: ReplyTo,
        heartbeat: &Heartbeat,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        match self.apply_and_renew(now, heartbeat, replica) {
            HeartbeatDecision::Answer(answer) => out.reply(to, answer),
            HeartbeatDecision::Refuse => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
            HeartbeatDecision::SendCommands => {
                self.answer_or_hold(now, arrived, to, &heartbeat.machine, out)
            }
        }
    }

    /// Handles an answer of the state service. Returns whether this controller still leads.
    pub fn handle_store_result(
        &mut self,
        now: Secs,
        wall_ms: u64,
        op: OpId,
        result: StoreResult,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> bool {
        if self.loading.is_some() {
            self.loaded(now, wall_ms, op, result, replica, out);
            return true;
        }
        if self.dependency_answered(now, op, &result) {
            return true;
        }
        let mut outcome = self.fencing_token_answered(now, op, &result, out);
        if outcome == WriteOutcome::Unrelated {
            outcome = self.cells_written(now, wall_ms, op, &result, replica, out);
        }
        match outcome {
            WriteOutcome::Unrelated => self.written(now, op, result, out),
            WriteOutcome::Handled => true,
            WriteOutcome::NotLeading => false,
        }
    }

    /// Handles an answer of the cloud.
    pub fn handle_cloud_result(&mut self, now: Secs, op: OpId, result: CloudResult) {
        if self.loading.is_none() {
            self.cloud_answered(now, op, result);
        }
    }

    /// Progress of the jobs that has changed since the last call, for this controller's own users
    /// and for the peers. It must reach both: when it was sent only to the peers, users of the
    /// leader saw no progress.
    pub fn progress_updates(&mut self, now: Secs) -> Vec<JobCounts> {
        if now < self.next_progress {
            return Vec::new();
        }
        self.next_progress = now + PROGRESS_EVERY_S;
        self.progress_rounds += 1;
        if self.progress_rounds.is_multiple_of(PROGRESS_ALL_EVERY) {
            self.progress_sent.clear();
        }
        let mut updates = Vec::new();
        for (id, job) in &self.jobs {
            let local_counts = TaskCounts { done: job.finished.len(), running: job.running() };
            let counts = self.remote_task_counts(id).unwrap_or(local_counts);
            if self.progress_sent.get(id) != Some(&counts) {
                self.progress_sent.insert(id.clone(), counts);
                updates.push(JobCounts { job: id.clone(), counts });
            }
        }
        let ended: BTreeSet<JobId> =
            self.progress_sent.keys().filter(|id| !self.jobs.contains_key(*id)).cloned().collect();
        self.progress_sent.retain(|id, _| !ended.contains(id));
        updates
    }

    /// Whether all workers that had reported have become unreachable at once. Then this controller
    /// is the partitioned one, and the workers' leases will expire unless another controller leads.
    ///
    /// A process that was short of processor time doesn't count this silence: a leader that got no
    /// processor for seconds, and so heard no worker, resigned, and so did its successor, which
    /// also had the work of the takeover.
    pub fn workers_unreachable(&self, now: Secs) -> bool {
        let silence_limit = self.facts.heartbeat_interval_s * WORKERS_UNREACHABLE_HEARTBEATS
            + WORKERS_UNREACHABLE_MARGIN_S;
        // Answers to the direct commands of a new leader count as contact, and workers may then
        // wait for their previous leader until they give up on it. A leader that resigned after 3.5
        // s left its workers' leases to expire.
        if !self.unstalled_for(now, silence_limit) || now - self.elected_at < PRESUMED_DEAD_AFTER_S
        {
            return false;
        }
        let mut unreachable = 0;
        for at in self
            .machines
            .values()
            .filter(|m| m.expired_epoch.is_none())
            .filter_map(|m| m.last_heard_at)
        {
            if now - at <= silence_limit {
                // The usual case returns at the first machine; this runs with every batch of
                // events.
                return false;
            }
            unreachable += 1;
        }
        unreachable >= WORKERS_UNREACHABLE_MIN
    }

    /// Whether the takeover has been complete, with every recorded machine accounted for, and the
    /// leadership has lasted long enough for a transfer.
    pub fn is_settled(&self, now: Secs) -> bool {
        self.loading.is_none() && !self.recovering && now - self.elected_at >= TRANSFER_AFTER_S
    }

    /// Whether this process has been scheduled without delay for at least `span` seconds. Before
    /// that, silence doesn't show that the others are unreachable.
    pub(crate) fn unstalled_for(&self, now: Secs, span: Secs) -> bool {
        now - self.unstalled_since > span
    }

    /// Records that a step ran late.
    pub fn note_late_step(&mut self, now: Secs) {
        self.unstalled_since = now;
    }

    /// CPUs and GPUs that the tasks of each team use or may use.
    pub(crate) fn team_usage(&self) -> BTreeMap<String, [f64; 2]> {
        let mut usage: BTreeMap<String, [f64; 2]> = BTreeMap::new();
        for job in self.jobs.values() {
            let n = (job.live.len() + job.maybe_running.len()) as f64;
            let slot = match usage.get_mut(&job.spec().team) {
                Some(s) => s,
                None => usage.entry(job.spec().team.clone()).or_default(),
            };
            slot[0] += n * job.spec().cpus;
            slot[1] += n * job.spec().gpus;
        }
        usage
    }

    /// The jobs of kind service that have waiting tasks.
    pub(crate) fn waiting_services(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|j| j.spec().kind == Kind::Service && j.waiting() > 0)
    }
}
