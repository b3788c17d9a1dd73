//! Rate and size limits of the simulated state service, if a run sets any.

use super::*;
use marblebarrow_proto::records::{LEADER_KEY, SPECS_PREFIX};

/// Limits of the state service. Both rates allow bursts of one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Requests per second, watches not counted.
    pub requests_per_s: f64,
    /// Puts and deletes per second, those of failed transactions included.
    pub changes_per_s: f64,
    /// Puts and deletes in a transaction. It may have four times as many conditions.
    pub changes_per_transaction: usize,
    /// Bytes of a value encoded as JSON.
    pub value_bytes: usize,
    /// Whether the controllers' settings name these limits. If not, controllers notice them only by
    /// refused requests.
    pub announced: bool,
    /// The step from which the limits apply.
    pub from: u32,
}

/// Limits in the controllers' settings when a run announces no others.
const WIDE_LIMITS: StoreLimits = StoreLimits {
    requests_per_s: 200.0,
    changes_per_s: 60.0,
    changes_per_transaction: 16,
    value_bytes: 16 * 1024,
    announced: true,
    from: 0,
};

/// Token buckets of the rate limits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreBudget {
    requests: f64,
    changes: f64,
    refilled_at: f64,
}

impl World {
    /// The limits, once the step from which they apply is reached.
    fn limits_in_force(&self) -> Option<StoreLimits> {
        self.store_limits.filter(|limits| self.step >= limits.from)
    }

    /// The limits that the controllers' settings name.
    pub(super) fn limits_in_settings(&self) -> StoreLimits {
        self.store_limits.filter(|limits| limits.announced).unwrap_or(WIDE_LIMITS)
    }

    /// Whether a request is within the rate limits. If so, it is charged.
    pub(super) fn within_limits(&mut self, request: &StoreRequest) -> bool {
        let Some(limits) = self.limits_in_force() else { return true };
        let (now, budget) = (self.now(), &mut self.store_budget);
        let past = now - budget.refilled_at;
        let refill = |left: f64, rate: f64| (left + past * rate).min(rate);
        budget.requests = refill(budget.requests, limits.requests_per_s);
        budget.changes = refill(budget.changes, limits.changes_per_s);
        budget.refilled_at = now;
        let changes = match request {
            StoreRequest::Commit(txn) => txn.writes.len() as f64,
            _ => 0.0,
        };
        if budget.requests < 1.0 || budget.changes < changes {
            self.observed.store_refusals += 1;
            return false;
        }
        budget.requests -= 1.0;
        budget.changes -= changes;
        true
    }

    /// Counts a transaction that exceeds the size limits. If these are announced, the controllers
    /// must not exceed them, except with a submission: what users submit is theirs, and the state
    /// service may take it as long as the announced limits don't apply.
    pub(super) fn note_too_large(&mut self, txn: &Txn) {
        if accepts_submission(txn) {
            self.observed.submissions_rejected += 1;
            return;
        }
        self.observed.rejections += 1;
        if self.store_limits.is_some_and(|limits| limits.announced) {
            let key = txn.conditions.last().map(|cond| cond.key.clone());
            self.violations.push(format!("too large a transaction: {key:?}"));
        }
    }

    /// Whether a transaction exceeds the size limits of the state service.
    pub(super) fn too_large(&self, txn: &Txn) -> bool {
        let Some(limits) = self.limits_in_force() else { return false };
        let values = txn.writes.iter().map(|write| match write {
            Write::Put { value, .. } => cbor::json_len(value),
            Write::Delete { .. } => 0,
        });
        txn.writes.len() > limits.changes_per_transaction
            || txn.conditions.len() > CONDITIONS_PER_CHANGE * limits.changes_per_transaction
            || values.max().is_some_and(|bytes| bytes > limits.value_bytes)
    }
}

/// Conditions allowed in a transaction for each change allowed.
const CONDITIONS_PER_CHANGE: usize = 4;

/// Whether a transaction accepts a user's submission: it writes a job's spec and nothing else, and
/// isn't conditional on leadership.
fn accepts_submission(txn: &Txn) -> bool {
    let [Write::Put { key, .. }] = &txn.writes[..] else { return false };
    key.starts_with(SPECS_PREFIX) && txn.conditions.iter().all(|cond| cond.key != LEADER_KEY)
}
