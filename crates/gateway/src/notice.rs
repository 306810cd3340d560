//! What a target says of itself in the head of an answer: that it wants no requests for a while, that it takes
//! so many a second, or that it leaves.

use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use linnet_rate::{NamedRate, read_rate};

use crate::Protocol;

/// The longest back-off that is taken, so that a target which writes a number without meaning is not lost
/// until its next start.
const MOST_BACK_OFF: Duration = Duration::from_secs(3_600);

/// What the head of an answer says of the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TargetNotice {
    /// For how long it wants nothing from this host; it turned a request away.
    pub(crate) back_off: Option<Duration>,
    /// Whether it leaves, and so takes no new work.
    pub(crate) leaving: bool,
    /// What it says of the rate at which it takes requests.
    pub(crate) rate: RateNotice,
}

/// What the head of an answer says of the rate at which its target takes requests from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RateNotice {
    /// Nothing: the head is not this target's word.
    #[default]
    Unsaid,
    /// It takes any rate.
    Any,
    /// It takes this one.
    Named(NamedRate),
    /// It names one that cannot be read, which changes nothing.
    Unreadable,
}

impl TargetNotice {
    /// Says whether the target asks for something that keeps work from it.
    pub(crate) fn closes(&self) -> bool {
        self.back_off.is_some() || self.leaving
    }
}

/// Why a time to come back cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub(crate) enum BackOffFault {
    /// It is not text.
    #[display("no text")]
    NoText,
    /// It is neither a number of seconds nor a date.
    #[display("neither seconds nor a date")]
    NoTime,
}

/// Reads what the head of an answer says of the target that gave it.
///
/// A head that names another request than `asked` is a surplus answer, which may be old, and says nothing.
/// Answers without an identity are taken: a target that refuses need not have read the request's.
pub(crate) fn read_notice(dialect: &Protocol, head: &Parts, asked: Option<&str>) -> TargetNotice {
    let echoed = head.headers.get(&dialect.headers.request_id);
    let echoed = echoed.filter(|echoed| !echoed.is_empty());
    if echoed.is_some_and(|echoed| asked != echoed.to_str().ok()) {
        return TargetNotice::default();
    }
    // Another start at the address speaks for itself.
    if head.status == dialect.targets.other_target {
        return TargetNotice::default();
    }
    let turned_away = head.status == dialect.targets.turned_away;
    let leaving = head.headers.get(&dialect.headers.leaving);
    TargetNotice {
        back_off: turned_away
            .then(|| longest_back_off(&head.headers))
            .flatten(),
        leaving: leaving.is_some_and(|value| value != "0"),
        rate: lowest_rate(&head.headers, &dialect.headers.rate),
    }
}

/// Returns the lowest rate that the head of an answer names.
fn lowest_rate(headers: &HeaderMap, name: &HeaderName) -> RateNotice {
    if !headers.contains_key(name) {
        return RateNotice::Any;
    }
    let named = headers.get_all(name).iter();
    let rates = named.filter_map(
        |value| match read_rate(value.to_str().unwrap_or_default()) {
            Ok(rate) => Some(rate),
            Err(fault) => {
                log::warn!("a target's {name} is ignored: {fault}: {value:?}");
                None
            }
        },
    );
    let lowest = rates.min();
    lowest.map_or(RateNotice::Unreadable, RateNotice::Named)
}

/// Returns the longest time that the head of an answer names; nothing where it names none.
fn longest_back_off(headers: &HeaderMap) -> Option<Duration> {
    let sent = headers.get(header::DATE).and_then(read_date);
    let sent = sent.unwrap_or_else(SystemTime::now);
    let named = headers.get_all(header::RETRY_AFTER).iter();
    let times = named.filter_map(|value| match read_back_off(value, sent) {
        Ok(time) => Some(time),
        Err(fault) => {
            log::warn!(
                "a target's {} is ignored: {fault}: {value:?}",
                header::RETRY_AFTER
            );
            None
        }
    });
    times.max().filter(|time| !time.is_zero())
}

/// Reads a time to come back: seconds, with or without a fraction, or a date, which is taken against the time
/// at which the answer was sent. What lies in the past is no time at all.
pub(crate) fn read_back_off(
    value: &HeaderValue,
    sent: SystemTime,
) -> Result<Duration, BackOffFault> {
    let text = value.to_str().map_err(|_| BackOffFault::NoText)?.trim();
    let date = httpdate::parse_http_date(text);
    if let Ok(date) = date {
        let left = date.duration_since(sent).unwrap_or_default();
        return Ok(left.min(MOST_BACK_OFF));
    }
    let is_number = |byte: u8| byte.is_ascii_digit() || b"+-.".contains(&byte);
    if !text.bytes().all(is_number) {
        return Err(BackOffFault::NoTime);
    }
    let seconds: f64 = text.parse().map_err(|_| BackOffFault::NoTime)?;
    let seconds = seconds.clamp(0.0, MOST_BACK_OFF.as_secs_f64());
    Ok(Duration::from_secs_f64(seconds))
}

fn read_date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}

#[cfg(test)]
mod tests;
