//! Raising the fencing token within a leadership.
//!
//! The token of a new leader is the term, raised in the transaction that sets the leader key.
//! A leader in office may raise the stored counter again, on condition that its leader key
//! still has the version that its election gave it, and use the higher number as a token for
//! some workers: whatever carries a lower one is refused there once they have seen it. Nobody
//! else can have taken that number, as whoever is elected next raises the counter further.
//! A number counts as ours only when the answer to our transaction said so: after a lost
//! answer the counter is read again and raised once more.

use crate::consts::STORE_RETRY_S;
use crate::event::{ActionSink, OpId, Secs, StoreRequest, StoreResult};
use marblebarrow_proto::cbor::{from_value, to_value};
use marblebarrow_proto::records::{LEADER, TERM, TermRecord};
use marblebarrow_proto::wire::{Cond, Item, Txn, Write};

/// The stored counter as last seen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Counter {
    value: u64,
    version: u64,
}

/// What is under way at the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Reading(OpId),
    Raising { op: OpId, fencing_token: u64 },
}

/// What an answer of the state service meant for the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaiseOutcome {
    /// It was the answer to something else.
    NotOurs,
    /// No higher token yet.
    NotYet,
    /// This token is ours from now on.
    Raised(u64),
    /// The leader key has changed: we no longer lead.
    NotLeading,
}

/// The tokens that a leadership may use, and how it gets higher ones.
#[derive(Debug)]
pub struct FencingToken {
    /// Version of the leader key.
    leader_version: u64,
    highest: u64,
    counter: Option<Counter>,
    step: Option<Step>,
    not_before: Secs,
}

impl FencingToken {
    /// The tokens of a leadership that has just begun: its term alone.
    pub fn new(term: u64, leader_version: u64) -> Self {
        Self { leader_version, highest: term, counter: None, step: None, not_before: 0.0 }
    }

    /// The highest token that is surely ours.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Asks for a higher token, unless one is on its way or was asked for less than `pause`
    /// seconds ago. Returns how many keys of the store this changes.
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
                self.step = Some(Step::Reading(out.store(StoreRequest::Get(TERM.into()))));
                1
            }
        }
    }

    fn commit(&mut self, counter: Counter, out: &mut ActionSink) {
        let token = counter.value.max(self.highest) + 1;
        let txn = Txn {
            conds: vec![
                Cond { key: LEADER.into(), version: self.leader_version },
                Cond { key: TERM.into(), version: counter.version },
            ],
            writes: vec![Write::Put {
                key: TERM.into(),
                value: to_value(&TermRecord { term: token }),
                lease: None,
            }],
        };
        let op = out.store(StoreRequest::Commit(txn));
        self.step = Some(Step::Raising { op, fencing_token: token });
    }

    /// The state service answered.
    pub fn answered(
        &mut self,
        now: Secs,
        op: OpId,
        result: &StoreResult,
        out: &mut ActionSink,
    ) -> RaiseOutcome {
        match self.step {
            Some(Step::Reading(read)) if read == op => {
                self.step = None;
                self.counter_read(now, result, out);
                RaiseOutcome::NotYet
            }
            Some(Step::Raising { op: sent, fencing_token: token }) if sent == op => {
                self.step = None;
                self.raised(now, token, result)
            }
            _ => RaiseOutcome::NotOurs,
        }
    }

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

    fn raised(&mut self, now: Secs, token: u64, result: &StoreResult) -> RaiseOutcome {
        match result {
            StoreResult::Committed(version) => {
                self.highest = token;
                self.counter = Some(Counter { value: token, version: *version });
                RaiseOutcome::Raised(token)
            }
            StoreResult::Conflict(keys) if keys.iter().any(|key| key == LEADER) => {
                RaiseOutcome::NotLeading
            }
            // Perhaps carried out, now or later: the counter is read again.
            _ => {
                self.counter = None;
                self.not_before = now + STORE_RETRY_S;
                RaiseOutcome::NotYet
            }
        }
    }
}
