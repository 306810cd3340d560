//! How many requests a second a host can serve.

use std::time::{Duration, Instant};

/// Interval between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay that a host adds at full use. A request passes the host's processor several times, so
/// several times this delay is added to its time.
const TARGET_DELAY: Duration = Duration::from_millis(15);

/// Largest cut of the rate in one interval: the delay falls only once requests that were admitted
/// before have ended.
const MAX_CUT: f64 = 0.2;

/// Intervals for which one update counts at most. A delayed host is late with its updates too.
const MAX_INTERVALS: f64 = 5.0;

/// Cut for each multiple of the target by which it is exceeded.
const CUT_PER_TARGET: f64 = 0.1;

/// Growth of the rate in one interval without delay.
const GROWTH: f64 = 0.08;

/// The same close to a rate at which the host was delayed a short while ago.
const CAREFUL_GROWTH: f64 = 0.02;
const CLOSE_PART: f64 = 0.8;
const CAREFUL_TIME: Duration = Duration::from_secs(5);

/// Part of the completed requests that is admitted in spite of a delay; the rest of the capacity
/// goes to the requests that were admitted before. Without it a host idles as soon as the requests
/// that cause the delay have ended.
const KEPT_PART: f64 = 0.8;

/// Smallest rate. So few requests are not what delays a host, and one that refused all would not
/// learn that it can serve some again.
const MIN_RATE: f64 = 10.0;

/// Number of requests in flight below which they are not what delays a host.
const MIN_OPEN: usize = 16;

/// Multiple of the demand from which on the rate is not limited any more.
const MAX_DEMANDS: f64 = 4.0;

/// What callers ask of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RequestLoad {
    /// Requests per second that arrived of late.
    pub(crate) demand: f64,
    /// Requests per second that were served of late.
    pub(crate) completed: f64,
    /// Requests in flight.
    pub(crate) open: usize,
}

/// The rate of the requests to admit, which follows the delay that the host adds.
#[derive(Debug, Clone, Default)]
pub(crate) struct AdmittedRate {
    /// Requests per second; `None` without a limit.
    limit: Option<f64>,
    updated_at: Option<Instant>,
    /// The rate before the last series of cuts, and the time of the last one.
    last_cut: Option<(f64, Instant)>,
    is_falling: bool,
}

impl AdmittedRate {
    /// Creates a rate without a limit.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the limit in requests per second; `None` if there is none.
    pub(crate) fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Adapts the limit to a delay; returns whether an update was due.
    pub(crate) fn update(&mut self, delay: Duration, load: RequestLoad, now: Instant) -> bool {
        let since = self.updated_at.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < UPDATE_INTERVAL) {
            return false;
        }
        self.updated_at = Some(now);
        let intervals = since.map_or(1.0, |since| since.div_duration_f64(UPDATE_INTERVAL));
        let intervals = intervals.min(MAX_INTERVALS);
        let excess = delay.div_duration_f64(TARGET_DELAY) - 1.0;
        if excess <= 0.0 {
            self.grow(intervals, load, now);
        } else if load.open >= MIN_OPEN {
            self.cut(excess, intervals, load, now);
        }
        true
    }

    fn cut(&mut self, excess: f64, intervals: f64, load: RequestLoad, now: Instant) {
        let current = self
            .limit
            .map_or(load.demand, |limit| limit.min(load.demand));
        let before = self.last_cut.filter(|_| self.is_falling);
        let before = before.map_or(current, |(rate, _)| rate);
        self.last_cut = Some((before, now));
        self.is_falling = true;
        let factor = 1.0 - (excess * CUT_PER_TARGET).min(MAX_CUT);
        let least = (load.completed * KEPT_PART).min(current).max(MIN_RATE);
        self.limit = Some((current * factor.powf(intervals)).max(least));
    }

    fn grow(&mut self, intervals: f64, load: RequestLoad, now: Instant) {
        self.is_falling = false;
        let Some(limit) = self.limit else {
            return;
        };
        let is_close = |(rate, at): (f64, Instant)| {
            limit > rate * CLOSE_PART && now.saturating_duration_since(at) < CAREFUL_TIME
        };
        let growth = match self.last_cut.is_some_and(is_close) {
            true => CAREFUL_GROWTH,
            false => GROWTH,
        };
        let limit = limit * (1.0 + growth).powf(intervals);
        self.limit = Some(limit)
            .filter(|limit| *limit < (load.demand * MAX_DEMANDS).max(MIN_RATE * MAX_DEMANDS));
    }
}

#[cfg(test)]
mod tests;
