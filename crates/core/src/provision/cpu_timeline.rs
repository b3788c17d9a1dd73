//! A timeline of when the fleet's CPUs become free.

use super::bin_packing::Location;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A CPU that becomes free.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreeCpu {
    /// `None` where CPUs aren't distinguished by location.
    pub(super) location: Option<Location>,
    /// Time at which it becomes free, in milliseconds.
    pub(super) at: u64,
}

/// Times at which CPUs become free, one entry per CPU, grouped by location. A single group (`None`)
/// is used if all tasks can use every machine.
///
/// Without locations, a job bound to a zone that had no machines was matched with an idle machine
/// in another zone, and waited forever.
#[derive(Default)]
pub(super) struct CpuTimeline {
    free: BTreeMap<Option<Location>, BinaryHeap<Reverse<u64>>>,
    total: u32,
}

impl CpuTimeline {
    /// Total number of CPUs.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Adds CPUs that become free at the same time, in milliseconds.
    pub(super) fn add(&mut self, location: Option<Location>, count: u32, at: u64) {
        self.total += count;
        let times = self.free.entry(location).or_default();
        times.extend((0..count).map(|_| Reverse(at)));
    }

    /// Removes and returns the CPUs that become free first; fewer than `count` if there aren't
    /// enough.
    pub(super) fn take(&mut self, count: u32, allowed: impl Fn(&Location) -> bool) -> Vec<FreeCpu> {
        (0..count).map_while(|_| self.take_first(&allowed)).collect()
    }

    fn take_first(&mut self, allowed: impl Fn(&Location) -> bool) -> Option<FreeCpu> {
        let allowed_groups = self.free.iter_mut().filter(|(l, _)| l.as_ref().is_none_or(&allowed));
        let nonempty_groups = allowed_groups.filter(|(_, times)| !times.is_empty());
        let (location, times) =
            nonempty_groups.min_by_key(|(_, times)| times.peek().map(|Reverse(at)| *at))?;
        let Reverse(at) = times.pop()?;
        self.total -= 1;
        Some(FreeCpu { location: *location, at })
    }
}
