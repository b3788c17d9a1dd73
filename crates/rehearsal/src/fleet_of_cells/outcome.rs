//! What a run counts: traffic and moves between cells, and what users were told.

/// Counts over all cells. Tests use them to tell that the faults of a plan took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    /// Messages between cells.
    pub messages: u64,
    /// Those that were lost.
    pub lost: u64,
    /// Those that came twice.
    pub doubled: u64,
    /// Those that came late.
    pub late: u64,
    /// Those that a cut kept.
    pub cut: u64,
    /// Jobs that were accepted by another cell.
    pub moved: u64,
    /// Offers that were refused for good.
    pub refused: u64,
    /// Cancellations that users wanted of jobs that might be elsewhere.
    pub cancels_wanted: u64,
}

/// What a cell's users were told in the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Jobs accepted.
    pub accepted: u32,
    /// Told done.
    pub done: u32,
    /// Told cancelled.
    pub cancelled: u32,
}
