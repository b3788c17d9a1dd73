//! The leader's view of the machines.

use crate::consts::*;
use crate::event::{OpId, Secs};
use marblebarrow_proto::ids::{Attempt, MachineId, TaskId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::{EndReason, MachineType};
use std::collections::{BTreeMap, BTreeSet};

/// The settings that decide when a worker sends heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatTiming {
    /// Interval of its heartbeats, in seconds.
    pub interval_s: Secs,
    /// Its lease, in seconds.
    pub lease_s: Secs,
}

/// Identifies an attempt of a task.
pub type AttemptKey = (TaskId, Attempt);

/// A machine known to the leader, from a report or from the store.
#[derive(Debug)]
pub struct Machine {
    /// The machine's record as kept in the store.
    pub info: MachineRecord,
    /// Whether its record is known to be in the store.
    pub recorded: bool,
    /// The block of records that its record belongs to, once it is to be recorded.
    pub block: Option<u32>,
    /// Its size as given by its type: CPUs, GPUs, memory (GB).
    pub size: [f64; 3],
    /// Image fetch rate, GB/s.
    pub fetch_rate: f64,
    /// Image cache size, GB.
    pub cache_gb: f64,
    /// Agent epoch of its worker; 0 if unknown.
    pub agent_epoch: u64,
    /// Sequence number of the newest message within the agent epoch.
    pub seq: u64,
    /// Highest fencing token that the worker is known to hold.
    pub fencing_token: u64,
    /// Time at which `fencing_token` last rose.
    pub token_raised_at: Secs,
    /// Time at which the last newer heartbeat arrived; `None` if none arrived in this term.
    pub last_heard_at: Option<Secs>,
    /// Latest time at which any controller may have answered it. Its lease counts from here.
    pub last_answered_at: Secs,
    /// Sequence number of the newest heartbeat that it sent itself (replies to direct commands
    /// excluded). An older heartbeat is a late copy that its sender no longer waits for.
    pub heartbeat_seq: u64,
    /// Time at which its tasks were last lost, either with the machine or with its worker's agent
    /// epoch.
    pub tasks_lost_at: Option<Secs>,
    /// Time at which the heartbeat `heartbeat_seq` arrived.
    pub last_heartbeat: Option<Secs>,
    /// Time at which the worker last proved that the controller's messages reach it. Heartbeats
    /// alone are no proof: they may arrive while nothing reaches the worker.
    pub last_reached_at: Option<Secs>,
    /// Whether to send it a command even if there is nothing to do, to learn whether it is
    /// reachable and what it runs.
    pub probe_due: bool,
    /// Number of consecutive commands that couldn't be delivered.
    pub failed_direct_sends: u32,
    /// Number of consecutive commands that couldn't be delivered while its heartbeat was overdue.
    pub failed_while_overdue: u32,
    /// Time at which a direct command last went unanswered.
    pub direct_failed: Option<Secs>,
    /// Whether everything that it may run is known because it reported in this term.
    pub confirmed: bool,
    /// The agent epoch in which its tasks outlived their lease, if any.
    pub expired_epoch: Option<u64>,
    /// Whether it gets no new tasks.
    pub cordoned: bool,
    /// Time at which a spot machine will be interrupted, once a notice arrived.
    pub notice: Option<Secs>,
    /// Whether its release has been requested.
    pub releasing: bool,
    /// Whether its worker restarted under the same name; messages of the old one are ignored.
    pub worker_restarted: bool,
    /// Whether there is something new to send to it.
    pub direct_send_due: bool,
    /// Ended attempts that it still lists, and why they ended.
    pub ended_attempts: BTreeMap<AttemptKey, EndReason>,
    /// The operation of the direct commands in flight.
    pub direct_in_flight: Option<OpId>,
    /// Time before which no direct commands are sent.
    pub next_direct_at: Secs,
    /// Whether a heartbeat of it is held until there is a command to send.
    pub heartbeat_held: bool,
    /// Whether a start waits for its next heartbeat, so that it should be prompted to send one.
    pub prompt_due: bool,
    /// Time by which it sends a heartbeat because it was prompted, if nothing is lost.
    pub heartbeat_expected_by: Secs,
    /// Time before which it isn't prompted again.
    pub next_prompt_at: Secs,
    /// Fencing token for it if that is higher than the term; otherwise 0.
    pub raised_fencing_token: u64,
    /// Reported attempts that the leader doesn't know.
    pub unknown_attempts: BTreeSet<AttemptKey>,
    /// CPUs, GPUs and memory (GB) in use by tasks that run or may run.
    pub used: [f64; 3],
    /// Number of service replicas among its tasks.
    pub services: u32,
    /// CPUs that those replicas use.
    pub service_cpus: f64,
    /// Tasks that run or may run.
    pub tasks: BTreeSet<TaskId>,
    /// Tasks that were told to stop and whose capacity already counts as free.
    pub freed_tasks: BTreeSet<TaskId>,
    /// Time since which no task is on it.
    pub idle_since: Secs,
    /// Time since which it has run only spare-capacity work; `None` otherwise.
    pub spare_since: Option<Secs>,
    /// Time at which it was first heard of.
    pub first_heard: Secs,
    /// Number of task failures since the last success.
    pub error_streak: u32,
    /// Number of consecutive tasks that took much longer than their job's mean.
    pub slow_streak: u32,
    /// Cached images and their sizes in GB, the most recently used last.
    pub images: Vec<(String, f64)>,
    /// Images being fetched, and the times at which they are expected to be there.
    pub fetching: BTreeMap<String, Secs>,
}

