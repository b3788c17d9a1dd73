//! Samples of a quantity over a recent time span.

use crate::consts::FLEET_EVERY_S;
use crate::event::Secs;
use std::collections::VecDeque;

/// Share of a span that samples must cover to be representative.
const COVERED_SHARE: f64 = 0.8;

/// One sample of the quantity.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Secs,
    value: f64,
}

/// Samples of a quantity, one for each scaling round.
#[derive(Debug, Default)]
pub(crate) struct RecentSamples {
    samples: VecDeque<Sample>,
}

impl RecentSamples {
    /// Adds a sample, and drops those older than `span` seconds.
    pub(crate) fn add(&mut self, now: Secs, value: f64, span: Secs) {
        self.samples.push_back(Sample { at: now, value });
        while self.samples.front().is_some_and(|oldest| now - oldest.at > span) {
            self.samples.pop_front();
        }
    }

    /// Whether the samples cover most of the span (seconds).
    pub(crate) fn covers(&self, span: Secs) -> bool {
        self.samples.len() as f64 * FLEET_EVERY_S >= span * COVERED_SHARE
    }

    /// The lowest sampled value, which the quantity held throughout.
    pub(crate) fn least(&self) -> f64 {
        self.samples.iter().map(|sample| sample.value).fold(f64::INFINITY, f64::min)
    }

    /// Drops all samples.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
