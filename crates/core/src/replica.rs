//! This controller's replica of the watched keys. It may lag, so no answer to a user and no final
//! decision is based on it alone.

use crate::cascaded_jobs::CascadedJobs;
use crate::consts::CONFIRMED_CANCELLATIONS_MAX;
use crate::event::{Secs, WatchContent, WatchUpdate};
use ciborium::Value;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{self, FormatRecord, LeaderRecord, SpecRecord};
use marblebarrow_proto::transfer::{self, AcknowledgeRecord, InboundRecord};
use marblebarrow_proto::wire::{MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

/// What an update of the watch changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The leader key was set or removed.
    Leader,
    /// A job was added or updated.
    Job(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
    /// Everything was read again.
    All,
}

/// The replica.
#[derive(Debug, Default)]
pub struct Replica {
    /// Whether it has been filled at least once.
    pub synced: bool,
    /// The leader key's record and version.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Specs of unfinished jobs and their versions.
    pub specs: BTreeMap<JobId, (Arc<SpecRecord>, u64)>,
    /// The replica is complete up to this revision.
    pub revision: u64,
    /// When the request behind the last update was sent. The replica contains everything that any
    /// controller had confirmed by then.
    pub current_at: Secs,
    /// Jobs marked as cancelled whose tasks may not all be gone yet, with the revisions of the
    /// marks.
    cancel_marks: BTreeMap<JobId, u64>,
    /// Cancellations that this controller or a peer confirmed to users and that the replica is too
    /// old to show, with their revisions.
    confirmed_cancellations: BTreeMap<JobId, u64>,
    /// Set when a confirmed cancellation exceeded the limit: up to this revision the known
    /// cancellations are incomplete.
    unrecorded_until: Option<u64>,
    /// Jobs cancelled by a cascade.
    pub cascaded: CascadedJobs,
    /// The machine types that a leader last recorded.
    pub types: Option<Vec<MachineType>>,
    /// Version of the machine types' key; 0 if there is none.
    pub types_version: u64,
    /// The format that every controller runs at least, and the version of its key.
    pub common_format: Option<(FormatRecord, u64)>,
    /// Jobs accepted from other cells whose end may not be known to their home cell yet, with the
    /// versions of these records.
    pub inbound: BTreeMap<JobId, (InboundRecord, u64)>,
    /// Ends of jobs that this cell must acknowledge to another cell, with the versions of these
    /// records.
    pub acknowledge: BTreeMap<JobId, (AcknowledgeRecord, u64)>,
    /// Jobs that may be in another cell and that their users want to cancel.
    pub cancel_wanted: BTreeSet<JobId>,
    /// Cells that an operator declared lost.
    pub lost_cells: BTreeSet<CellName>,
    versions: BTreeMap<String, u64>,
}

impl Replica {
    /// Applies an update and returns what changed.
    pub fn apply(&mut self, news: WatchUpdate) -> Vec<Change> {
        let changes = match news.content {
            WatchContent::Reset(items) => {
                let before = std::mem::take(self);
                // Confirmed cancellations outlive a reset of the replica.
                (self.synced, self.confirmed_cancellations, self.unrecorded_until) =
                    (true, before.confirmed_cancellations, before.unrecorded_until);
                for item in items {
                    self.put(item.key, &item.value, item.version);
                }
                vec![Change::All]
            }
            WatchContent::Events(events) => {
                events.into_iter().filter_map(|e| self.apply_event(e)).collect()
            }
        };
        self.revision = self.revision.max(news.revision);
        self.current_at = self.current_at.max(news.sent);
        // Drop the confirmed cancellations that the replica is new enough to show.
        let shown_until = self.revision;
        self.confirmed_cancellations.retain(|_, revision| *revision > shown_until);
        self.unrecorded_until = self.unrecorded_until.filter(|revision| *revision > shown_until);
        changes
    }

    /// The format that every controller runs at least according to the state service; 0 without a
    /// record.
    pub fn format_in_store(&self) -> u32 {
        self.common_format.as_ref().map_or(0, |(record, _)| record.format)
    }

    /// Whether a job is known to be cancelled.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancel_marks.contains_key(id) || self.confirmed_cancellations.contains_key(id)
    }

    /// Jobs known to be cancelled whose tasks may not all be gone yet.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancel_marks.keys().chain(self.confirmed_cancellations.keys())
    }

    /// Records a cancellation that was or is about to be confirmed to a user, at `revision`.
    /// Returns whether it was unknown.
    pub fn note_confirmed(&mut self, id: &JobId, revision: u64) -> bool {
        if revision <= self.revision || self.is_cancelled(id) {
            return false;
        }
        if self.confirmed_cancellations.len() >= CONFIRMED_CANCELLATIONS_MAX {
            self.unrecorded_until = self.unrecorded_until.max(Some(revision));
        } else {
            self.confirmed_cancellations.insert(id.clone(), revision);
        }
        true
    }

    /// Whether this controller knows every cancellation that it has confirmed to a user, including
    /// those of its earlier processes.
    pub fn is_complete(&self) -> bool {
        self.synced && self.unrecorded_until.is_none()
    }

    /// Jobs after `after` in key order that were cancelled later than `revision`, at most `limit`
    /// of them, and whether there are more.
    pub fn cancelled_since(
        &self,
        revision: u64,
        after: Option<&JobId>,
        limit: usize,
    ) -> (Vec<(JobId, u64)>, bool) {
        let from = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let later = |(_, at): &(&JobId, &u64)| **at > revision;
        let mut jobs: BTreeMap<JobId, u64> = BTreeMap::new();
        for map in [&self.cancel_marks, &self.confirmed_cancellations] {
            let some = map.range::<JobId, _>(from).filter(later).take(limit + 1);
            jobs.extend(some.map(|(id, at)| (id.clone(), *at)));
        }
        let more = jobs.len() > limit;
        (jobs.into_iter().take(limit).collect(), more)
    }

    fn apply_event(&mut self, event: WatchEvent) -> Option<Change> {
        match event {
            WatchEvent::Put { key, value, version } => self.put(key, &value, version),
            WatchEvent::Delete { key, version } => self.delete(&key, version),
        }
    }

    // A first read of several pages isn't a snapshot: events may report changes that a later page
    // already contained, and must not overwrite newer values.
    fn put(&mut self, key: String, value: &Value, version: u64) -> Option<Change> {
        if self.versions.get(&key).is_some_and(|&v| v >= version) {
            return None;
        }
        let change = if key == records::LEADER_KEY {
            self.leader = from_value(value).ok().map(|r| (r, version));
            Some(Change::Leader)
        } else if key == records::MACHINE_TYPES_KEY {
            self.types = from_value(value).ok();
            self.types_version = version;
            None
        } else if key == records::COMMON_FORMAT_KEY {
            if let Ok(record) = from_value(value) {
                self.common_format = Some((record, version));
            }
            None
        } else if let Some(id) = key.strip_prefix(records::SPECS_PREFIX) {
            let id = JobId::new(id);
            let record = from_value::<SpecRecord>(value).ok()?;
            self.specs.insert(id.clone(), (Arc::new(record), version));
            Some(Change::Job(id))
        } else if let Some(id) = key.strip_prefix(records::CANCELS_PREFIX) {
            let id = JobId::new(id);
            self.cancel_marks.insert(id.clone(), version);
            Some(Change::Cancelled(id))
        } else if key == records::CASCADE_GENERATION_KEY {
            self.cascaded.set_generation(version);
            None
        } else if key.starts_with(records::CASCADES_PREFIX) {
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
        if key == records::LEADER_KEY {
            self.leader = None;
            return Some(Change::Leader);
        }
        if let Some(id) = key.strip_prefix(records::SPECS_PREFIX) {
            self.specs.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(records::CANCELS_PREFIX) {
            self.cancel_marks.remove(&JobId::new(id));
        } else if key.starts_with(records::CASCADES_PREFIX) {
            self.cascaded.remove(key);
        } else {
            self.delete_transfer(key);
        }
        None
    }

    fn put_transfer(&mut self, key: &str, value: &Value, version: u64) {
        if let Some(id) = key.strip_prefix(transfer::INBOUND_PREFIX) {
            if let Ok(record) = from_value(value) {
                self.inbound.insert(JobId::new(id), (record, version));
            }
        } else if let Some(id) = key.strip_prefix(transfer::ACKNOWLEDGE_PREFIX) {
            if let Ok(record) = from_value(value) {
                self.acknowledge.insert(JobId::new(id), (record, version));
            }
        } else if let Some(id) = key.strip_prefix(transfer::CANCEL_WANTED_PREFIX) {
            self.cancel_wanted.insert(JobId::new(id));
        } else if let Some(cell) = key.strip_prefix(transfer::LOST_CELLS_PREFIX) {
            self.lost_cells.insert(CellName::new(cell));
        }
    }

    fn delete_transfer(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(transfer::INBOUND_PREFIX) {
            self.inbound.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(transfer::ACKNOWLEDGE_PREFIX) {
            self.acknowledge.remove(&JobId::new(id));
        } else if let Some(id) = key.strip_prefix(transfer::CANCEL_WANTED_PREFIX) {
            self.cancel_wanted.remove(&JobId::new(id));
        } else if let Some(cell) = key.strip_prefix(transfer::LOST_CELLS_PREFIX) {
            self.lost_cells.remove(&CellName::new(cell));
        }
    }
}
