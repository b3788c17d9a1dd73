//! Final states of jobs: read from the store, and remembered for later requests.

use super::{Pending, UserApi, terminal_status};
use crate::consts::{FINALS_KEPT, RETRY_STORE_S};
use crate::event::{ActionSink, Answer, DISCARD_REPLY, ReplyTo, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::from_value;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::records::{EndRecord, end_key};

/// What a user is told if a job has no final state.
#[derive(Debug, Clone, Copy)]
pub(super) enum OnMissing {
    /// That the job isn't found: there was no spec either, and the final state is written no
    /// later than in the transaction that removes the spec, so the job never existed.
    NotFound,
    /// To retry the request, as nothing is proven.
    Retry,
}

impl UserApi {
    /// Reads a job's final state from the store and remembers it.
    pub fn read_final_state(&mut self, id: JobId, out: &mut ActionSink) {
        self.read_end(id, DISCARD_REPLY, OnMissing::Retry, out);
    }

    /// The remembered final state of a job, which is confirmed to be in the store.
    pub fn terminal_state(&self, id: &JobId) -> Option<&EndRecord> {
        self.terminal_states.get(id)
    }

    /// Answers a user with a job's final state, read from the store.
    pub(super) fn read_end(
        &mut self,
        id: JobId,
        to: ReplyTo,
        on_missing: OnMissing,
        out: &mut ActionSink,
    ) {
        let op = out.store(StoreRequest::Get(end_key(&id)));
        self.pending.insert(op, Pending::End(id, to, on_missing));
    }

    /// Handles the store's reply to [`UserApi::read_end`].
    pub(super) fn end_read(
        &mut self,
        id: JobId,
        to: ReplyTo,
        on_missing: OnMissing,
        result: &StoreResult,
        out: &mut ActionSink,
    ) {
        let answer = match (result, on_missing) {
            (StoreResult::Value(Some(item)), _) => match from_value::<EndRecord>(&item.value) {
                Ok(end) => {
                    let status = terminal_status(&id, &end);
                    self.remember_version(&id, end, item.version);
                    Answer::Job(200, status)
                }
                Err(_) => Answer::Unavailable(RETRY_STORE_S),
            },
            (StoreResult::Value(None), OnMissing::NotFound) => Answer::NotFound,
            _ => Answer::Unavailable(RETRY_STORE_S),
        };
        out.reply(to, answer);
    }

    /// Remembers a final state read from or written to the store at this version. Users may be told
    /// of a cancellation from memory from now on, so it counts as confirmed.
    pub(super) fn remember_version(&mut self, id: &JobId, end: EndRecord, version: u64) {
        if end.cancelled {
            self.confirmed.push((id.clone(), version));
        }
        self.remember(id, end);
    }

    /// Remembers a final state that is confirmed to be in the store. Of more than
    /// [`FINALS_KEPT`], the oldest is dropped.
    pub fn remember(&mut self, id: &JobId, end: EndRecord) {
        self.progress.remove(id);
        if self.terminal_states.insert(id.clone(), end).is_none() {
            self.terminal_order.push_back(id.clone());
            if self.terminal_order.len() > FINALS_KEPT
                && let Some(old) = self.terminal_order.pop_front()
            {
                self.terminal_states.remove(&old);
            }
        }
    }

    /// Returns the cancellations confirmed since the last call, with their revisions.
    pub fn take_confirmed(&mut self) -> Vec<(JobId, u64)> {
        std::mem::take(&mut self.confirmed)
    }
}
