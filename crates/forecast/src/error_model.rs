//! Learns by how much the stages of requests take longer or shorter than forecast, by rank.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::figures::{bounded, decay};

/// Weight of a new sample.
const SAMPLE_GAIN: f64 = 0.2;

/// Time constant with which the errors of a rank without samples fade.
const FADE_TIME: Duration = Duration::from_secs(5);

/// Bounds of the bias, as shares of the forecast.
const MIN_BIAS: f64 = -0.25;
const MAX_BIAS: f64 = 0.5;

/// Bounds of a sample, as shares of the forecast. They are wider than those of the bias, so that the
/// spread includes what the bias may not, and one outlier does not prevail for long.
const MIN_SAMPLE: f64 = -0.5;
const MAX_SAMPLE: f64 = 1.0;

/// Nine tenths of normally distributed errors are below this many mean absolute deviations: at most
/// a tenth of admitted requests may miss the objective.
const MARGIN_DEVIATIONS: f64 = 1.6;

/// Maximum number of ranks with errors of their own.
const MAX_RANKS: usize = 64;

/// Shorter forecasts, in milliseconds, are not recorded: their errors are not proportional to them.
const MIN_FORECAST_MS: f64 = 1.0;

/// The correction of a forecast, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Correction {
    /// Mean error; added to the forecast.
    pub bias_ms: f64,
    /// Margin above the corrected forecast under which nine tenths of requests stay.
    pub spread_ms: f64,
}

/// Errors of one rank, as shares of the forecast.
#[derive(Debug, Clone, Copy)]
struct RankErrors {
    mean: f64,
    deviation: f64,
    updated_at: Instant,
}

impl RankErrors {
    fn faded(&self, now: Instant) -> Self {
        let left = decay(now.saturating_duration_since(self.updated_at), FADE_TIME);
        Self {
            mean: self.mean * left,
            deviation: self.deviation * left,
            updated_at: self.updated_at.max(now),
        }
    }

    fn add_sample(&mut self, error: f64) {
        self.deviation += ((error - self.mean).abs() - self.deviation) * SAMPLE_GAIN;
        self.mean += (error - self.mean) * SAMPLE_GAIN;
    }
}

/// Errors of recent forecasts, by rank.
#[derive(Debug)]
pub struct ErrorModel<R> {
    ranks: BTreeMap<R, RankErrors>,
}

impl<R> Default for ErrorModel<R> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
        }
    }
}

impl<R: Copy + Ord> ErrorModel<R> {
    /// Creates a model without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long the stages of a request took that were forecast, without correction, to take
    /// `forecast_ms`.
    pub fn record(&mut self, rank: R, forecast_ms: f64, took_ms: f64, now: Instant) {
        let forecast_ms = bounded(forecast_ms);
        if took_ms.is_nan() || forecast_ms < MIN_FORECAST_MS {
            return;
        }
        let error = (bounded(took_ms) - forecast_ms) / forecast_ms;
        self.make_room(rank);
        let none = RankErrors {
            mean: 0.0,
            deviation: 0.0,
            updated_at: now,
        };
        let errors = self.ranks.entry(rank).or_insert(none);
        *errors = errors.faded(now);
        errors.add_sample(error.clamp(MIN_SAMPLE, MAX_SAMPLE));
    }

    /// Returns the correction of a forecast of `forecast_ms` for a rank.
    pub fn correction(&self, rank: R, forecast_ms: f64, now: Instant) -> Correction {
        let Some(errors) = self.ranks.get(&rank) else {
            return Correction::default();
        };
        let (errors, forecast_ms) = (errors.faded(now), bounded(forecast_ms));
        Correction {
            bias_ms: errors.mean.clamp(MIN_BIAS, MAX_BIAS) * forecast_ms,
            spread_ms: errors.deviation * MARGIN_DEVIATIONS * forecast_ms,
        }
    }

    /// Drops the rank with the oldest sample if a new one would be too many.
    fn make_room(&mut self, rank: R) {
        if self.ranks.contains_key(&rank) || self.ranks.len() < MAX_RANKS {
            return;
        }
        let oldest = self
            .ranks
            .iter()
            .min_by_key(|(_, errors)| errors.updated_at);
        if let Some(oldest) = oldest.map(|(rank, _)| *rank) {
            self.ranks.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
