//! Handles the state service's answers to the leader's transactions and reads.

use super::uncertain::UncertainRecord;
use super::{DirtyMark, Entry, InFlightTransaction, Urgency};
use crate::consts::*;
use crate::event::{ActionSink, OpId, Secs, StoreResult};
use crate::jobs::{Job, Outcome, Phase};
use crate::leader::Leader;
use crate::record_shape::TransactionShape;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{self, *};

impl Leader {
    /// Handles an answer to a transaction or a read of the writer. Returns false if it shows that
    /// this controller is no longer the leader.
    pub(crate) fn written(
        &mut self,
        now: Secs,
        op: OpId,
        result: StoreResult,
        out: &mut ActionSink,
    ) -> bool {
        if let Some(record) = self.writer.uncertain.handle_answer(op) {
            self.uncertain_record_read(now, record, result);
            return true;
        }
        let in_flight = self.writer.in_flight.take_if(|in_flight| in_flight.op == op);
        let Some(InFlightTransaction { shape, entries, .. }) = in_flight else {
            return true;
        };
        let refused = matches!(result, StoreResult::Refused);
        self.writer.refusals = if refused { self.writer.refusals + 1 } else { 0 };
        match result {
            StoreResult::Committed(version) => {
                for entry in entries {
                    self.entry_written(now, entry, version);
                }
                self.push_direct(now, out);
            }
            StoreResult::Conflict(keys) if keys.iter().any(|k| k == records::LEADER_KEY) => {
                return false;
            }
            // Not executed, so the versions are unchanged.
            StoreResult::Refused => {
                self.writer.next_flush = now + STORE_RETRY_S;
                entries.into_iter().for_each(|e| self.requeue_entry(now, e));
            }
            StoreResult::Rejected => {
                self.writer.next_flush = now + STORE_RETRY_S;
                self.rejected(now, shape);
                entries.into_iter().for_each(|e| self.requeue_entry(now, e));
            }
            // Not executed, because the versions of some records differ from the expected ones.
            StoreResult::Conflict(keys) => {
                let (stale, unaffected): (Vec<Entry>, Vec<Entry>) =
                    entries.into_iter().partition(|entry| entry.failed(&keys));
                if stale.is_empty() {
                    self.writer.next_flush = now + STORE_RETRY_S;
                }
                self.uncertain_records(now, "conflict", stale);
                unaffected.into_iter().for_each(|e| self.requeue_entry(now, e));
            }
            // May have been executed, or may be executed later.
            _ => self.uncertain_records(now, "no_answer", entries),
        }
        true
    }

    /// Marks the versions of these records as uncertain.
    fn uncertain_records(&mut self, now: Secs, why: &str, entries: Vec<Entry>) {
        let records = entries.len();
        for entry in entries {
            self.writer.uncertain.insert(entry.key(), entry);
        }
        let uncertain = self.writer.uncertain.len();
        self.log.info(now, || {
            format!("event=records_uncertain records={records} why={why} uncertain={uncertain}")
        });
    }

    /// Handles the answer to a read of a record of uncertain version.
    fn uncertain_record_read(&mut self, now: Secs, record: UncertainRecord, result: StoreResult) {
        let StoreResult::Value(item) = result else {
            self.writer.next_read = now + STORE_RETRY_S;
            return self.writer.uncertain.read_failed(record);
        };
        self.writer.uncertain.version_known(&record.key);
        let version = item.as_ref().map_or(0, |i| i.version);
        self.apply_read_record(now, record, version, item.map(|i| i.value));
        if self.writer.uncertain.is_empty() {
            self.log.info(now, || "event=records_known".to_owned());
        }
    }

    /// Shrinks the limits after a rejected transaction: those of the state service may fall at any
    /// time.
    fn rejected(&mut self, now: Secs, shape: TransactionShape) {
        self.writer.limits.shrink(shape);
        let limits = self.writer.limits;
        let TransactionShape { changes, largest_value: largest } = shape;
        self.log.info(now, || {
            format!(
                "event=write_rejected changes={changes} largest_value={largest} \
                 now_changes={} now_value={}",
                limits.changes, limits.value_bytes
            )
        });
    }

