//! Builds the leader's next transaction: selects its records and fits them to the limits.

use super::{DirtyMark, Entry, InFlightTransaction, Urgency};
use crate::consts::*;
use crate::event::{ActionSink, Secs, StoreRequest};
use crate::jobs::Job;
use crate::leader::Leader;
use crate::record_shape::{
    ProgressSets, ShapeLimits, SizedBlock, SizedValue, TransactionShape, fit_progress, split_block,
};
use crate::replica::Replica;
use marblebarrow_proto::cbor::to_value;
use marblebarrow_proto::ids::{JobId, MachineId};
use marblebarrow_proto::intset::IntSet;
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::records::*;
use marblebarrow_proto::wire::{Condition, Txn, Write};
use std::collections::BTreeSet;

/// A transaction under construction.
struct Batch {
    txn: Txn,
    entries: Vec<Entry>,
    /// Maximum number of changes.
    max_changes: usize,
    /// Upper bound of the size of all values, in bytes of JSON.
    bytes: usize,
    /// The same for the largest value.
    largest_value: usize,
}

impl Batch {
    fn is_full(&self) -> bool {
        self.txn.writes.len() >= self.max_changes || self.bytes > TXN_BYTES
    }
    /// Number of changes that still fit.
    fn remaining(&self) -> usize {
        self.max_changes.saturating_sub(self.txn.writes.len())
    }
    fn put(&mut self, key: String, version: u64, SizedValue { value, bytes }: SizedValue) {
        self.bytes += bytes;
        self.largest_value = self.largest_value.max(bytes);
        self.txn.conditions.push(Condition { key: key.clone(), version });
        self.txn.writes.push(Write::Put { key, value, lease: None });
    }
    fn delete(&mut self, key: String, version: u64) {
        self.txn.conditions.push(Condition { key: key.clone(), version });
        self.txn.writes.push(Write::Delete { key });
    }
}

impl Leader {
    /// Sends the next transaction if one is due.
    pub(crate) fn flush(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let w = &mut self.writer;
        w.refill(now);
        self.read_uncertain(now, out);
        let w = &self.writer;
        if w.in_flight.is_some() || now < w.next_flush {
            return;
        }
        let Batch { txn, entries, largest_value, .. } = self.batch(now, replica);
        if txn.writes.is_empty() {
            return;
        }
        let w = &mut self.writer;
        w.budget -= txn.writes.len() as f64;
        w.next_flush = now + FLUSH_EVERY_S;
        let shape = TransactionShape { changes: txn.writes.len(), largest_value };
        let op = out.store(StoreRequest::Commit(txn));
        w.in_flight = Some(InFlightTransaction { op, shape, entries });
    }

    /// Sends reads of records whose version is uncertain.
    fn read_uncertain(&mut self, now: Secs, out: &mut ActionSink) {
        let w = &mut self.writer;
        if now < w.next_read {
            return;
        }
        while let Some(record) = w.uncertain.next_to_read() {
            let op = out.store(StoreRequest::Get(record.key.clone()));
            w.uncertain.read_sent(op, record);
        }
    }

    /// Builds the next transaction in order of urgency: job ends that are overdue, machines and
    /// tasks whose starts wait (services before arrays), other job ends; then, after a delay that
    /// collects several changes, finished tasks, images and removed machines.
    fn batch(&mut self, now: Secs, replica: &Replica) -> Batch {
        let mut b = Batch {
            txn: Txn {
                conditions: vec![Condition { key: LEADER_KEY.into(), version: self.version }],
                writes: Vec::new(),
            },
            entries: Vec::new(),
            max_changes: self.writer.changes_allowed(),
            bytes: 0,
            largest_value: 0,
        };
        if b.max_changes == 0 {
            return b;
        }
        if !self.batch_closes(now, CLOSE_LATEST_S, &mut b) && b.txn.writes.is_empty() {
            // Saves the budget for an overdue job end, which needs several changes at once.
            // Otherwise a stream of single changes delays all job ends for minutes.
            return b;
        }
        self.format_entry(replica, &mut b);
        if !self.batch_blocks(now, Urgency::Starts, &mut b) && b.txn.writes.is_empty() {
            // Likewise saves the budget for a block that has to be split.
            return b;
        }
        self.batch_parts(now, &mut b);
        self.batch_closes(now, 0.0, &mut b);
        self.batch_blocks(now, Urgency::Lazy, &mut b);
        self.batch_blocks(now, Urgency::Images, &mut b);
        self.batch_garbage(&mut b);
        self.types_entry(replica, &mut b);
        b
    }

