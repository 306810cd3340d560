//! Forecasts the wait and the duration of one stage.

use crate::PoolTimes;
use crate::figures::bounded;

/// Longer measured call durations, in milliseconds, are not plausible and count as unknown.
const MAX_CALL_MS: u32 = 600_000;

/// Higher measured rates, in pieces per second, are not plausible and count as unknown.
const MAX_DRAIN_PER_S: u32 = 100_000_000;

/// Share of the capacity that a rank has in any case: more urgent ranks rarely use all of it.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// Lowest share of the rate of full calls that a measured rate may be. A rate below it was measured
/// while calls failed or none ended, and outlasts that state.
const MIN_DRAIN_SHARE: f64 = 0.4;

/// Shorter calls, in milliseconds, count as this long.
const MIN_CALL_MS: f64 = 1.0;

/// What the forecast of a stage follows from.
#[derive(Debug, Clone, Copy)]
pub struct StageInputs<'a, R> {
    /// Pieces of the stage.
    pub pieces: u32,
    /// Queued and announced pieces that are served before them.
    pub ahead: u32,
    /// Targets that accept calls.
    pub targets: u32,
    /// Targets that can be sent a call now.
    pub free: u32,
    /// Maximum pieces of a call.
    pub batch: u32,
    /// Calls that run concurrently at a target.
    pub slots: u32,
    /// Overhead of a call, in milliseconds.
    pub call_ms: f64,
    /// Time of a piece, in milliseconds.
    pub piece_ms: f64,
    /// When the stage begins, in milliseconds from now.
    pub start_ms: f64,
    /// Rank of the request.
    pub rank: R,
    /// What the coordinator of the pool measured, if known.
    pub times: Option<&'a PoolTimes<R>>,
}

/// The forecast of a stage, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StageForecast {
    /// From the submission of its pieces to the start of their calls.
    pub wait_ms: f64,
    /// From the start of its calls to their end.
    pub service_ms: f64,
}

/// Forecasts the wait and the duration of a stage.
pub fn forecast_stage<R: Copy + Ord>(inputs: &StageInputs<'_, R>) -> StageForecast {
    let service_ms = service_ms(inputs);
    // More urgent pieces that arrive before the stage begins are announced, hence among those ahead.
    // Their rate is subtracted for the time after it only, or they would count twice.
    let batch = inputs.batch.max(1);
    let full_call_ms = call_ms(inputs, batch);
    let full_per_s = full_call_rate(inputs.targets, inputs.slots, batch, full_call_ms);
    let measured_per_s = drain_per_s(inputs).unwrap_or(full_per_s);
    let total_per_s = measured_per_s.clamp(full_per_s * MIN_DRAIN_SHARE, full_per_s);
    let drained = total_per_s * bounded(inputs.start_ms) / 1_000.0;
    let left = bounded(f64::from(inputs.ahead) - drained);
    let queue_ms = left / rank_capacity_per_s(inputs, total_per_s) * 1_000.0;
    StageForecast {
        wait_ms: bounded(queue_ms + next_free_ms(inputs, service_ms)),
        service_ms,
    }
}

fn call_ms<R>(inputs: &StageInputs<'_, R>, pieces: u32) -> f64 {
    bounded(bounded(inputs.call_ms) + bounded(inputs.piece_ms) * f64::from(pieces))
}

fn service_ms<R>(inputs: &StageInputs<'_, R>) -> f64 {
    let own_ms = call_ms(inputs, inputs.pieces.min(inputs.batch.max(1)));
    let measured = inputs.times.map_or(0, |times| times.call_ms);
    if measured > MAX_CALL_MS {
        return own_ms;
    }
    own_ms.max(f64::from(measured))
}

/// Returns the mean time until the first of the occupied targets completes its call.
fn next_free_ms<R>(inputs: &StageInputs<'_, R>, service_ms: f64) -> f64 {
    if inputs.free > 0 || inputs.targets == 0 {
        return 0.0;
    }
    service_ms / (f64::from(inputs.targets) + 1.0)
}

/// Returns the part of `total` pieces per second that is left for the rank of the request.
fn rank_capacity_per_s<R: Copy + Ord>(inputs: &StageInputs<'_, R>, total: f64) -> f64 {
    let arrivals = inputs.times.map_or(&[][..], |times| &times.arrivals);
    let urgent = arrivals.iter().filter(|(rank, _)| *rank < inputs.rank);
    let urgent_per_s: f64 = urgent.map(|(_, rate)| f64::from(*rate)).sum();
    (total - urgent_per_s).max(total * MIN_CAPACITY_SHARE)
}

fn drain_per_s<R>(inputs: &StageInputs<'_, R>) -> Option<f64> {
    let measured = inputs.times?.drain_per_s;
    let is_plausible = (1..=MAX_DRAIN_PER_S).contains(&measured);
    is_plausible.then(|| f64::from(measured))
}

/// Returns the pieces per second that `targets` targets complete with full calls of `batch` pieces,
/// `slots` at a time and each of `full_call_ms`, according to the settings. A pool without targets
/// counts as one target.
pub fn full_call_rate(targets: u32, slots: u32, batch: u32, full_call_ms: f64) -> f64 {
    let counts = [targets, slots, batch];
    let pieces: f64 = counts.map(|count| f64::from(count.max(1))).iter().product();
    pieces / bounded(full_call_ms).max(MIN_CALL_MS) * 1_000.0
}

#[cfg(test)]
mod tests;
