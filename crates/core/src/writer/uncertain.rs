//! Records whose version is uncertain: a transaction that wrote them got no answer, or one
//! failed as their version wasn't what the leader thought. Each is read again, a few at a
//! time, and nothing else waits for it.
//!
//! A read proves nothing of a transaction that is still under way: it may be carried out after
//! the read. The next transaction then fails on the records concerned, and just these are read
//! again.

use super::Entry;
use crate::consts::UNCERTAIN_READS_MAX;
use crate::event::OpId;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A record whose version is uncertain.
#[derive(Debug)]
pub(super) struct UncertainRecord {
    /// Its key.
    pub(super) key: String,
    /// What was to be written.
    pub(super) entry: Entry,
}

/// The records to be read again, and the reads under way.
#[derive(Debug, Default)]
pub(super) struct UncertainRecords {
    waiting: VecDeque<UncertainRecord>,
    reading: HashMap<OpId, UncertainRecord>,
    keys: BTreeSet<String>,
}

impl UncertainRecords {
    /// Whether the version of every record is known.
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether that record's version is uncertain: it can't be written now.
    pub(super) fn contains(&self, key: &str) -> bool {
        self.keys.contains(key)
    }

    /// A record's version is uncertain from now on.
    pub(super) fn insert(&mut self, key: String, entry: Entry) {
        if self.keys.insert(key.clone()) {
            self.waiting.push_back(UncertainRecord { key, entry });
        }
    }

    /// The next record to be read, if another read may be under way besides.
    pub(super) fn next_to_read(&mut self) -> Option<UncertainRecord> {
        if self.reading.len() < UNCERTAIN_READS_MAX { self.waiting.pop_front() } else { None }
    }

    /// A read of a record is under way.
    pub(super) fn reads(&mut self, op: OpId, record: UncertainRecord) {
        self.reading.insert(op, record);
    }

    /// If the answer is to a read of ours: the record that was read.
    pub(super) fn answered(&mut self, op: OpId) -> Option<UncertainRecord> {
        self.reading.remove(&op)
    }

    /// The read of a record failed: it is read again after the others.
    pub(super) fn read_failed(&mut self, record: UncertainRecord) {
        self.waiting.push_back(record);
    }

    /// A record's version is known.
    pub(super) fn settled(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
