//! Measures how many pieces per second a pool completes while pieces are queued, per target that
//! accepts calls.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::figures::MAX_FIGURE;

/// Length of a window in which completed pieces are counted. Calls last some hundred milliseconds
/// and end at different times.
const WINDOW_LENGTH: Duration = Duration::from_millis(400);

/// Share of a window in which pieces have to be queued for its rate to count.
const MIN_QUEUED_SHARE: f64 = 0.8;

/// The highest rate of this many windows is the rate of the pool: a window in which the queue ran
/// short, or in which few calls ended, shows less than the pool can do.
const RATE_WINDOWS: usize = 4;

/// A rate is valid for this long after its window. What limits a target changes rarely, and without
/// the rate too many requests are admitted when the next queue arises.
const RATE_RETENTION: Duration = Duration::from_secs(60);

/// Largest change of the number of targets, as a share of the largest number, at which a window
/// counts. Targets that were lost or added do not complete calls for all of the time they count.
const MAX_TARGET_CHANGE: f64 = 0.2;

/// Number of full windows before the first rate is known. In the first one the calls of a new
/// coordinator start together and end together, so it holds too few or too many of them.
const MIN_FULL_WINDOWS: u32 = 2;

/// The rate of one window.
#[derive(Debug, Clone, Copy)]
struct WindowRate {
    pieces_per_target_s: f64,
    ended_at: Instant,
}

/// The number of targets over a span of time.
#[derive(Debug, Clone, Copy)]
struct TargetCount {
    least: u32,
    most: u32,
    /// Sum of targets times seconds.
    target_s: f64,
}

impl TargetCount {
    fn new(targets: u32) -> Self {
        Self {
            least: targets,
            most: targets,
            target_s: 0.0,
        }
    }

    fn set(&mut self, targets: u32) {
        self.least = self.least.min(targets);
        self.most = self.most.max(targets);
    }

    fn is_steady(&self) -> bool {
        self.most > 0
            && f64::from(self.most - self.least) <= f64::from(self.most) * MAX_TARGET_CHANGE
    }
}

/// The window in which pieces are counted now.
#[derive(Debug, Clone, Copy)]
struct OpenWindow {
    started_at: Instant,
    pieces: f64,
    calls: u32,
    targets: TargetCount,
    /// Time with queued pieces up to `advanced_to`.
    queued: Duration,
    advanced_to: Instant,
}

impl OpenWindow {
    fn new(started_at: Instant, targets: u32) -> Self {
        Self {
            started_at,
            pieces: 0.0,
            calls: 0,
            targets: TargetCount::new(targets),
            queued: Duration::ZERO,
            advanced_to: started_at,
        }
    }

    /// Adds the time up to `now`, in which `targets` targets accepted calls.
    fn advance(&mut self, is_queued: bool, targets: u32, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_to);
        if is_queued {
            self.queued += elapsed;
        }
        self.targets.target_s += f64::from(targets) * elapsed.as_secs_f64();
        self.advanced_to = self.advanced_to.max(now);
    }

    fn length(&self) -> Duration {
        self.advanced_to.saturating_duration_since(self.started_at)
    }

    /// Returns whether pieces were queued for a number of targets that did not change much.
    fn is_full(&self) -> bool {
        let queued_share = self.queued.div_duration_f64(self.length());
        queued_share >= MIN_QUEUED_SHARE && self.targets.is_steady()
    }
}

/// The full windows of a meter until it knows a rate.
#[derive(Debug, Default)]
struct WarmUp {
    windows: u32,
    calls: u32,
    is_over: bool,
}

impl WarmUp {
    /// Adds a full window. It ends the warm-up if it is not the first one and a call has been
    /// completed for each target.
    fn add(&mut self, window: &OpenWindow) {
        self.windows = self.windows.saturating_add(1);
        self.calls = self.calls.saturating_add(window.calls);
        self.is_over |= self.windows >= MIN_FULL_WINDOWS && self.calls >= window.targets.most;
    }
}

/// Completed pieces per second of a pool with a queue.
#[derive(Debug, Default)]
pub(crate) struct DrainMeter {
    is_queued: bool,
    /// Targets that accept calls; a pool for which none were recorded counts as one target.
    targets: Option<u32>,
    window: Option<OpenWindow>,
    /// Whether the window before was a full one. Calls that end in the first window of a queue were
    /// dispatched before it and may hold fewer pieces; those that end in the first window after a
    /// change of the targets may be of targets that no longer count.
    was_full: bool,
    warm_up: WarmUp,
    rates: VecDeque<WindowRate>,
}

impl DrainMeter {
    /// Records a call that completed `pieces` pieces.
    pub(crate) fn record_call(&mut self, pieces: u32, now: Instant) {
        let window = self.advance(now);
        window.pieces = (window.pieces + f64::from(pieces)).min(MAX_FIGURE);
        window.calls = window.calls.saturating_add(1);
    }

    /// Records the number of pieces that are queued from `now`.
    pub(crate) fn record_queue(&mut self, queued: u32, now: Instant) {
        self.advance(now);
        self.is_queued = queued > 0;
    }

    /// Records the number of targets that accept calls from `now`.
    pub(crate) fn record_targets(&mut self, targets: u32, now: Instant) {
        // The first count is no change of the one that stood for it.
        if self.targets.replace(targets).is_none() {
            self.window = None;
        }
        self.advance(now).targets.set(targets);
    }

    /// Returns the pieces per second of the present targets; `None` if unknown or too old.
    pub(crate) fn rate(&self, now: Instant) -> Option<f64> {
        if self.is_stalled(now) {
            return Some(0.0);
        }
        let targets = self.target_count();
        if targets == 0 || !self.warm_up.is_over {
            return None;
        }
        let valid = self
            .rates
            .iter()
            .filter(|rate| now.saturating_duration_since(rate.ended_at) <= RATE_RETENTION);
        let highest = valid
            .map(|rate| rate.pieces_per_target_s)
            .reduce(f64::max)?;
        Some((highest * f64::from(targets)).min(MAX_FIGURE))
    }

    fn target_count(&self) -> u32 {
        self.targets.unwrap_or(1)
    }

    /// Returns whether pieces are queued and nothing was recorded for as long as all closed windows.
    fn is_stalled(&self, now: Instant) -> bool {
        let recorded_at = self.window.map_or(now, |window| window.advanced_to);
        let silence = now.saturating_duration_since(recorded_at);
        self.is_queued && silence >= WINDOW_LENGTH * RATE_WINDOWS as u32
    }

    /// Adds the time up to `now` to the open window, and closes it if it is complete.
    fn advance(&mut self, now: Instant) -> &mut OpenWindow {
        let targets = self.target_count();
        let mut window = self.window.unwrap_or_else(|| OpenWindow::new(now, targets));
        window.advance(self.is_queued, targets, now);
        if window.length() >= WINDOW_LENGTH {
            self.close(&window);
            window = OpenWindow::new(window.advanced_to, targets);
        }
        self.window.insert(window)
    }

    fn close(&mut self, window: &OpenWindow) {
        let is_full = window.is_full();
        if is_full {
            self.warm_up.add(window);
        }
        if is_full && self.was_full {
            self.rates.push_back(WindowRate {
                pieces_per_target_s: window.pieces / window.targets.target_s,
                ended_at: window.advanced_to,
            });
        }
        while self.rates.len() > RATE_WINDOWS {
            self.rates.pop_front();
        }
        self.was_full = is_full;
    }
}
