//! Takeover: a new leader loads the records. It restarts nothing that an earlier leader started
//! until every recorded machine that may run it has reported under the new term, was released, or
//! has had its lease expire since this leader was elected.

use crate::consts::{MIN_BILLING_S, STORE_RETRY_S};
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use crate::fleet::Machine;
use crate::jobs::Job;
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{
    MACHINES_PREFIX, MachineBlock, PROGRESS_PREFIX, ProgressRecord, parse_progress_key,
};
use marblebarrow_proto::wire::Item;
use std::collections::BTreeSet;

/// Progress of the reads of a new leader.
#[derive(Debug)]
pub(crate) struct Loading {
    op: Option<OpId>,
    retry_at: Secs,
    /// Whether the progress records are read, and the machine blocks are next.
    machines: bool,
    /// The last key read.
    after: String,
    progress_items: Vec<Item>,
    machine_items: Vec<Item>,
    complete: bool,
}

impl Leader {
    /// Sends the first read of the records.
    pub(crate) fn start_loading(&mut self, out: &mut ActionSink) {
        let op =
            out.store(StoreRequest::Range { prefix: PROGRESS_PREFIX.into(), after: String::new() });
        self.loading = Some(Loading {
            op: Some(op),
            retry_at: 0.0,
            machines: false,
            after: String::new(),
            progress_items: Vec::new(),
            machine_items: Vec::new(),
            complete: false,
        });
    }

    /// Sends the next read, or finishes loading once all records are read.
    pub(crate) fn keep_loading(
        &mut self,
        now: Secs,
        wall_ms: u64,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(l) = &mut self.loading else { return };
        if l.complete {
            return self.finish_loading(now, wall_ms, replica, out);
        }
        if l.op.is_none() && now >= l.retry_at {
            let prefix = if l.machines { MACHINES_PREFIX } else { PROGRESS_PREFIX };
            l.op = Some(
                out.store(StoreRequest::Range { prefix: prefix.into(), after: l.after.clone() }),
            );
        }
    }

    /// Handles the answer to a read of the records.
    pub(crate) fn loaded(
        &mut self,
        now: Secs,
        wall_ms: u64,
        op: OpId,
        result: StoreResult,
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(l) = &mut self.loading else { return };
        if l.op != Some(op) {
            return;
        }
        l.op = None;
        let StoreResult::Page(page) = result else {
            l.retry_at = now + STORE_RETRY_S;
            return;
        };
        l.after = page.items.last().map_or_else(String::new, |i| i.key.clone());
        let items = if l.machines { &mut l.machine_items } else { &mut l.progress_items };
        items.extend(page.items);
        if !page.more {
            l.after.clear();
            if l.machines {
                l.complete = true;
            }
            l.machines = true;
        }
        self.keep_loading(now, wall_ms, replica, out);
    }

