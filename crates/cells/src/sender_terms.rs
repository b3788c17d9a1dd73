//! Rejects requests of cells that aren't configured, and of leaders that were replaced.

use crate::error::CellError;
use marblebarrow_proto::ids::CellName;
use std::collections::{BTreeMap, BTreeSet};

/// The highest term heard from each cell's leaders: requests of an earlier term are rejected,
/// so that a deposed leader changes nothing.
#[derive(Debug, Default)]
pub struct SenderTerms {
    terms: BTreeMap<CellName, u64>,
}

impl SenderTerms {
    /// Records the sender's term.
    ///
    /// # Errors
    ///
    /// [`CellError::UnknownCell`] if the cell is not among the `known` ones,
    /// [`CellError::StaleTerm`] if a later leader of that cell was heard already.
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
