//! A rate as a target names it.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Parts of a request a second in which rates are kept.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// The highest rate that is told apart from a higher one, in requests a second.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Requests a second that a target takes from all entry hosts together, in thousandths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
pub struct RateLimit(u64);

impl RateLimit {
    /// Creates a rate of a finite number of requests a second that is not negative. One too low to be kept counts as
    /// the lowest that is.
    pub fn new(per_second: f64) -> Self {
        let units = per_second.clamp(0.0, MAX_PER_SECOND) * UNITS_PER_REQUEST;
        Self(if units > 0.0 && units < 1.0 {
            1
        } else {
            units as u64
        })
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }

    /// Returns the sum of two rates.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Why a rate cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RateParseError {
    /// It is no decimal number.
    #[display("no decimal number")]
    NotDecimal,
    /// It is below zero.
    #[display("below zero")]
    Negative,
}

/// Reads a rate: a decimal number without an exponent.
///
/// # Errors
///
/// [`RateParseError`], where it is none or is negative.
pub fn parse_rate_limit(text: &str) -> Result<RateLimit, RateParseError> {
    let text = text.trim();
    let is_decimal = |byte: u8| byte.is_ascii_digit() || b"+-.".contains(&byte);
    if !text.bytes().all(is_decimal) {
        return Err(RateParseError::NotDecimal);
    }
    let per_second: f64 = text.parse().map_err(|_| RateParseError::NotDecimal)?;
    if per_second < 0.0 {
        return Err(RateParseError::Negative);
    }
    Ok(RateLimit::new(per_second))
}

#[cfg(test)]
mod tests;
