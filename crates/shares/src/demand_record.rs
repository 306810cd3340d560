//! The demand of one account in one rank.

use std::time::Duration;

/// Demand is counted in windows of one report interval, so that each host reports once in each.
pub(crate) const WINDOW: Duration = Duration::from_millis(250);

/// Time constant of demand, in seconds. Small accounts, whose steps are within the noise, follow a
/// burst with it: 1 s serves them 0.11 better than the mean in a burst of all accounts. At 0.4 s
/// their limits are noisy.
const DEMAND_SECONDS: f64 = 0.7;

/// Time constant of usual demand, in seconds; longer than the bursts that are limited.
const USUAL_SECONDS: f64 = 30.0;

/// Time in which usual demand may double, in seconds.
const DOUBLING_SECONDS: f64 = 30.0;

/// Windows in which an account is new; 1 s, so that its demand is known then.
const NEW_WINDOWS: u32 = 4;

/// A window above demand by this factor is a step and replaces the mean: following a step with
/// the time constant alone admits a burst for more than a second. At 1.25, noise counts as steps,
/// which overstates demand and leaves 7% of a pool unused.
const STEP_FACTOR: f64 = 1.75;

/// The least step, as a part of the demand of all accounts; smaller ones are noise.
const STEP_PART: f64 = 0.05;

/// How much larger a step is than its first window shows: the reports in it cover the time before
/// the step too, half of the time on average.
const FIRST_STEP_FACTOR: f64 = 2.0;

/// The demand of one account in one rank.
#[derive(Debug, Clone)]
pub(crate) struct DemandRecord {
    mean_per_s: f64,
    window_pieces: f64,
    /// Whether the window before was a step too.
    was_step: bool,
    /// Pieces of the windows that ended last.
    ended_pieces: f64,
    /// Windows of a new account.
    new_windows: u32,
    /// `None` until `NEW_WINDOWS` have ended.
    usual_per_s: Option<f64>,
    idle_windows: u32,
    /// Share of its requests that is admitted, in thousandths, by the last limits.
    pub admit_permille: u16,
}

impl Default for DemandRecord {
    fn default() -> Self {
        Self {
            mean_per_s: 0.0,
            window_pieces: 0.0,
            was_step: false,
            ended_pieces: 0.0,
            new_windows: 0,
            usual_per_s: None,
            idle_windows: 0,
            admit_permille: 1_000,
        }
    }
}

impl DemandRecord {
    pub fn add(&mut self, pieces: f64) {
        self.window_pieces += pieces;
    }

    /// Returns the demand, in pieces per second. `total_per_s` is that of all accounts.
    pub fn demand(&self, total_per_s: f64) -> f64 {
        match self.step(total_per_s) {
            Some(step) if self.was_step || self.mean_per_s == 0.0 => self.mean_per_s + step,
            Some(step) => self.mean_per_s + step * FIRST_STEP_FACTOR,
            None => self.mean_per_s,
        }
    }

    /// Returns by how much the open window is above the mean, if that is a step.
    fn step(&self, total_per_s: f64) -> Option<f64> {
        let window_per_s = self.window_pieces / WINDOW.as_secs_f64();
        let step = window_per_s - self.mean_per_s;
        let is_step = window_per_s > STEP_FACTOR * self.mean_per_s;
        (is_step && step > STEP_PART * total_per_s).then_some(step)
    }

    /// Returns the demand without the window that is still open, in pieces per second.
    pub fn mean(&self) -> f64 {
        self.mean_per_s
    }

    /// Returns the usual demand without a floor, if a window has ended.
    pub fn usual(&self) -> Option<f64> {
        self.usual_per_s
    }

    /// Returns for how many windows the account asked for nothing.
    pub fn idle_windows(&self) -> u32 {
        self.idle_windows
    }

    /// Ends the open window, and `empty` more windows without any report.
    pub fn end_windows(&mut self, empty: u32, total_per_s: f64) {
        let window = WINDOW.as_secs_f64();
        let demand = self.demand(total_per_s);
        self.was_step = self.step(total_per_s).is_some();
        self.mean_per_s = if self.was_step {
            demand
        } else {
            let gain = 1.0 - (-window / DEMAND_SECONDS).exp();
            demand + (self.window_pieces / window - demand) * gain
        };
        self.mean_per_s *= (-window * f64::from(empty) / DEMAND_SECONDS).exp();
        self.idle_windows = if self.window_pieces > 0.0 {
            empty
        } else {
            self.idle_windows.saturating_add(empty + 1)
        };
        self.ended_pieces = std::mem::take(&mut self.window_pieces);
    }

    /// Moves the usual demand towards the demand of the windows that ended. That of a new account
    /// begins between `floor` and `most`, in pieces per second. The mean is no input to the
    /// changes, as steps bias that of small accounts upwards.
    pub fn follow(&mut self, windows: u32, floor: f64, most: f64) {
        let seconds = WINDOW.as_secs_f64() * f64::from(windows);
        let Some(usual) = self.usual_per_s else {
            self.new_windows += windows;
            if self.new_windows >= NEW_WINDOWS {
                self.usual_per_s = Some(self.mean_per_s.clamp(floor, most));
            }
            return;
        };
        let gain = 1.0 - (-seconds / USUAL_SECONDS).exp();
        let most = usual.max(floor) * (seconds / DOUBLING_SECONDS).exp2();
        self.usual_per_s = Some((usual + (self.ended_pieces / seconds - usual) * gain).min(most));
    }
}
