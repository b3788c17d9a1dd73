//! The named rehearsals of `marblebarrow rehearse`, and their verdicts.

use crate::fleet_of_cells::{CellTrouble, Ends, FleetOfCells, Met, Plan};
use crate::held_commands::{self, HeldOutcome};
use crate::world::Trouble;
use std::fmt;

/// A rehearsal that can be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// One of three cells is full: its jobs move.
    FullCell,
    /// The same as leaders of all cells end, again and again.
    LeadersEnd,
    /// The same as links are cut in one direction and then the other.
    LinksCut,
    /// The same as a cell that holds guests is gone for a minute.
    CellGone,
    /// The same as users cancel jobs that are on their way.
    Cancels,
    /// The same as a state service is down, refuses one controller and loses answers.
    StoresFail,
    /// One cell: single direct commands are held for longer than cancelled tasks may take.
    HeldCommands,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Scenario; 7] = [
        Self::FullCell,
        Self::LeadersEnd,
        Self::LinksCut,
        Self::CellGone,
        Self::Cancels,
        Self::StoresFail,
        Self::HeldCommands,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::FullCell => "full-cell",
            Self::LeadersEnd => "leaders-end",
            Self::LinksCut => "links-cut",
            Self::CellGone => "cell-gone",
            Self::Cancels => "cancels",
            Self::StoresFail => "stores-fail",
            Self::HeldCommands => "held-commands",
        }
    }

    /// The one of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }

    /// What a rehearsal of several cells is made of.
    fn plan(self, seed: u64) -> Plan {
        let mut plan = Plan::one_full(seed);
        plan.troubles = match self {
            Self::FullCell | Self::Cancels | Self::HeldCommands => Vec::new(),
            Self::LeadersEnd => leaders_end(),
            Self::LinksCut => vec![
                (100, CellTrouble::Cut(0, 1, 150)),
                (120, CellTrouble::Cut(2, 0, 150)),
                (300, CellTrouble::Cut(1, 0, 150)),
                (330, CellTrouble::Cut(0, 2, 100)),
            ],
            Self::CellGone => vec![(200, CellTrouble::CellGone(1, 600))],
            Self::StoresFail => vec![
                (120, CellTrouble::Within(1, Trouble::StoreDown(80))),
                (150, CellTrouble::Within(0, Trouble::AnswersLost(200))),
                (250, CellTrouble::Within(2, Trouble::LateWrites(200))),
                (300, CellTrouble::Within(0, at_leader(Trouble::StoreRefuses(0, 60)))),
                (380, CellTrouble::Within(2, Trouble::AnswersLost(200))),
                (400, CellTrouble::Within(0, Trouble::LateWrites(200))),
            ],
        };
        if self == Self::Cancels {
            plan.cancels = true;
            // Cancellations leave room: more jobs fill it.
            plan.paces[0] = 5;
            plan.patience_s = 1.0;
        }
        plan
    }

    /// Runs it; the same seed and sources give the same verdict and digest.
    pub fn run(self, seed: u64) -> Verdict {
        match self {
            Self::HeldCommands => self.run_held_commands(seed),
            _ => self.run_cells(seed),
        }
    }

    fn run_held_commands(self, seed: u64) -> Verdict {
        let held_commands::HeldRun { outcome, digest, events, broken } = held_commands::run(seed);
        let outcome = Outcome::HeldCommands(outcome);
        Verdict { scenario: self, seed, digest, outcome, events, broken }
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
            outcome: Outcome::Cells { met: fleet.met, ends },
            events: fleet.last_events(),
            broken: fleet.broken,
        }
    }
}

fn at_leader(trouble: Trouble) -> Trouble {
    Trouble::AtLeader(Box::new(trouble))
}

fn leaders_end() -> Vec<(u32, CellTrouble)> {
    let ends = |step: u32| {
        let cell = (step / 40 % 3) as usize;
        (step, CellTrouble::Within(cell, at_leader(Trouble::Crash(0, 30))))
    };
    (80..480).step_by(40).map(ends).collect()
}

/// What came about in a rehearsal.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Of several cells.
    Cells {
        /// Between the cells.
        met: Met,
        /// What the users of each cell were told in the end.
        ends: Vec<Ends>,
    },
    /// Of one cell whose direct commands are held.
    HeldCommands(HeldOutcome),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (met, ends) = match self {
            Self::Cells { met, ends } => (met, ends),
            Self::HeldCommands(outcome) => return outcome.fmt(f),
        };
        let Met { messages, lost, doubled, late, cut, moved, refused, cancels_wanted } = met;
        writeln!(f, "moved={moved} refused={refused} cancels_wanted={cancels_wanted}")?;
        writeln!(f, "messages={messages} lost={lost} doubled={doubled} late={late} cut={cut}")?;
        for (cell, Ends { accepted, done, cancelled }) in ends.iter().enumerate() {
            writeln!(f, "cell-{cell}: accepted={accepted} done={done} cancelled={cancelled}")?;
        }
        Ok(())
    }
}

/// How a rehearsal went.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Which.
    pub scenario: Scenario,
    /// What decided all that was left to luck.
    pub seed: u64,
    /// A number that tells two runs apart.
    pub digest: u64,
    /// What came about.
    pub outcome: Outcome,
    /// The last events before the end.
    pub events: Vec<String>,
    /// Rules broken.
    pub broken: Vec<String>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.broken.is_empty()
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
        self.broken.iter().try_for_each(|rule| writeln!(f, "broken: {rule}"))
    }
}
