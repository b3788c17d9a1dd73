//! The leader's picture of the machines.

use crate::consts::*;
use crate::event::{OpId, Secs};
use crate::unconfirmed_starts::UnconfirmedStarts;
use marblebarrow_proto::ids::{Attempt, MachineId, TaskId};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::{MachineType, Why};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that was heard of.
#[derive(Debug)]
pub struct Machine {
    /// What is recorded of it.
    pub info: MachineRecord,
    /// Whether its record is surely in the store.
    pub recorded: bool,
    /// The block of records it belongs to, once it is to be recorded.
    pub block: Option<u32>,
    /// Its size, rate of fetches (GB/s) and cache (GB), as its type says.
    pub size: [f64; 3],
    /// Image fetch rate, GB/s.
    pub fetch_rate: f64,
    /// Image cache, GB.
    pub cache_gb: f64,
    /// Its worker's agent epoch; 0: unknown.
    pub agent_epoch: u64,
    /// Newest message's number within the epoch.
    pub seq: u64,
    /// Highest token it was seen to hold.
    pub fencing_token: u64,
    /// When that one rose.
    pub token_risen_at: Secs,
    /// When the last newer heartbeat came; none under this term: None.
    pub heard: Option<Secs>,
    /// When anybody may last have answered it: its lease counts from here.
    pub answered: Secs,
    /// The number of its newest heartbeat of its own (answers to direct commands
    /// left out): an older one is a late copy, and its sender has given it up.
    pub heartbeat_seq: u64,
    /// When tasks on it were last lost with it, or with its worker's agent epoch.
    pub tasks_lost_at: Option<Secs>,
    /// When that came.
    pub last_heartbeat: Option<Secs>,
    /// When it last proved that our words reach it. Its heartbeats alone don't:
    /// they may arrive while nothing arrives there.
    pub reached: Option<Secs>,
    /// It is to be sent an order though there is nothing to do, to learn
    /// whether it hears us and what it runs.
    pub probe_due: bool,
    /// Orders in a row that found it unreachable.
    pub unreached: u32,
    /// When a direct order last went unanswered.
    pub direct_failed: Option<Secs>,
    /// All that it may run is known: it reported under this term.
    pub confirmed: bool,
    /// Its tasks outlived their lease, in this epoch.
    pub lapsed: Option<u64>,
    /// No new tasks.
    pub cordoned: bool,
    /// When a spot machine will be taken.
    pub notice: Option<Secs>,
    /// A release is asked for.
    pub releasing: bool,
    /// Its worker began anew under the same name; its words count no more.
    pub reborn: bool,
    /// Something new is to be sent.
    pub push: bool,
    /// Ended tasks that it still lists, and why they ended.
    pub exited: BTreeMap<(TaskId, Attempt), Why>,
    /// Direct commands under way.
    pub direct: Option<OpId>,
    /// Direct commands aren't tried before that.
    pub direct_after: Secs,
    /// Starts that may yet be carried out. Their attempts must stay uncleared: a late start
    /// would run them again.
    pub unconfirmed_starts: UnconfirmedStarts,
    /// The token for it, if it is higher than the term; else 0.
    pub raised_fencing_token: u64,
    /// Its heartbeats aren't answered, so that its lease runs out.
    pub withheld: bool,
    /// Tasks seen that nobody knows, with their attempt.
    pub strangers: BTreeSet<(TaskId, Attempt)>,
    /// CPUs, GPUs, memory in use by tasks that run or may run.
    pub used: [f64; 3],
    /// Services among its tasks.
    pub services: u32,
    /// CPUs that those take.
    pub service_cpus: f64,
    /// Tasks that run or may run.
    pub tasks: BTreeSet<TaskId>,
    /// Those of them that were told to stop and whose room is taken as free.
    pub freed: BTreeSet<TaskId>,
    /// Since when no task is on it.
    pub idle_since: Secs,
    /// Since when all that is on it is work for spare capacity.
    pub spare_since: Option<Secs>,
    /// When it was first heard of.
    pub first_heard: Secs,
    /// Failures since the last success.
    pub errors: u32,
    /// Tasks in a row that took much longer than their jobs' mean.
    pub slow: u32,
    /// Images and sizes, most recent last.
    pub images: Vec<(String, f64)>,
    /// Images being fetched, and when they should be there.
    pub fetching: BTreeMap<String, Secs>,
}

