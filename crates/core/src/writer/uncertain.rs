//! Records whose version is uncertain, because a transaction that wrote them got no answer or
//! failed on a version conflict. Each of them is read again, a few at a time; other records don't
//! wait for these reads.
//!
//! A read proves nothing about a transaction that is still in flight, which may be executed after
//! the read. In that case the next transaction fails on the affected records, and only these are
//! read again.

use super::Entry;
use crate::consts::UNCERTAIN_READS_MAX;
use crate::event::OpId;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A record whose version is uncertain.
#[derive(Debug)]
pub(super) struct UncertainRecord {
    pub(super) key: String,
    /// The write whose outcome is unknown.
    pub(super) entry: Entry,
}

/// The records to be read again, and the reads in flight.
#[derive(Debug, Default)]
pub(super) struct UncertainRecords {
    waiting: VecDeque<UncertainRecord>,
    reading: HashMap<OpId, UncertainRecord>,
    keys: BTreeSet<String>,
}

impl UncertainRecords {
    /// Whether the versions of all records are known.
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of records whose version is uncertain.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether that record's version is uncertain, so that it can't be written now.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.keys.contains(key)
    }

    /// Marks the version of a record as uncertain.
    pub(super) fn insert(&mut self, key: String, entry: Entry) {
        if self.keys.insert(key.clone()) {
            self.waiting.push_back(UncertainRecord { key, entry });
        }
    }

    /// The next record to read, if the limit of concurrent reads allows another one.
    pub(super) fn next_to_read(&mut self) -> Option<UncertainRecord> {
        if self.reading.len() < UNCERTAIN_READS_MAX { self.waiting.pop_front() } else { None }
    }

    /// Registers a read of a record as in flight.
    pub(super) fn read_sent(&mut self, op: OpId, record: UncertainRecord) {
        self.reading.insert(op, record);
    }

    /// Ends the read with this id; returns its record, or `None` if there is no such read.
    pub(super) fn handle_answer(&mut self, op: OpId) -> Option<UncertainRecord> {
        self.reading.remove(&op)
    }

    /// Queues a record whose read failed, behind the others.
    pub(super) fn read_failed(&mut self, record: UncertainRecord) {
        self.waiting.push_back(record);
    }

    /// Marks the version of a record as known.
    pub(super) fn version_known(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
