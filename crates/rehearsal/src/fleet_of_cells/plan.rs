//! The configuration of a run: sizes of the cells, load, settings and faults.

use crate::fleet_of_cells::links::LATE_STEPS_MAX;
use crate::world::{Fault, World};
use marblebarrow_cells::settings::{CellsSettings, OtherCell};
use marblebarrow_proto::ids::CellName;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Size of the range of job numbers of each cell.
const JOB_NUMBERS_PER_CELL: u32 = 100_000;
/// CPUs that the team of each cell may use, so many that its quota never limits.
const TEAM_CPUS_MAX: f64 = 200.0;
/// One-CPU tasks that fit on a machine.
const TASKS_PER_MACHINE: u32 = 4;
/// Steps after all faults and submissions within which the last job ends.
const SETTLING_STEPS: u32 = 1_200;

/// A fault in a run of several cells. Durations are in steps, cells are named by index.
#[derive(Clone, Debug)]
pub enum CellFault {
    /// A fault within one cell.
    Within(usize, Fault),
    /// No message from the first cell reaches the second.
    Cut(usize, usize, u32),
    /// All controllers of a cell are down.
    CellGone(usize, u32),
}

/// The configuration of a run of several cells.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random decisions.
    pub seed: u64,
    /// The largest number of machines, by cell.
    pub machines: Vec<usize>,
    /// Steps between submissions, by cell. 0 for no submissions.
    pub paces: Vec<u32>,
    /// The step at which submissions end.
    pub until: u32,
    /// Time that a job waits before it may move, in seconds.
    pub patience_s: f64,
    /// A script that chooses among cells with room.
    pub policy: Option<String>,
    /// Whether jobs may move to other cells.
    pub moving: bool,
    /// Whether a service fills the first cell, whose other jobs are arrays of one task.
    pub filled: bool,
    /// Whether every fourth job is cancelled one second after it was accepted.
    pub cancels: bool,
    /// Whether links between cells neither lose nor duplicate nor delay messages.
    pub faultless_links: bool,
    /// The faults, and the step at which each begins.
    pub faults: Vec<(u32, CellFault)>,
}

impl Plan {
    /// Transfers that a cell may have in doubt with each other cell.
    pub const TRANSFERS_MAX: usize = 16;

    /// Three cells, of which the first has far too few machines for its jobs.
    pub fn one_full(seed: u64) -> Self {
        Self {
            seed,
            machines: vec![3, 14, 14],
            paces: vec![10, 60, 60],
            until: 400,
            patience_s: 4.0,
            policy: None,
            moving: true,
            filled: false,
            cancels: false,
            faultless_links: false,
            faults: Vec::new(),
        }
    }
}

impl Plan {
    /// Creates the cells of this plan.
    pub(super) fn cells(&self) -> Vec<World> {
        let faults_over_from = self.last_fault_ends() + LATE_STEPS_MAX;
        (0..self.machines.len()).map(|cell| self.cell(cell, faults_over_from)).collect()
    }

    fn cell(&self, cell: usize, faults_over_from: u32) -> World {
        let mut world = World::new(self.seed * 31 + cell as u64, self.faults_within(cell));
        let pace = self.paces[cell];
        world.size = (self.machines[cell], TEAM_CPUS_MAX);
        world.first_number = JOB_NUMBERS_PER_CELL * (cell as u32 + 1);
        world.submission_interval_and_end = (pace.max(1), if pace == 0 { 0 } else { self.until });
        world.cells = self.moving.then(|| Arc::new(self.settings(cell)));
        world.cancel_every_fourth = self.cancels;
        world.rents_in_part = true;
        world.spot_arrays = !self.filled;
        world.filled_by =
            (self.filled && cell == 0).then(|| self.machines[0] as u32 * TASKS_PER_MACHINE);
        world.calm_after(faults_over_from);
        world
    }

    /// The faults within one cell, in the order in which they begin.
    fn faults_within(&self, cell: usize) -> Vec<(u32, Fault)> {
        let within = self.faults.iter().filter_map(|(at, fault)| match fault {
            CellFault::Within(c, inner) if *c == cell => Some((*at, inner.clone())),
            CellFault::CellGone(c, steps) if *c == cell => Some((*at, Fault::CrashAll(*steps))),
            _ => None,
        });
        within.collect()
    }

    fn settings(&self, cell: usize) -> CellsSettings {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let others = (0..self.machines.len()).filter(|other| *other != cell);
        let other_cell = |other| OtherCell { name: cell_name(other), controllers: vec![nowhere] };
        CellsSettings {
            name: cell_name(cell),
            listen: nowhere,
            others: others.map(other_cell).collect(),
            patience_s: self.patience_s,
            reserve_cpus: 0.0,
            report_age_s: 5.0,
            transfers_max: Self::TRANSFERS_MAX,
            message_bytes: 64 * 1024,
            policy: self.policy.clone(),
        }
    }

    /// Number of steps within which the work and the faults of this plan end.
    pub(super) fn steps(&self) -> u32 {
        self.last_fault_ends().max(self.until) + SETTLING_STEPS
    }

    /// The step at which the last fault ends, or 0 without faults.
    fn last_fault_ends(&self) -> u32 {
        let ends = self.faults.iter().map(|(at, fault)| at + steps_of(fault));
        ends.max().unwrap_or(0)
    }
}

/// The name of the cell with this index.
pub(super) fn cell_name(cell: usize) -> CellName {
    CellName::new(&format!("cell-{cell}"))
}

/// Duration of a fault, in steps.
fn steps_of(fault: &CellFault) -> u32 {
    match fault {
        CellFault::Within(_, fault) => fault.steps(),
        CellFault::Cut(_, _, steps) | CellFault::CellGone(_, steps) => *steps,
    }
}
