//! Decides which host sends calls to stage targets: the coordinator, or other hosts in its place
//! once the request bodies exceed what one host should send.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::stage_call::{CallOutcome, StageCall, StageRelease};

/// Time constant of the average rate of sent bytes. Calls are sent several times a second, so one
/// second smooths the rate and still follows a burst.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Fraction of the limit below which the rate has to fall before this host sends all calls by
/// itself again.
const RESUME_FRACTION: f64 = 0.5;

/// A call that another host sends, with the future that resolves to its outcome.
pub(crate) struct DelegatedCall {
    pub(crate) sender: SocketAddr,
    pub(crate) end: LocalBoxFuture<'static, CallOutcome>,
}

/// Hands a call for a target in a data hall to another host; returns `None` if this host has to
/// send it.
type DelegateCall = Box<dyn Fn(&StageCall, &str) -> Option<DelegatedCall>>;

/// Hands a release of results to another host; returns it if this host has to send it.
type DelegateRelease = Box<dyn Fn(StageRelease, &str) -> Option<StageRelease>>;

/// Hands calls and releases to other hosts, which send them in place of this one.
pub(crate) struct CallDelegate {
    pub(crate) call: DelegateCall,
    pub(crate) release: DelegateRelease,
}

/// The start or end of a period in which calls are delegated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DelegationChange {
    Begun,
    Ended,
}

/// The rate of call bytes, and whether calls are delegated to other hosts.
pub(super) struct SendRate {
    /// Rate above which calls are delegated, in bytes per second.
    max_bytes_per_s: f64,
    bytes_per_s: f64,
    updated: Instant,
    delegating: bool,
}

impl SendRate {
    pub(super) fn new(max_bytes_per_s: f64, now: Instant) -> Self {
        Self {
            max_bytes_per_s,
            bytes_per_s: 0.0,
            updated: now,
            delegating: false,
        }
    }

    /// Counts the body of a call, whichever host sends it.
    pub(super) fn record(&mut self, bytes: usize, now: Instant) -> Option<DelegationChange> {
        let span = RATE_TIME_CONSTANT.as_secs_f64();
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.bytes_per_s *= (-age / span).exp();
        self.bytes_per_s += bytes as f64 / span;
        self.updated = now;
        let limit = if self.delegating {
            self.max_bytes_per_s * RESUME_FRACTION
        } else {
            self.max_bytes_per_s
        };
        let before = std::mem::replace(&mut self.delegating, self.bytes_per_s > limit);
        match (before, self.delegating) {
            (false, true) => Some(DelegationChange::Begun),
            (true, false) => Some(DelegationChange::Ended),
            _ => None,
        }
    }

    /// Returns whether calls are delegated to other hosts now.
    pub(super) fn is_delegating(&self) -> bool {
        self.delegating
    }

    /// Returns the rate of call bytes per second.
    pub(super) fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }
}

#[cfg(test)]
mod tests;
