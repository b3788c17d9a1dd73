//! Whether a remote call is pending, with a bound on how long it can be.

/// A call that had no answer for so long, seconds, is over: the link gives up sooner, and
/// what it says may be lost on its way through a full queue. (Answers that came while a leader
/// was unsure of its authority were once dropped, and its cell was never asked again.)
pub const CALL_LOST_S: f64 = 10.0;

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

    pub(super) fn under_way(&self, now: f64) -> bool {
        self.since.is_some_and(|since| now - since < CALL_LOST_S)
    }
}
