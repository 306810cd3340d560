//! Learns how much longer requests wait than the queues indicated at their admission.
//!
//! More urgent requests that arrive later are served first, and targets fail meanwhile, so waits
//! grow after a request was admitted. By how much depends on its rank.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::rank::Rank;

/// Weight of a new sample.
const RATIO_GAIN: f64 = 0.2;

/// Bounds to which a sample is clamped.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 6.0;

/// Shorter planned waits are raised to this value, in milliseconds, since their ratios mean little.
const MIN_WAIT_MS: f64 = 80.0;

/// Expected duration of a request, according to the queues at its admission.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PathEstimate {
    /// Duration of its stages without any waits, in milliseconds.
    pub(crate) stages_ms: f64,
    /// Sum of the waits on the longest path, in milliseconds.
    pub(crate) waits_ms: f64,
    /// Prefill time of the prompt at its target, in milliseconds.
    pub(crate) prefill_ms: f64,
}

impl PathEstimate {
    /// Returns the expected time until the first event, in milliseconds.
    pub(crate) fn total_ms(&self) -> f64 {
        self.stages_ms + self.waits_ms + self.prefill_ms
    }
}

/// Ratio of actual to planned waits of one rank.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitRatio {
    pub(crate) ratio: f64,
    /// When the last sample was recorded; `None` if there was none.
    pub(crate) sampled_at: Option<Instant>,
}

/// Ratios of actual to planned waits, by rank.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    ratios: HashMap<Rank, WaitRatio>,
}

impl WaitModel {
    /// Returns the expected duration of a request, corrected by the learned ratio of its rank, in
    /// milliseconds.
    pub(crate) fn expected_ms(&self, rank: Rank, plan: &PathEstimate) -> f64 {
        let ratio = self.wait_ratio(rank).ratio;
        plan.stages_ms + plan.waits_ms * ratio.max(1.0) + plan.prefill_ms
    }

    /// Returns the learned ratio of a rank.
    pub(crate) fn wait_ratio(&self, rank: Rank) -> WaitRatio {
        let unknown = WaitRatio {
            ratio: 1.0,
            sampled_at: None,
        };
        self.ratios.get(&rank).copied().unwrap_or(unknown)
    }

    /// Updates the ratio of a rank with a request whose stages took `took`.
    pub(crate) fn record_wait(&mut self, rank: Rank, plan: &PathEstimate, took: Duration) {
        let waited = took.as_secs_f64() * 1_000.0 - plan.stages_ms;
        let planned = plan.waits_ms.max(MIN_WAIT_MS);
        let ratio = (waited / planned).clamp(MIN_RATIO, MAX_RATIO);
        let mut known = self.wait_ratio(rank);
        known.ratio += (ratio - known.ratio) * RATIO_GAIN;
        known.sampled_at = Some(Instant::now());
        self.ratios.insert(rank, known);
    }
}

#[cfg(test)]
mod tests;
