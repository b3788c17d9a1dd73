//! The leader's records: written in batches, one transaction at a time, each
//! conditional on the leader key and on every record's version, so that one
//! applied late changes nothing.

use crate::consts::*;
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use crate::facts::Facts;
use crate::fleet::Machine;
use crate::jobs::{Job, Outcome, Phase};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::cbor::{encode, from_value, to_value};
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::job::Kind;
use marblebarrow_proto::records::{self, *};
use marblebarrow_proto::wire::{Cond, Txn, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One record of a transaction.
#[derive(Debug)]
enum Entry {
    Part {
        job: JobId,
        part: u32,
        started: IntSet,
        finished: IntSet,
        machines: IntSet,
    },
    /// A block of machine records, with the machines that are in it.
    Block(u32, Vec<MachineId>),
    Close {
        job: JobId,
        cancelled: bool,
        tasks: u32,
    },
    /// A record of no more use, and its version.
    Garbage(String, u64),
    Types,
    /// The format that every controller runs at least.
    Format(u32),
}

/// A record that is out of date.
#[derive(Clone, Copy, Debug)]
struct Mark {
    since: Secs,
    /// Starts wait for it.
    urgent: bool,
}

impl Mark {
    fn merge(slot: &mut Option<Mark>, now: Secs, urgent: bool) {
        let mark = slot.get_or_insert(Mark { since: now, urgent });
        mark.urgent |= urgent;
    }
}

/// Machine records that are written together.
#[derive(Debug, Default)]
struct Block {
    version: u64,
    members: BTreeSet<MachineId>,
    mark: Option<Mark>,
}

/// What waits to be written.
#[derive(Debug)]
pub(crate) struct Writer {
    parts: BTreeMap<(JobId, u32), Mark>,
    blocks: BTreeMap<u32, Block>,
    closing: BTreeMap<JobId, Secs>,
    closed: VecDeque<(JobId, u64)>,
    /// Records of jobs that are over, and their versions.
    garbage: BTreeMap<String, u64>,
    running: Option<(OpId, Vec<Entry>)>,
    /// Keys whose version must be read again, and the read under way.
    resync: VecDeque<(String, Entry)>,
    reading: Option<OpId>,
    budget: f64,
    rps: f64,
    /// Changes of users lately, decaying: the rest of the rate is ours.
    users: f64,
    refilled: Secs,
    next: Secs,
    types_key: String,
    /// The common format last sent to the store.
    format_sent: u32,
}

impl Writer {
    pub(crate) fn new(facts: &Facts, now: Secs) -> Self {
        Self {
            parts: BTreeMap::new(),
            blocks: BTreeMap::new(),
            closing: BTreeMap::new(),
            closed: VecDeque::new(),
            garbage: BTreeMap::new(),
            running: None,
            resync: VecDeque::new(),
            reading: None,
            budget: facts.store_write_rps * LEADER_WRITE_SHARE,
            rps: facts.store_write_rps,
            users: 0.0,
            refilled: now,
            next: now,
            types_key: String::new(),
            format_sent: 0,
        }
    }

    fn refill(&mut self, now: Secs) {
        let past = now - self.refilled;
        self.refilled = now;
        self.users *= (-past / USER_RATE_S).exp();
        let rate = self.rps * LEADER_WRITE_MAX - self.users / USER_RATE_S;
        let rate = rate.max(self.rps * LEADER_WRITE_SHARE);
        self.budget = (self.budget + past * rate).min(self.rps * LEADER_WRITE_SHARE);
    }

    /// Whether the store's rate allows so many changes besides; if so, they are counted.
    pub(crate) fn afford(&mut self, changes: f64) -> bool {
        let affordable = self.budget >= changes;
        if affordable {
            self.budget -= changes;
        }
        affordable
    }

    /// Counts changes that can't wait for the rate to allow them.
    pub(crate) fn charge(&mut self, changes: f64) {
        self.budget -= changes;
    }

    /// Users' submissions and cancels changed so many keys.
    pub(crate) fn saw_user_changes(&mut self, changes: f64) {
        self.users += changes;
    }

    /// A task's started or finished mark changed; `starts`: a start waits for it.
    pub(crate) fn touch_task(&mut self, id: &JobId, n: u32, now: Secs, starts: bool) {
        // Part 0 also names the machines; marks made ahead may reach into the
        // next part.
        for part in [0, n / PART_TASKS, n.saturating_add(START_AHEAD) / PART_TASKS] {
            let mark =
                self.parts.entry((id.clone(), part)).or_insert(Mark { since: now, urgent: starts });
            if starts && !mark.urgent {
                *mark = Mark { since: now, urgent: true };
            }
        }
    }

    /// A machine is about to get a task: it must be recorded first.
    pub(crate) fn want_machine(&mut self, id: &MachineId, m: &mut Machine, now: Secs) {
        if m.recorded {
            return;
        }
        let block = match m.block {
            Some(b) => b,
            None => {
                let free = self.blocks.iter().find(|(_, b)| b.members.len() < BLOCK_MACHINES);
                let next = self.blocks.last_key_value().map_or(0, |(b, _)| b + 1);
                free.map_or(next, |(b, _)| *b)
            }
        };
        m.block = Some(block);
        let entry = self.blocks.entry(block).or_default();
        entry.members.insert(id.clone());
        Mark::merge(&mut entry.mark, now, true);
    }

    /// A block as a new leader found it.
    pub(crate) fn found_block(&mut self, block: u32, version: u64, members: BTreeSet<MachineId>) {
        self.blocks.insert(block, Block { version, members, mark: None });
    }

    /// A machine's record is out of date, or it is gone for good.
    pub(crate) fn machine_changed(&mut self, block: u32, now: Secs) {
        if let Some(b) = self.blocks.get_mut(&block) {
            Mark::merge(&mut b.mark, now, false);
        }
    }

    /// A machine is gone for good.
    pub(crate) fn machine_gone(&mut self, id: &MachineId, block: Option<u32>, now: Secs) {
        let Some(block) = block else { return };
        if let Some(b) = self.blocks.get_mut(&block) {
            b.members.remove(id);
        }
        self.machine_changed(block, now);
    }

    /// A job may be ready to be closed.
    pub(crate) fn close(&mut self, id: &JobId, now: Secs) {
        self.closing.entry(id.clone()).or_insert(now);
    }

    /// A record of no more use is there at that version.
    pub(crate) fn discard(&mut self, key: String, version: u64) {
        self.garbage.insert(key, version);
    }

    /// Whether that very job was closed: the watch may still show it.
    pub(crate) fn closed(&self, id: &JobId, version: u64) -> bool {
        self.closed.iter().any(|(j, v)| j == id && *v == version)
    }
}

/// A transaction as it grows.
struct Batch {
    txn: Txn,
    entries: Vec<Entry>,
    room: usize,
    bytes: usize,
}

impl Batch {
    fn full(&self) -> bool {
        self.txn.writes.len() >= self.room || self.bytes > TXN_BYTES
    }
    fn put(&mut self, key: String, version: u64, value: ciborium::Value) {
        self.bytes += encode(&value).len();
        self.txn.conds.push(Cond { key: key.clone(), version });
        self.txn.writes.push(Write::Put { key, value, grant: None });
    }
    fn drop_key(&mut self, key: String, version: u64) {
        self.txn.conds.push(Cond { key: key.clone(), version });
        self.txn.writes.push(Write::Delete { key });
    }
}

impl Leader {
    /// Sends the next transaction, if one is due.
    pub(crate) fn flush(&mut self, now: Secs, replica: &Replica, out: &mut ActionSink) {
        let w = &mut self.writer;
        w.refill(now);
        if w.running.is_some() || w.reading.is_some() || now < w.next {
            return;
        }
        if let Some((key, _)) = w.resync.front() {
            w.reading = Some(out.store(StoreRequest::Get(key.clone())));
            return;
        }
        let Batch { txn, entries, .. } = self.batch(now, replica);
        if txn.writes.is_empty() {
            return;
        }
        let w = &mut self.writer;
        w.budget -= txn.writes.len() as f64;
        w.next = now + FLUSH_EVERY_S;
        let op = out.store(StoreRequest::Commit(txn));
        w.running = Some((op, entries));
    }

    // What others wait for goes first: jobs whose end is overdue, machines and
    // tasks whose starts wait (services before arrays), other ends; then, after
    // a while in which they gather, finished tasks, images and machines gone.
    fn batch(&mut self, now: Secs, replica: &Replica) -> Batch {
        let mut b = Batch {
            txn: Txn {
                conds: vec![Cond { key: LEADER.into(), version: self.version }],
                writes: Vec::new(),
            },
            entries: Vec::new(),
            room: self.facts.store_txn_ops.min(self.writer.budget.max(0.0) as usize),
            bytes: 0,
        };
        if b.room == 0 {
            return b;
        }
        if !self.batch_closes(now, CLOSE_LATEST_S, &mut b) && b.txn.writes.is_empty() {
            // Saves up for an end that is overdue: it takes several changes at
            // once, and single ones that always went before it once held up
            // all ends for minutes.
            return b;
        }
        self.format_entry(replica, &mut b);
        self.batch_blocks(now, true, &mut b);
        self.batch_parts(now, &mut b);
        self.batch_closes(now, 0.0, &mut b);
        self.batch_blocks(now, false, &mut b);
        while !b.full()
            && let Some((key, version)) = self.writer.garbage.pop_first()
        {
            b.entries.push(Entry::Garbage(key.clone(), version));
            b.drop_key(key, version);
        }
        self.types_entry(replica, &mut b);
        b
    }

    fn batch_blocks(&mut self, now: Secs, urgent: bool, b: &mut Batch) {
        for (&number, block) in &mut self.writer.blocks {
            let due = |m: &Mark| m.urgent == urgent && (urgent || now - m.since > BLOCK_LAZY_S);
            if b.full() || !block.mark.as_ref().is_some_and(due) {
                continue;
            }
            block.mark = None;
            if block.members.is_empty() && block.version == 0 {
                continue;
            }
            let machines: Vec<(MachineId, MachineRecord)> = block
                .members
                .iter()
                .filter_map(|id| Some((id.clone(), self.machines.get(id)?.info.clone())))
                .collect();
            let names = machines.iter().map(|(id, _)| id.clone()).collect();
            if machines.is_empty() {
                b.drop_key(block_key(number), block.version);
            } else {
                b.put(block_key(number), block.version, to_value(&MachineBlock { machines }));
            }
            b.entries.push(Entry::Block(number, names));
        }
    }

    fn batch_parts(&mut self, now: Secs, b: &mut Batch) {
        let mut due: Vec<(u8, Secs, (JobId, u32))> = Vec::new();
        let jobs = &self.jobs;
        self.writer.parts.retain(|(id, part), mark| {
            // A job that is complete is closed instead.
            let job = jobs.get(id).filter(|j| !j.closing && !j.complete());
            let Some(job) = job.filter(|j| (*part as usize) < j.parts.len()) else {
                return false;
            };
            let class = match (mark.urgent, job.spec().kind) {
                (true, Kind::Service) => 0,
                (true, _) => 1,
                (false, _) => 2,
            };
            if class < 2 || now - mark.since > FINISH_LAZY_S {
                due.push((class, mark.since, (id.clone(), *part)));
            }
            true
        });
        due.sort_by(|x, y| x.0.cmp(&y.0).then(x.1.total_cmp(&y.1)));
        for (_, _, (id, part)) in due {
            if b.full() {
                break;
            }
            let Some(job) = self.jobs.get(&id) else { continue };
            b.put(progress_key(&id, part), job.parts[part as usize], to_value(&pack(job, part)));
            b.entries.push(Entry::Part {
                job: id.clone(),
                part,
                started: job.started.clone(),
                finished: job.finished.clone(),
                machines: job.machines.clone(),
            });
            self.writer.parts.remove(&(id, part));
        }
    }

    /// Adds ends that have waited so long; false if one found no room.
    fn batch_closes(&mut self, now: Secs, age: Secs, b: &mut Batch) -> bool {
        let mut all = true;
        let mut due: Vec<(Secs, JobId)> = self
            .writer
            .closing
            .iter()
            .filter(|(_, since)| now - **since >= age)
            .map(|(id, since)| (*since, id.clone()))
            .collect();
        due.sort_by(|x, y| x.0.total_cmp(&y.0));
        for (_, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.writer.closing.remove(&id);
                continue;
            };
            let cancelled = job.cancelled;
            let over = if cancelled {
                job.live.is_empty() && job.maybe_running.is_empty()
            } else {
                job.complete()
            };
            if !over || job.closing {
                self.writer.closing.remove(&id);
                continue;
            }
            if b.txn.writes.len() + 2 > b.room {
                all = false;
                continue;
            }
            let spec = &job.record.spec;
            if !cancelled {
                let end = EndRecord { cancelled: false, tasks: spec.tasks };
                b.put(end_key(&id), 0, to_value(&end));
            } else {
                b.txn.writes.push(Write::Delete { key: cancel_key(&id) });
            }
            b.drop_key(spec_key(&id), job.spec_version);
            job.closing = true;
            b.entries.push(Entry::Close { job: id.clone(), cancelled, tasks: spec.tasks });
            self.writer.closing.remove(&id);
        }
        all
    }

    // The machine types, without their moving prices, for controllers that
    // start while the cloud is down.
    fn types_entry(&mut self, replica: &Replica, b: &mut Batch) {
        let names: String =
            self.cloud_requests.types.iter().map(|t| format!("{} ", t.name)).collect();
        if self.cloud_requests.types.is_empty() || self.writer.types_key == names || b.full() {
            return;
        }
        self.writer.types_key = names;
        if replica.types.as_ref().is_some_and(|t| t.len() == self.cloud_requests.types.len()) {
            return;
        }
        b.put(TYPES.into(), replica.types_version, to_value(&self.cloud_requests.types));
        b.entries.push(Entry::Types);
    }

    /// The common format, once it is higher than the record shows: one write in an upgrade,
    /// for which pipelines wait.
    fn format_entry(&mut self, replica: &Replica, b: &mut Batch) {
        let format = self.common_format;
        let known = replica.format_in_store().max(self.writer.format_sent).max(PRODUCTION_FORMAT);
        if b.full() || format <= known {
            return;
        }
        self.writer.format_sent = format;
        let version = replica.common_format.as_ref().map_or(0, |(_, version)| *version);
        b.put(COMMON_FORMAT.into(), version, to_value(&FormatRecord { format }));
        b.entries.push(Entry::Format(format));
    }

    /// A transaction or a read of ours was answered. False: we don't lead.
    pub(crate) fn written(
        &mut self,
        now: Secs,
        op: OpId,
        result: StoreResult,
        out: &mut ActionSink,
    ) -> bool {
        if self.writer.reading == Some(op) {
            self.writer.reading = None;
            match result {
                StoreResult::Value(item) => {
                    let version = item.as_ref().map_or(0, |i| i.version);
                    if let Some((_, entry)) = self.writer.resync.pop_front() {
                        self.resynced(now, entry, version, item.map(|i| i.value));
                    }
                }
                _ => self.writer.next = now + STORE_RETRY_S,
            }
            return true;
        }
        let Some((running, entries)) = self.writer.running.take() else {
            return true;
        };
        if running != op {
            self.writer.running = Some((running, entries));
            return true;
        }
        match result {
            StoreResult::Committed(version) => {
                for entry in entries {
                    self.entry_written(now, entry, version);
                }
                self.push_direct(now, out);
            }
            StoreResult::Conflict(keys) if keys.iter().any(|k| k == records::LEADER) => {
                return false;
            }
            // Not executed: as it was.
            StoreResult::Refused => {
                self.writer.next = now + STORE_RETRY_S;
                entries.into_iter().for_each(|e| self.entry_again(now, e));
            }
            // Perhaps executed, or a version wasn't what we thought: read each.
            _ => {
                self.writer.next = now + STORE_RETRY_S;
                for entry in entries {
                    let key = match &entry {
                        Entry::Part { job, part, .. } => progress_key(job, *part),
                        Entry::Block(number, _) => block_key(*number),
                        Entry::Close { job, cancelled: false, .. } => end_key(job),
                        Entry::Close { job, .. } => spec_key(job),
                        Entry::Garbage(key, _) => key.clone(),
                        Entry::Types => TYPES.into(),
                        Entry::Format(_) => COMMON_FORMAT.into(),
                    };
                    self.writer.resync.push_back((key, entry));
                }
            }
        }
        true
    }

    fn entry_written(&mut self, now: Secs, entry: Entry, version: u64) {
        match entry {
            Entry::Part { job, part, started, finished, machines } => {
                let Some(j) = self.jobs.get_mut(&job) else {
                    return;
                };
                j.parts[part as usize] = version;
                if part == 0 {
                    j.stored_machines = machines;
                }
                merge(&mut j.stored_started, &started, part);
                merge(&mut j.stored_finished, &finished, part);
                for live in j.live.values_mut().filter(|l| l.phase == Phase::Placed) {
                    live.phase = Phase::Ready;
                    if let Some(m) = self.machines.get_mut(&live.machine) {
                        m.push = true;
                    }
                }
            }
            Entry::Block(number, names) => {
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    block.version = if names.is_empty() { 0 } else { version };
                }
                for id in names {
                    if let Some(m) = self.machines.get_mut(&id).filter(|m| !m.recorded) {
                        m.recorded = true;
                        m.push = true;
                    }
                }
            }
            Entry::Close { job, cancelled, tasks } => self.closed(now, &job, cancelled, tasks),
            Entry::Garbage(..) | Entry::Types | Entry::Format(_) => {}
        }
    }

    pub(crate) fn closed(&mut self, now: Secs, id: &JobId, cancelled: bool, tasks: u32) {
        // Attempts that are of no more use, if any.
        let left: Vec<(u32, MachineId, Attempt)> = self.jobs.get(id).map_or(Vec::new(), |j| {
            j.live.iter().map(|(n, l)| (*n, l.machine.clone(), l.attempt)).collect()
        });
        for (n, machine, attempt) in left {
            self.over(id, n, Outcome::Lost, now);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.strangers.insert((TaskId { job: id.clone(), index: n }, attempt));
                m.push = true;
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
        self.dependency_finished(now, id, cancelled);
        self.log.push(|| format!(
            "event=closed job={id} cancelled={cancelled} after_s={:.1} due_s={:.1} tasks={tasks} mean_s={:.1} guess_s={:.1} term={}",
            now - job.arrived,
            job.spec().deadline_s.unwrap_or(0.0),
            job.mean_run().unwrap_or(0.0),
            job.spec().estimate_s,
            self.term.0
        ));
    }

    // A record's true version is known again.
    fn resynced(&mut self, now: Secs, entry: Entry, version: u64, value: Option<ciborium::Value>) {
        match entry {
            Entry::Part { job, part, .. } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.parts[part as usize] = version;
                    self.writer.touch_task(&job, part * PART_TASKS, now, true);
                }
            }
            Entry::Block(number, names) => {
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    block.version = version;
                }
                self.entry_again(now, Entry::Block(number, names));
            }
            Entry::Close { job, cancelled: false, tasks } => {
                match value.as_ref().map(from_value::<EndRecord>) {
                    Some(Ok(end)) if end.cancelled => {
                        // A user's cancel came first.
                        if let Some(j) = self.jobs.get_mut(&job) {
                            j.closing = false;
                        }
                        self.cancel(now, &job);
                    }
                    Some(_) => self.closed(now, &job, false, tasks),
                    None => self.entry_again(now, Entry::Close { job, cancelled: false, tasks }),
                }
            }
            Entry::Close { job, cancelled, tasks } => {
                if value.is_none() {
                    self.closed(now, &job, cancelled, tasks);
                } else {
                    self.entry_again(now, Entry::Close { job, cancelled, tasks });
                }
            }
            Entry::Garbage(key, _) => {
                if version != 0 {
                    self.writer.discard(key, version);
                }
            }
            Entry::Types => {}
            Entry::Format(format) => {
                let lower = |record: &FormatRecord| record.format < format;
                let stored = value.as_ref().map(from_value::<FormatRecord>);
                // One that can't be read is left as it is.
                if stored.is_none_or(|read| read.as_ref().is_ok_and(lower)) {
                    self.entry_again(now, entry);
                }
            }
        }
    }

    fn entry_again(&mut self, now: Secs, entry: Entry) {
        match entry {
            Entry::Part { job, part, .. } => {
                self.writer.touch_task(&job, part * PART_TASKS, now, true);
            }
            Entry::Block(number, _) => {
                if let Some(block) = self.writer.blocks.get_mut(&number) {
                    Mark::merge(&mut block.mark, now, true);
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

fn pack(job: &Job, part: u32) -> ProgressRecord {
    let (start, len) = Job::part_range(part);
    let first = part == 0;
    ProgressRecord {
        started: PackedSet::pack(&job.started, start, len),
        finished: PackedSet::pack(&job.finished, start, len),
        mean_ms: if first { job.mean_run().map_or(0, |m| (m * 1e3) as u64) } else { 0 },
        queue: if first { job.queue } else { None },
        machines: if first { NumberSet::pack(&job.machines) } else { NumberSet::default() },
    }
}

fn merge(into: &mut IntSet, from: &IntSet, part: u32) {
    let (start, len) = Job::part_range(part);
    PackedSet::pack(from, start, len).unpack(start, len, into);
}