    /// Updates the state after a record was committed at this version.
    fn entry_written(&mut self, now: Secs, entry: Entry, version: u64) {
        match entry {
            Entry::Part { job, part, sets } => {
                let Some(j) = self.jobs.get_mut(&job) else {
                    return;
                };
                j.parts[part as usize] = version;
                if part == 0 {
                    j.stored_machines = sets.machines;
                }
                merge(&mut j.stored_started, &sets.started, part);
                merge(&mut j.stored_finished, &sets.finished, part);
                for live in j.live.values_mut().filter(|l| l.phase == Phase::Placed) {
                    live.phase = Phase::Ready;
                    if let Some(m) = self.machines.get_mut(&live.machine) {
                        m.direct_send_due = true;
                    }
                }
            }
            Entry::Block(number, names) => {
                self.writer.split_committed(number);
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    block.version = if names.is_empty() { 0 } else { version };
                }
                for id in names {
                    if let Some(m) = self.machines.get_mut(&id).filter(|m| !m.recorded) {
                        m.recorded = true;
                        m.direct_send_due = true;
                    }
                }
            }
            Entry::Close { job, cancelled, tasks } => self.closed(now, &job, cancelled, tasks),
            Entry::Garbage(..) | Entry::Types | Entry::Format(_) => {}
        }
    }

    /// Removes a job whose end is recorded.
    pub(crate) fn closed(&mut self, now: Secs, id: &JobId, cancelled: bool, tasks: u32) {
        // Attempts that remain are stopped on their machines.
        let leftover: Vec<(u32, MachineId, Attempt)> = self.jobs.get(id).map_or(Vec::new(), |j| {
            j.live.iter().map(|(n, l)| (*n, l.machine.clone(), l.attempt)).collect()
        });
        for (n, machine, attempt) in leftover {
            self.end_attempt(id, n, Outcome::Lost, now);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.unknown_attempts.insert((TaskId { job: id.clone(), index: n }, attempt));
                m.direct_send_due = true;
            }
        }
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for (part, version) in job.parts.iter().enumerate().filter(|(_, v)| **v != 0) {
            self.writer.discard(progress_key(id, part as u32), *version);
        }
        self.writer.closed.push_back((id.clone(), job.spec_version));
        if self.writer.closed.len() > FINALS_KEPT {
            self.writer.closed.pop_front();
        }
        self.terminal_states.push((id.clone(), EndRecord { cancelled, tasks }));
        if job.record.origin.is_some() {
            self.record_guest_end(id, cancelled);
        }
        self.dependency_finished(now, id, cancelled);
        self.log.debug(|| format!(
            "event=closed job={id} cancelled={cancelled} after_s={:.1} due_s={:.1} tasks={tasks} mean_s={:.1} guess_s={:.1} term={}",
            now - job.arrived,
            job.spec().deadline_s.unwrap_or(0.0),
            job.mean_run().unwrap_or(0.0),
            job.spec().estimate_s,
            self.term.0
        ));
    }

    /// Applies the version and value of a record that were read after they had become uncertain.
    fn apply_read_record(
        &mut self,
        now: Secs,
        record: UncertainRecord,
        version: u64,
        value: Option<ciborium::Value>,
    ) {
        let UncertainRecord { key, entry } = record;
        match entry {
            Entry::Part { job, part, .. } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.parts[part as usize] = version;
                    self.writer.touch_task(&job, part * PART_TASKS, now, true);
                } else if version != 0 {
                    // The job was closed while the version of this record was uncertain.
                    self.writer.discard(key, version);
                }
            }
            Entry::Block(number, names) => {
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    block.version = version;
                }
                self.requeue_entry(now, Entry::Block(number, names));
            }
            Entry::Close { job, cancelled: false, tasks } => {
                match value.as_ref().map(from_value::<EndRecord>) {
                    Some(Ok(end)) if end.cancelled => {
                        // A user's cancellation was recorded first.
                        if let Some(j) = self.jobs.get_mut(&job) {
                            j.closing = false;
                        }
                        self.cancel(now, &job);
                    }
                    Some(_) => self.closed(now, &job, false, tasks),
                    None => self.requeue_entry(now, Entry::Close { job, cancelled: false, tasks }),
                }
            }
            Entry::Close { job, cancelled, tasks } => {
                if value.is_none() {
                    self.closed(now, &job, cancelled, tasks);
                } else {
                    self.requeue_entry(now, Entry::Close { job, cancelled, tasks });
                }
            }
            Entry::Garbage(..) => {
                if version != 0 {
                    self.writer.discard(key, version);
                }
            }
            Entry::Types => {}
            Entry::Format(format) => {
                let lower = |record: &FormatRecord| record.format < format;
                let stored = value.as_ref().map(from_value::<FormatRecord>);
                // A record that can't be decoded is left as it is.
                if stored.is_none_or(|read| read.as_ref().is_ok_and(lower)) {
                    self.requeue_entry(now, entry);
                }
            }
        }
    }

    /// Queues a record that was not written to be written again.
    fn requeue_entry(&mut self, now: Secs, entry: Entry) {
        match entry {
            Entry::Part { job, part, .. } => {
                self.writer.touch_task(&job, part * PART_TASKS, now, true);
            }
            Entry::Block(number, _) => {
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    DirtyMark::merge(&mut block.mark, now, Urgency::Starts);
                }
            }
            Entry::Close { job, .. } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.closing = false;
                }
                self.writer.close(&job, now);
            }
            Entry::Garbage(key, version) => self.writer.discard(key, version),
            Entry::Types => self.writer.types_key.clear(),
            Entry::Format(_) => self.writer.format_sent = 0,
        }
    }
}

/// Copies the tasks of one part from `from` to `into`.
fn merge(into: &mut IntSet, from: &IntSet, part: u32) {
    let (start, len) = Job::part_range(part);
    PackedSet::pack(from, start, len).unpack(start, len, into);
}
