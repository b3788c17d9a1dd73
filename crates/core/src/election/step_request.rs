//! A request of an election, which is sent once more if no answer comes soon.
//!
//! Each may be carried out twice without harm: a lease that nobody uses ends by itself, a read
//! changes nothing, of two equal transactions that take the leader key one fails, and a lease
//! that was ended is ended.

use crate::consts::ELECTION_RESEND_S;
use crate::event::{ActionSink, OpId, Secs, StoreRequest};

/// A request and its copies that the store hasn't answered.
#[derive(Debug, Default)]
pub(super) struct StepRequest {
    request: Option<StoreRequest>,
    unanswered: Vec<OpId>,
    sent: Secs,
    resent: bool,
}

impl StepRequest {
    /// The request of the next step; answers to an earlier one count no more.
    pub(super) fn send(&mut self, now: Secs, request: StoreRequest, out: &mut ActionSink) {
        let op = out.store(request.clone());
        *self = Self { request: Some(request), unanswered: vec![op], sent: now, resent: false };
    }

    /// Waits for no answer any more.
    pub(super) fn abandon(&mut self) {
        *self = Self::default();
    }

    /// Sends a copy, once, if no answer has come for a while. An answer that says that the request
    /// may not have been carried out counts as one: the caller decides what follows.
    pub(super) fn resend_if_due(&mut self, now: Secs, out: &mut ActionSink) {
        let due = !self.resent && !self.unanswered.is_empty();
        if !due || now - self.sent < ELECTION_RESEND_S {
            return;
        }
        let Some(request) = &self.request else { return };
        self.unanswered.push(out.store(request.clone()));
        self.resent = true;
    }

    /// Whether the answer is to this request or a copy of it.
    pub(super) fn answered(&mut self, op: OpId) -> bool {
        let before = self.unanswered.len();
        self.unanswered.retain(|unanswered| *unanswered != op);
        self.unanswered.len() < before
    }

    /// Whether another answer may still come.
    pub(super) fn is_open(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Whether it was sent more than once.
    pub(super) fn was_resent(&self) -> bool {
        self.resent
    }
}
