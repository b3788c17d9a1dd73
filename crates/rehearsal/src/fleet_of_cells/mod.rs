//! Simulation of several cells in the same simulated time, with faulty links between them.
//!
//! A [`Plan`] sets the sizes of the cells, the rate of submissions and the faults. [`FleetOfCells`]
//! runs it step by step and checks the rules that hold across cells.

mod checks;
mod digest;
mod ends;
mod links;
mod messages;
mod outcome;
mod plan;

pub use ends::MovedEnd;
pub use outcome::{Ends, Observations};
pub use plan::{CellFault, Plan};

use crate::world::World;
use digest::Digest;
use ends::MovedEnds;
use links::Links;
use marblebarrow_proto::ids::JobId;
use marblebarrow_proto::wire::Stage;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of most recent log lines that are kept, to be shown with a violation.
const EVENTS_KEPT: usize = 60;

/// Simulated cells and the links between them.
pub struct FleetOfCells {
    /// The cells, by index.
    pub cells: Vec<World>,
    /// Counts so far.
    pub observed: Observations,
    /// Violations of the safety rules.
    pub violations: Vec<String>,
    digest: Digest,
    step: u32,
    links: Links,
    /// Faults that haven't begun, and the step at which each begins.
    faults: Vec<(u32, CellFault)>,
    /// For each moved job, the cells that accepted it from its home cell.
    accepted_by: BTreeMap<JobId, BTreeSet<usize>>,
    moved_ends: MovedEnds,
    /// Number of job specs that were shared between the cells last.
    specs_shared: usize,
    /// The step since which each job in doubt is offered to a cell that hasn't answered.
    in_doubt: BTreeMap<JobId, u32>,
    times_in_doubt: Vec<u32>,
    events: VecDeque<String>,
}

impl FleetOfCells {
    /// Creates the cells of a plan.
    pub fn new(plan: &Plan) -> Self {
        let mut plan = plan.clone();
        plan.faults.sort_by_key(|(at, _)| *at);
        Self {
            cells: plan.cells(),
            observed: Observations::default(),
            violations: Vec::new(),
            digest: Digest::default(),
            step: 0,
            links: Links::new(plan.seed, plan.faultless_links),
            faults: plan.faults,
            accepted_by: BTreeMap::new(),
            moved_ends: MovedEnds::default(),
            specs_shared: 0,
            in_doubt: BTreeMap::new(),
            times_in_doubt: Vec::new(),
            events: VecDeque::new(),
        }
    }

    /// Number of steps within which the work and the faults of a plan end.
    pub fn steps_of(plan: &Plan) -> u32 {
        plan.steps()
    }

    /// Runs up to the given step, then checks that all work was done. Stops early when a rule is
    /// violated.
    pub fn run(&mut self, steps: u32) {
        while self.step < steps && self.violations.is_empty() {
            self.advance(steps);
        }
        if self.violations.is_empty() {
            self.cells.iter_mut().for_each(World::check_completed);
            self.collect_violations();
        }
    }

    /// Digest of everything logged and counted: equal only for equal runs.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// How long each settled transfer was in doubt, in steps.
    pub fn times_in_doubt(&self) -> Vec<u32> {
        self.times_in_doubt.clone()
    }

    /// The last log lines of all cells.
    pub fn last_events(&self) -> Vec<String> {
        self.events.iter().cloned().collect()
    }

    /// Counts of the accepted jobs of a cell, and of those reported done and cancelled.
    pub fn ends(&self, cell: usize) -> Ends {
        let world = &self.cells[cell];
        let mut ends = Ends::default();
        for job in world.accepted_jobs() {
            ends.accepted += 1;
            match world.last_told(job).map(|(stage, _)| stage) {
                Some(Stage::Done) => ends.done += 1,
                Some(Stage::Cancelled) => ends.cancelled += 1,
                _ => {}
            }
        }
        ends
    }

    /// Steps from acceptance to the first start, in any cell, of each job of a cell that has
    /// started.
    pub fn waits(&self, cell: usize) -> Vec<u32> {
        let accepted = &self.cells[cell].accepted_at;
        let begun = |job| self.cells.iter().find_map(|world| world.started_at.get(job));
        accepted
            .iter()
            .filter_map(|(job, at)| begun(job).map(|begun| begun.saturating_sub(*at)))
            .collect()
    }

    /// One step of all cells and links, with the checks.
    fn advance(&mut self, steps: u32) {
        self.step += 1;
        self.begin_cuts();
        for cell in &mut self.cells {
            cell.advance(steps);
        }
        self.share_descriptions();
        self.share_finished_tasks();
        self.send_messages();
        self.deliver_messages();
        self.time_out_calls();
        self.check();
        self.note_ends();
        self.measure_doubt();
        self.collect_violations();
        self.record_step();
    }

    /// Begins the cuts of links that are due. The cells begin their own faults.
    fn begin_cuts(&mut self) {
        let step = self.step;
        for (_, fault) in self.faults.extract_if(.., |(at, _)| *at <= step) {
            if let CellFault::Cut(from, to, steps) = fault {
                self.links.cut(from, to, step + steps);
            }
        }
    }

    /// Makes the specs of all jobs known in every cell, as workers can fetch them from anywhere.
    fn share_descriptions(&mut self) {
        let known: usize = self.cells.iter().map(|cell| cell.submitted().len()).sum();
        if known == self.specs_shared {
            return;
        }
        self.specs_shared = known;
        let all: Vec<_> = self.cells.iter().flat_map(|cell| cell.submitted().clone()).collect();
        for cell in &mut self.cells {
            cell.guest_specs.extend(all.iter().cloned());
        }
    }

    /// Makes tasks that finished in one cell known in all others.
    fn share_finished_tasks(&mut self) {
        for cell in 0..self.cells.len() {
            let finished = std::mem::take(&mut self.cells[cell].newly_finished);
            let others = self.cells.iter_mut().enumerate().filter(|(other, _)| *other != cell);
            for (_, other) in others {
                finished.iter().for_each(|task| other.finished_elsewhere(task));
            }
        }
    }

    /// Adds this step to the digest: all log lines, starts, store changes and messages.
    fn record_step(&mut self) {
        let digest = &mut self.digest;
        for (cell, world) in self.cells.iter_mut().enumerate() {
            for event in std::mem::take(&mut world.events) {
                event.bytes().for_each(|byte| digest.add(u64::from(byte)));
                self.events.push_back(format!("cell-{cell} {event}"));
                if self.events.len() > EVENTS_KEPT {
                    self.events.pop_front();
                }
            }
            digest.add(u64::from(world.starts));
            digest.add(world.store_work.changes as u64);
            digest.add(world.store_work.bytes as u64);
        }
        digest.add(self.observed.messages);
        digest.add(self.links.packets_in_flight() as u64);
        digest.add(self.accepted_by.len() as u64);
    }
}
