//! Why a waiting job is not offered to another cell.

use std::fmt;

/// The first condition that keeps a waiting job in its home cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StayReason {
    /// A new leader does not know yet which tasks are running.
    Recovering,
    /// Starts of the job's tasks are recorded or may be in flight, so another cell must not start
    /// it too.
    Started,
    /// The job has dependencies, which other cells know nothing about.
    Dependencies,
    /// The job has not yet waited for the cell's patience setting.
    Patience,
    /// The job is in backoff after refusals by other cells.
    Resting,
    /// The job's team has reached its limit.
    TeamLimit,
    /// Machines that the job may use are booting or can probably be rented.
    RentingMayHelp,
    /// The limit on transfers in flight is reached for every other cell.
    TransfersAtLimit,
    /// No other cell reports room for the job.
    NoCellWithRoom,
    /// The job's record, with a transfer in it, would exceed the state service's value limit.
    RecordTooLarge,
    /// The state service's write rate allows no change for the job now.
    StoreRate,
}

impl StayReason {
    /// The reason's name in log lines and for operators.
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
            Self::RecordTooLarge => "record_too_large",
            Self::StoreRate => "store_rate",
        }
    }
}

impl fmt::Display for StayReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
