//! Reports the ends of other cells' jobs to their home cells. A home cell normally polls once a
//! second. If it does not, for example because the link from it is cut, this cell includes the ends
//! in its own exchanges until the home cell has acknowledged them.

use super::{Cells, Pending};
use crate::event::{ActionSink, Secs, StoreRequest, StoreResult};
use crate::leader::Leader;
use crate::replica::Replica;
use marblebarrow_cells::message::{ENDS_REPORTED_MAX, EndedGuest};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::{CellName, JobId};
use marblebarrow_proto::records::{EndRecord, end_key};
use marblebarrow_proto::transfer::InboundRecord;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Seconds without a poll after which ends are reported to a home cell, which normally polls once a
/// second.
const POLL_OVERDUE_S: f64 = 1.5;
/// Limit on concurrent reads of end records, which are needed for jobs that ended before this
/// leader took over.
const END_READS_MAX: usize = 4;

/// The leader's knowledge of other cells' jobs that have ended here, and of the home cells that
/// poll for them.
#[derive(Debug)]
pub(super) struct GuestEnds {
    started_at: Secs,
    /// When each home cell last polled.
    polled: HashMap<CellName, Secs>,
    /// For each job whose end is durable, whether it was cancelled.
    ends: HashMap<JobId, bool>,
    /// Jobs whose end record is being read.
    reading: BTreeSet<JobId>,
    /// How often the end of each job has been reported. Those reported least often come first.
    reported: HashMap<JobId, u32>,
}

impl GuestEnds {
    pub(super) fn new(now: Secs) -> Self {
        Self {
            started_at: now,
            polled: HashMap::new(),
            ends: HashMap::new(),
            reading: BTreeSet::new(),
            reported: HashMap::new(),
        }
    }

    /// Records that a home cell polled.
    pub(super) fn polled(&mut self, now: Secs, home: &CellName) {
        self.polled.insert(home.clone(), now);
    }

    fn home_not_polling(&self, now: Secs, home: &CellName) -> bool {
        now - self.polled.get(home).copied().unwrap_or(self.started_at) > POLL_OVERDUE_S
    }

    /// Starts a read of a job's end record, unless it is already being read or the limit on
    /// concurrent reads is reached. Returns whether the read may be sent.
    fn begin_read(&mut self, job: &JobId) -> bool {
        self.reading.len() < END_READS_MAX && self.reading.insert(job.clone())
    }

    /// Records that the end of another cell's job is durable.
    pub(super) fn record_end(&mut self, job: &JobId, cancelled: bool) {
        self.ends.insert(job.clone(), cancelled);
    }

    /// Discards jobs whose end the home cell has acknowledged.
    fn retain_guests(&mut self, guests: &BTreeMap<JobId, (InboundRecord, u64)>) {
        self.ends.retain(|job, _| guests.contains_key(job));
        self.reported.retain(|job, _| guests.contains_key(job));
    }
}

impl Leader {
    /// Returns the ends to report to a home cell in the next exchange; empty while the home cell
    /// polls.
    pub(super) fn ends_to_report(
        &mut self,
        now: Secs,
        home: &CellName,
        replica: &Replica,
        out: &mut ActionSink,
    ) -> Vec<EndedGuest> {
        let Some(Cells { guest_ends, outbound, pending, .. }) = &mut self.cells else {
            return Vec::new();
        };
        guest_ends.retain_guests(&replica.inbound);
        if !guest_ends.home_not_polling(now, home) {
            return Vec::new();
        }
        let mut ended = Vec::new();
        let guests =
            replica.inbound.iter().filter(|(_, (record, _))| record.transfer.home == *home);
        for (job, (record, _)) in guests.filter(|(job, _)| !self.jobs.contains_key(*job)) {
            // The cancellation mark is written in the same transaction as the end.
            let cancelled = replica.is_cancelled(job).then_some(true);
            if let Some(cancelled) = guest_ends.ends.get(job).copied().or(cancelled) {
                let (job, transfer) = (job.clone(), record.transfer.clone());
                ended.push(EndedGuest { job, transfer, cancelled });
            } else if guest_ends.begin_read(job) {
                let op = out.store(StoreRequest::Get(end_key(job)));
                pending.insert(op, Pending::ReadGuestEnd { job: job.clone() });
            }
        }
        let times_reported =
            |ended: &EndedGuest| guest_ends.reported.get(&ended.job).copied().unwrap_or(0);
        ended.sort_by_key(times_reported);
        let more = ended.get(ENDS_REPORTED_MAX).is_some_and(|next| times_reported(next) == 0);
        ended.truncate(ENDS_REPORTED_MAX);
        for ended in &ended {
            *guest_ends.reported.entry(ended.job.clone()).or_default() += 1;
        }
        if more {
            outbound.expedite_next_exchange(home);
        }
        ended
    }

    /// Records that the end of another cell's job is durable in this cell.
    pub(crate) fn record_guest_end(&mut self, job: &JobId, cancelled: bool) {
        if let Some(Cells { guest_ends, .. }) = &mut self.cells {
            guest_ends.record_end(job, cancelled);
        }
    }

    /// Handles the answer to a read of an end record. A failed read is repeated when ends are next
    /// reported to the home cell.
    pub(super) fn guest_end_read(&mut self, job: &JobId, result: &StoreResult) {
        let Some(Cells { guest_ends, .. }) = &mut self.cells else { return };
        guest_ends.reading.remove(job);
        if let StoreResult::Value(Some(item)) = result
            && let Ok(end) = from_value::<EndRecord>(&item.value)
        {
            guest_ends.record_end(job, end.cancelled);
        }
    }

    /// Handles the ends of this cell's jobs that another cell reports. They are made durable in the
    /// same way as the ends returned by a poll.
    pub(super) fn ends_reported(
        &mut self,
        now: Secs,
        cell: &CellName,
        ended: &[EndedGuest],
        replica: &Replica,
        out: &mut ActionSink,
    ) {
        let Some(cells) = &mut self.cells else { return };
        for ended in ended {
            let job = &ended.job;
            match cells.outbound.end_reported(cell, ended) {
                Ok(true) => {
                    self.log.debug(|| format!("event=end_heard job={job} cell={cell} told"))
                }
                Ok(false) => {}
                // The end is already durable here, and the reporting cell has not yet seen the
                // acknowledgement.
                Err(_) if awaits_acknowledgement(replica, cell, ended) => {}
                Err(error) => {
                    cells.counts.bad_requests += 1;
                    let log = || format!("event=end_refused job={job} cell={cell} why=\"{error}\"");
                    self.log.debug(log);
                }
            }
        }
        self.record_ends(now, replica, out);
    }
}

/// Returns whether the reported end is durable here and awaits acknowledgement to the reporting
/// cell.
fn awaits_acknowledgement(replica: &Replica, cell: &CellName, ended: &EndedGuest) -> bool {
    let record = replica.acknowledge.get(&ended.job).map(|(record, _)| record);
    record.is_some_and(|record| record.target == *cell && record.transfer == ended.transfer)
}
