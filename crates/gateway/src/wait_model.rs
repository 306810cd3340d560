//! Learns how much longer requests wait than the queues at their admission said.
//!
//! More urgent requests that come later go first, and targets fail meanwhile, so waits grow after a
//! request was admitted; how much differs by its rank.

use std::collections::HashMap;
use std::time::Duration;

use crate::caller_request::Rank;

/// Weight of a new observation.
const GAIN: f64 = 0.2;

/// Bounds of what one observation says.
const LEAST_RATIO: f64 = 0.5;
const MOST_RATIO: f64 = 6.0;

/// Waits shorter than this are taken as so long, in milliseconds: their ratios say little.
const LEAST_WAIT_MS: f64 = 80.0;

/// How long a request will take, by the queues at its admission.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PathPlan {
    /// Time of its stages where nothing waits, in milliseconds.
    pub(crate) stages_ms: f64,
    /// All waits on the longest way, in milliseconds.
    pub(crate) waits_ms: f64,
    /// Time that its target reads the prompt, in milliseconds.
    pub(crate) reading_ms: f64,
}

/// Ratios of real to planned waits, by rank.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    ratios: HashMap<Rank, f64>,
}

impl WaitModel {
    /// Returns how long a request will take, with what was learned, in milliseconds.
    pub(crate) fn expected_ms(&self, rank: Rank, plan: &PathPlan) -> f64 {
        let ratio = self.ratios.get(&rank).copied().unwrap_or(1.0);
        plan.stages_ms + plan.waits_ms * ratio.max(1.0) + plan.reading_ms
    }

    /// Learns from a request whose stages took so long.
    pub(crate) fn learn(&mut self, rank: Rank, plan: &PathPlan, took: Duration) {
        let waited = took.as_secs_f64() * 1_000.0 - plan.stages_ms;
        let planned = plan.waits_ms.max(LEAST_WAIT_MS);
        let ratio = (waited / planned).clamp(LEAST_RATIO, MOST_RATIO);
        let known = self.ratios.entry(rank).or_insert(1.0);
        *known += (ratio - *known) * GAIN;
    }
}

#[cfg(test)]
mod tests;
