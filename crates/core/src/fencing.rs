//! Reserves higher fencing tokens during a leadership.
//!
//! The token of a new leader is its term; the stored counter is raised to it in the transaction
//! that sets the leader key. A leader may raise the counter again, on condition that its leader key
//! still has the version from its election, and use the numbers up to it as tokens for single
//! workers. Once a worker has seen one, the worker refuses everything that carries a lower token.
//! No other controller can own these numbers, as the next elected leader raises the counter
//! further. The leader uses them only after the answer to its transaction confirmed them: after a
//! lost answer it reads the counter again and raises it once more.
//!
//! The counter is raised by [`FENCING_TOKEN_BLOCK`] at a time, so that a higher token for a machine
//! rarely costs a change of the store.

use crate::consts::{FENCING_TOKEN_BLOCK, FENCING_TOKENS_LOW, STORE_RETRY_S};
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::records::{LEADER_KEY, TERM_KEY, TermRecord};
use marblebarrow_proto::wire::{Condition, Item, Txn, Write};

/// The stored counter as last read or written.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Counter {
    value: u64,
    version: u64,
}

/// The request in flight to the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RaiseStep {
    Reading(OpId),
    Raising { op: OpId, fencing_token: u64 },
}

/// What an answer of the state service means for the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaiseOutcome {
    /// The answer belongs to another request.
    Unrelated,
    /// There are no higher tokens yet.
    Pending,
    /// The leader may use all tokens up to this one from now on.
    Raised(u64),
    /// The leader key has changed: this controller is no longer the leader.
    NotLeading,
}

/// The fencing tokens that a leader may use, and the requests that obtain higher ones.
#[derive(Debug)]
pub struct FencingToken {
    /// Version of the leader key that the election gave it.
    leader_version: u64,
    highest: u64,
    counter: Option<Counter>,
    step: Option<RaiseStep>,
    /// Earliest time of the next request.
    not_before: Secs,
}

impl FencingToken {
    /// The tokens of a newly elected leader: its term alone.
    pub fn new(term: u64, leader_version: u64) -> Self {
        Self { leader_version, highest: term, counter: None, step: None, not_before: 0.0 }
    }

    /// The highest token that this leader is known to own.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Whether so few tokens above this one are left that more should be reserved.
    pub fn is_low_above(&self, token: u64) -> bool {
        self.highest < token + FENCING_TOKENS_LOW
    }

    /// Requests higher tokens, unless a request is in flight or the last one was made less than
    /// `pause` seconds ago. Returns how many keys of the store this changes.
    pub fn raise(&mut self, now: Secs, pause: Secs, out: &mut ActionSink) -> u32 {
        if self.step.is_some() || now < self.not_before {
            return 0;
        }
        self.not_before = now + pause;
        match self.counter {
            Some(counter) => {
                self.commit(counter, out);
                1
            }
            None => {
                self.step = Some(RaiseStep::Reading(out.store(StoreRequest::Get(TERM_KEY.into()))));
                1
            }
        }
    }

    /// Sends the transaction that raises the counter.
    fn commit(&mut self, counter: Counter, out: &mut ActionSink) {
        let token = counter.value.max(self.highest) + FENCING_TOKEN_BLOCK;
        let txn = Txn {
            conditions: vec![
                Condition { key: LEADER_KEY.into(), version: self.leader_version },
                Condition { key: TERM_KEY.into(), version: counter.version },
            ],
            writes: vec![Write::Put {
                key: TERM_KEY.into(),
                value: to_value(&TermRecord { term: token }),
                lease: None,
            }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.step = Some(RaiseStep::Raising { op, fencing_token: token });
    }

    /// Handles an answer of the state service.
    pub fn handle_answer(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> RaiseOutcome {
        match self.step {
            Some(RaiseStep::Reading(read)) if read == op => {
                self.step = None;
                self.counter_read(now, result, out);
                RaiseOutcome::Pending
            }
            Some(RaiseStep::Raising { op: sent, fencing_token: token }) if sent == op => {
                self.step = None;
                self.raised(now, token, result)
            }
            _ => RaiseOutcome::Unrelated,
        }
    }

    /// Handles the answer to a read of the counter.
    fn counter_read(&mut self, now: Secs, result: &StoreResult, out: &mut ActionSink) {
        let StoreResult::Value(Some(Item { value, version, .. })) = result else {
            self.not_before = now + STORE_RETRY_S;
            return;
        };
        let Ok(record) = from_value::<TermRecord>(value) else {
            self.not_before = now + STORE_RETRY_S;
            return;
        };
        let counter = Counter { value: record.term, version: *version };
        self.counter = Some(counter);
        self.commit(counter, out);
    }

    /// Handles the answer to the transaction that raises the counter.
    fn raised(&mut self, now: Secs, token: u64, result: &StoreResult) -> RaiseOutcome {
        match result {
            StoreResult::Committed(version) => {
                self.highest = token;
                self.counter = Some(Counter { value: token, version: *version });
                RaiseOutcome::Raised(token)
            }
            StoreResult::Conflict(keys) if keys.iter().any(|key| key == LEADER_KEY) => {
                RaiseOutcome::NotLeading
            }
            // May have been executed, or may be executed later: the counter is read again.
            _ => {
                self.counter = None;
                self.not_before = now + STORE_RETRY_S;
                RaiseOutcome::Pending
            }
        }
    }
}
