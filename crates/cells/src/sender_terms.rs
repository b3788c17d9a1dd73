//! Rejects requests from cells that are not configured, and from leaders that have been replaced.

use crate::error::CellError;
use marblebarrow_proto::ids::CellName;
use std::collections::{BTreeMap, BTreeSet};

/// The highest term received from each cell's leaders. Requests with an earlier term are rejected,
/// so that a deposed leader cannot change anything.
#[derive(Debug, Default)]
pub struct SenderTerms {
    terms: BTreeMap<CellName, u64>,
}

impl SenderTerms {
    /// Checks the sender and records its term.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownCell`] if the cell is not among the `known` ones,
    /// [`CellError::StaleTerm`] if a request from a later leader of that cell was accepted before.
    pub fn admit(
        &mut self,
        cell: &CellName,
        term: u64,
        known: &BTreeSet<CellName>,
    ) -> Result<(), CellError> {
        if !known.contains(cell) {
            return Err(CellError::UnknownCell);
        }
        let last = self.terms.entry(cell.clone()).or_default();
        if term < *last {
            return Err(CellError::StaleTerm);
        }
        *last = term;
        Ok(())
    }
}
