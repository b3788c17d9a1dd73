//! Tracks the unconfirmed starts on a machine. Their outcome is unknown: the direct command that
//! carried them got no answer, and may be executed as long as its token and agent epoch match. The
//! same holds if the worker listed an attempt and has lost it without having been told to.
//!
//! An unconfirmed start ends only when the worker has shown a higher token than the command
//! carried, when its agent epoch ends, or when its machine is returned. Without tracking, a start
//! was executed 70 s after it was sent, long after its job had been cancelled.

use crate::event::Secs;
use marblebarrow_proto::ids::{Attempt, JobId, TaskId};
use std::collections::BTreeMap;

/// Identifies an attempt of a task.
pub type AttemptKey = (TaskId, Attempt);

/// A start that may still be executed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnconfirmedStart {
    /// The token that the command carried.
    pub fencing_token: u64,
    /// When the command was sent first, in seconds.
    pub since: Secs,
    /// A time before which no user was told that the job was cancelled, in seconds; `None` unless
    /// the job is cancelled.
    pub cancelled_at: Option<Secs>,
    /// The worker has listed the attempt. Until the attempt is cleared, which takes a higher token,
    /// another start of it does nothing.
    pub listed: bool,
}

impl UnconfirmedStart {
    /// When its job was cancelled, if this start may still run a task of it and therefore must be
    /// revoked.
    pub fn must_revoke_since(&self) -> Option<Secs> {
        self.cancelled_at.filter(|_| !self.listed)
    }
}

/// The unconfirmed starts on one machine in its present agent epoch.
#[derive(Debug, Default)]
pub struct UnconfirmedStarts(BTreeMap<AttemptKey, UnconfirmedStart>);

impl UnconfirmedStarts {
    /// Records an unanswered start. Of several starts of an attempt the highest token counts, which
    /// the last command sent carries.
    pub fn record(&mut self, key: AttemptKey, start: UnconfirmedStart) {
        let earlier = self.0.get(&key).copied();
        let since = earlier.map_or(start.since, |e| e.since.min(start.since));
        let fencing_token =
            earlier.map_or(start.fencing_token, |e| e.fencing_token.max(start.fencing_token));
        let cancelled_at = earlier.and_then(|e| e.cancelled_at).or(start.cancelled_at);
        let listed = start.listed || earlier.is_some_and(|e| e.listed);
        self.0.insert(key, UnconfirmedStart { fencing_token, since, cancelled_at, listed });
    }

    /// Marks the starts of a job as cancelled; no user was told of the cancellation before that
    /// time. Returns the number of these starts.
    pub fn cancel(&mut self, job: &JobId, cancelled_at: Secs) -> usize {
        let of_job = self.0.iter_mut().filter(|((task, _), _)| task.job == *job);
        let mut starts = 0;
        for (_, start) in of_job {
            start.cancelled_at.get_or_insert(cancelled_at);
            starts += 1;
        }
        starts
    }

    /// Records that the worker lists that attempt.
    pub fn note_listed(&mut self, key: &AttemptKey) {
        if let Some(start) = self.0.get_mut(key) {
            start.listed = true;
        }
    }

    /// Records that the worker doesn't list an attempt any more although it wasn't cleared: another
    /// start of it would be executed.
    pub fn note_vanished(&mut self, key: AttemptKey, start: UnconfirmedStart) {
        self.record(key.clone(), start);
        if let Some(start) = self.0.get_mut(&key) {
            start.listed = false;
        }
    }

    /// Removes and returns the starts that the worker refuses from now on, because it has shown a
    /// higher token than they carried.
    pub fn revoke(&mut self, shown: u64) -> Vec<AttemptKey> {
        let refused: Vec<AttemptKey> = self
            .0
            .iter()
            .filter(|(_, start)| start.fencing_token < shown)
            .map(|(key, _)| key.clone())
            .collect();
        self.0.retain(|_, start| start.fencing_token >= shown);
        refused
    }

    /// Whether a start of that attempt may still be executed.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.0.contains_key(key)
    }

    /// Iterates over all unconfirmed starts.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &UnconfirmedStart)> {
        self.0.iter()
    }

    /// Whether there are no unconfirmed starts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes all starts, as the agent epoch has ended.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