    /// Adds deletions of obsolete records.
    fn batch_garbage(&mut self, b: &mut Batch) {
        let writer = &mut self.writer;
        let known = |key: &&String| !writer.uncertain.contains(key);
        let remaining = b.remaining();
        let keys: Vec<String> =
            writer.garbage.keys().filter(known).take(remaining).cloned().collect();
        for key in keys {
            if b.is_full() {
                break;
            }
            if let Some(version) = writer.garbage.remove(&key) {
                b.entries.push(Entry::Garbage(key.clone(), version));
                b.delete(key, version);
            }
        }
    }

    /// Adds the machine blocks of this urgency that are due; returns false if one didn't fit.
    fn batch_blocks(&mut self, now: Secs, urgency: Urgency, b: &mut Batch) -> bool {
        let min_age = match urgency {
            Urgency::Starts => 0.0,
            Urgency::Lazy => BLOCK_LAZY_S,
            Urgency::Images => self.images_age(),
        };
        let due = |mark: &DirtyMark| mark.urgency == urgency && now - mark.since >= min_age;
        let blocks = self.writer.blocks.iter();
        let numbers: Vec<u32> = blocks
            .filter(|(_, block)| block.mark.as_ref().is_some_and(due))
            .filter(|(number, _)| !self.writer.uncertain.contains(&block_key(**number)))
            .map(|(number, _)| *number)
            .collect();
        let mut all_fit = true;
        for number in numbers {
            if b.is_full() {
                break;
            }
            // A block may have been written together with an earlier one.
            if self.writer.blocks.get(&number).is_some_and(|block| block.mark.is_some()) {
                all_fit &= self.add_block(number, b);
            }
        }
        all_fit
    }

    /// How long image changes are collected before a block is written for them alone, in seconds:
    /// long enough that all blocks together stay within their share of the store's change rate.
    fn images_age(&self) -> Secs {
        let blocks = self.writer.blocks.len() as f64;
        (blocks / (self.writer.store_rate * IMAGES_WRITE_SHARE)).max(BLOCK_LAZY_S)
    }

    /// Adds a block, split if its records no longer fit one value; returns false if the resulting
    /// blocks don't all fit. They must go into one transaction, because a machine that is in no
    /// block is unknown to the next leader. So must those of an earlier split that isn't known to
    /// be committed: their machines are distributed anew. Waits while the version of one of them is
    /// uncertain.
    fn add_block(&mut self, number: u32, b: &mut Batch) -> bool {
        let mut numbers = self.writer.blocks_written_with(number);
        if numbers.iter().any(|number| self.writer.uncertain.contains(&block_key(*number))) {
            return true;
        }
        let parts = split_block(self.machine_records(&numbers), self.writer.limits);
        let new = parts.len().saturating_sub(numbers.len());
        let next = self.writer.next_block();
        numbers.extend((next..).take(new));
        let emptied = numbers.split_off(parts.len());
        let deleted = emptied.iter().filter(|number| self.writer.is_stored(**number)).count();
        if parts.len() + deleted > b.remaining() {
            return false;
        }
        self.writer.write_together(numbers.iter().chain(&emptied).copied().collect());
        for (number, part) in numbers.into_iter().zip(&parts) {
            self.put_block(number, part, b);
        }
        for number in emptied {
            self.delete_block(number, b);
        }
        true
    }

    /// The records of the machines in these blocks.
    fn machine_records(&self, numbers: &[u32]) -> Vec<(MachineId, MachineRecord)> {
        let blocks = numbers.iter().filter_map(|number| self.writer.blocks.get(number));
        blocks
            .flat_map(|block| &block.members)
            .filter_map(|id| Some((id.clone(), self.machines.get(id)?.info.clone())))
            .collect()
    }

