//! Renewal of the lease that the leader key is held under.

use crate::consts::*;
use crate::event::{ActionSink, OpId, Secs, StoreRequest};

/// A renewal of the lease that the store hasn't answered.
#[derive(Debug)]
struct PendingRenewal {
    op: OpId,
    sent: Secs,
}

/// When the lease is renewed, and how that goes.
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

    /// A leadership begins: the first renewal is due at once.
    pub(super) fn begin(&mut self, now: Secs) {
        self.failing = false;
        self.next_renewal = now;
    }

    /// Renews the lease, if it is time.
    pub(super) fn renew_if_due(&mut self, now: Secs, lease: u64, out: &mut ActionSink) {
        if self.pending.len() < RENEWALS_UNANSWERED_MAX && now >= self.next_renewal {
            let op = out.store(StoreRequest::KeepAlive(lease));
            self.pending.push(PendingRenewal { op, sent: now });
            self.next_renewal = now + KEEP_ALIVE_EVERY_S;
        }
    }

    /// If the answer is to a renewal: when that was sent.
    pub(super) fn answered(&mut self, op: OpId) -> Option<Secs> {
        let at = self.pending.iter().position(|renewal| renewal.op == op)?;
        Some(self.pending.remove(at).sent)
    }

    /// The renewal sent at that time was carried out.
    pub(super) fn renewed(&mut self, sent: Secs) {
        self.next_renewal = self.next_renewal.max(sent + KEEP_ALIVE_EVERY_S);
        self.failing = false;
    }

    /// A renewal failed, or its answer is lost.
    pub(super) fn failed(&mut self, now: Secs) {
        self.next_renewal = self.next_renewal.min(now + STORE_RETRY_S);
        self.failing = true;
    }

    /// Waits for no answer any more.
    pub(super) fn abandon(&mut self) {
        self.pending.clear();
    }
}

/// Until when a lease that was asked for or renewed at `sent` surely lives.
pub(super) fn certain_until(sent: Secs) -> Secs {
    sent + LEADER_LEASE_S * (1.0 - DRIFT) - LEADER_LEASE_MARGIN_S
}
