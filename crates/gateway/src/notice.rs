//! What a target says of itself in the head of an answer: that it wants no requests for a while, that it takes
//! so many a second, or that it leaves.

use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use linnet_rate::{RateLimit, parse_rate_limit};

use crate::Dialect;

/// The longest back-off that is taken, so that a target which writes a number without meaning is not lost
/// until its next start.
const MAX_BACK_OFF: Duration = Duration::from_secs(3_600);

/// What the head of an answer says of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TargetNotice {
    /// For how long it wants nothing from this host; it turned a request away.
    pub(crate) back_off: Option<Duration>,
    /// Whether it leaves, and so takes no new work.
    pub(crate) leaving: bool,
    /// What it says of the rate at which it takes requests.
    pub(crate) rate_limit: RateNotice,
}

/// What the head of an answer says of the rate at which its target takes requests from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RateNotice {
    /// Nothing: the head is not this target's word.
    #[default]
    Ignored,
    /// It takes any rate.
    Unlimited,
    /// It takes this one.
    Limited(RateLimit),
    /// It names one that cannot be read, which changes nothing.
    Invalid,
}

impl TargetNotice {
    /// Says whether the target asks for something that keeps work from it.
    pub(crate) fn stops_work(&self) -> bool {
        self.back_off.is_some() || self.leaving
    }
}

/// Why a time to come back cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum RetryAfterError {
    /// It is not text.
    #[display("no text")]
    NotText,
    /// It is neither a number of seconds nor a date.
    #[display("neither seconds nor a date")]
    NotATime,
}

/// Reads what the head of an answer says of the target that gave it.
///
/// A head that names another request than `request_id` is a surplus answer, which may be old, and says nothing.
/// Answers without an identity are taken: a target that refuses need not have read the request's.
pub(crate) fn parse_notice(
    dialect: &Dialect,
    head: &Parts,
    request_id: Option<&str>,
) -> TargetNotice {
    let echoed = head.headers.get(&dialect.headers.request_id);
    let echoed = echoed.filter(|echoed| !echoed.is_empty());
    if echoed.is_some_and(|echoed| request_id != echoed.to_str().ok()) {
        return TargetNotice::default();
    }
    // Another start at the address speaks for itself.
    if head.status == dialect.targets.other_target {
        return TargetNotice::default();
    }
    let refused = head.status == dialect.targets.turned_away;
    let leaving = head.headers.get(&dialect.headers.leaving);
    TargetNotice {
        back_off: refused
            .then(|| longest_retry_after(&head.headers))
            .flatten(),
        leaving: leaving.is_some_and(|value| value != "0"),
        rate_limit: lowest_rate_limit(&head.headers, &dialect.headers.rate),
    }
}

/// Returns the lowest rate that the head of an answer names.
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

/// Returns the longest time that the head of an answer names; nothing where it names none.
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

/// Reads a time to come back: seconds, with or without a fraction, or a date, which is taken against the time
/// at which the answer was response_date. What lies in the past is no time at all.
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
