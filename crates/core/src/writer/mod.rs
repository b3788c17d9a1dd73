//! Writes the leader's records to the state service in batches, one transaction at a time.
//! Each transaction is conditional on the leader key and on the version of every record, so a
//! transaction that is applied late changes nothing.

mod answers;
mod batch;
mod uncertain;

use crate::consts::*;
use crate::event::{OpId, Secs};
use crate::facts::Facts;
use crate::fleet::Machine;
use crate::record_shape::{ProgressSets, ShapeLimits, SizedValue, TransactionShape};
use marblebarrow_proto::ids::{JobId, MachineId};
use marblebarrow_proto::records::{
    COMMON_FORMAT_KEY, MACHINE_TYPES_KEY, PART_TASKS, block_key, end_key, progress_key, spec_key,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use uncertain::UncertainRecords;

/// A record written or deleted by a transaction.
#[derive(Debug)]
enum Entry {
    /// One part of a job's progress.
    Part {
        job: JobId,
        part: u32,
        /// The sets that the record holds after the write.
        sets: ProgressSets,
    },
    /// A block of machine records, and the machines in it; with none, the block is deleted.
    Block(u32, Vec<MachineId>),
    /// The end of a job: its final state if it finished, and the removal of its spec.
    Close {
        job: JobId,
        cancelled: bool,
        tasks: u32,
    },
    /// An obsolete record to delete, and its version.
    Garbage(String, u64),
    Types,
    /// The common format: the highest one that every controller supports.
    Format(u32),
}

impl Entry {
    /// The key whose version shows whether the record was written.
    fn key(&self) -> String {
        match self {
            Self::Part { job, part, .. } => progress_key(job, *part),
            Self::Block(number, _) => block_key(*number),
            Self::Close { job, cancelled: false, .. } => end_key(job),
            Self::Close { job, .. } => spec_key(job),
            Self::Garbage(key, _) => key.clone(),
            Self::Types => MACHINE_TYPES_KEY.into(),
            Self::Format(_) => COMMON_FORMAT_KEY.into(),
        }
    }

    /// Whether the keys of the failed conditions include this record, that is, whether its stored
    /// version differs from the expected one.
    fn failed(&self, keys: &[String]) -> bool {
        let Self::Close { job, .. } = self else { return keys.contains(&self.key()) };
        keys.contains(&end_key(job)) || keys.contains(&spec_key(job))
    }
}

/// Why a record is out of date; determines how soon it is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Only the list of images changed.
    Images,
    /// Tasks completed, or machines were removed or changed their address.
    Lazy,
    /// Task starts wait for the write.
    Starts,
}

/// Marks a record as out of date.
#[derive(Clone, Copy, Debug)]
struct DirtyMark {
    since: Secs,
    urgency: Urgency,
}

impl DirtyMark {
    fn merge(slot: &mut Option<DirtyMark>, now: Secs, urgency: Urgency) {
        let mark = slot.get_or_insert(DirtyMark { since: now, urgency });
        if urgency > mark.urgency {
            *mark = DirtyMark { since: now, urgency };
        }
    }

    fn starts_wait(&self) -> bool {
        self.urgency == Urgency::Starts
    }
}

/// A block of machine records, which are written together.
#[derive(Debug, Default)]
struct Block {
    version: u64,
    members: BTreeSet<MachineId>,
    mark: Option<DirtyMark>,
}

/// The records waiting to be written and the state of the write rate limit.
#[derive(Debug)]
pub(crate) struct Writer {
    parts: BTreeMap<(JobId, u32), DirtyMark>,
    blocks: BTreeMap<u32, Block>,
    /// Sets of blocks among which machines were distributed by a transaction that isn't known to be
    /// committed. Written one by one, they would leave machines in no block.
    splits: Vec<BTreeSet<u32>>,
    closing: BTreeMap<JobId, Secs>,
    closed: VecDeque<(JobId, u64)>,
    /// Obsolete records to delete, by key, and their versions.
    garbage: BTreeMap<String, u64>,
    in_flight: Option<InFlightTransaction>,
    /// Records whose versions must be read again.
    uncertain: UncertainRecords,
    /// Earliest time of the next such read.
    next_read: Secs,
    /// Changes that the rate limit allows now (a token bucket).
    budget: f64,
    /// Change rate limit of the store, changes per second.
    store_rate: f64,
    /// Exponentially decaying count of the users' recent changes; the leader may use the rest
    /// of the rate.
    user_changes: f64,
    refilled_at: Secs,
    /// Earliest time of the next transaction.
    next_flush: Secs,
    /// Names of the machine types last written or found in the store.
    types_key: String,
    /// The common format last sent to the store.
    format_sent: u32,
    /// Known limits of the state service.
    limits: ShapeLimits,
    /// Number of consecutively refused transactions.
    refusals: u32,
}

