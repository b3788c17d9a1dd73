//! The leader's records: written in batches, one transaction at a time, each
//! conditional on the leader key and on every record's version, so that one
//! applied late changes nothing.

use crate::consts::*;
use crate::event::{OpId, Out, Secs, StoreRequest, StoreResult};
use crate::facts::Facts;
use crate::fleet::{Machine, Recorded};
use crate::jobs::{Job, Outcome, Phase};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::cbor::{encode, from_value, to_value};
use marblebarrow_proto::ids::{Attempt, JobId, MachineId, TaskId};
use marblebarrow_proto::intset::{IntSet, PackedSet};
use marblebarrow_proto::records::{self, *};
use marblebarrow_proto::wire::{Cond, Txn, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One record of a transaction.
#[derive(Debug)]
enum Entry {
    Part { job: JobId, part: u32, started: IntSet, finished: IntSet, machines: BTreeSet<MachineId> },
    Machine(MachineId),
    MachineGone(MachineId),
    Close { job: JobId, cancelled: bool, tasks: u32 },
    Types,
}

/// What waits to be written.
#[derive(Debug)]
pub(crate) struct Writer {
    parts: BTreeSet<(JobId, u32)>,
    machines: BTreeSet<MachineId>,
    gone: BTreeMap<MachineId, u64>,
    closing: BTreeSet<JobId>,
    closed: VecDeque<(JobId, u64)>,
    running: Option<(OpId, Vec<Entry>)>,
    /// Keys whose version must be read again, and the read under way.
    resync: VecDeque<(String, Entry)>,
    reading: Option<OpId>,
    budget: f64,
    rate: f64,
    refilled: Secs,
    next: Secs,
    types_key: String,
}

impl Writer {
    pub(crate) fn new(facts: &Facts, now: Secs) -> Self {
        let rate = facts.store_write_rps * LEADER_WRITE_SHARE;
        Self {
            parts: BTreeSet::new(),
            machines: BTreeSet::new(),
            gone: BTreeMap::new(),
            closing: BTreeSet::new(),
            closed: VecDeque::new(),
            running: None,
            resync: VecDeque::new(),
            reading: None,
            budget: rate,
            rate,
            refilled: now,
            next: now,
            types_key: String::new(),
        }
    }

    /// A task's started or finished mark changed.
    pub(crate) fn touch_task(&mut self, id: &JobId, n: u32) {
        // Part 0 also names the machines.
        self.parts.insert((id.clone(), 0));
        self.parts.insert((id.clone(), n / PART_TASKS));
        // Marks made ahead may reach into the next part.
        self.parts.insert((id.clone(), n.saturating_add(START_AHEAD) / PART_TASKS));
    }

    /// A machine is about to get a task: it must be recorded first.
    pub(crate) fn want_machine(&mut self, id: &MachineId, m: &Machine) {
        if m.recorded == Recorded::No || m.dirty {
            self.machines.insert(id.clone());
        }
    }

    /// A machine is gone for good.
    pub(crate) fn machine_gone(&mut self, id: &MachineId, recorded: Recorded) {
        self.machines.remove(id);
        if let Recorded::Yes(version) = recorded {
            self.gone.insert(id.clone(), version);
        }
    }

    /// A job may be ready to be closed.
    pub(crate) fn close(&mut self, id: &JobId) {
        self.closing.insert(id.clone());
    }

    /// Whether that very job was closed: the watch may still show it.
    pub(crate) fn closed(&self, id: &JobId, version: u64) -> bool {
        self.closed.iter().any(|(j, v)| j == id && *v == version)
    }
}

impl Leader {
    /// Sends the next transaction, if one is due.
    pub(crate) fn flush(&mut self, now: Secs, replica: &Replica, out: &mut Out) {
        let w = &mut self.writer;
        w.budget = (w.budget + (now - w.refilled) * w.rate).min(w.rate);
        w.refilled = now;
        if w.running.is_some() || w.reading.is_some() || now < w.next {
            return;
        }
        if let Some((key, _)) = w.resync.front() {
            w.reading = Some(out.store(StoreRequest::Get(key.clone())));
            return;
        }
        for (id, m) in &self.machines {
            if m.dirty {
                w.machines.insert(id.clone());
            }
        }
        let (txn, entries) = self.batch(now, replica);
        if txn.writes.is_empty() {
            return;
        }
        let w = &mut self.writer;
        w.budget -= txn.writes.len() as f64;
        w.next = now + FLUSH_EVERY_S;
        let op = out.store(StoreRequest::Commit(txn));
        w.running = Some((op, entries));
    }

    fn batch(&mut self, now: Secs, replica: &Replica) -> (Txn, Vec<Entry>) {
        let mut txn = Txn {
            conds: vec![Cond { key: LEADER.into(), version: self.version }],
            writes: Vec::new(),
        };
        let mut entries = Vec::new();
        let room = (self.facts.store_txn_ops).min(self.writer.budget.max(0.0) as usize);
        let mut bytes = 0;
        let put = |txn: &mut Txn, key: String, version: u64, value| {
            txn.conds.push(Cond { key: key.clone(), version });
            txn.writes.push(Write::Put { key, value, grant: None });
        };
        // Machines first: starts wait for them. Then progress, then the rest.
        for id in self.writer.machines.clone() {
            let Some(m) = self.machines.get_mut(&id) else {
                self.writer.machines.remove(&id);
                continue;
            };
            if txn.writes.len() + 1 > room {
                break;
            }
            let version = match m.recorded {
                Recorded::Yes(v) => v,
                Recorded::No => 0,
            };
            m.dirty = false;
            put(&mut txn, machine_key(&id), version, to_value(&m.info));
            self.writer.machines.remove(&id);
            entries.push(Entry::Machine(id));
        }
        for (id, part) in self.writer.parts.clone() {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.closing) else {
                self.writer.parts.remove(&(id, part));
                continue;
            };
            // A job that is complete is closed instead.
            if job.complete() || part as usize >= job.parts.len() {
                self.writer.parts.remove(&(id, part));
                continue;
            }
            if txn.writes.len() + 1 > room || bytes > TXN_BYTES {
                break;
            }
            let record = pack(job, part);
            let value = to_value(&record);
            bytes += encode(&value).len();
            put(&mut txn, progress_key(&id, part), job.parts[part as usize], value);
            entries.push(Entry::Part {
                job: id.clone(),
                part,
                started: job.started.clone(),
                finished: job.finished.clone(),
                machines: job.machines.clone(),
            });
            self.writer.parts.remove(&(id, part));
        }
        for id in self.writer.closing.clone() {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.writer.closing.remove(&id);
                continue;
            };
            let cancelled = job.cancelled;
            let over = if cancelled {
                job.live.is_empty() && job.limbo.is_empty()
            } else {
                job.complete()
            };
            if !over || job.closing {
                self.writer.closing.remove(&id);
                continue;
            }
            let needs = 3 + job.parts.len();
            // A transaction holds the records of any job: 13 parts at most.
            if txn.writes.len() + needs > room && !(txn.writes.is_empty() && room >= needs) {
                continue;
            }
            let spec = &job.record.spec;
            txn.conds.push(Cond { key: spec_key(&id), version: job.spec_version });
            if !cancelled {
                let end = EndRecord { cancelled: false, tasks: spec.tasks };
                put(&mut txn, end_key(&id), 0, to_value(&end));
            } else {
                txn.writes.push(Write::Delete { key: cut_key(&id) });
            }
            txn.writes.push(Write::Delete { key: spec_key(&id) });
            for (part, version) in job.parts.iter().enumerate().filter(|(_, v)| **v != 0) {
                let key = progress_key(&id, part as u32);
                txn.conds.push(Cond { key: key.clone(), version: *version });
                txn.writes.push(Write::Delete { key });
            }
            job.closing = true;
            entries.push(Entry::Close { job: id.clone(), cancelled, tasks: spec.tasks });
            self.writer.closing.remove(&id);
        }
        let gone: Vec<(MachineId, u64)> =
            self.writer.gone.iter().map(|(id, v)| (id.clone(), *v)).collect();
        for (id, version) in gone {
            if txn.writes.len() + 1 > room {
                break;
            }
            let key = machine_key(&id);
            txn.conds.push(Cond { key: key.clone(), version });
            txn.writes.push(Write::Delete { key });
            entries.push(Entry::MachineGone(id));
        }
        self.types_entry(now, replica, room, &mut txn, &mut entries);
        (txn, entries)
    }

    // The machine types, without their moving prices, for controllers that
    // start while the cloud is down.
    fn types_entry(
        &mut self,
        _now: Secs,
        replica: &Replica,
        room: usize,
        txn: &mut Txn,
        entries: &mut Vec<Entry>,
    ) {
        let names: String = self.hire.types.iter().map(|t| format!("{} ", t.name)).collect();
        if self.hire.types.is_empty() || self.writer.types_key == names || txn.writes.len() >= room
        {
            return;
        }
        self.writer.types_key = names;
        if replica.types.as_ref().is_some_and(|t| t.len() == self.hire.types.len()) {
            return;
        }
        txn.conds.push(Cond { key: TYPES.into(), version: replica.types_version });
        txn.writes.push(Write::Put {
            key: TYPES.into(),
            value: to_value(&self.hire.types),
            grant: None,
        });
        entries.push(Entry::Types);
    }

    /// A transaction or a read of ours was answered. False: we don't lead.
    pub(crate) fn written(
        &mut self,
        now: Secs,
        op: OpId,
        result: StoreResult,
        out: &mut Out,
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
                entries.into_iter().for_each(|e| self.entry_again(e));
            }
            // Perhaps executed, or a version wasn't what we thought: read each.
            _ => {
                self.writer.next = now + STORE_RETRY_S;
                for entry in entries {
                    if let Entry::Close { job, .. } = &entry {
                        self.resync_parts(&job.clone());
                    }
                    let key = match &entry {
                        Entry::Part { job, part, .. } => progress_key(job, *part),
                        Entry::Machine(id) | Entry::MachineGone(id) => machine_key(id),
                        Entry::Close { job, cancelled: false, .. } => end_key(job),
                        Entry::Close { job, .. } => spec_key(job),
                        Entry::Types => TYPES.into(),
                    };
                    self.writer.resync.push_back((key, entry));
                }
            }
        }
        true
    }

    // A close depends on the version of every part.
    fn resync_parts(&mut self, id: &JobId) {
        let parts = self.jobs.get(id).map_or(0, |j| j.parts.len() as u32);
        for part in 0..parts {
            let entry = Entry::Part {
                job: id.clone(),
                part,
                started: IntSet::new(),
                finished: IntSet::new(),
                machines: BTreeSet::new(),
            };
            self.writer.resync.push_back((progress_key(id, part), entry));
        }
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
            Entry::Machine(id) => {
                if let Some(m) = self.machines.get_mut(&id) {
                    m.recorded = Recorded::Yes(version);
                    m.push = true;
                } else {
                    // Gone while its record was written.
                    self.writer.gone.insert(id, version);
                }
            }
            Entry::MachineGone(id) => {
                self.writer.gone.remove(&id);
            }
            Entry::Close { job, cancelled, tasks } => self.closed(now, &job, cancelled, tasks),
            Entry::Types => {}
        }
    }

    fn closed(&mut self, now: Secs, id: &JobId, cancelled: bool, tasks: u32) {
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
        self.writer.closed.push_back((id.clone(), job.spec_version));
        if self.writer.closed.len() > FINALS_KEPT {
            self.writer.closed.pop_front();
        }
        self.finals.push((id.clone(), EndRecord { cancelled, tasks }));
        self.log.push(format!(
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
                    self.writer.parts.insert((job, part));
                }
            }
            Entry::Machine(id) => match self.machines.get_mut(&id) {
                Some(m) => {
                    m.recorded = if version == 0 { Recorded::No } else { Recorded::Yes(version) };
                    if version == 0 {
                        self.writer.machines.insert(id);
                    } else {
                        m.push = true;
                    }
                }
                None if version != 0 => {
                    self.writer.gone.insert(id, version);
                }
                None => {}
            },
            Entry::MachineGone(id) => {
                if version == 0 {
                    self.writer.gone.remove(&id);
                } else {
                    self.writer.gone.insert(id, version);
                }
            }
            Entry::Close { job, cancelled: false, tasks } => {
                match value.as_ref().map(from_value::<EndRecord>) {
                    Some(Ok(end)) if end.cancelled => {
                        // A user's cancel came first.
                        if let Some(j) = self.jobs.get_mut(&job) {
                            j.closing = false;
                        }
                        self.cut(now, &job);
                    }
                    Some(_) => self.closed(now, &job, false, tasks),
                    None => self.entry_again(Entry::Close { job, cancelled: false, tasks }),
                }
            }
            Entry::Close { job, cancelled, tasks } => {
                if value.is_none() {
                    self.closed(now, &job, cancelled, tasks);
                } else {
                    self.entry_again(Entry::Close { job, cancelled, tasks });
                }
            }
            Entry::Types => {}
        }
    }

    fn entry_again(&mut self, entry: Entry) {
        match entry {
            Entry::Part { job, part, .. } => {
                self.writer.parts.insert((job, part));
            }
            Entry::Machine(id) => {
                self.writer.machines.insert(id);
            }
            Entry::MachineGone(_) => {}
            Entry::Close { job, .. } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.closing = false;
                }
                self.writer.closing.insert(job);
            }
            Entry::Types => self.writer.types_key.clear(),
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
        machines: if first { job.machines.iter().cloned().collect() } else { Vec::new() },
    }
}

fn merge(into: &mut IntSet, from: &IntSet, part: u32) {
    let (start, len) = Job::part_range(part);
    PackedSet::pack(from, start, len).unpack(start, len, into);
}
