//! Tracks whether a remote call is pending, with a limit on how long it may be.

/// Seconds after which a call without an answer counts as ended. The link normally gives up sooner,
/// but its report may be lost in a full queue. The limit also covers answers that were dropped
/// while the leader was unsure of its authority, after which the cell was never polled again.
pub const CALL_TIMEOUT_S: f64 = 10.0;

/// A remote call that may be pending.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PendingCall {
    since: Option<f64>,
}

impl PendingCall {
    pub(super) fn begin(&mut self, now: f64) {
        self.since = Some(now);
    }

    pub(super) fn end(&mut self) {
        self.since = None;
    }

    pub(super) fn is_pending(&self, now: f64) -> bool {
        self.since.is_some_and(|since| now - since < CALL_TIMEOUT_S)
    }
}
