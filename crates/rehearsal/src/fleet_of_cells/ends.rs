//! When the final states of moved jobs became durable in the cells that ran them, and in their home
//! cells.

use crate::fleet_of_cells::FleetOfCells;
use marblebarrow_proto::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// The final state of a job that moved. Times are in steps.
#[derive(Clone, Copy, Debug)]
pub struct MovedEnd {
    /// Index of the cell that ran the job.
    pub target: usize,
    /// When the final state became durable in that cell.
    pub at_target: u32,
    /// When the final state became durable in the home cell, if it is.
    pub at_home: Option<u32>,
}

/// The final states of all jobs that moved.
#[derive(Debug, Default)]
pub(super) struct MovedEnds {
    ends: BTreeMap<JobId, MovedEnd>,
    /// Moved jobs whose final state isn't durable in the home cell yet.
    open: BTreeSet<JobId>,
}

impl MovedEnds {
    /// Records that a job was accepted by another cell.
    pub(super) fn moved(&mut self, job: &JobId) {
        if !self.ends.contains_key(job) {
            self.open.insert(job.clone());
        }
    }
}

impl FleetOfCells {
    /// The final states of a cell's own jobs that moved, by job.
    pub fn moved_ends(&self, home: usize) -> impl Iterator<Item = (&JobId, &MovedEnd)> {
        let submitted = self.cells[home].submitted();
        self.moved_ends.ends.iter().filter(|(job, _)| submitted.contains_key(*job))
    }

    /// Records the final states that became durable in this step.
    pub(super) fn note_ends(&mut self) {
        let (cells, step) = (&self.cells, self.step);
        let MovedEnds { ends, open } = &mut self.moved_ends;
        open.retain(|job| {
            let submitted = |world: &&crate::world::World| world.submitted().contains_key(job);
            let at_home = cells.iter().find(submitted).is_some_and(|world| world.has_end(job));
            let targets = self.accepted_by.get(job).into_iter().flatten();
            let ended = targets.copied().find(|target| cells[*target].has_end(job));
            if let Some(target) = ended {
                let new = MovedEnd { target, at_target: step, at_home: None };
                let end = ends.entry(job.clone()).or_insert(new);
                end.at_home = at_home.then_some(step);
            }
            !at_home
        });
    }
}
