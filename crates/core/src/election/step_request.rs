//! A request of an election step, which is resent once if no answer arrives soon.
//!
//! Carrying out any of these requests twice is harmless: an unused lease expires by itself, a read
//! changes nothing, of two equal transactions that take the leader key one fails, and revoking a
//! lease is idempotent.

use crate::consts::ELECTION_RESEND_S;
use crate::event::{ActionSink, OpId, Secs, StoreRequest};

/// A request and its copies that the state service hasn't answered yet.
#[derive(Debug, Default)]
pub(super) struct StepRequest {
    request: Option<StoreRequest>,
    unanswered: Vec<OpId>,
    sent: Secs,
    resent: bool,
}

impl StepRequest {
    /// Sends the request of the next step; answers to an earlier request are ignored from now on.
    pub(super) fn send(&mut self, now: Secs, request: StoreRequest, out: &mut ActionSink) {
        let op = out.store(request.clone());
        *self = Self { request: Some(request), unanswered: vec![op], sent: now, resent: false };
    }

    /// Discards the request; late answers to it are ignored.
    pub(super) fn abandon(&mut self) {
        *self = Self::default();
    }

    /// Resends the request once if no answer has arrived for [`ELECTION_RESEND_S`]. An answer
    /// saying that the request may not have been carried out counts as an answer: the caller
    /// decides how to proceed.
    pub(super) fn resend_if_due(&mut self, now: Secs, out: &mut ActionSink) {
        let due = !self.resent && !self.unanswered.is_empty();
        if !due || now - self.sent < ELECTION_RESEND_S {
            return;
        }
        let Some(request) = &self.request else { return };
        self.unanswered.push(out.store(request.clone()));
        self.resent = true;
    }

    /// Whether `op` is this request or its copy; if so, marks it as answered.
    pub(super) fn take_answer(&mut self, op: OpId) -> bool {
        let before = self.unanswered.len();
        self.unanswered.retain(|unanswered| *unanswered != op);
        self.unanswered.len() < before
    }

    /// Whether another answer may still arrive.
    pub(super) fn awaits_answer(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Whether the request was sent more than once.
    pub(super) fn was_resent(&self) -> bool {
        self.resent
    }
}
