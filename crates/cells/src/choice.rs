//! Chooses the cell that a job is offered to, by the power of two random choices: two of the
//! cells with room are drawn, and the one with more free CPUs is taken, so that cells that see
//! the same reports don't all choose the same one. Operators may choose by a script instead,
//! among the same cells.

use crate::capacity::{Amounts, CapacityBook, CapacityReport};
use crate::policy::{Candidate, Policy, PolicyError};
use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::JobSpec;
use rand::RngExt as _;
use std::collections::BTreeMap;

/// What the choice depends on.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The other cells, those declared lost left out.
    pub cells: &'a [CellName],
    /// Their reports.
    pub book: &'a CapacityBook,
    /// Capacity reserved for transfers under way, by cell.
    pub promised: &'a BTreeMap<CellName, Amounts>,
    /// The current time, seconds.
    pub now: f64,
    /// Age from which a report is ignored, seconds.
    pub report_age_s: f64,
    /// The operators' script.
    pub policy: Option<&'a Policy>,
}

/// A cell, and why the script didn't choose it, if it failed to.
#[derive(Debug, PartialEq)]
pub struct Chosen {
    /// The cell.
    pub cell: CellName,
    /// What was wrong with the script's choice; the built-in one stands instead.
    pub policy_error: Option<PolicyError>,
}

impl Choice<'_> {
    /// Chooses a cell with room for the job, if there is one.
    pub fn choose(&self, spec: &JobSpec, rng: &mut impl rand::Rng) -> Option<Chosen> {
        let nothing = Amounts::default();
        let promised = |cell: &CellName| self.promised.get(cell).unwrap_or(&nothing);
        let fresh = |cell| Some((cell, self.book.fresh(cell, self.now, self.report_age_s)?));
        let with_room: Vec<(&CellName, &CapacityReport)> = self
            .cells
            .iter()
            .filter_map(fresh)
            .filter(|(cell, report)| report.has_room(spec, promised(cell)))
            .collect();
        if with_room.is_empty() {
            return None;
        }
        let mut policy_error = None;
        if let Some(policy) = self.policy {
            let candidates: Vec<Candidate<'_>> =
                with_room.iter().map(|&(cell, report)| Candidate { cell, report }).collect();
            match policy.choose(spec, &candidates) {
                Ok(index) => {
                    let cell = with_room[index].0.clone();
                    return Some(Chosen { cell, policy_error: None });
                }
                Err(error) => policy_error = Some(error),
            }
        }
        let draw = |rng: &mut dyn rand::Rng| with_room[rng.random_range(0..with_room.len())];
        let (first, second) = (draw(rng), draw(rng));
        let free =
            |(cell, report): (&CellName, &CapacityReport)| report.free_cpus() - promised(cell).cpus;
        let better = if free(second) > free(first) { second } else { first };
        Some(Chosen { cell: better.0.clone(), policy_error })
    }
}
