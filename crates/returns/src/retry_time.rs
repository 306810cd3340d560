//! When a refused caller should return.

use std::time::Duration;

/// An earlier return finds the same queue.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Reserve for the way of the next attempt and of its answer.
const TRANSIT_RESERVE: Duration = Duration::from_millis(100);

/// Callers accept a delay of at most one part in this many of the time that they have left.
const ACCEPTED_PART: u32 = 3;

/// Narrower windows let returns pile up.
const MIN_WIDTH: Duration = Duration::from_millis(200);

/// What the time to return follows from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnInputs {
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time that the request takes without waits.
    pub path: Duration,
    /// Time by which the queues are too long.
    pub excess: Duration,
    /// Share of requests of this rank that were refused recently.
    pub refused_share: f64,
    /// Time after which a return is recognized as one.
    pub distinct_after: Duration,
}

/// Returns after which time a refused caller should return, at least 100 ms. `draw` is uniform in
/// [0, 1). Numbers outside their range are clamped; one that is not a number counts as 0.
pub fn retry_after(inputs: &ReturnInputs, draw: f64) -> Duration {
    let (share, draw) = (unit_interval(inputs.refused_share), unit_interval(draw));
    let servable = servable_delay(inputs);
    let latest = servable.min(inputs.time_left / ACCEPTED_PART);
    let distinct = distinct_delay(inputs, latest);
    let earliest = distinct.max(inputs.excess);
    if earliest < latest {
        spread(earliest, latest, share, draw)
    } else if earliest <= servable {
        earliest
    } else {
        // The queue is longest now, and forecasts are wrong at times: the later, the better.
        let latest = latest_useful_delay(inputs);
        spread_before(distinct_delay(inputs, latest), latest, share, draw)
    }
}

/// Returns the longest delay that leaves time for the path.
fn servable_delay(inputs: &ReturnInputs) -> Duration {
    let path = inputs.path.saturating_add(TRANSIT_RESERVE);
    inputs.time_left.saturating_sub(path)
}

/// Returns the longest delay that a caller accepts and that leaves time for the path, if there is
/// any after the shortest delay.
fn latest_useful_delay(inputs: &ReturnInputs) -> Duration {
    let accepted = inputs.time_left / ACCEPTED_PART;
    let servable = servable_delay(inputs);
    if servable < MIN_RETRY {
        return accepted;
    }
    accepted.min(servable)
}

/// Returns the shortest delay after which a return is taken for one. A return that is taken for a
/// first attempt takes the place of one. A window before `latest` is kept: without it, callers
/// refused together would return together.
fn distinct_delay(inputs: &ReturnInputs, latest: Duration) -> Duration {
    let bound = latest.saturating_sub(MIN_WIDTH);
    inputs.distinct_after.min(bound).max(MIN_RETRY)
}

/// Returns a time between `earliest` and `latest`. More refusals make the window of possible times
/// begin later, up to the middle, and make it wider, up to half of the span.
fn spread(earliest: Duration, latest: Duration, share: f64, draw: f64) -> Duration {
    let span = latest - earliest;
    let low = earliest + (span / 2).mul_f64(share);
    let width = window_width(span, share).min(latest.saturating_sub(low));
    (low + width.mul_f64(draw)).min(latest)
}

/// Returns a time in the window of [`spread`], moved to end at `latest`; `earliest` if that is
/// later.
fn spread_before(earliest: Duration, latest: Duration, share: f64, draw: f64) -> Duration {
    let span = latest.saturating_sub(earliest);
    let width = window_width(span, share);
    latest.saturating_sub(width.mul_f64(draw)).max(earliest)
}

/// Returns the width of the window of possible times in a span.
fn window_width(span: Duration, share: f64) -> Duration {
    let calm_width = (span / 4).max(MIN_WIDTH).min(span);
    calm_width.mul_f64(1.0 - share) + (span / 2).mul_f64(share)
}

fn unit_interval(value: f64) -> f64 {
    if value.is_nan() {
        0.0
    } else {
        value.clamp(0.0, 1.0)
    }
}
