//! Learns how much longer requests wait than the queues at their admission said.
//!
//! More urgent requests that come later go first, and targets fail meanwhile, so waits grow after a
//! request was admitted; how much differs by its rank.

use std::collections::HashMap;
use std::time::Duration;

use crate::ask::Rank;

/// Weight of a new observation.
const GAIN: f64 = 0.2;

/// Bounds of what one observation says.
const LEAST_RATIO: f64 = 0.5;
const MOST_RATIO: f64 = 6.0;

/// The most that one observation says of the stretch: what is more comes of a fault, not of how pieces
/// share calls.
const MOST_STRETCH: f64 = 1.0;

/// Waits shorter than this say little about queues, in milliseconds.
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

/// What was learned of one rank.
#[derive(Debug, Clone, Copy)]
struct RankWaits {
    /// Time beside the plan where little waits, as a part of the time of the stages: calls that carry
    /// pieces of others take longer, and each starts only when a target is free.
    stretch: f64,
    /// Real against planned waits where there are queues.
    ratio: f64,
}

impl Default for RankWaits {
    fn default() -> Self {
        Self {
            stretch: 0.0,
            ratio: 1.0,
        }
    }
}

/// Time that requests need beside their plan, by rank.
#[derive(Debug, Default)]
pub(crate) struct WaitModel {
    ranks: HashMap<Rank, RankWaits>,
}

impl WaitModel {
    /// Returns how long a request will take, with what was learned, in milliseconds.
    pub(crate) fn expected_ms(&self, rank: Rank, plan: &PathPlan) -> f64 {
        let known = self.ranks.get(&rank).copied().unwrap_or_default();
        let waits = plan.waits_ms * known.ratio.max(1.0);
        plan.stages_ms * (1.0 + known.stretch) + waits + plan.reading_ms
    }

    /// Learns from a request whose stages took so long.
    pub(crate) fn learn(&mut self, rank: Rank, plan: &PathPlan, took: Duration) {
        let known = self.ranks.entry(rank).or_default();
        let beside = took.as_secs_f64() * 1_000.0 - plan.stages_ms;
        if plan.waits_ms < LEAST_WAIT_MS {
            // A request without pieces says nothing.
            if plan.stages_ms > 0.0 {
                let stretch = (beside - plan.waits_ms) / plan.stages_ms;
                known.stretch += (stretch.clamp(0.0, MOST_STRETCH) - known.stretch) * GAIN;
            }
            return;
        }
        let waited = beside - plan.stages_ms * known.stretch;
        let ratio = (waited / plan.waits_ms).clamp(LEAST_RATIO, MOST_RATIO);
        known.ratio += (ratio - known.ratio) * GAIN;
    }
}

#[cfg(test)]
mod tests;
