//! The number of conditions that a check transaction may have.

use crate::consts::{CONDS_PER_OP, MIN_TXN_CHANGES};
use crate::facts::Facts;

/// Number of conditions that the state service always takes.
const CONDITIONS_MIN: usize = MIN_TXN_CHANGES * CONDS_PER_OP;

/// The limit that follows from the settings, or a lower one after rejections: the state service may
/// take less than was announced.
#[derive(Debug, Default)]
pub(super) struct ConditionLimit {
    lowered: Option<usize>,
}

impl ConditionLimit {
    /// Maximum number of conditions in a transaction.
    pub(super) fn get(&self, facts: &Facts) -> usize {
        let settings = facts.store_txn_ops * CONDS_PER_OP;
        self.lowered.map_or(settings, |lowered| lowered.min(settings))
    }

    /// Lowers the limit after a transaction with this many conditions was rejected. Returns false
    /// if it had so few that the rejection has another reason.
    pub(super) fn lower(&mut self, rejected: usize) -> bool {
        if rejected <= CONDITIONS_MIN {
            return false;
        }
        let half = (rejected / 2).max(CONDITIONS_MIN);
        self.lowered = Some(self.lowered.map_or(half, |lowered| lowered.min(half)));
        true
    }
}
