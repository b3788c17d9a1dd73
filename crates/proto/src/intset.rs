//! Compact sets of task numbers, as kept in progress records.

use serde::{Deserialize, Serialize};

/// A set of `u32` as sorted, disjoint, non-adjacent inclusive ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IntSet {
    ranges: Vec<(u32, u32)>,
}

impl IntSet {
    /// The empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.ranges.partition_point(|&(_, hi)| hi < n);
        self.ranges.get(i).is_some_and(|&(lo, _)| lo <= n)
    }

    /// Adds `n`; true if it was not there.
    pub fn insert(&mut self, n: u32) -> bool {
        let i = self.ranges.partition_point(|&(_, hi)| hi < n);
        if self.ranges.get(i).is_some_and(|&(lo, _)| lo <= n) {
            return false;
        }
        let joins_left = i > 0 && self.ranges[i - 1].1 + 1 == n;
        let joins_right = self.ranges.get(i).is_some_and(|&(lo, _)| n + 1 == lo);
        match (joins_left, joins_right) {
            (true, true) => {
                self.ranges[i - 1].1 = self.ranges[i].1;
                self.ranges.remove(i);
            }
            (true, false) => self.ranges[i - 1].1 = n,
            (false, true) => self.ranges[i].0 = n,
            (false, false) => self.ranges.insert(i, (n, n)),
        }
        true
    }

    /// Adds all numbers from `first` to `last`.
    pub fn insert_range(&mut self, first: u32, last: u32) {
        match self.ranges.last_mut() {
            // Ranges mostly come in order.
            Some(before) if before.1.checked_add(1) == Some(first) => before.1 = last,
            Some(before) if before.1 >= first => (first..=last).for_each(|n| {
                self.insert(n);
            }),
            _ => self.ranges.push((first, last)),
        }
    }

    /// Removes `n`; true if it was there.
    pub fn remove(&mut self, n: u32) -> bool {
        let i = self.ranges.partition_point(|&(_, hi)| hi < n);
        let Some(&(lo, hi)) = self.ranges.get(i).filter(|&&(lo, _)| lo <= n) else {
            return false;
        };
        match (lo == n, hi == n) {
            (true, true) => {
                self.ranges.remove(i);
            }
            (true, false) => self.ranges[i].0 = n + 1,
            (false, true) => self.ranges[i].1 = n - 1,
            (false, false) => {
                self.ranges[i].1 = n - 1;
                self.ranges.insert(i + 1, (n + 1, hi));
            }
        }
        true
    }

    /// The smallest and the largest number.
    pub fn bounds(&self) -> Option<(u32, u32)> {
        Some((self.ranges.first()?.0, self.ranges.last()?.1))
    }

    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|&(lo, hi)| hi - lo + 1).sum()
    }

    /// Whether nothing is in the set.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// This set, or the smallest one that holds it and has no more than `most` ranges:
    /// the narrowest gaps between ranges are filled.
    pub fn with_ranges_at_most(&self, most: usize) -> Self {
        let excess = self.ranges.len().saturating_sub(most.max(1));
        if excess == 0 {
            return self.clone();
        }
        let mut gaps: Vec<(u32, usize)> =
            self.ranges.windows(2).enumerate().map(|(i, w)| (w[1].0 - w[0].1, i + 1)).collect();
        gaps.sort_unstable();
        let mut filled: Vec<usize> = gaps.into_iter().take(excess).map(|(_, i)| i).collect();
        filled.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::with_capacity(most);
        for (i, &(first, last)) in self.ranges.iter().enumerate() {
            match ranges.last_mut() {
                Some(before) if filled.binary_search(&i).is_ok() => before.1 = last,
                _ => ranges.push((first, last)),
            }
        }
        Self { ranges }
    }

    /// This set, or the part of it that lies in its `most` longest ranges.
    pub fn longest_ranges(&self, most: usize) -> Self {
        if self.ranges.len() <= most {
            return self.clone();
        }
        let mut by_length: Vec<(u32, u32)> = self.ranges.clone();
        by_length.sort_by_key(|&(first, last)| (std::cmp::Reverse(last - first), first));
        by_length.truncate(most);
        by_length.sort_unstable();
        Self { ranges: by_length }
    }

    /// The numbers of this set within `[start, start + len)`.
    pub fn within(&self, start: u32, len: u32) -> Self {
        let end = start.saturating_add(len);
        let ranges = self
            .ranges
            .iter()
            .filter(|&&(first, last)| last >= start && first < end)
            .map(|&(first, last)| (first.max(start), last.min(end - 1)))
            .collect();
        Self { ranges }
    }

    /// All numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(|&(lo, hi)| lo..=hi)
    }
}

/// The stored form of a part of a set: ranges while they are few, else a bit
/// map in words of 32, so that a part never outgrows a value of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct PackedSet {
    /// Range bounds, first and last alternating, relative to the part's start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub r: Vec<u32>,
    /// Bit map words.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub b: Vec<u32>,
}

impl PackedSet {
    /// Packs the numbers of `set` within `[start, start + len)`.
    pub fn pack(set: &IntSet, start: u32, len: u32) -> Self {
        let inside: Vec<(u32, u32)> = set
            .within(start, len)
            .ranges
            .iter()
            .map(|&(lo, hi)| (lo - start, hi - start))
            .collect();
        let words = len.div_ceil(32) as usize;
        if inside.len() * 2 <= words {
            return Self { r: inside.iter().flat_map(|&(a, b)| [a, b]).collect(), b: Vec::new() };
        }
        let mut b = vec![0u32; words];
        for n in inside.iter().flat_map(|&(lo, hi)| lo..=hi) {
            b[(n / 32) as usize] |= 1 << (n % 32);
        }
        Self { r: Vec::new(), b }
    }

    /// Adds the packed numbers to `set`. Nonsense ranges are skipped.
    pub fn unpack(&self, start: u32, len: u32, set: &mut IntSet) {
        for pair in self.r.chunks_exact(2) {
            if pair[0] <= pair[1] && pair[1] < len {
                set.insert_range(start + pair[0], start + pair[1]);
            }
        }
        for (w, bits) in self.b.iter().enumerate() {
            for i in (0..32).filter(|i| bits & (1 << i) != 0) {
                let n = w as u32 * 32 + i;
                if n < len {
                    set.insert(start + n);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "tests/intset.rs"]
mod tests;
