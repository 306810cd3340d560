//! Who sends calls to stage targets: the host that gathers them, or other hosts in its place once
//! the bodies are more than one host should carry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::stage_call::{CallEnd, StageCall, StageRelease};

/// The span over which the rate of sent bytes is taken. Calls come several a second, so a second
/// smooths them and still follows a burst.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Part of the bound under which the rate has to fall before this host sends everything by itself
/// again.
const RESUME_FRACTION: f64 = 0.5;

/// Another host that sends a call, and the end of the call.
pub(crate) struct DelegatedCall {
    pub(crate) sender: SocketAddr,
    pub(crate) end: LocalBoxFuture<'static, CallEnd>,
}

/// Hands a call for a target in a data hall to another host; nothing where this one sends it.
type DelegateCall = Box<dyn Fn(&StageCall, &str) -> Option<DelegatedCall>>;

/// Does the same with a release of results; gives it back where this host sends it.
type DelegateRelease = Box<dyn Fn(StageRelease, &str) -> Option<StageRelease>>;

/// The way to other hosts that send in place of this one.
pub(crate) struct CallDelegate {
    pub(crate) call: DelegateCall,
    pub(crate) release: DelegateRelease,
}

/// A change of who sends calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DelegationChange {
    Begun,
    Ended,
}

/// How many bytes of calls are due in a second, and whether other hosts send them.
pub(super) struct SendRate {
    /// Rate above which other hosts send calls, in bytes a second.
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

    /// Counts the body of a call, whoever sends it.
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

    /// Says whether other hosts send calls now.
    pub(super) fn is_delegating(&self) -> bool {
        self.delegating
    }

    /// Returns the rate in bytes a second.
    pub(super) fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }
}

#[cfg(test)]
mod tests;
