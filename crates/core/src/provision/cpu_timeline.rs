//! When the fleet's CPUs become free.

use super::bin_packing::Location;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A CPU that becomes free.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreeCpu {
    /// `None` where all CPUs are alike.
    pub(super) location: Option<Location>,
    /// When, milliseconds.
    pub(super) at: u64,
}

/// When CPUs become free, one entry each, by location; without one where all are alike.
///
/// (They once were alike for all jobs: one bound to a zone without machines was laid onto
/// an idle machine of another, and waited for ever.)
#[derive(Default)]
pub(super) struct CpuTimeline {
    free: BTreeMap<Option<Location>, BinaryHeap<Reverse<u64>>>,
    total: u32,
}

impl CpuTimeline {
    /// CPUs in all.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// Adds CPUs that become free at the same time, milliseconds.
    pub(super) fn add(&mut self, location: Option<Location>, count: u32, at: u64) {
        self.total += count;
        let times = self.free.entry(location).or_default();
        times.extend((0..count).map(|_| Reverse(at)));
    }

    /// Takes the CPUs that become free first; fewer if there aren't as many.
    pub(super) fn take(&mut self, count: u32, allowed: impl Fn(&Location) -> bool) -> Vec<FreeCpu> {
        (0..count).map_while(|_| self.take_first(&allowed)).collect()
    }

    fn take_first(&mut self, allowed: impl Fn(&Location) -> bool) -> Option<FreeCpu> {
        let open = self.free.iter_mut().filter(|(l, _)| l.as_ref().is_none_or(&allowed));
        let waiting = open.filter(|(_, times)| !times.is_empty());
        let (location, times) =
            waiting.min_by_key(|(_, times)| times.peek().map(|Reverse(at)| *at))?;
        let Reverse(at) = times.pop()?;
        self.total -= 1;
        Some(FreeCpu { location: *location, at })
    }
}
