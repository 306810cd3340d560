//! What a target states about itself in the headers of a response: that it accepts no requests for
//! a while, its rate limit, or that it is leaving.

use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use linnet_rate::{RateLimit, parse_rate_limit};

use crate::Protocol;

/// Longest back-off that is applied, so that a nonsensical value does not exclude a target until
/// its next incarnation.
const MAX_BACK_OFF: Duration = Duration::from_secs(3_600);

/// What the headers of a response state about the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TargetNotice {
    /// How long the target accepts nothing from this host. Set only if it refused the request.
    pub(crate) back_off: Option<Duration>,
    /// Whether the target is leaving, and so accepts no new work.
    pub(crate) leaving: bool,
    /// What the headers state about the rate limit of the target.
    pub(crate) rate_limit: RateNotice,
}

/// What the headers of a response state about the rate limit of the target, which applies to the
/// requests of all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RateNotice {
    /// Nothing: the headers are not to be attributed to this target.
    #[default]
    Ignored,
    /// The target accepts any rate.
    Unlimited,
    /// The target has this limit.
    Limited(RateLimit),
    /// The limit cannot be parsed; the known limit stays.
    Invalid,
}

impl TargetNotice {
    /// Returns whether the target asks to receive no work, for a while or for good.
    pub(crate) fn stops_work(&self) -> bool {
        self.back_off.is_some() || self.leaving
    }
}

/// Why a Retry-After value cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum RetryAfterError {
    /// The value is not text.
    #[display("not text")]
    NotText,
    /// The value is neither a number of seconds nor a date.
    #[display("neither seconds nor a date")]
    NotATime,
}

/// Parses what the headers of a response state about the target. Responses that belong to other
/// requests may be old; they do not get here.
pub(crate) fn parse_notice(protocol: &Protocol, head: &Parts) -> TargetNotice {
    // Another incarnation of the target at this address sends notices of its own.
    if head.status == protocol.targets.other_target {
        return TargetNotice::default();
    }
    let refused = head.status == protocol.targets.turned_away;
    let leaving = head.headers.get(&protocol.headers.leaving);
    TargetNotice {
        back_off: refused
            .then(|| longest_retry_after(&head.headers))
            .flatten(),
        leaving: leaving.is_some_and(|value| value != "0"),
        rate_limit: lowest_rate_limit(&head.headers, &protocol.headers.rate),
    }
}

/// Returns the lowest rate limit in the headers of a response.
fn lowest_rate_limit(headers: &HeaderMap, name: &HeaderName) -> RateNotice {
    if !headers.contains_key(name) {
        return RateNotice::Unlimited;
    }
    let values = headers.get_all(name).iter();
    let limits =
        values.filter_map(
            |value| match parse_rate_limit(value.to_str().unwrap_or_default()) {
                Ok(limit) => Some(limit),
                Err(error) => {
                    log::warn!("ignoring {name} header of a target: {error}: {value:?}");
                    None
                }
            },
        );
    let lowest = limits.min();
    lowest.map_or(RateNotice::Invalid, RateNotice::Limited)
}

/// Returns the longest Retry-After time in the headers of a response; `None` if there is none.
fn longest_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let response_date = headers.get(header::DATE).and_then(parse_date);
    let response_date = response_date.unwrap_or_else(SystemTime::now);
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let delays = values.filter_map(|value| match parse_retry_after(value, response_date) {
        Ok(delay) => Some(delay),
        Err(error) => {
            log::warn!(
                "ignoring {} header of a target: {error}: {value:?}",
                header::RETRY_AFTER
            );
            None
        }
    });
    delays.max().filter(|delay| !delay.is_zero())
}

/// Parses a Retry-After value: seconds, with or without a fraction, or a date, from which the time
/// of the response is subtracted. A time in the past yields zero.
pub(crate) fn parse_retry_after(
    value: &HeaderValue,
    response_date: SystemTime,
) -> Result<Duration, RetryAfterError> {
    let text = value.to_str().map_err(|_| RetryAfterError::NotText)?.trim();
    let date = httpdate::parse_http_date(text);
    if let Ok(date) = date {
        let left = date.duration_since(response_date).unwrap_or_default();
        return Ok(left.min(MAX_BACK_OFF));
    }
    let is_number = |byte: u8| byte.is_ascii_digit() || b"+-.".contains(&byte);
    if !text.bytes().all(is_number) {
        return Err(RetryAfterError::NotATime);
    }
    let seconds: f64 = text.parse().map_err(|_| RetryAfterError::NotATime)?;
    let seconds = seconds.clamp(0.0, MAX_BACK_OFF.as_secs_f64());
    Ok(Duration::from_secs_f64(seconds))
}

fn parse_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}

#[cfg(test)]
mod tests;
