//! The way of each worker between two renewals of its lease: which controllers it tried, for
//! how long, and what they said. Kept so that a lease that ran out can be explained.

use std::fmt;

/// What came of a heartbeat that did not renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// No answer yet.
    Pending,
    /// No answer in time.
    TimedOut,
    /// The controller named another, or nobody.
    Redirected,
    /// The controller refused it.
    Refused,
    /// The answer came with an old fencing token and was dropped.
    StaleToken,
}

/// A heartbeat that did not renew the lease.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatAttempt {
    /// Index of the controller that was tried.
    pub controller: usize,
    /// When it was sent, seconds.
    pub sent_s: f64,
    /// When its outcome was known, seconds; until then, when it was sent.
    pub ended_s: f64,
    /// What came of it.
    pub outcome: HeartbeatOutcome,
}

/// Attempts since the last renewal; bounded, as a worker out of reach tries for ever.
const ATTEMPTS_KEPT: usize = 32;

/// What a worker tried since its lease was last renewed.
#[derive(Clone, Debug, Default)]
pub struct LeaseTrace {
    attempts: Vec<HeartbeatAttempt>,
}

impl LeaseTrace {
    /// A heartbeat is sent.
    pub(super) fn sent(&mut self, controller: usize, now: f64) {
        if self.attempts.len() == ATTEMPTS_KEPT {
            self.attempts.remove(0);
        }
        self.attempts.push(HeartbeatAttempt {
            controller,
            sent_s: now,
            ended_s: now,
            outcome: HeartbeatOutcome::Pending,
        });
    }

    /// The heartbeat under way did not renew the lease.
    pub(super) fn failed(&mut self, now: f64, outcome: HeartbeatOutcome) {
        if let Some(attempt) = self.attempts.last_mut() {
            (attempt.ended_s, attempt.outcome) = (now, outcome);
        }
    }

    /// The lease was renewed.
    pub(super) fn renewed(&mut self) {
        self.attempts.clear();
    }
}

/// A lease that ran out while its worker held tasks.
#[derive(Clone, Debug)]
pub struct LeaseLapse {
    /// The machine.
    pub machine: String,
    /// When the last heartbeat was sent whose answer renewed the lease, seconds.
    pub renewed_s: f64,
    /// When the lease ended, seconds.
    pub ended_s: f64,
    /// What the worker tried in between.
    pub trace: LeaseTrace,
}

impl LeaseLapse {
    /// The attempts, oldest first.
    pub fn attempts(&self) -> &[HeartbeatAttempt] {
        &self.trace.attempts
    }

    /// Heartbeats in a row, from the first on, that no controller answered in time.
    pub fn timeouts_in_a_row(&self) -> usize {
        let silent = |attempt: &&HeartbeatAttempt| {
            matches!(attempt.outcome, HeartbeatOutcome::TimedOut | HeartbeatOutcome::Pending)
        };
        self.attempts().iter().take_while(silent).count()
    }
}

impl fmt::Display for LeaseLapse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} renewed {:.1} ended {:.1}:", self.machine, self.renewed_s, self.ended_s)?;
        for attempt in self.attempts() {
            let HeartbeatAttempt { controller, sent_s, ended_s, outcome } = attempt;
            write!(f, " c{controller} {sent_s:.1}-{ended_s:.1} {outcome:?};")?;
        }
        Ok(())
    }
}
