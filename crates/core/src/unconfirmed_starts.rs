//! Starts on a machine whose fate is unknown: a direct command that carried them went
//! unanswered, and may be carried out as long as token and epoch still match.
//!
//! Such a start is a right that was handed out. It ends when the worker has shown a higher
//! token than the command carried, when its epoch is over, or when its machine is returned.
//! (Nothing else ended it once, and a start was carried out 70 s after it was sent, its job
//! long cancelled.)

use crate::event::Secs;
use marblebarrow_proto::ids::{Attempt, JobId, TaskId};
use std::collections::BTreeMap;

/// An attempt of a task.
pub type AttemptKey = (TaskId, Attempt);

/// A start that may yet be carried out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnconfirmedStart {
    /// The token that the command carried.
    pub fencing_token: u64,
    /// When it was sent, seconds.
    pub since: Secs,
    /// Its job was cancelled, and no user was told so before then, seconds.
    pub cancelled_at: Option<Secs>,
    /// The worker has listed the attempt: as long as it isn't cleared, another start of it
    /// does nothing, and what is unconfirmed isn't cleared.
    pub listed: bool,
}

impl UnconfirmedStart {
    /// When its job was cancelled, if it may start a task of it all the same.
    pub fn dangerous_since(&self) -> Option<Secs> {
        self.cancelled_at.filter(|_| !self.listed)
    }
}

/// The unconfirmed starts on one machine, in its present agent epoch.
#[derive(Debug, Default)]
pub struct UnconfirmedStarts(BTreeMap<AttemptKey, UnconfirmedStart>);

impl UnconfirmedStarts {
    /// A start went unanswered. Of several the last one sent counts: it carries the highest
    /// token.
    pub fn note(&mut self, key: AttemptKey, start: UnconfirmedStart) {
        let earlier = self.0.get(&key).copied();
        let since = earlier.map_or(start.since, |e| e.since.min(start.since));
        let fencing_token =
            earlier.map_or(start.fencing_token, |e| e.fencing_token.max(start.fencing_token));
        let cancelled_at = earlier.and_then(|e| e.cancelled_at).or(start.cancelled_at);
        let listed = start.listed || earlier.is_some_and(|e| e.listed);
        self.0.insert(key, UnconfirmedStart { fencing_token, since, cancelled_at, listed });
    }

    /// The job of some of them was cancelled; no user was told so before that time. Returns
    /// how many these are.
    pub fn cancel(&mut self, job: &JobId, cancelled_at: Secs) -> usize {
        let of_job = self.0.iter_mut().filter(|((task, _), _)| task.job == *job);
        let mut starts = 0;
        for (_, start) in of_job {
            start.cancelled_at.get_or_insert(cancelled_at);
            starts += 1;
        }
        starts
    }

    /// The worker lists that attempt.
    pub fn note_listed(&mut self, key: &AttemptKey) {
        if let Some(start) = self.0.get_mut(key) {
            start.listed = true;
        }
    }

    /// The worker has shown that token: what carried a lower one is refused from now on.
    pub fn revoke(&mut self, shown: u64) -> Vec<AttemptKey> {
        let refused: Vec<AttemptKey> = self
            .0
            .iter()
            .filter(|(_, d)| d.fencing_token < shown)
            .map(|(key, _)| key.clone())
            .collect();
        self.0.retain(|_, start| start.fencing_token >= shown);
        refused
    }

    /// Whether a start of that attempt may yet be carried out.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.0.contains_key(key)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptKey, &UnconfirmedStart)> {
        self.0.iter()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The agent epoch is over.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
