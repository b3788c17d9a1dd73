//! The leader's picture of the machines.

use crate::consts::*;
use crate::event::{OpId, Secs};
use marblebarrow_proto::ids::{Attempt, MachineId, TaskId};
use marblebarrow_proto::records::MachineRecord;
use marblebarrow_proto::wire::{MachineType, Why};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a machine's record is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// No.
    No,
    /// Yes, at this version.
    Yes(u64),
}

/// A machine that was heard of.
#[derive(Debug)]
pub struct Machine {
    /// What is recorded of it.
    pub info: MachineRecord,
    /// Whether it is recorded.
    pub recorded: Recorded,
    /// Whether the record is out of date.
    pub dirty: bool,
    /// Its worker's session; 0: unknown.
    pub session: u64,
    /// Newest message's number within the session.
    pub seq: u64,
    /// Highest token it was seen to hold.
    pub token: u64,
    /// When the last newer report came; none under this term: None.
    pub heard: Option<Secs>,
    /// When anybody may last have answered it: its lease counts from here.
    pub answered: Secs,
    /// All that it may run is known: it reported under this term.
    pub confirmed: bool,
    /// Its tasks outlived their lease, in this session.
    pub lapsed: Option<u64>,
    /// No new tasks.
    pub cordoned: bool,
    /// When a spot machine will be taken.
    pub notice: Option<Secs>,
    /// A release is asked for.
    pub releasing: bool,
    /// Something new is to be sent.
    pub push: bool,
    /// Ended tasks that it still lists, and why they ended.
    pub exited: BTreeMap<(TaskId, Attempt), Why>,
    /// Direct commands under way.
    pub direct: Option<OpId>,
    /// Direct commands aren't tried before that.
    pub direct_after: Secs,
    /// Attempts that must stay uncleared: a start command for them may still
    /// arrive, and would run them again.
    pub keep: BTreeSet<(TaskId, Attempt)>,
    /// Tasks seen that nobody knows, with their attempt.
    pub strangers: BTreeSet<(TaskId, Attempt)>,
    /// CPUs, GPUs, memory in use by tasks that run or may run.
    pub used: [f64; 3],
    /// Services among its tasks.
    pub services: u32,
    /// Tasks that run or may run.
    pub tasks: BTreeSet<TaskId>,
    /// Those of them that were told to stop and whose room is taken as free.
    pub freed: BTreeSet<TaskId>,
    /// Since when no task is on it.
    pub idle_since: Secs,
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
            recorded: Recorded::No,
            dirty: false,
            session: 0,
            seq: 0,
            token: 0,
            heard: None,
            answered: now,
            confirmed: false,
            lapsed: None,
            cordoned: false,
            notice: None,
            releasing: false,
            push: false,
            exited: BTreeMap::new(),
            direct: None,
            direct_after: 0.0,
            keep: BTreeSet::new(),
            strangers: BTreeSet::new(),
            used: [0.0; 3],
            services: 0,
            tasks: BTreeSet::new(),
            freed: BTreeSet::new(),
            idle_since: now,
            first_heard: now,
            errors: 0,
            slow: 0,
            images,
            fetching: BTreeMap::new(),
        }
    }

    /// Whether new tasks may go there.
    pub fn usable(&self, now: Secs, report_s: f64) -> bool {
        self.heard.is_some_and(|h| now - h < report_s * SILENT_REPORTS)
            && self.lapsed.is_none()
            && !self.cordoned
            && !self.releasing
            && self.notice.is_none()
    }

    /// What is free of a type.
    pub fn free(&self, t: &MachineType) -> [f64; 3] {
        [t.cpus - self.used[0], t.gpus - self.used[1], t.memory_gb - self.used[2]]
    }

    /// Whether it holds an image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Seconds until an image should be there: fetches at the same time share
    /// the rate, so a second one ends after the first.
    pub fn fetch_time(&self, image: &str, gb: f64, rate: f64, now: Secs) -> f64 {
        if self.has_image(image) {
            return 0.0;
        }
        if let Some(at) = self.fetching.get(image) {
            return (at - now).max(0.5);
        }
        let busy = self.fetching.values().map(|at| at - now).fold(0.0, f64::max);
        busy + gb / rate.max(1e-3)
    }

    /// A task that needs this image was sent there.
    pub fn expect_image(&mut self, image: &str, gb: f64, rate: f64, now: Secs) {
        if !self.has_image(image) && !self.fetching.contains_key(image) {
            let at = now + self.fetch_time(image, gb, rate, now);
            self.fetching.insert(image.to_owned(), at);
        }
    }

    /// A task of this image was seen running: the image is there, as the most
    /// recently used. Those that no longer fit the cache are gone.
    pub fn touch_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.fetching.remove(image);
        let new = !self.has_image(image);
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.to_owned(), gb));
        let mut total: f64 = self.images.iter().map(|i| i.1).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
        if new {
            self.info.images = self.images.iter().map(|i| i.0.clone()).collect();
            self.dirty = self.recorded != Recorded::No;
        }
    }
}

/// The machines, by name.
pub type Machines = BTreeMap<MachineId, Machine>;
