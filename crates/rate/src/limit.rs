//! A rate limit as a target advertises it.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Resolution in which limits are stored: this many units for one request a second.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// The highest limit, in requests a second; higher ones are stored as this one.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Requests a second that a target accepts from all entry hosts together, stored in thousandths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
pub struct RateLimit(u64);

impl RateLimit {
    /// Creates a limit from a finite, non-negative number of requests a second. A positive number
    /// below the resolution is stored as the lowest positive limit.
    pub fn new(per_second: f64) -> Self {
        let units = per_second.clamp(0.0, MAX_PER_SECOND) * UNITS_PER_REQUEST;
        Self(if units > 0.0 && units < 1.0 {
            1
        } else {
            units as u64
        })
    }

    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }

    /// Returns the sum of two limits.
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Why a rate limit cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RateParseError {
    /// The text is not a decimal number.
    #[display("not a decimal number")]
    NotDecimal,
    /// The number is negative.
    #[display("below zero")]
    Negative,
}

/// Parses a rate limit: a decimal number without an exponent.
///
/// # Errors
///
/// [`RateParseError`], if the text is not a decimal number or is negative.
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
