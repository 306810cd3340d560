//! Measures the call times, the drain rate and the arrivals of a pool at its coordinator.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::arrival_meter::ArrivalMeter;
use crate::drain_meter::DrainMeter;
use crate::figures::{MAX_FIGURE, decay};

/// Time constant of the call duration.
const CALL_TIME: Duration = Duration::from_secs(1);

/// The call duration is valid for this long after the last call.
const CALL_RETENTION: Duration = Duration::from_secs(5);

/// What a coordinator measured of its pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTimes<R> {
    /// Recent duration of a call, weighted by its pieces, in milliseconds; 0 if unknown.
    pub call_ms: u32,
    /// Pieces per second that the targets which accept calls now complete while pieces are queued; 0
    /// if unknown.
    pub drain_per_s: u32,
    /// Pieces per second that arrive, by rank.
    pub arrivals: Vec<(R, u32)>,
}

/// Durations of recent calls, weighted by their pieces.
#[derive(Debug, Default)]
struct CallDuration {
    /// Decayed sum of pieces.
    pieces: f64,
    /// Decayed sum of pieces times milliseconds.
    piece_ms: f64,
    updated_at: Option<Instant>,
}

impl CallDuration {
    fn record(&mut self, pieces: u32, took: Duration, now: Instant) {
        if pieces == 0 {
            return;
        }
        let last = self.updated_at.unwrap_or(now);
        let left = decay(now.saturating_duration_since(last), CALL_TIME);
        let (pieces, took_ms) = (f64::from(pieces), took.as_secs_f64() * 1_000.0);
        self.pieces = (self.pieces * left + pieces).min(MAX_FIGURE);
        self.piece_ms = self.piece_ms * left + pieces * took_ms.min(MAX_FIGURE);
        self.updated_at = Some(now.max(last));
    }

    /// Returns the duration in milliseconds; 0 if unknown.
    fn mean_ms(&self, now: Instant) -> f64 {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at));
        if elapsed.is_none_or(|elapsed| elapsed > CALL_RETENTION) || self.pieces <= 0.0 {
            return 0.0;
        }
        (self.piece_ms / self.pieces).min(MAX_FIGURE)
    }
}

/// Measures a pool at its coordinator.
#[derive(Debug)]
pub struct PoolMeter<R> {
    calls: CallDuration,
    drain: DrainMeter,
    arrivals: ArrivalMeter<R>,
}

impl<R> Default for PoolMeter<R> {
    fn default() -> Self {
        Self {
            calls: CallDuration::default(),
            drain: DrainMeter::default(),
            arrivals: ArrivalMeter::default(),
        }
    }
}

impl<R: Copy + Ord> PoolMeter<R> {
    /// Creates a meter without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records pieces that were queued for the first time.
    pub fn record_arrival(&mut self, rank: R, pieces: u32, now: Instant) {
        self.arrivals.record(rank, pieces, now);
    }

    /// Records a call that completed `pieces` pieces in `took`.
    pub fn record_call(&mut self, pieces: u32, took: Duration, now: Instant) {
        self.calls.record(pieces, took, now);
        self.drain.record_call(pieces, now);
    }

    /// Records the number of pieces that stay queued after a dispatch.
    pub fn record_queue(&mut self, queued: u32, now: Instant) {
        self.drain.record_queue(queued, now);
    }

    /// Records the number of targets that accept calls from `now`.
    pub fn record_targets(&mut self, targets: u32, now: Instant) {
        self.drain.record_targets(targets, now);
    }

    /// Returns the measurements at `now`.
    pub fn times(&self, now: Instant) -> PoolTimes<R> {
        let drain = self.drain.rate(now);
        PoolTimes {
            call_ms: self.calls.mean_ms(now).round() as u32,
            // A pool that completes nothing has a rate as well; 0 means unknown.
            drain_per_s: drain.map_or(0, |rate| (rate.round() as u32).max(1)),
            arrivals: self.arrivals.rates(now),
        }
    }
}

#[cfg(test)]
mod tests;
