//! The named scenarios of `marblebarrow rehearse`, and the verdicts of their runs.

use crate::fleet_of_cells::{CellFault, Ends, FleetOfCells, Observations, Plan};
use crate::held_commands::{self, HeldOutcome};
use crate::repeated_commands::{self, RepeatedOutcome};
use crate::single_cell::SingleCellRun;
use crate::world::Fault;
use std::fmt;

/// A scenario that `marblebarrow rehearse` can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// One of three cells is full, and its jobs move to the others.
    FullCell,
    /// As `FullCell`, while the leaders of all cells crash repeatedly.
    LeadersEnd,
    /// As `FullCell`, while links between cells are cut in one direction and then the other.
    LinksCut,
    /// As `FullCell`, while all controllers of a cell that runs transferred jobs are down for a
    /// minute.
    CellGone,
    /// As `FullCell`, while users cancel jobs that are being transferred.
    Cancels,
    /// As `FullCell`, while a state service is down, refuses one controller and loses answers.
    StoresFail,
    /// One cell in which some direct commands are delayed for longer than the tasks of a cancelled
    /// job may keep running.
    HeldCommands,
    /// One cell in which many direct commands are delivered again, long after they were executed.
    RepeatedCommands,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 8] = [
        Self::FullCell,
        Self::LeadersEnd,
        Self::LinksCut,
        Self::CellGone,
        Self::Cancels,
        Self::StoresFail,
        Self::HeldCommands,
        Self::RepeatedCommands,
    ];

    /// The name on the command line of `marblebarrow rehearse`.
    pub fn name(self) -> &'static str {
        match self {
            Self::FullCell => "full-cell",
            Self::LeadersEnd => "leaders-end",
            Self::LinksCut => "links-cut",
            Self::CellGone => "cell-gone",
            Self::Cancels => "cancels",
            Self::StoresFail => "stores-fail",
            Self::HeldCommands => "held-commands",
            Self::RepeatedCommands => "repeated-commands",
        }
    }

    /// The scenario of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }

    /// The plan of a scenario of several cells.
    fn plan(self, seed: u64) -> Plan {
        let mut plan = Plan::one_full(seed);
        plan.faults = match self {
            Self::FullCell | Self::Cancels | Self::HeldCommands | Self::RepeatedCommands => {
                Vec::new()
            }
            Self::LeadersEnd => leader_crashes(),
            Self::LinksCut => vec![
                (100, CellFault::Cut(0, 1, 150)),
                (120, CellFault::Cut(2, 0, 150)),
                (300, CellFault::Cut(1, 0, 150)),
                (330, CellFault::Cut(0, 2, 100)),
            ],
            Self::CellGone => vec![(200, CellFault::CellGone(1, 600))],
            Self::StoresFail => vec![
                (120, CellFault::Within(1, Fault::StoreDown(80))),
                (150, CellFault::Within(0, Fault::AnswersLost(200))),
                (250, CellFault::Within(2, Fault::LateWrites(200))),
                (300, CellFault::Within(0, at_leader(Fault::StoreRefuses(0, 60)))),
                (380, CellFault::Within(2, Fault::AnswersLost(200))),
                (400, CellFault::Within(0, Fault::LateWrites(200))),
            ],
        };
        if self == Self::Cancels {
            plan.cancels = true;
            // Cancelled jobs free capacity, so that jobs are submitted faster to keep the cell
            // full.
            plan.paces[0] = 5;
            plan.patience_s = 1.0;
        }
        plan
    }

    /// Runs the scenario. The same seed and sources give the same verdict and digest.
    pub fn run(self, seed: u64) -> Verdict {
        match self {
            Self::HeldCommands => {
                self.verdict(seed, held_commands::run(seed), Outcome::HeldCommands)
            }
            Self::RepeatedCommands => {
                self.verdict(seed, repeated_commands::run(seed), Outcome::RepeatedCommands)
            }
            _ => self.run_cells(seed),
        }
    }

    fn verdict<C>(
        self,
        seed: u64,
        run: SingleCellRun<C>,
        outcome_of: impl Fn(C) -> Outcome,
    ) -> Verdict {
        let SingleCellRun { outcome, digest, events, violations } = run;
        Verdict { scenario: self, seed, digest, outcome: outcome_of(outcome), events, violations }
    }

    fn run_cells(self, seed: u64) -> Verdict {
        let plan = self.plan(seed);
        let mut fleet = FleetOfCells::new(&plan);
        fleet.run(FleetOfCells::steps_of(&plan));
        let ends = (0..plan.machines.len()).map(|cell| fleet.ends(cell)).collect();
        Verdict {
            scenario: self,
            seed,
            digest: fleet.digest(),
            outcome: Outcome::Cells { observed: fleet.observed, ends },
            events: fleet.last_events(),
            violations: fleet.violations,
        }
    }
}

/// Aims a fault at the controller that leads when the fault begins.
fn at_leader(fault: Fault) -> Fault {
    Fault::OnLeader(Box::new(fault))
}

/// Crashes of the leaders of the three cells in turn, one every 4 s.
fn leader_crashes() -> Vec<(u32, CellFault)> {
    let ends = |step: u32| {
        let cell = (step / 40 % 3) as usize;
        (step, CellFault::Within(cell, at_leader(Fault::Crash(0, 30))))
    };
    (80..480).step_by(40).map(ends).collect()
}

/// The counts of a run.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The counts of a scenario of several cells.
    Cells {
        /// Messages and transfers between the cells.
        observed: Observations,
        /// Final answers to the users of each cell.
        ends: Vec<Ends>,
    },
    /// The counts of a scenario of one cell with delayed direct commands.
    HeldCommands(HeldOutcome),
    /// The counts of a scenario of one cell with repeated direct commands.
    RepeatedCommands(RepeatedOutcome),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (observed, ends) = match self {
            Self::Cells { observed, ends } => (observed, ends),
            Self::HeldCommands(outcome) => return outcome.fmt(f),
            Self::RepeatedCommands(outcome) => return outcome.fmt(f),
        };
        let Observations { messages, lost, doubled, late, cut, moved, refused, cancels_wanted } =
            observed;
        writeln!(f, "moved={moved} refused={refused} cancels_wanted={cancels_wanted}")?;
        writeln!(f, "messages={messages} lost={lost} doubled={doubled} late={late} cut={cut}")?;
        for (cell, Ends { accepted, done, cancelled }) in ends.iter().enumerate() {
            writeln!(f, "cell-{cell}: accepted={accepted} done={done} cancelled={cancelled}")?;
        }
        Ok(())
    }
}

/// The result of one run of a scenario.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// Seed of all random decisions.
    pub seed: u64,
    /// Digest of everything logged and counted, which differs between runs that differ.
    pub digest: u64,
    /// The counts of the run.
    pub outcome: Outcome,
    /// The last log lines before the end of the run.
    pub events: Vec<String>,
    /// Violations of the safety rules.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether no safety rule was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.passed() { "pass" } else { "FAILED" };
        writeln!(
            f,
            "{word}: {} seed={} digest={:016x}",
            self.scenario.name(),
            self.seed,
            self.digest
        )?;
        self.outcome.fmt(f)?;
        if !self.passed() {
            self.events.iter().try_for_each(|event| writeln!(f, "event: {event}"))?;
        }
        self.violations.iter().try_for_each(|rule| writeln!(f, "broken: {rule}"))
    }
}
