//! Cancellations: recorded in this cell's store, or requested from the cell that owns the job.

use super::final_states::OnMissing;
use super::{Pending, RequestContext, UserApi, cancelled_status, terminal_status};
use crate::consts::*;
use crate::event::{ActionSink, Answer, ReplyTo, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{EndRecord, SpecRecord, cancel_key, end_key, spec_key};
use marblebarrow_proto::transfer::cancel_wanted_key;
use marblebarrow_proto::wire::{Condition, Txn, Write};

impl UserApi {
    pub(super) fn cancel(
        &mut self,
        context: &RequestContext<'_>,
        to: ReplyTo,
        id: JobId,
        out: &mut ActionSink,
    ) {
        if let Some(end) = self.terminal_states.get(&id) {
            return out.reply(to, Answer::Job(200, terminal_status(&id, end)));
        }
        // A direct or transitive dependency was cancelled, so the job never starts and has no task
        // to stop.
        if self.cascaded(context).contains(&id) {
            return out.reply(to, Answer::Job(200, cancelled_status(id)));
        }
        if context.store_unavailable {
            return out.reply(to, Answer::Unavailable(RETRY_STORE_S));
        }
        if !self.begin_write(to, out) {
            return;
        }
        match context.replica.specs.get(&id) {
            Some((record, version)) => {
                let record = record.clone();
                let wanted = context.replica.cancel_wanted.contains(&id);
                self.cancel_known(id, to, &record, *version, wanted, out);
            }
            None => {
                let op = out.store(StoreRequest::Get(spec_key(&id)));
                self.pending.insert(op, Pending::CancelRead(id, to));
            }
        }
    }

    /// Cancels a job whose spec is known. If the job may be in another cell, the cancellation is
    /// requested from that cell, unless it has already been requested (`wanted`).
    pub(super) fn cancel_known(
        &mut self,
        id: JobId,
        to: ReplyTo,
        record: &SpecRecord,
        version: u64,
        wanted: bool,
        out: &mut ActionSink,
    ) {
        if record.forward.is_none() {
            return self.write_cancel(id, to, version, record.spec.tasks, out);
        }
        // The user gets a reply now, so the request no longer counts as in progress. Only the cell
        // that owns the job can confirm the cancellation; the user has to retry until it has.
        self.writes -= 1;
        if !wanted {
            self.request_remote_cancel(&id, version, out);
        }
        out.reply(to, Answer::Unavailable(RETRY_OTHER_CELL_S));
    }

    /// Records for the leader that a job in another cell is to be cancelled.
    pub(super) fn request_remote_cancel(&mut self, id: &JobId, version: u64, out: &mut ActionSink) {
        let txn = Txn {
            conditions: vec![
                Condition { key: spec_key(id), version },
                Condition { key: end_key(id), version: 0 },
            ],
            writes: vec![Write::Put {
                key: cancel_wanted_key(id),
                value: to_value(&true),
                lease: None,
            }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::CancelWanted);
    }

    /// Sends the transaction that cancels a job; it writes the job's final state and its cancel mark.
    pub(super) fn write_cancel(
        &mut self,
        id: JobId,
        to: ReplyTo,
        version: u64,
        tasks: u32,
        out: &mut ActionSink,
    ) {
        let end = EndRecord { cancelled: true, tasks };
        let txn = Txn {
            conditions: vec![
                Condition { key: spec_key(&id), version },
                Condition { key: end_key(&id), version: 0 },
            ],
            writes: vec![
                Write::Put { key: end_key(&id), value: to_value(&end), lease: None },
                Write::Put { key: cancel_key(&id), value: to_value(&true), lease: None },
            ],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.pending.insert(op, Pending::Cancel(id, to, tasks));
    }

    /// Handles the reply to the read of the spec of a job to be cancelled.
    pub(super) fn cancelled_job_read(
        &mut self,
        id: JobId,
        to: ReplyTo,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        match result {
            StoreResult::Value(Some(item)) => match from_value::<SpecRecord>(&item.value) {
                Ok(record) => self.cancel_known(id, to, &record, item.version, false, out),
                Err(_) => self.write_cancel(id, to, item.version, 0, out),
            },
            StoreResult::Value(None) => {
                self.writes -= 1;
                self.read_end(id, to, OnMissing::NotFound, out);
            }
            _ => {
                self.writes -= 1;
                out.reply(to, Answer::Unavailable(RETRY_STORE_S));
            }
        }
    }

    /// Handles the outcome of the transaction that cancels a job of this many tasks.
    pub(super) fn cancel_written(
        &mut self,
        id: JobId,
        to: ReplyTo,
        tasks: u32,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        self.writes -= 1;
        match result {
            StoreResult::Committed(revision) => {
                let end = EndRecord { cancelled: true, tasks };
                out.reply(to, Answer::Job(200, terminal_status(&id, &end)));
                self.remember_version(&id, end, *revision);
            }
            StoreResult::Conflict(_) => self.read_end(id, to, OnMissing::Retry, out),
            _ => out.reply(to, Answer::Unavailable(RETRY_STORE_S)),
        }
    }
}