    /// Adds one block and assigns its machines to it.
    fn put_block(&mut self, number: u32, part: &SizedBlock, b: &mut Batch) {
        let SizedBlock { block: records, bytes } = part;
        let names: Vec<MachineId> = records.machines.iter().map(|(id, _)| id.clone()).collect();
        let block = self.writer.blocks.entry(number).or_default();
        block.mark = None;
        block.members = names.iter().cloned().collect();
        let value = SizedValue { value: to_value(records), bytes: *bytes };
        b.put(block_key(number), block.version, value);
        for id in &names {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.block = Some(number);
            }
        }
        b.entries.push(Entry::Block(number, names));
    }

    /// Adds the removal of a block that has no machines any more.
    fn delete_block(&mut self, number: u32, b: &mut Batch) {
        let block = self.writer.blocks.entry(number).or_default();
        (block.mark, block.members) = (None, BTreeSet::new());
        if block.version != 0 {
            b.delete(block_key(number), block.version);
            b.entries.push(Entry::Block(number, Vec::new()));
        }
    }

    /// Adds the progress records that are due.
    fn batch_parts(&mut self, now: Secs, b: &mut Batch) {
        let mut due: Vec<(u8, Secs, (JobId, u32))> = Vec::new();
        let (jobs, uncertain) = (&self.jobs, &self.writer.uncertain);
        self.writer.parts.retain(|(id, part), mark| {
            // A complete job is closed instead.
            let job = jobs.get(id).filter(|j| !j.closing && !j.complete());
            let Some(job) = job.filter(|j| (*part as usize) < j.parts.len()) else {
                return false;
            };
            let class = match (mark.starts_wait(), job.spec().kind) {
                (true, Kind::Service) => 0,
                (true, _) => 1,
                (false, _) => 2,
            };
            if uncertain.contains(&progress_key(id, *part)) {
                return true;
            }
            if class < 2 || now - mark.since > FINISH_LAZY_S {
                due.push((class, mark.since, (id.clone(), *part)));
            }
            true
        });
        due.sort_by(|x, y| x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)));
        for (_, _, (id, part)) in due {
            if b.is_full() {
                break;
            }
            let Some(job) = self.jobs.get(&id) else { continue };
            let (record, sets) = progress_part(job, part, self.writer.limits);
            b.put(progress_key(&id, part), job.parts[part as usize], record);
            b.entries.push(Entry::Part { job: id.clone(), part, sets });
            self.writer.parts.remove(&(id, part));
        }
    }

    /// Adds the job ends that have waited for at least `min_age`; returns false if one didn't fit.
    fn batch_closes(&mut self, now: Secs, min_age: Secs, b: &mut Batch) -> bool {
        let mut all_fit = true;
        let mut due: Vec<(Secs, JobId)> = self
            .writer
            .closing
            .iter()
            .filter(|(_, since)| now - **since >= min_age)
            .map(|(id, since)| (*since, id.clone()))
            .collect();
        due.sort_by(|x, y| x.0.total_cmp(&y.0));
        for (_, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.writer.closing.remove(&id);
                continue;
            };
            let cancelled = job.cancelled;
            let ended = if cancelled {
                job.live.is_empty() && job.maybe_running.is_empty()
            } else {
                job.complete()
            };
            if !ended || job.closing {
                self.writer.closing.remove(&id);
                continue;
            }
            if b.txn.writes.len() + 2 > b.max_changes {
                all_fit = false;
                continue;
            }
            let spec = &job.record.spec;
            if !cancelled {
                let end = EndRecord { cancelled: false, tasks: spec.tasks };
                b.put(end_key(&id), 0, SizedValue::of(&end));
            } else {
                b.txn.writes.push(Write::Delete { key: cancel_key(&id) });
            }
            b.delete(spec_key(&id), job.spec_version);
            job.closing = true;
            b.entries.push(Entry::Close { job: id.clone(), cancelled, tasks: spec.tasks });
            self.writer.closing.remove(&id);
        }
        all_fit
    }

    /// Adds the machine types, without their variable prices, for controllers that start during
    /// an outage of the cloud.
    fn types_entry(&mut self, replica: &Replica, b: &mut Batch) {
        let names: String =
            self.cloud_requests.types.iter().map(|t| format!("{} ", t.name)).collect();
        if self.cloud_requests.types.is_empty() || self.writer.types_key == names || b.is_full() {
            return;
        }
        self.writer.types_key = names;
        if replica.types.as_ref().is_some_and(|t| t.len() == self.cloud_requests.types.len()) {
            return;
        }
        let types = SizedValue::of(&self.cloud_requests.types);
        if types.bytes > self.writer.limits.record_bytes() {
            // Too many types for one value; a starting controller then waits for the cloud.
            return;
        }
        b.put(MACHINE_TYPES_KEY.into(), replica.types_version, types);
        b.entries.push(Entry::Types);
    }

    /// Adds the common format once it is higher than the recorded one: one write per upgrade, for
    /// which pipelines wait.
    fn format_entry(&mut self, replica: &Replica, b: &mut Batch) {
        let format = self.common_format;
        let known = replica.format_in_store().max(self.writer.format_sent).max(PRODUCTION_FORMAT);
        if b.is_full() || format <= known {
            return;
        }
        self.writer.format_sent = format;
        let version = replica.common_format.as_ref().map_or(0, |(_, version)| *version);
        b.put(COMMON_FORMAT_KEY.into(), version, SizedValue::of(&FormatRecord { format }));
        b.entries.push(Entry::Format(format));
    }
}

/// The progress record of one part, and the sets that it holds.
fn progress_part(job: &Job, part: u32, limits: ShapeLimits) -> (SizedValue, ProgressSets) {
    let first = part == 0;
    let rest = ProgressRecord {
        mean_ms: if first { job.mean_run().map_or(0, |m| (m * 1e3) as u64) } else { 0 },
        queue: if first { job.queue } else { None },
        ..ProgressRecord::default()
    };
    let sets = ProgressSets {
        started: job.started.clone(),
        finished: job.finished.clone(),
        machines: if first { job.machines.clone() } else { IntSet::default() },
    };
    fit_progress(sets, Job::part_range(part), &rest, limits)
}
