//! The limits of the stand-in of the state service, if a day sets some.

use super::*;

/// What the state service takes; see the protocol page. Both rates allow bursts of one
/// second's worth.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Requests a second, watches not counted.
    pub requests_per_s: f64,
    /// Puts and deletes a second, of failed transactions too.
    pub changes_per_s: f64,
    /// Puts and deletes in a transaction; four times as many conditions.
    pub changes_per_transaction: usize,
    /// Bytes of a value as JSON.
    pub value_bytes: usize,
    /// Whether the controllers' settings announce these limits. If not, they come upon them.
    pub announced: bool,
    /// The step from which on they are in force.
    pub from: u32,
}

/// What settings name that announce nothing else.
const WIDE_LIMITS: StoreLimits = StoreLimits {
    requests_per_s: 200.0,
    changes_per_s: 60.0,
    changes_per_transaction: 16,
    value_bytes: 16 * 1024,
    announced: true,
    from: 0,
};

/// What is left of the limits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreRoom {
    requests: f64,
    changes: f64,
    at: f64,
}

impl World {
    fn limits_in_force(&self) -> Option<StoreLimits> {
        self.store_limits.filter(|limits| self.step >= limits.from)
    }

    /// The limits that the controllers' settings name.
    pub(super) fn limits_in_settings(&self) -> StoreLimits {
        self.store_limits.filter(|limits| limits.announced).unwrap_or(WIDE_LIMITS)
    }

    /// Whether a request is within the limits; if so, it is counted.
    pub(super) fn within_limits(&mut self, request: &StoreRequest) -> bool {
        let Some(limits) = self.limits_in_force() else { return true };
        let (now, room) = (self.now(), &mut self.store_room);
        let past = now - room.at;
        let refill = |left: f64, rate: f64| (left + past * rate).min(rate);
        room.requests = refill(room.requests, limits.requests_per_s);
        room.changes = refill(room.changes, limits.changes_per_s);
        room.at = now;
        let changes = match request {
            StoreRequest::Commit(txn) => txn.writes.len() as f64,
            _ => 0.0,
        };
        if room.requests < 1.0 || room.changes < changes {
            self.met.store_refusals += 1;
            return false;
        }
        room.requests -= 1.0;
        room.changes -= changes;
        true
    }

    /// Whether a transaction is larger than the state service takes.
    pub(super) fn too_large(&self, txn: &Txn) -> bool {
        let Some(limits) = self.limits_in_force() else { return false };
        let values = txn.writes.iter().map(|write| match write {
            Write::Put { value, .. } => cbor::json_len(value),
            Write::Delete { .. } => 0,
        });
        txn.writes.len() > limits.changes_per_transaction
            || txn.conds.len() > CONDITIONS_PER_CHANGE * limits.changes_per_transaction
            || values.max().is_some_and(|bytes| bytes > limits.value_bytes)
    }
}

/// Conditions that a transaction may have for each change it may have.
const CONDITIONS_PER_CHANGE: usize = 4;
