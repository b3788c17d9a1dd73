//! Why a job that waits at its home is not offered to another cell.

use std::fmt;

/// The first condition that keeps a waiting job at its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StayReason {
    /// A new leader doesn't know yet what runs.
    Recovering,
    /// Starts of it are recorded, or may be under way: another cell must not start it too.
    Started,
    /// It names dependencies, of which other cells know nothing.
    Dependencies,
    /// It has waited for less than the cell's patience.
    Patience,
    /// Other cells refused it lately.
    Resting,
    /// Its team is at its limit.
    TeamLimit,
    /// Machines that it may use boot, or can probably be rented.
    RentingMayHelp,
    /// As many transfers are under way as may be.
    TransfersAtLimit,
    /// No other cell reports room for it.
    NoCellWithRoom,
    /// The state service's rate leaves no change for it.
    StoreRate,
}

impl StayReason {
    /// Its name in logs and for operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Recovering => "recovering",
            Self::Started => "started",
            Self::Dependencies => "dependencies",
            Self::Patience => "patience",
            Self::Resting => "resting",
            Self::TeamLimit => "team_limit",
            Self::RentingMayHelp => "renting_may_help",
            Self::TransfersAtLimit => "transfers_at_limit",
            Self::NoCellWithRoom => "no_cell_with_room",
            Self::StoreRate => "store_rate",
        }
    }
}

impl fmt::Display for StayReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
