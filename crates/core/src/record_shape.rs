//! Shapes of records that fit the state service's limits, which may fall without notice:
//! machine blocks split, progress records coarsen, transactions shrink. Holds no I/O.

use crate::consts::{
    BLOCK_MACHINES, CHANGES_LEAST, MACHINE_RECORD_BYTES, MACHINE_RECORD_SHARE, VALUE_BYTES_LEAST,
    VALUE_FILL,
};
use crate::facts::Facts;
use marblebarrow_proto::cbor::{json_len, to_value};
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{MachineBlock, MachineRecord, NumberSet, ProgressRecord};
use marblebarrow_proto::wire::{Txn, Write};

/// What the state service takes: as the settings say, or less where it rejected more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShapeLimits {
    /// Bytes of a value as JSON.
    pub value_bytes: usize,
    /// Puts and deletes in a transaction.
    pub changes: usize,
}

impl ShapeLimits {
    /// As the settings say.
    pub fn new(facts: &Facts) -> Self {
        Self { value_bytes: facts.store_value_bytes, changes: facts.store_txn_ops }
    }

    /// Bytes of a value that a record may fill.
    pub fn record_bytes(&self) -> usize {
        (self.value_bytes as f64 * VALUE_FILL) as usize
    }

    /// Machines that a new block is given.
    pub fn block_machines(&self) -> usize {
        (self.record_bytes() / MACHINE_RECORD_BYTES).clamp(1, BLOCK_MACHINES)
    }

    /// The state service rejected a transaction as malformed or too large: the next are
    /// smaller. It doesn't say which limit was passed, so fewer changes are tried first,
    /// then smaller values.
    pub fn shrink(&mut self, rejected: &Txn) {
        let changes = rejected.writes.len();
        if changes > CHANGES_LEAST {
            self.changes = self.changes.min((changes / 2).max(CHANGES_LEAST));
            return;
        }
        let largest = largest_value(rejected);
        self.value_bytes = self.value_bytes.min((largest / 2).max(VALUE_BYTES_LEAST));
    }
}

/// Bytes of the largest value that a transaction puts, as JSON.
pub fn largest_value(txn: &Txn) -> usize {
    let sizes = txn.writes.iter().map(|write| match write {
        Write::Put { value, .. } => json_len(value),
        Write::Delete { .. } => 0,
    });
    sizes.max().unwrap_or(0)
}

/// Machine records in as few blocks as their size allows, in order. Images that a
/// machine held longest ago are left out where its record takes too much of a value.
pub fn split_block(
    machines: Vec<(MachineId, MachineRecord)>,
    limits: ShapeLimits,
) -> Vec<MachineBlock> {
    let most = limits.record_bytes();
    let mut blocks: Vec<MachineBlock> = Vec::new();
    let mut used = most;
    for (id, mut record) in machines {
        let bytes = trim_images(&id, &mut record, limits);
        match blocks.last_mut() {
            Some(block) if used + bytes <= most => {
                block.machines.push((id, record));
                used += bytes;
            }
            _ => {
                blocks.push(MachineBlock { machines: vec![(id, record)] });
                used = empty_block_bytes() + bytes;
            }
        }
    }
    blocks
}

fn empty_block_bytes() -> usize {
    json_len(&to_value(&MachineBlock::default()))
}

/// Leaves out the images held longest ago until the record takes no more than its share
/// of a value; returns the bytes that it takes, with the comma after it.
fn trim_images(id: &MachineId, record: &mut MachineRecord, limits: ShapeLimits) -> usize {
    let most = (limits.record_bytes() as f64 * MACHINE_RECORD_SHARE) as usize;
    loop {
        let bytes = json_len(&to_value(&(id, &*record))) + 1;
        if bytes <= most || record.images.is_empty() {
            return bytes;
        }
        // Recent ones come last. A few at a time: machines hold dozens.
        let excess = (bytes - most).div_ceil(IMAGE_BYTES_MOST);
        record.images.drain(..excess.min(record.images.len()));
    }
}

/// An image's name, with quotes and comma, is thought to take no more, bytes; where it
/// does take less, more than needed stay and the record is trimmed again.
const IMAGE_BYTES_MOST: usize = 64;

/// The sets of a job that one part of its progress holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgressSets {
    /// Tasks that may have been started.
    pub started: IntSet,
    /// Tasks that completed.
    pub finished: IntSet,
    /// Numbers of machines that tasks of the job may be on.
    pub machines: IntSet,
}

impl ProgressSets {
    /// The sets in so few ranges each, erring on the safe side: more tasks may have been
    /// started, on more machines, and fewer are known to have completed. A new leader
    /// then waits for more machines and repeats some work; nothing runs twice at once.
    fn coarsened(&self, ranges: usize) -> Self {
        Self {
            started: self.started.with_ranges_at_most(ranges),
            finished: self.finished.longest_ranges(ranges),
            machines: self.machines.with_ranges_at_most(ranges),
        }
    }

    /// The stored form, for a part that begins at task `start` and has `len` tasks.
    fn packed(&self, start: u32, len: u32, rest: &ProgressRecord) -> ProgressRecord {
        ProgressRecord {
            started: PackedSet::pack(&self.started, start, len),
            finished: PackedSet::pack(&self.finished, start, len),
            machines: NumberSet::pack(&self.machines),
            ..rest.clone()
        }
    }
}

/// A part's progress record that fits, and the sets that it holds: those given, or coarser
/// ones. `rest` has the record's other fields.
pub fn fit_progress(
    sets: ProgressSets,
    (start, len): (u32, u32),
    rest: &ProgressRecord,
    limits: ShapeLimits,
) -> (ProgressRecord, ProgressSets) {
    let most = limits.record_bytes();
    let record = sets.packed(start, len, rest);
    if json_len(&to_value(&record)) <= most {
        return (record, sets);
    }
    let inside = ProgressSets {
        started: sets.started.within(start, len),
        finished: sets.finished.within(start, len),
        machines: sets.machines,
    };
    let mut ranges = most / RANGE_BYTES;
    loop {
        let coarse = inside.coarsened(ranges.max(1));
        let record = coarse.packed(start, len, rest);
        if ranges <= 1 || json_len(&to_value(&record)) <= most {
            return (record, coarse);
        }
        ranges = ranges * 3 / 4;
    }
}

/// What a range takes in each of the three sets at least, bytes: two one-digit numbers
/// and their commas. The first try; narrower ones follow.
const RANGE_BYTES: usize = 3 * 4;

#[cfg(test)]
#[path = "tests/record_shape.rs"]
mod tests;
