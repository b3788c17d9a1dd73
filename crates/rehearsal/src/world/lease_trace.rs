//! Trace of the heartbeats of each worker since its last lease renewal: which controllers it tried,
//! for how long, and with which outcome. It explains leases that expire.

use std::fmt;

/// Outcome of a heartbeat that did not renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// No answer has arrived yet.
    Pending,
    /// No answer arrived before the timeout.
    TimedOut,
    /// The controller redirected the worker to another one, or knew no leader.
    Redirected,
    /// The controller refused the heartbeat.
    Refused,
    /// The answer carried an old fencing token and was dropped.
    StaleToken,
}

/// A heartbeat that did not renew the lease.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatAttempt {
    /// Index of the controller that the heartbeat was sent to.
    pub controller: usize,
    /// When the heartbeat was sent, in seconds.
    pub sent_s: f64,
    /// When the outcome was known, in seconds. Equal to `sent_s` until then.
    pub ended_s: f64,
    /// The outcome.
    pub outcome: HeartbeatOutcome,
}

/// Largest number of attempts kept, since a worker that reaches no controller retries without end.
const ATTEMPTS_KEPT: usize = 32;

/// Heartbeats of a worker since its lease was last renewed.
#[derive(Clone, Debug, Default)]
pub struct LeaseTrace {
    attempts: Vec<HeartbeatAttempt>,
}

impl LeaseTrace {
    /// Records that a heartbeat was sent.
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

    /// Records that the heartbeat in flight did not renew the lease.
    pub(super) fn failed(&mut self, now: f64, outcome: HeartbeatOutcome) {
        if let Some(attempt) = self.attempts.last_mut() {
            (attempt.ended_s, attempt.outcome) = (now, outcome);
        }
    }

    /// Clears the trace, as the lease was renewed.
    pub(super) fn renewed(&mut self) {
        self.attempts.clear();
    }
}

/// A lease that expired while its worker held tasks.
#[derive(Clone, Debug)]
pub struct LeaseExpiry {
    /// Name of the machine.
    pub machine: String,
    /// When the last heartbeat that renewed the lease was sent, in seconds.
    pub renewed_s: f64,
    /// When the lease expired, in seconds.
    pub ended_s: f64,
    /// Heartbeats sent in between.
    pub trace: LeaseTrace,
}

impl LeaseExpiry {
    /// The attempts that did not renew the lease, oldest first.
    pub fn attempts(&self) -> &[HeartbeatAttempt] {
        &self.trace.attempts
    }

    /// Number of consecutive attempts, from the first on, that no controller answered in time.
    pub fn timeouts_in_a_row(&self) -> usize {
        let silent = |attempt: &&HeartbeatAttempt| {
            matches!(attempt.outcome, HeartbeatOutcome::TimedOut | HeartbeatOutcome::Pending)
        };
        self.attempts().iter().take_while(silent).count()
    }
}

impl fmt::Display for LeaseExpiry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} renewed {:.1} ended {:.1}:", self.machine, self.renewed_s, self.ended_s)?;
        for attempt in self.attempts() {
            let HeartbeatAttempt { controller, sent_s, ended_s, outcome } = attempt;
            write!(f, " c{controller} {sent_s:.1}-{ended_s:.1} {outcome:?};")?;
        }
        Ok(())
    }
}
