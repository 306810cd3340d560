//! Arithmetic of measured figures: bounds and decay.

use std::time::Duration;

/// Upper bound of times, in milliseconds, and of counts; keeps sums and products finite.
pub(crate) const MAX_FIGURE: f64 = 1e12;

/// Returns `value` between 0 and [`MAX_FIGURE`]; 0 if it is not a number.
pub(crate) fn bounded(value: f64) -> f64 {
    if value.is_nan() {
        return 0.0;
    }
    value.clamp(0.0, MAX_FIGURE)
}

/// Returns the share that is left of a value after `elapsed`, at the given time constant.
pub(crate) fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
