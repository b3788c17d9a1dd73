//! Shapes of records that fit the state service's limits, which may fall without notice:
//! machine blocks split, progress records coarsen, transactions shrink. Holds no I/O.

use crate::consts::{
    BLOCK_MACHINES, CHANGES_LEAST, MACHINE_RECORD_BYTES, MACHINE_RECORD_SHARE, VALUE_BYTES_LEAST,
    VALUE_FILL,
};
use crate::facts::Facts;
use marblebarrow_proto::cbor::{json_len, json_text_len, to_value};
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{MachineBlock, MachineRecord, NumberSet, ProgressRecord};
use serde::Serialize;

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
    pub fn shrink(&mut self, rejected: TransactionShape) {
        if rejected.changes > CHANGES_LEAST {
            self.changes = self.changes.min((rejected.changes / 2).max(CHANGES_LEAST));
            return;
        }
        let half = rejected.largest_value / 2;
        self.value_bytes = self.value_bytes.min(half.max(VALUE_BYTES_LEAST));
    }
}

/// What counts of a transaction for the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionShape {
    /// Puts and deletes.
    pub changes: usize,
    /// Bytes of the largest value put, as JSON, at most.
    pub largest_value: usize,
}

/// A record's value, and the bytes that it takes as JSON at most.
#[derive(Clone, Debug, PartialEq)]
pub struct SizedValue {
    /// What is stored.
    pub value: ciborium::Value,
    /// Its size.
    pub bytes: usize,
}

impl SizedValue {
    /// A small record, measured.
    pub fn of(record: &impl Serialize) -> Self {
        let value = to_value(record);
        let bytes = json_len(&value);
        Self { value, bytes }
    }
}

/// A block of machine records that fits, and its size as JSON at most, bytes.
#[derive(Debug, PartialEq)]
pub struct SizedBlock {
    /// The records.
    pub block: MachineBlock,
    /// Its size.
    pub bytes: usize,
}

/// Machine records in as few blocks as their size allows, in order. Images that a
/// machine held longest ago are left out where its record takes too much of a value.
pub fn split_block(
    machines: Vec<(MachineId, MachineRecord)>,
    limits: ShapeLimits,
) -> Vec<SizedBlock> {
    let most = limits.record_bytes();
    let mut blocks: Vec<SizedBlock> = Vec::new();
    for (id, mut record) in machines {
        let bytes = trim_images(&id, &mut record, limits);
        match blocks.last_mut() {
            Some(last) if last.bytes + bytes <= most => {
                last.block.machines.push((id, record));
                last.bytes += bytes;
            }
            _ => {
                let block = MachineBlock { machines: vec![(id, record)] };
                blocks.push(SizedBlock { block, bytes: BLOCK_FRAME_BYTES + bytes });
            }
        }
    }
    blocks
}

/// Bytes of `{"machines":[]}`.
const BLOCK_FRAME_BYTES: usize = 15;
/// Bytes of a machine's entry in a block besides its texts, at most: field names, brackets,
/// commas, a flag of five letters and a number of ten digits.
const ENTRY_FRAME_BYTES: usize = 74;

/// Leaves out the images held longest ago until the record takes no more than its share
/// of a value; returns the bytes that it takes at most, with the comma after it.
fn trim_images(id: &MachineId, record: &mut MachineRecord, limits: ShapeLimits) -> usize {
    let most = (limits.record_bytes() as f64 * MACHINE_RECORD_SHARE) as usize;
    let texts = [id.as_str(), &record.kind, &record.zone, &record.addr];
    let base = ENTRY_FRAME_BYTES + texts.map(json_text_len).iter().sum::<usize>();
    let mut bytes = base;
    // Recent ones come last.
    let fitting = record.images.iter().rev().take_while(|image| {
        bytes += json_text_len(image) + 1;
        bytes <= most
    });
    let kept = fitting.count();
    record.images.drain(..record.images.len() - kept);
    base + record.images.iter().map(|image| json_text_len(image) + 1).sum::<usize>()
}

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
) -> (SizedValue, ProgressSets) {
    let most = limits.record_bytes();
    let record = sets.packed(start, len, rest);
    // Mostly small, and then known to fit without being measured.
    let bytes = progress_bytes_at_most(&record);
    if bytes <= most {
        return (SizedValue { value: to_value(&record), bytes }, sets);
    }
    let sized = SizedValue::of(&record);
    if sized.bytes <= most {
        return (sized, sets);
    }
    let inside = ProgressSets {
        started: sets.started.within(start, len),
        finished: sets.finished.within(start, len),
        machines: sets.machines,
    };
    let mut ranges = most / RANGE_BYTES;
    loop {
        let coarse = inside.coarsened(ranges.max(1));
        let sized = SizedValue::of(&coarse.packed(start, len, rest));
        if ranges <= 1 || sized.bytes <= most {
            return (sized, coarse);
        }
        ranges = ranges * 3 / 4;
    }
}

fn progress_bytes_at_most(record: &ProgressRecord) -> usize {
    let sets = [&record.started, &record.finished, &record.machines.set];
    let numbers: usize = sets.iter().map(|set| set.r.len() + set.b.len()).sum();
    PROGRESS_FRAME_BYTES + numbers * NUMBER_BYTES
}

/// Bytes of a progress record besides the numbers of its sets, at most.
const PROGRESS_FRAME_BYTES: usize = 200;
/// Bytes of a `u32` and its comma, at most.
const NUMBER_BYTES: usize = 11;

/// What a range takes in each of the three sets at least, bytes: two one-digit numbers
/// and their commas. The first try; narrower ones follow.
const RANGE_BYTES: usize = 3 * 4;

#[cfg(test)]
#[path = "tests/record_shape.rs"]
mod tests;