/// The transaction in flight.
#[derive(Debug)]
struct InFlightTransaction {
    op: OpId,
    /// Used to shrink the limits if the transaction is rejected.
    shape: TransactionShape,
    entries: Vec<Entry>,
}

impl Writer {
    pub(crate) fn new(facts: &Facts, now: Secs) -> Self {
        Self {
            parts: BTreeMap::new(),
            blocks: BTreeMap::new(),
            splits: Vec::new(),
            closing: BTreeMap::new(),
            closed: VecDeque::new(),
            garbage: BTreeMap::new(),
            in_flight: None,
            uncertain: UncertainRecords::default(),
            next_read: now,
            budget: facts.store_write_rps * LEADER_WRITE_SHARE,
            store_rate: facts.store_write_rps,
            user_changes: 0.0,
            refilled_at: now,
            next_flush: now,
            types_key: String::new(),
            format_sent: 0,
            limits: ShapeLimits::new(facts),
            refusals: 0,
        }
    }

    /// Refills the change budget for the time since the last call.
    fn refill(&mut self, now: Secs) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = now;
        self.user_changes *= (-elapsed / USER_RATE_S).exp();
        let rate = self.store_rate * LEADER_WRITE_MAX - self.user_changes / USER_RATE_S;
        let rate = rate.max(self.store_rate * LEADER_WRITE_SHARE);
        self.budget = (self.budget + elapsed * rate).min(self.store_rate * LEADER_WRITE_SHARE);
    }

    /// The known limits of the state service.
    pub(crate) fn limits(&self) -> ShapeLimits {
        self.limits
    }

    /// Maximum number of changes in the next transaction. It shrinks after repeated refusals: if
    /// the store's rate fell without notice, a transaction larger than one second's worth of it
    /// never succeeds, while smaller ones do. A transaction of 16 changes at a rate of 15 a second
    /// blocked all starts.
    fn changes_allowed(&self) -> usize {
        let halvings = (self.refusals / REFUSALS_PER_HALVING).min(usize::BITS - 1);
        let limit = (self.limits.changes >> halvings).max(MIN_TXN_CHANGES);
        limit.min(self.limits.changes).min(self.budget.max(0.0) as usize)
    }

    /// Whether a record fits a value of the state service.
    pub(crate) fn record_fits(&self, record: &impl Serialize) -> bool {
        SizedValue::of(record).bytes <= self.limits.record_bytes()
    }

    /// Whether the rate limit allows this many further changes; if so, they are deducted.
    pub(crate) fn afford(&mut self, changes: f64) -> bool {
        let affordable = self.may_afford(changes);
        if affordable {
            self.budget -= changes;
        }
        affordable
    }

    /// Whether the rate limit allows this many further changes.
    pub(crate) fn may_afford(&self, changes: f64) -> bool {
        self.budget >= changes
    }

    /// Deducts changes that can't wait for the rate limit.
    pub(crate) fn charge(&mut self, changes: f64) {
        self.budget -= changes;
    }

    /// Counts keys changed by users' submissions and cancellations.
    pub(crate) fn saw_user_changes(&mut self, changes: f64) {
        self.user_changes += changes;
    }

    /// Marks the records of a task as out of date because its started or finished state changed;
    /// `starts` means that a start waits for the write.
    pub(crate) fn touch_task(&mut self, id: &JobId, n: u32, now: Secs, starts: bool) {
        // Part 0 also names the machines. Tasks recorded as started ahead may reach into the
        // next part.
        for part in [0, n / PART_TASKS, n.saturating_add(START_AHEAD) / PART_TASKS] {
            let urgency = if starts { Urgency::Starts } else { Urgency::Lazy };
            let mark =
                self.parts.entry((id.clone(), part)).or_insert(DirtyMark { since: now, urgency });
            if urgency > mark.urgency {
                *mark = DirtyMark { since: now, urgency };
            }
        }
    }

    /// Requests that a machine is recorded, which must precede the start of its first task.
    pub(crate) fn want_machine(&mut self, id: &MachineId, m: &mut Machine, now: Secs) {
        if m.recorded {
            return;
        }
        let block = m.block.unwrap_or_else(|| self.block_with_room());
        m.block = Some(block);
        let entry = self.blocks.entry(block).or_default();
        entry.members.insert(id.clone());
        DirtyMark::merge(&mut entry.mark, now, Urgency::Starts);
    }

    /// The number of a block with room for another machine.
    fn block_with_room(&self) -> u32 {
        let limit = self.limits.block_machines();
        let has_room = |(number, block): &(&u32, &Block)| {
            block.members.len() < limit && !self.splits.iter().any(|split| split.contains(number))
        };
        let with_room = self.blocks.iter().find(has_room);
        with_room.map_or_else(|| self.next_block(), |(number, _)| *number)
    }

    /// An unused block number.
    fn next_block(&self) -> u32 {
        self.blocks.last_key_value().map_or(0, |(number, _)| number + 1)
    }

    /// The blocks that must be written in one transaction with this one, including itself.
    fn blocks_written_with(&self, number: u32) -> Vec<u32> {
        let split = self.splits.iter().find(|split| split.contains(&number));
        split.map_or_else(|| vec![number], |split| split.iter().copied().collect())
    }

    /// Requires these blocks to be written in one transaction until one that contains them is
    /// committed.
    fn write_together(&mut self, numbers: BTreeSet<u32>) {
        self.splits.retain(|split| split.is_disjoint(&numbers));
        if numbers.len() > 1 {
            self.splits.push(numbers);
        }
    }

    /// Records that a transaction with this block was committed, and so all those that had to be
    /// written with it.
    fn split_committed(&mut self, number: u32) {
        self.splits.retain(|split| !split.contains(&number));
    }

    /// Whether a block is in the store, as far as is known.
    fn is_stored(&self, number: u32) -> bool {
        self.blocks.get(&number).is_some_and(|block| block.version != 0)
    }

    /// Adds a block that a new leader has loaded.
    pub(crate) fn add_loaded_block(
        &mut self,
        block: u32,
        version: u64,
        members: BTreeSet<MachineId>,
    ) {
        self.blocks.insert(block, Block { version, members, mark: None });
    }

    /// Marks a block as out of date because a machine's record changed or was removed.
    pub(crate) fn machine_changed(&mut self, block: u32, now: Secs) {
        self.mark_block(block, now, Urgency::Lazy);
    }

    /// Marks a block as out of date because the images of a machine changed.
    pub(crate) fn images_changed(&mut self, block: u32, now: Secs) {
        self.mark_block(block, now, Urgency::Images);
    }

    fn mark_block(&mut self, block: u32, now: Secs, urgency: Urgency) {
        if let Some(b) = self.blocks.get_mut(&block) {
            DirtyMark::merge(&mut b.mark, now, urgency);
        }
    }

    /// Removes a machine that is permanently gone from its block.
    pub(crate) fn machine_gone(&mut self, id: &MachineId, block: Option<u32>, now: Secs) {
        let Some(block) = block else { return };
        if let Some(b) = self.blocks.get_mut(&block) {
            b.members.remove(id);
        }
        self.machine_changed(block, now);
    }

    /// Queues a job that may be ready to be closed.
    pub(crate) fn close(&mut self, id: &JobId, now: Secs) {
        self.closing.entry(id.clone()).or_insert(now);
    }

    /// Queues an obsolete record of that version for deletion.
    pub(crate) fn discard(&mut self, key: String, version: u64) {
        self.garbage.insert(key, version);
    }

    /// Whether this job, identified by id and spec version, was closed; the replica may still show
    /// it.
    pub(crate) fn closed(&self, id: &JobId, version: u64) -> bool {
        self.closed.iter().any(|(j, v)| j == id && *v == version)
    }
}
