//! Chooses the cell that a job is offered to, by the power of two random choices: two of the cells
//! with room are drawn at random, and the one with more free CPUs is taken. The random draw keeps
//! cells that see the same reports from all choosing the same target.
//!
//! Operators may choose by a script instead, among the same cells.

use crate::capacity::{Amounts, CapacityReport, CapacityReports};
use crate::policy::{Candidate, Policy, PolicyError};
use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::JobSpec;
use rand::RngExt as _;
use std::collections::BTreeMap;

/// The inputs of the choice.
#[derive(Debug)]
pub struct Choice<'a> {
    /// The cells that may be chosen. Cells declared lost are not among them.
    pub cells: &'a [CellName],
    /// The latest capacity reports of the cells.
    pub capacity_reports: &'a CapacityReports,
    /// Capacity reserved for transfers in flight, by target cell.
    pub reserved: &'a BTreeMap<CellName, Amounts>,
    /// The current time, seconds.
    pub now: f64,
    /// Age from which a report is ignored, seconds.
    pub report_age_s: f64,
    /// The operators' script, if there is one.
    pub policy: Option<&'a Policy>,
}

/// The chosen cell, and the error of the script if it failed to choose one.
#[derive(Debug, PartialEq)]
pub struct Chosen {
    /// The chosen cell.
    pub cell: CellName,
    /// Why the script's choice was not used; the built-in choice was used instead.
    pub policy_error: Option<PolicyError>,
}

impl Choice<'_> {
    /// Chooses a cell with room for the job. Returns `None` if there is none.
    pub fn choose(&self, spec: &JobSpec, rng: &mut impl rand::Rng) -> Option<Chosen> {
        let nothing = Amounts::default();
        let reserved = |cell: &CellName| self.reserved.get(cell).unwrap_or(&nothing);
        let fresh =
            |cell| Some((cell, self.capacity_reports.fresh(cell, self.now, self.report_age_s)?));
        let with_room: Vec<(&CellName, &CapacityReport)> = self
            .cells
            .iter()
            .filter_map(fresh)
            .filter(|(cell, report)| report.has_room(spec, reserved(cell)))
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
            |(cell, report): (&CellName, &CapacityReport)| report.free_cpus() - reserved(cell).cpus;
        let better = if free(second) > free(first) { second } else { first };
        Some(Chosen { cell: better.0.clone(), policy_error })
    }
}
