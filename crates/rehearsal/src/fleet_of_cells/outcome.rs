//! Counts of a run: messages and moves between cells, and final answers to users.

/// Counts over all cells, by which tests check that the faults of a plan took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    /// Messages between cells.
    pub messages: u64,
    /// Messages lost.
    pub lost: u64,
    /// Messages duplicated.
    pub doubled: u64,
    /// Messages delayed.
    pub late: u64,
    /// Messages dropped by a cut.
    pub cut: u64,
    /// Jobs accepted by another cell.
    pub moved: u64,
    /// Offers refused for good.
    pub refused: u64,
    /// Cancellations recorded for jobs that might be in another cell.
    pub cancels_wanted: u64,
}

/// Final answers to the users of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Jobs accepted.
    pub accepted: u32,
    /// Jobs reported done.
    pub done: u32,
    /// Jobs reported cancelled.
    pub cancelled: u32,
}
