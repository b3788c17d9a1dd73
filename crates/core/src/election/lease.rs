//! Renewal of the lease that holds the leader key.

use crate::consts::*;
use crate::event::{ActionSink, OpId, Secs, StoreRequest};

/// A renewal that the state service hasn't answered yet.
#[derive(Debug)]
struct PendingRenewal {
    op: OpId,
    sent: Secs,
}

/// Schedule and state of lease renewals.
#[derive(Debug, Default)]
pub(super) struct LeaseRenewal {
    pending: Vec<PendingRenewal>,
    next_renewal: Secs,
    failing: bool,
}

impl LeaseRenewal {
    /// Whether the last renewal failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Starts renewals for a new leadership; the first one is due at once.
    pub(super) fn start(&mut self, now: Secs) {
        self.failing = false;
        self.next_renewal = now;
    }

    /// Sends a renewal if one is due.
    pub(super) fn renew_if_due(&mut self, now: Secs, lease: u64, out: &mut ActionSink) {
        if self.pending.len() < RENEWALS_UNANSWERED_MAX && now >= self.next_renewal {
            let op = out.store(StoreRequest::KeepAlive(lease));
            self.pending.push(PendingRenewal { op, sent: now });
            self.next_renewal = now + KEEP_ALIVE_EVERY_S;
        }
    }

    /// Removes the pending renewal that `op` answers and returns when it was sent; `None` if `op`
    /// isn't a renewal.
    pub(super) fn take_answer(&mut self, op: OpId) -> Option<Secs> {
        let at = self.pending.iter().position(|renewal| renewal.op == op)?;
        Some(self.pending.remove(at).sent)
    }

    /// Records that the renewal sent at `sent` succeeded.
    pub(super) fn renewed(&mut self, sent: Secs) {
        self.next_renewal = self.next_renewal.max(sent + KEEP_ALIVE_EVERY_S);
        self.failing = false;
    }

    /// Records that a renewal failed or that its outcome is unknown.
    pub(super) fn failed(&mut self, now: Secs) {
        self.next_renewal = self.next_renewal.min(now + STORE_RETRY_S);
        self.failing = true;
    }

    /// Discards all pending renewals; late answers to them are ignored.
    pub(super) fn abandon(&mut self) {
        self.pending.clear();
    }
}

/// Until when a lease that was requested or renewed at `sent` is guaranteed to be valid, allowing
/// for clock drift.
pub(super) fn guaranteed_until(sent: Secs) -> Secs {
    sent + LEADER_LEASE_S * (1.0 - DRIFT) - LEADER_LEASE_MARGIN_S
}
