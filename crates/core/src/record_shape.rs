//! Fits records to the limits of the state service, which may fall without notice: splits machine
//! blocks, coarsens progress records and shrinks transactions. Does no I/O.

use crate::consts::{
    BLOCK_MACHINES, MACHINE_RECORD_BYTES, MACHINE_RECORD_SHARE, MIN_TXN_CHANGES, VALUE_BYTES_MIN,
    VALUE_FILL,
};
use crate::facts::Facts;
use marblebarrow_proto::cbor::{json_len, json_text_len_bound, to_value};
use marblebarrow_proto::ids::MachineId;
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{MachineBlock, MachineRecord, NumberSet, ProgressRecord};
use serde::Serialize;

/// Limits of the state service: those of the settings, or lower ones after rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShapeLimits {
    /// Maximum size of a value, in bytes of JSON.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes in a transaction.
    pub changes: usize,
}

impl ShapeLimits {
    /// The limits of the settings.
    pub fn new(facts: &Facts) -> Self {
        Self { value_bytes: facts.store_value_bytes, changes: facts.store_txn_ops }
    }

    /// Maximum size of a record, in bytes; smaller than the value limit by a margin.
    pub fn record_bytes(&self) -> usize {
        (self.value_bytes as f64 * VALUE_FILL) as usize
    }

    /// Number of machines that are assigned to a new block.
    pub fn block_machines(&self) -> usize {
        (self.record_bytes() / MACHINE_RECORD_BYTES).clamp(1, BLOCK_MACHINES)
    }

    /// Lowers the limits after the state service rejected a transaction as malformed or too large.
    /// It doesn't say which limit was exceeded, so fewer changes are tried first, then smaller
    /// values.
    pub fn shrink(&mut self, rejected: TransactionShape) {
        if rejected.changes > MIN_TXN_CHANGES {
            self.changes = self.changes.min((rejected.changes / 2).max(MIN_TXN_CHANGES));
            return;
        }
        let half = rejected.largest_value / 2;
        self.value_bytes = self.value_bytes.min(half.max(VALUE_BYTES_MIN));
    }
}

/// The properties of a transaction that are subject to limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionShape {
    /// Number of puts and deletes.
    pub changes: usize,
    /// Upper bound of the size of the largest value, in bytes of JSON.
    pub largest_value: usize,
}

/// A record's value and an upper bound of its size as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct SizedValue {
    /// The stored value.
    pub value: ciborium::Value,
    /// Upper bound of its size, in bytes of JSON.
    pub bytes: usize,
}

impl SizedValue {
    /// Encodes a small record and measures its size.
    pub fn of(record: &impl Serialize) -> Self {
        let value = to_value(record);
        let bytes = json_len(&value);
        Self { value, bytes }
    }
}

/// A block of machine records that fits one value, and an upper bound of its size as JSON.
#[derive(Debug, PartialEq)]
pub struct SizedBlock {
    /// The machine records.
    pub block: MachineBlock,
    /// Upper bound of its size, in bytes of JSON.
    pub bytes: usize,
}

