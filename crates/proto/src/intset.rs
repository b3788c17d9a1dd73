//! Compact sets of task indices or machine numbers, as kept in progress records.

use serde::{Deserialize, Serialize};

/// A set of `u32` as sorted, disjoint, non-adjacent inclusive ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IntSet {
    ranges: Vec<(u32, u32)>,
}

impl IntSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.ranges.partition_point(|&(_, hi)| hi < n);
        self.ranges.get(i).is_some_and(|&(lo, _)| lo <= n)
    }

    /// Adds `n`; returns whether it was absent before.
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

    /// Adds all numbers from `first` to `last`, both included.
    pub fn insert_range(&mut self, first: u32, last: u32) {
        match self.ranges.last_mut() {
            // Fast path: ranges mostly arrive in ascending order.
            Some(previous) if previous.1.checked_add(1) == Some(first) => previous.1 = last,
            Some(previous) if previous.1 >= first => (first..=last).for_each(|n| {
                self.insert(n);
            }),
            _ => self.ranges.push((first, last)),
        }
    }

    /// Removes `n`; returns whether it was present before.
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

    /// The smallest and the largest number; `None` if the set is empty.
    pub fn bounds(&self) -> Option<(u32, u32)> {
        Some((self.ranges.first()?.0, self.ranges.last()?.1))
    }

    /// The number of elements.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|&(lo, hi)| hi - lo + 1).sum()
    }

    /// Whether the set has no elements.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the smallest superset that has at most `max_ranges` ranges (at least one is
    /// allowed), found by filling the narrowest gaps. A set with few enough ranges is returned
    /// unchanged.
    pub fn with_ranges_at_most(&self, max_ranges: usize) -> Self {
        let excess = self.ranges.len().saturating_sub(max_ranges.max(1));
        if excess == 0 {
            return self.clone();
        }
        let mut gaps: Vec<(u32, usize)> =
            self.ranges.windows(2).enumerate().map(|(i, w)| (w[1].0 - w[0].1, i + 1)).collect();
        gaps.sort_unstable();
        let mut filled: Vec<usize> = gaps.into_iter().take(excess).map(|(_, i)| i).collect();
        filled.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::with_capacity(max_ranges);
        for (i, &(first, last)) in self.ranges.iter().enumerate() {
            match ranges.last_mut() {
                Some(previous) if filled.binary_search(&i).is_ok() => previous.1 = last,
                _ => ranges.push((first, last)),
            }
        }
        Self { ranges }
    }

    /// Returns the subset made of the `max_ranges` longest ranges. A set with few enough ranges
    /// is returned unchanged.
    pub fn longest_ranges(&self, max_ranges: usize) -> Self {
        if self.ranges.len() <= max_ranges {
            return self.clone();
        }
        let mut by_length: Vec<(u32, u32)> = self.ranges.clone();
        by_length.sort_by_key(|&(first, last)| (std::cmp::Reverse(last - first), first));
        by_length.truncate(max_ranges);
        by_length.sort_unstable();
        Self { ranges: by_length }
    }

    /// Returns the elements within `[start, start + len)`.
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

    /// Iterates over the elements in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(|&(lo, hi)| lo..=hi)
    }
}

/// Stored form of one part of a set, a window `[start, start + len)`: a list of ranges while
/// that is no longer than a bitmap, else a bitmap of 32-bit words. This bounds the size of a
/// part, so that it fits the value limit of the state service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct PackedSet {
    /// Ranges as alternating first and last numbers, both included, relative to the start of
    /// the part. Empty if the bitmap is used.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub r: Vec<u32>,
    /// Bitmap words: bit `i` of word `w` stands for number `32 * w + i` relative to the start
    /// of the part. Empty if ranges are used.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub b: Vec<u32>,
}

impl PackedSet {
    /// Packs the elements of `set` within `[start, start + len)`.
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

    /// Adds the packed numbers to `set`. Invalid ranges and numbers beyond `len` are skipped.
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
