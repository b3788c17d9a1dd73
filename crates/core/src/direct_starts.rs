//! Tracks the starts that were sent directly to a machine and could be executed again.
//!
//! A direct command may be delivered once more, long after it was executed and answered. While the
//! worker lists an attempt, another start of it does nothing. After the entry is cleared, the worker
//! would start the attempt again, unless it has seen a higher token than the command carried or its
//! agent epoch has ended. When this was not tracked, a task that had failed and been placed
//! elsewhere ran on both machines.

use crate::unconfirmed_starts::AttemptKey;
use std::collections::BTreeMap;

/// The starts sent directly to one machine in its present agent epoch.
#[derive(Debug, Default)]
pub struct DirectStarts {
    /// The highest fencing token that a command with the start carried.
    tokens: BTreeMap<AttemptKey, u64>,
    /// The highest token that any start carried, in whatever agent epoch.
    highest_token: Option<u64>,
}

impl DirectStarts {
    /// Records a start that is sent directly.
    pub fn record(&mut self, key: AttemptKey, fencing_token: u64) {
        let token = self.tokens.entry(key).or_default();
        *token = fencing_token.max(*token);
        self.highest_token = self.highest_token.max(Some(fencing_token));
    }

    /// The highest token that a start of the attempt carried.
    pub fn token_of(&self, key: &AttemptKey) -> Option<u64> {
        self.tokens.get(key).copied()
    }

    /// The starts, with the highest token that a command with each carried.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptKey, u64)> {
        self.tokens.iter().map(|(key, token)| (key, *token))
    }

    /// The highest token that any start carried, in whatever agent epoch: a worker that restarts
    /// counts its epochs from the beginning.
    pub fn highest_token(&self) -> Option<u64> {
        self.highest_token
    }

    /// Removes the starts that the worker refuses from now on, because it has shown this token.
    pub fn revoke(&mut self, shown: u64) {
        self.tokens.retain(|_, sent| *sent >= shown);
    }

    /// Removes all starts, as the agent epoch has ended.
    pub fn end_agent_epoch(&mut self) {
        self.tokens.clear();
    }
}