    /// Builds the state of the leader from the records read. The replica of the watched keys must
    /// have reached this leader's election first: only then does it hold every job accepted
    /// before, and later jobs arrive as changes.
    fn finish_loading(&mut self, now: Secs, wall_ms: u64, replica: &Replica, out: &mut ActionSink) {
        if replica.leader.as_ref().is_none_or(|(_, v)| *v < self.version) {
            return;
        }
        let Some(l) = self.loading.take() else { return };
        let ids: Vec<JobId> = replica.specs.keys().cloned().collect();
        for id in &ids {
            self.apply_job_record(now, wall_ms, id, replica);
        }
        for item in l.progress_items {
            let Some((id, part)) = parse_progress_key(&item.key) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                // Either its job has ended, or the watch event of the job is still to come; in
                // the latter case the condition on the record's version makes the deletion fail.
                if !replica.specs.contains_key(&id) {
                    self.writer.discard(item.key, item.version);
                }
                continue;
            };
            if let Ok(record) = from_value::<ProgressRecord>(&item.value) {
                restore(job, part, item.version, &record);
            }
        }
        for (id, job) in &mut self.jobs {
            job.maybe_running = job.started.iter().filter(|n| !job.finished.contains(*n)).collect();
            if job.complete() {
                self.writer.close(id, now);
            }
        }
        for item in l.machine_items {
            let Some(block) = item.key.strip_prefix(MACHINES_PREFIX).and_then(|b| b.parse().ok())
            else {
                continue;
            };
            let Ok(found) = from_value::<MachineBlock>(&item.value) else {
                continue;
            };
            let members = found.machines.iter().map(|(id, _)| id.clone()).collect();
            self.writer.add_loaded_block(block, item.version, members);
            for (id, info) in found.machines {
                self.next_number = self.next_number.max(info.number);
                let mut m = Machine::new(info, now);
                m.recorded = true;
                m.block = Some(block);
                // Assumes that the minimum bill is mostly paid. Otherwise a fleet that idles
                // after a takeover is kept for half a minute too long.
                m.first_heard = now - MIN_BILLING_S;
                // Shows the worker the new token, so that it refuses older commands still in
                // flight and answers with a complete report.
                m.probe_due = true;
                self.machines.insert(id, m);
            }
        }
        // Jobs' records may still contain the numbers of removed machines, so these numbers
        // are not assigned again.
        let recorded = self.jobs.values().filter_map(|j| j.machines.bounds()).map(|(_, last)| last);
        self.next_number = recorded.fold(self.next_number, u32::max);
        self.apply_machine_types();
        self.log.debug(|| {
            format!(
                "event=loaded term={} jobs={} machines={}",
                self.term.0,
                self.jobs.len(),
                self.machines.len()
            )
        });
        self.push_direct(now, out);
    }

    /// Allows the tasks of a job to be started again once no machine that may run them is
    /// unaccounted for, and ends the recovery once all recorded machines are accounted for.
    pub(crate) fn check_recovered(&mut self, now: Secs) {
        if !self.recovering {
            return;
        }
        // A job's tasks can only be on the machines that its record names, so an unreachable
        // machine delays no other jobs.
        let unaccounted: BTreeSet<u32> = self
            .machines
            .values()
            .filter(|m| m.recorded && !m.confirmed)
            .map(|m| m.info.number)
            .collect();
        let mut freed = 0;
        for (id, job) in &mut self.jobs {
            if job.maybe_running.is_empty() || unaccounted.iter().any(|m| job.machines.contains(*m))
            {
                continue;
            }
            for n in std::mem::take(&mut job.maybe_running) {
                job.retry_at.insert(n, now);
                freed += 1;
            }
            if job.cancelled {
                self.writer.close(id, now);
            }
        }
        if freed > 0 {
            self.place_due = true;
            self.log.debug(|| format!("event=freed term={} tasks={freed}", self.term.0));
        }
        if unaccounted.is_empty() {
            self.recovering = false;
            self.log.debug(|| format!("event=recovered term={}", self.term.0));
        }
    }
}

/// Restores one part of a job's progress from its record.
fn restore(job: &mut Job, part: u32, version: u64, record: &ProgressRecord) {
    let Some(slot) = job.parts.get_mut(part as usize) else {
        return;
    };
    *slot = version;
    let (start, len) = Job::part_range(part);
    record.started.unpack(start, len, &mut job.started);
    record.finished.unpack(start, len, &mut job.finished);
    record.started.unpack(start, len, &mut job.stored_started);
    record.finished.unpack(start, len, &mut job.stored_finished);
    if part == 0 && record.mean_ms > 0 {
        // The recorded mean counts as one sample until new ones arrive.
        job.runs = (1, record.mean_ms as f64 / 1e3);
    }
    if part == 0 {
        job.machines = record.machines.unpack();
        job.stored_machines.clone_from(&job.machines);
    }
    if part == 0 && record.queue.is_some() {
        job.queue = record.queue;
    }
}
