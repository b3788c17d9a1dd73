//! The safety rules across cells, checked after each step against the records of the workers and
//! the stores: a job moves at most once, never back to its home cell, runs in no two cells, and
//! holds no machine in another cell once its cancellation was confirmed to its user long enough
//! ago.

use crate::fleet_of_cells::FleetOfCells;
use crate::world::World;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::transfer::{CANCEL_WANTED_PREFIX, REFUSED_PREFIX};
use std::collections::BTreeSet;

impl FleetOfCells {
    /// Checks all rules across cells, and updates the counts.
    pub(super) fn check(&mut self) {
        self.check_moves();
        self.count_moves();
        self.check_runs();
        self.mark_moved_jobs();
    }

    /// Rules `moved twice` and `came back`: no job is accepted by two other cells, or by its home
    /// cell.
    fn check_moves(&mut self) {
        for (cell, world) in self.cells.iter().enumerate() {
            for job in world.inbound() {
                self.moved_ends.moved(&job);
                let by = self.accepted_by.entry(job.clone()).or_default();
                if by.insert(cell) && by.len() > 1 {
                    self.violations.push(format!("moved twice: {job} {by:?}"));
                }
                if world.submitted().contains_key(&job) {
                    self.violations.push(format!("came back: {job}"));
                }
            }
        }
    }

    /// Updates the counts of moves, refusals and cancellations.
    fn count_moves(&mut self) {
        self.observed.moved = self.accepted_by.len() as u64;
        let count = |prefix| self.cells.iter().map(|cell| cell.puts_under(prefix)).sum::<usize>();
        self.observed.refused = count(REFUSED_PREFIX) as u64;
        self.observed.cancels_wanted = count(CANCEL_WANTED_PREFIX) as u64;
    }

    /// Rules `ran_twice` and `ran_cancelled`: no job starts in two cells, and no other cell holds a
    /// job whose cancellation was confirmed long enough ago.
    fn check_runs(&mut self) {
        for cell in 0..self.cells.len() {
            for other in (0..self.cells.len()).filter(|other| *other != cell) {
                let (one, two) = (&self.cells[cell], &self.cells[other]);
                let both = one
                    .started_at
                    .keys()
                    .find(|job| cell < other && two.started_at.contains_key(job));
                if let Some(job) = both {
                    self.violations.push(format!("ran_twice: {job} in cells {cell} and {other}"));
                }
                if let Some(job) = one.surely_cancelled().find(|job| two.holds(job)) {
                    self.violations.push(format!("ran_cancelled: {job} in cell {other}"));
                }
            }
        }
    }

    /// Marks each job accepted by another cell in its home cell, whose own checks depend on it.
    fn mark_moved_jobs(&mut self) {
        for (job, by) in &self.accepted_by {
            for (cell, world) in self.cells.iter_mut().enumerate() {
                if !by.contains(&cell) && world.submitted().contains_key(job) {
                    world.elsewhere.insert(job.clone());
                }
            }
        }
    }

    /// Collects the violations that the cells found.
    pub(super) fn collect_violations(&mut self) {
        for (cell, world) in self.cells.iter_mut().enumerate() {
            let violations = std::mem::take(&mut world.violations);
            self.violations
                .extend(violations.into_iter().map(|rule| format!("cell-{cell}: {rule}")));
        }
    }

    /// Measures how long each job is in doubt: offered to a cell that hasn't answered.
    pub(super) fn measure_doubt(&mut self) {
        let now: BTreeSet<JobId> = self.cells.iter().flat_map(World::in_doubt).collect();
        for job in &now {
            self.in_doubt.entry(job.clone()).or_insert(self.step);
        }
        let (step, times) = (self.step, &mut self.times_in_doubt);
        self.in_doubt.retain(|job, since| {
            let open = now.contains(job);
            if !open {
                times.push(step - *since);
            }
            open
        });
    }
}