impl Machine {
    /// A machine that is first heard of at `now`.
    pub fn new(info: MachineRecord, now: Secs) -> Self {
        let images = info.images.iter().map(|i| (i.clone(), 0.0)).collect();
        Self {
            info,
            recorded: false,
            block: None,
            size: [0.0; 3],
            fetch_rate: 0.0,
            cache_gb: f64::INFINITY,
            agent_epoch: 0,
            seq: 0,
            fencing_token: 0,
            token_raised_at: now,
            last_heard_at: None,
            last_answered_at: now,
            heartbeat_seq: 0,
            tasks_lost_at: None,
            last_heartbeat: None,
            last_reached_at: None,
            probe_due: false,
            failed_direct_sends: 0,
            failed_while_overdue: 0,
            direct_failed: None,
            confirmed: false,
            expired_epoch: None,
            cordoned: false,
            notice: None,
            releasing: false,
            worker_restarted: false,
            direct_send_due: false,
            ended_attempts: BTreeMap::new(),
            direct_in_flight: None,
            next_direct_at: 0.0,
            heartbeat_held: false,
            prompt_due: false,
            heartbeat_expected_by: 0.0,
            next_prompt_at: 0.0,
            raised_fencing_token: 0,
            unknown_attempts: BTreeSet::new(),
            used: [0.0; 3],
            services: 0,
            service_cpus: 0.0,
            tasks: BTreeSet::new(),
            freed_tasks: BTreeSet::new(),
            idle_since: now,
            spare_since: None,
            first_heard: now,
            error_streak: 0,
            slow_streak: 0,
            images,
            fetching: BTreeMap::new(),
        }
    }

    /// Counts a service replica placed on it.
    pub fn add_service(&mut self, cpus: f64) {
        self.services += 1;
        self.service_cpus += cpus;
    }

    /// Removes a service replica from the count.
    pub fn remove_service(&mut self, cpus: f64) {
        self.services -= 1;
        // Reset to zero with the last replica, as sums of fractions may leave a rounding error.
        self.service_cpus = if self.services == 0 { 0.0 } else { self.service_cpus - cpus };
    }

    /// Whether new tasks may be placed on it.
    pub fn usable(&self, now: Secs, heartbeat_interval_s: f64) -> bool {
        self.last_heard_at.is_some_and(|h| now - h < heartbeat_interval_s * UNREACHABLE_HEARTBEATS)
            && self.is_reachable(now, heartbeat_interval_s)
            && self.confirmed
            && self.expired_epoch.is_none()
            && !self.cordoned
            && !self.releasing
            && self.notice.is_none()
            && self.ended_attempts.len() + self.tasks.len() < LISTED_ATTEMPTS_MAX
    }

    /// Whether it may be sent starts that are placed on it.
    pub fn accepts_starts(&self) -> bool {
        self.expired_epoch.is_none() && !self.releasing && self.last_reached_at.is_some()
    }

    /// Whether a higher token makes its worker send a heartbeat at once.
    pub fn token_prompts(&self, now: Secs, timing: HeartbeatTiming) -> bool {
        now - self.token_raised_at > timing.lease_s * TOKEN_PROMPT_LEASE_SHARE + WORKER_MARGIN_S
    }

    /// How long a start is likely to wait for its next heartbeat, in seconds.
    pub fn expected_heartbeat_wait(&self, now: Secs, timing: HeartbeatTiming) -> Secs {
        if self.heartbeat_held {
            return 0.0;
        }
        let Some(last) = self.last_heartbeat else { return timing.interval_s };
        let prompted = self.heartbeat_expected_by > now;
        let can_prompt = self.direct_in_flight.is_none() && self.token_prompts(now, timing);
        let interval =
            if prompted || can_prompt { HEARTBEAT_MIN_INTERVAL_S } else { timing.interval_s };
        (last + interval - now).clamp(0.0, timing.interval_s)
    }

