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
    /// Bytes of a cascade list's value, as JSON.
    pub list_bytes: usize,
}

/// What is left of the limits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreRoom {
    requests: f64,
    changes: f64,
    at: f64,
}

impl World {
    /// Whether a request is within the limits; if so, it is counted.
    pub(super) fn within_limits(&mut self, request: &StoreRequest) -> bool {
        let Some(limits) = self.store_limits else { return true };
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
        self.check_sizes(request, limits);
        true
    }

    fn check_sizes(&mut self, request: &StoreRequest, limits: StoreLimits) {
        let StoreRequest::Commit(txn) = request else { return };
        if txn.writes.len() > limits.changes_per_transaction
            || txn.conds.len() > 4 * limits.changes_per_transaction
        {
            let (writes, conds) = (txn.writes.len(), txn.conds.len());
            self.broken
                .push(format!("too large a transaction: {writes} changes, {conds} conditions"));
        }
        for write in &txn.writes {
            let Write::Put { key, value, .. } = write else { continue };
            if key.starts_with("w/cascade") && json_bytes(value) > limits.list_bytes {
                self.broken.push(format!("too large a value: {key}"));
            }
        }
    }
}

/// Bytes of a value as JSON, for texts without escapes.
fn json_bytes(value: &ciborium::Value) -> usize {
    match value {
        ciborium::Value::Text(text) => text.len() + 2,
        ciborium::Value::Array(items) => 2 + items.iter().map(|i| json_bytes(i) + 1).sum::<usize>(),
        ciborium::Value::Map(entries) => {
            2 + entries.iter().map(|(k, v)| json_bytes(k) + json_bytes(v) + 2).sum::<usize>()
        }
        ciborium::Value::Bool(_) => 5,
        _ => 20,
    }
}
