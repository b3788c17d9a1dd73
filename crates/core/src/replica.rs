//! This controller's copy of the watched keys. It may lag: nothing is told a
//! user, and nothing is decided for good, on its word alone.

use crate::cascaded_jobs::CascadedJobs;
use crate::consts::CONFIRMED_CANCELLATIONS_MAX;
use crate::event::{Secs, WatchContent, WatchNews};
use ciborium::Value;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{self, FormatRecord, LeaderRecord, SpecRecord};
use marblebarrow_proto::transfer::{self, AcknowledgeRecord, InboundRecord};
use marblebarrow_proto::wire::{MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

/// What changed with a piece of news.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The leader key was set or removed.
    Leader,
    /// A job is there.
    Job(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
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
    /// The copy is whole up to this revision.
    pub revision: u64,
    /// It was current when the request was sent that this is the time of: it
    /// holds all that any controller had confirmed by then.
    pub current_at: Secs,
    /// Jobs marked as cancelled whose tasks may not all be gone yet, and the
    /// revisions of the marks.
    marked: BTreeMap<JobId, u64>,
    /// Cancellations confirmed to users, by us or by a peer, that the copy is
    /// too old to show, with their revisions.
    confirmed_cancellations: BTreeMap<JobId, u64>,
    /// One of those found no room: until this revision we don't know all.
    overflow: Option<u64>,
    /// Jobs that a cascade cancelled.
    pub cascaded: CascadedJobs,
    /// Machine types last seen by a leader.
    pub types: Option<Vec<MachineType>>,
    /// Version of their key; 0: none.
    pub types_version: u64,
    /// The format that every controller runs at least, and the version of its key.
    pub common_format: Option<(FormatRecord, u64)>,
    /// Jobs accepted from other cells whose end their home may not have yet, and the
    /// versions of these records.
    pub inbound: BTreeMap<JobId, (InboundRecord, u64)>,
    /// Ends that another cell must be told are known here, and versions.
    pub acknowledge: BTreeMap<JobId, (AcknowledgeRecord, u64)>,
    /// Jobs that may be elsewhere and whose users want them cancelled.
    pub cancel_wanted: BTreeSet<JobId>,
    /// Cells that an operator declared lost.
    pub lost_cells: BTreeSet<CellName>,
    versions: BTreeMap<String, u64>,
}

impl Replica {
    /// Takes in news; returns what changed.
    pub fn apply(&mut self, news: WatchNews) -> Vec<Change> {
        let changes = match news.content {
            WatchContent::Reset(items) => {
                let before = std::mem::take(self);
                // What was told users is not forgotten with the copy.
                (self.synced, self.confirmed_cancellations, self.overflow) =
                    (true, before.confirmed_cancellations, before.overflow);
                for item in items {
                    self.put(item.key, &item.value, item.version);
                }
                vec![Change::All]
            }
            WatchContent::Events(events) => {
                events.into_iter().filter_map(|e| self.event(e)).collect()
            }
        };
        self.revision = self.revision.max(news.revision);
        self.current_at = self.current_at.max(news.sent);
        // What the copy is new enough to show, it shows.
        let whole = self.revision;
        self.confirmed_cancellations.retain(|_, revision| *revision > whole);
        self.overflow = self.overflow.filter(|revision| *revision > whole);
        changes
    }

    /// The format that the store says every controller runs at least; 0 without a record.
    pub fn format_in_store(&self) -> u32 {
        self.common_format.as_ref().map_or(0, |(record, _)| record.format)
    }

    /// Whether a job is known to be cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.marked.contains_key(id) || self.confirmed_cancellations.contains_key(id)
    }

    /// Jobs known to be cancelled whose tasks may not all be gone yet.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.marked.keys().chain(self.confirmed_cancellations.keys())
    }

    /// A cancellation was confirmed to a user, or is about to be, at that
    /// revision. Whether that is news.
    pub fn confirmed(&mut self, id: &JobId, revision: u64) -> bool {
        if revision <= self.revision || self.is_cancelled(id) {
            return false;
        }
        if self.confirmed_cancellations.len() >= CONFIRMED_CANCELLATIONS_MAX {
            self.overflow = self.overflow.max(Some(revision));
        } else {
            self.confirmed_cancellations.insert(id.clone(), revision);
        }
        true
    }

    /// Whether we know every cancellation that this controller told a user,
    /// those of its earlier processes included.
    pub fn is_complete(&self) -> bool {
        self.synced && self.overflow.is_none()
    }

    /// Jobs beyond `after` that were cancelled later than `revision`, in order,
    /// and whether there are more.
    pub fn cancelled_since(
        &self,
        revision: u64,
        after: Option<&JobId>,
        most: usize,
    ) -> (Vec<(JobId, u64)>, bool) {
        let from = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let later = |(_, at): &(&JobId, &u64)| **at > revision;
        let mut jobs: BTreeMap<JobId, u64> = BTreeMap::new();
        for map in [&self.marked, &self.confirmed_cancellations] {
            let some = map.range::<JobId, _>(from).filter(later).take(most + 1);
            jobs.extend(some.map(|(id, at)| (id.clone(), *at)));
        }
        let more = jobs.len() > most;
        (jobs.into_iter().take(most).collect(), more)
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
        } else if key == records::COMMON_FORMAT {
            if let Ok(record) = from_value(value) {
                self.common_format = Some((record, version));
            }
            None
        } else if let Some(id) = key.strip_prefix(records::SPECS) {
            let id = JobId::new(id);
            let record = from_value::<SpecRecord>(value).ok()?;
            self.specs.insert(id.clone(), (Arc::new(record), version));
            Some(Change::Job(id))
        } else if let Some(id) = key.strip_prefix(records::CANCELS) {
            let id = JobId::new(id);
            self.marked.insert(id.clone(), version);
            Some(Change::Cancelled(id))
        } else if key == records::CASCADE_GENERATION {
            self.cascaded.set_generation(version);
            None
        } else if key.starts_with(records::CASCADES) {
            self.cascaded.put(&key, from_value(value).ok()?, version);
            None
        } else {
            self.put_transfer(&key, value, version);
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
        } else if let Some(id) = key.strip_prefix(records::CANCELS) {
            self.marked.remove(&JobId::new(id));
        } else if key.starts_with(records::CASCADES) {
            self.cascaded.remove(key);
        } else {
            self.delete_transfer(key);
        }
        None
    }

    fn put_transfer(&mut self, key: &str, value: &Value, version: u64) {
        if let Some(id) = key.strip_prefix(transfer::INBOUND) {
            if let Ok(record) = from_value(value) {
                self.inbound.insert(JobId::new(id), (record, version));
            }
        } else if let Some(id) = key.strip_prefix(transfer::ACKNOWLEDGE) {
            if let Ok(record) = from_value(value) {
                self.acknowledge.insert(JobId::new(id), (record, version));
            }
        } else if let Some(id) = key.strip_prefix(transfer::CANCEL_WANTED) {
            self.cancel_wanted.insert(JobId::new(id));
        } else if let Some(cell) = key.strip_prefix(transfer::LOST_CELLS) {
            self.lost_cells.insert(CellName::new(cell));
        }
    }

    fn delete_transfer(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(transfer::INBOUND) {
            self.inbound.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(transfer::ACKNOWLEDGE) {
            self.acknowledge.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(transfer::CANCEL_WANTED) {
            self.cancel_wanted.remove(&JobId::new(id));
        } else if let Some(cell) = key.strip_prefix(transfer::LOST_CELLS) {
            self.lost_cells.remove(&CellName::new(cell));
        }
    }
}