    /// Whether it should be prompted to send a heartbeat now.
    pub fn is_prompt_due(&self, now: Secs) -> bool {
        self.prompt_due
            && !self.heartbeat_held
            && now >= self.next_prompt_at
            && self.agent_epoch != 0
    }

    /// Whether it has only just come up, and hasn't yet proved that commands reach it.
    pub fn has_just_booted(&self, now: Secs) -> bool {
        self.last_heard_at.is_some()
            && !self.confirmed
            && now - self.first_heard < WORKER_REPORT_TIMEOUT_S
            && self.expired_epoch.is_none()
            && !self.cordoned
            && !self.releasing
            && self.notice.is_none()
    }

    /// Whether its next heartbeat should have arrived.
    pub fn is_heartbeat_overdue(&self, now: Secs, heartbeat_interval_s: Secs) -> bool {
        let latest = heartbeat_interval_s * (1.0 + HEARTBEAT_JITTER);
        self.last_heard_at.is_none_or(|at| now - at > latest)
    }

    /// Whether commands are known to have reached it recently.
    pub fn is_reachable(&self, now: Secs, heartbeat_interval_s: f64) -> bool {
        self.last_reached_at.is_some_and(|at| {
            now - at < heartbeat_interval_s * REACH_HEARTBEATS + WORKER_REPORT_TIMEOUT_S
        })
    }

    /// Whether a command to it has failed since one last reached it. A machine that wasn't probed
    /// for lack of a free slot doesn't count as unreachable.
    pub fn has_failed_direct_send(&self) -> bool {
        self.direct_failed.is_some_and(|failed| self.last_reached_at.is_none_or(|at| failed > at))
    }

    /// Earliest time since which a direct command to it may have been waiting to be sent.
    pub fn commands_waiting_since(&self) -> Secs {
        self.next_direct_at.max(self.last_reached_at.unwrap_or(0.0))
    }

    /// Takes over the properties of its type. Machines of unknown types have no capacity.
    pub fn apply_machine_type(&mut self, t: Option<&MachineType>) {
        if let Some(t) = t {
            self.size = [t.cpus, t.gpus, t.memory_gb];
            self.fetch_rate = t.fetch_gb_per_s;
            self.cache_gb = t.cache_gb;
        }
    }

    /// Counts a task's CPUs, GPUs and memory as used.
    pub fn reserve(&mut self, spec: &JobSpec) {
        self.used[0] += spec.cpus;
        self.used[1] += spec.gpus;
        self.used[2] += spec.memory_gb;
    }

    /// Counts a task's CPUs, GPUs and memory as free again.
    pub fn unreserve(&mut self, spec: &JobSpec) {
        self.used[0] -= spec.cpus;
        self.used[1] -= spec.gpus;
        self.used[2] -= spec.memory_gb;
    }

    /// Free CPUs, GPUs and memory (GB).
    pub fn free(&self) -> [f64; 3] {
        std::array::from_fn(|i| self.size[i] - self.used[i])
    }

    /// Whether it has the image cached.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Expected time in seconds until the image is available. Concurrent fetches share the rate, so
    /// a new fetch ends after those in progress.
    pub fn fetch_time(&self, image: &str, gb: f64, now: Secs) -> f64 {
        if self.has_image(image) {
            return 0.0;
        }
        if let Some(at) = self.fetching.get(image) {
            return (at - now).max(0.5);
        }
        let busy = self.fetching.values().map(|at| at - now).fold(0.0, f64::max);
        busy + gb / self.fetch_rate.max(1e-3)
    }

    /// Records that a task needing this image was placed on it. Returns true if the image is
    /// neither cached nor being fetched.
    pub fn expect_image(&mut self, image: &str, gb: f64, now: Secs) -> bool {
        let first = !self.has_image(image) && !self.fetching.contains_key(image);
        if first {
            let at = now + self.fetch_time(image, gb, now);
            self.fetching.insert(image.to_owned(), at);
        }
        first
    }

    /// Records that a task with this image was seen running: the image is cached, and is the most
    /// recently used. Images that no longer fit the cache are removed. Returns true if the
    /// machine's record is out of date as a result.
    pub fn touch_image(&mut self, image: &str, gb: f64) -> bool {
        self.fetching.remove(image);
        if self.images.last().is_some_and(|(i, _)| i == image) {
            return false;
        }
        let new = !self.has_image(image);
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), gb));
        let mut total: f64 = self.images.iter().map(|i| i.1).sum();
        while total > self.cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
        if new {
            self.info.images = self.images.iter().map(|i| i.0.clone()).collect();
        }
        new && self.block.is_some()
    }
}

/// The machines, by name.
pub type Machines = BTreeMap<MachineId, Machine>;