/// Distributes machine records, in order, over as few blocks as their size allows. If a machine's
/// record is too large, its least recently held images are left out.
pub fn split_block(
    machines: Vec<(MachineId, MachineRecord)>,
    limits: ShapeLimits,
) -> Vec<SizedBlock> {
    let limit = limits.record_bytes();
    let mut blocks: Vec<SizedBlock> = Vec::new();
    for (id, mut record) in machines {
        let bytes = trim_images(&id, &mut record, limits);
        match blocks.last_mut() {
            Some(last) if last.bytes + bytes <= limit => {
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

/// Size of `{"machines":[]}`, in bytes.
const BLOCK_FRAME_BYTES: usize = 15;
/// Maximum size of a machine's entry in a block without its strings, in bytes: field names,
/// brackets, commas, a flag of five letters and a number of ten digits.
const ENTRY_FRAME_BYTES: usize = 74;

/// Removes the least recently held images until the record takes no more than its share of a
/// value. Returns an upper bound of its size in bytes, including the comma after it.
fn trim_images(id: &MachineId, record: &mut MachineRecord, limits: ShapeLimits) -> usize {
    let limit = (limits.record_bytes() as f64 * MACHINE_RECORD_SHARE) as usize;
    let texts = [id.as_str(), &record.kind, &record.zone, &record.addr];
    let base = ENTRY_FRAME_BYTES + texts.map(json_text_len_bound).iter().sum::<usize>();
    let mut bytes = base;
    // Recently held images come last.
    let fitting = record.images.iter().rev().take_while(|image| {
        bytes += json_text_len_bound(image) + 1;
        bytes <= limit
    });
    let kept = fitting.count();
    record.images.drain(..record.images.len() - kept);
    base + record.images.iter().map(|image| json_text_len_bound(image) + 1).sum::<usize>()
}

/// The sets of a job that one progress record holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgressSets {
    /// Tasks that may have been started.
    pub started: IntSet,
    /// Tasks that completed.
    pub finished: IntSet,
    /// Numbers of the machines that may run tasks of the job.
    pub machines: IntSet,
}

impl ProgressSets {
    /// Reduces each set to at most this many ranges, with errors only on the safe side: more tasks
    /// count as possibly started, on more machines, and fewer as completed. A new leader then
    /// waits for more machines and repeats some work, but no task runs twice at the same time.
    fn coarsened(&self, ranges: usize) -> Self {
        Self {
            started: self.started.with_ranges_at_most(ranges),
            finished: self.finished.longest_ranges(ranges),
            machines: self.machines.with_ranges_at_most(ranges),
        }
    }

    /// The stored form of a part that begins at task `start` and has `len` tasks.
    fn packed(&self, start: u32, len: u32, rest: &ProgressRecord) -> ProgressRecord {
        ProgressRecord {
            started: PackedSet::pack(&self.started, start, len),
            finished: PackedSet::pack(&self.finished, start, len),
            machines: NumberSet::pack(&self.machines),
            ..rest.clone()
        }
    }
}

/// Builds a part's progress record that fits the limits. Also returns the sets that it holds: the
/// given ones, or coarser ones. `rest` provides the record's other fields.
pub fn fit_progress(
    sets: ProgressSets,
    (start, len): (u32, u32),
    rest: &ProgressRecord,
    limits: ShapeLimits,
) -> (SizedValue, ProgressSets) {
    let limit = limits.record_bytes();
    let record = sets.packed(start, len, rest);
    // Most records are small and known to fit without being measured.
    let bytes = max_progress_bytes(&record);
    if bytes <= limit {
        return (SizedValue { value: to_value(&record), bytes }, sets);
    }
    let sized = SizedValue::of(&record);
    if sized.bytes <= limit {
        return (sized, sets);
    }
    let in_part = ProgressSets {
        started: sets.started.within(start, len),
        finished: sets.finished.within(start, len),
        machines: sets.machines,
    };
    let mut ranges = limit / RANGE_BYTES;
    loop {
        let coarse = in_part.coarsened(ranges.max(1));
        let sized = SizedValue::of(&coarse.packed(start, len, rest));
        if ranges <= 1 || sized.bytes <= limit {
            return (sized, coarse);
        }
        ranges = ranges * 3 / 4;
    }
}

/// Upper bound of a progress record's size, in bytes of JSON.
fn max_progress_bytes(record: &ProgressRecord) -> usize {
    let sets = [&record.started, &record.finished, &record.machines.set];
    let numbers: usize = sets.iter().map(|set| set.r.len() + set.b.len()).sum();
    PROGRESS_FRAME_BYTES + numbers * NUMBER_BYTES
}

/// Maximum size of a progress record without the numbers of its sets, in bytes.
const PROGRESS_FRAME_BYTES: usize = 200;
/// Maximum size of a `u32` and its comma, in bytes.
const NUMBER_BYTES: usize = 11;

/// Minimum size of one range in each of the three sets, in bytes: two one-digit numbers and their
/// commas. Gives the first number of ranges to try; lower ones follow.
const RANGE_BYTES: usize = 3 * 4;

#[cfg(test)]
#[path = "tests/record_shape.rs"]
mod tests;
