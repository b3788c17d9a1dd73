//! This controller's copy of the watched keys. It may lag: nothing is told a
//! user, and nothing is decided for good, on its word alone.

use crate::event::WatchNews;
use ciborium::Value;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{self, LeaderRecord, SpecRecord};
use marblebarrow_proto::wire::{MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What changed with a piece of news.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The leader key was set or removed.
    Leader,
    /// A job is there.
    Job(JobId),
    /// A job was cancelled.
    Cut(JobId),
    /// Everything was read anew.
    All,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Replica {
    /// Whether it was ever filled.
    pub synced: bool,
    /// The leader key and its version.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Specs of unfinished jobs and their versions.
    pub specs: BTreeMap<JobId, (Arc<SpecRecord>, u64)>,
    /// Jobs marked as cancelled whose tasks may not all be gone yet.
    pub cuts: BTreeSet<JobId>,
    /// Machine types last seen by a leader.
    pub types: Option<Vec<MachineType>>,
    /// Version of their key; 0: none.
    pub types_version: u64,
    versions: BTreeMap<String, u64>,
}

impl Replica {
    /// Takes in news; returns what changed.
    pub fn apply(&mut self, news: WatchNews) -> Vec<Change> {
        match news {
            WatchNews::Reset { items } => {
                *self = Self { synced: true, ..Self::default() };
                for item in items {
                    self.put(item.key, &item.value, item.version);
                }
                vec![Change::All]
            }
            WatchNews::Events(events) => events.into_iter().filter_map(|e| self.event(e)).collect(),
        }
    }

    fn event(&mut self, event: WatchEvent) -> Option<Change> {
        match event {
            WatchEvent::Put { key, value, version } => self.put(key, &value, version),
            WatchEvent::Delete { key, version } => self.delete(&key, version),
        }
    }

    // A first read of several pages is no snapshot: events may tell of changes
    // that a later page already held, and must not undo what is newer.
    fn put(&mut self, key: String, value: &Value, version: u64) -> Option<Change> {
        if self.versions.get(&key).is_some_and(|&v| v >= version) {
            return None;
        }
        let change = if key == records::LEADER {
            self.leader = from_value(value).ok().map(|r| (r, version));
            Some(Change::Leader)
        } else if key == records::TYPES {
            self.types = from_value(value).ok();
            self.types_version = version;
            None
        } else if let Some(id) = key.strip_prefix(records::SPECS) {
            let id = JobId::new(id);
            let record = from_value::<SpecRecord>(value).ok()?;
            self.specs.insert(id.clone(), (Arc::new(record), version));
            Some(Change::Job(id))
        } else if let Some(id) = key.strip_prefix(records::CUTS) {
            let id = JobId::new(id);
            self.cuts.insert(id.clone());
            Some(Change::Cut(id))
        } else {
            None
        };
        self.versions.insert(key, version);
        change
    }

    fn delete(&mut self, key: &str, version: u64) -> Option<Change> {
        if self.versions.get(key).is_some_and(|&v| v > version) {
            return None;
        }
        self.versions.remove(key);
        if key == records::LEADER {
            self.leader = None;
            return Some(Change::Leader);
        }
        if let Some(id) = key.strip_prefix(records::SPECS) {
            self.specs.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(records::CUTS) {
            self.cuts.remove(&JobId::new(id));
        }
        None
    }
}