impl Machine {
    /// A machine first heard of now.
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
            token_risen_at: now,
            heard: None,
            answered: now,
            heartbeat_seq: 0,
            tasks_lost_at: None,
            last_heartbeat: None,
            reached: None,
            probe_due: false,
            unreached: 0,
            direct_failed: None,
            confirmed: false,
            lapsed: None,
            cordoned: false,
            notice: None,
            releasing: false,
            reborn: false,
            push: false,
            exited: BTreeMap::new(),
            direct: None,
            direct_after: 0.0,
            unconfirmed_starts: UnconfirmedStarts::default(),
            raised_fencing_token: 0,
            withheld: false,
            strangers: BTreeSet::new(),
            used: [0.0; 3],
            services: 0,
            service_cpus: 0.0,
            tasks: BTreeSet::new(),
            freed: BTreeSet::new(),
            idle_since: now,
            spare_since: None,
            first_heard: now,
            errors: 0,
            slow: 0,
            images,
            fetching: BTreeMap::new(),
        }
    }

    /// Counts a service's task that is booked on it.
    pub fn add_service(&mut self, cpus: f64) {
        self.services += 1;
        self.service_cpus += cpus;
    }

    /// Counts a service's task no more.
    pub fn remove_service(&mut self, cpus: f64) {
        self.services -= 1;
        // Sums of fractions: none is left of none.
        self.service_cpus = if self.services == 0 { 0.0 } else { self.service_cpus - cpus };
    }

    /// Whether new tasks may go there.
    pub fn usable(&self, now: Secs, heartbeat_interval_s: f64) -> bool {
        self.heard.is_some_and(|h| now - h < heartbeat_interval_s * SILENT_HEARTBEATS)
            && self.hears(now, heartbeat_interval_s)
            && self.confirmed
            && self.lapsed.is_none()
            && !self.cordoned
            && !self.releasing
            && !self.withheld
            && self.notice.is_none()
    }

    /// Whether it has only just come up, and hasn't shown yet that our words reach it.
    pub fn is_just_up(&self, now: Secs) -> bool {
        self.heard.is_some()
            && !self.confirmed
            && now - self.first_heard < WORKER_GIVES_UP_S
            && self.lapsed.is_none()
            && !self.cordoned
            && !self.releasing
            && self.notice.is_none()
    }

    /// Whether our words reached it lately.
    pub fn hears(&self, now: Secs, heartbeat_interval_s: f64) -> bool {
        self.reached.is_some_and(|at| {
            now - at < heartbeat_interval_s * REACH_HEARTBEATS + WORKER_GIVES_UP_S
        })
    }

    /// Whether it was asked in vain since our words last reached it. One that nobody had a
    /// slot to ask is not deaf.
    pub fn asked_in_vain(&self) -> bool {
        self.direct_failed.is_some_and(|failed| self.reached.is_none_or(|at| failed > at))
    }

    /// Since when a direct order to it has been waiting for its turn, at the longest.
    pub fn waiting_since(&self) -> Secs {
        self.direct_after.max(self.reached.unwrap_or(0.0))
    }

    /// What its type says of it. Unknown types have no room.
    pub fn learn_type(&mut self, t: Option<&MachineType>) {
        if let Some(t) = t {
            self.size = [t.cpus, t.gpus, t.memory_gb];
            self.fetch_rate = t.fetch_gb_per_s;
            self.cache_gb = t.cache_gb;
        }
    }

    /// Counts a task's CPUs, GPUs and memory as used.
    pub fn book(&mut self, spec: &JobSpec) {
        self.used[0] += spec.cpus;
        self.used[1] += spec.gpus;
        self.used[2] += spec.memory_gb;
    }

    /// Counts a task's CPUs, GPUs and memory as free again.
    pub fn unbook(&mut self, spec: &JobSpec) {
        self.used[0] -= spec.cpus;
        self.used[1] -= spec.gpus;
        self.used[2] -= spec.memory_gb;
    }

    /// What is free.
    pub fn free(&self) -> [f64; 3] {
        std::array::from_fn(|i| self.size[i] - self.used[i])
    }

    /// Whether it holds an image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Seconds until an image should be there: fetches at the same time share
    /// the rate, so a second one ends after the first.
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

    /// A task that needs this image was sent there. True if it is the first.
    pub fn expect_image(&mut self, image: &str, gb: f64, now: Secs) -> bool {
        let first = !self.has_image(image) && !self.fetching.contains_key(image);
        if first {
            let at = now + self.fetch_time(image, gb, now);
            self.fetching.insert(image.to_owned(), at);
        }
        first
    }

    /// A task of this image was seen running: the image is there, as the most
    /// recently used. Those that no longer fit the cache are gone. True if its
    /// record is out of date by that.
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
