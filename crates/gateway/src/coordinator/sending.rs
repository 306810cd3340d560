//! Who sends calls to stage targets: the host that gathers them, or other hosts in its place once
//! the bodies are more than one host should carry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::stage_call::{CallOutcome, StageCall, StageRelease};

/// The span over which the rate of sent bytes is taken. Calls come several a second, so a second
/// smooths them and still follows a burst.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Part of the bound under which the rate has to fall before this host sends everything by itself
/// again.
const RELEASE_PART: f64 = 0.5;

/// Another host that sends a call, and the end of the call.
pub(crate) struct SharedCall {
    pub(crate) sender: SocketAddr,
    pub(crate) end: LocalBoxFuture<'static, CallOutcome>,
}

/// Hands a call for a target in a data hall to another host; nothing where this one sends it.
type ShareCall = Box<dyn Fn(&StageCall, &str) -> Option<SharedCall>>;

/// Does the same with a release of results; gives it back where this host sends it.
type ShareRelease = Box<dyn Fn(StageRelease, &str) -> Option<StageRelease>>;

/// The way to other hosts that send in place of this one.
pub(crate) struct SendingShare {
    pub(crate) call: ShareCall,
    pub(crate) release: ShareRelease,
}

/// A change of who sends calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SharingChange {
    Begun,
    Ended,
}

/// How many bytes of calls are due in a second, and whether other hosts send them.
pub(super) struct SendingRate {
    /// Rate above which other hosts send calls, in bytes a second.
    bound: f64,
    bytes_per_s: f64,
    noted: Instant,
    shared: bool,
}

impl SendingRate {
    pub(super) fn new(bound: f64, now: Instant) -> Self {
        Self {
            bound,
            bytes_per_s: 0.0,
            noted: now,
            shared: false,
        }
    }

    /// Counts the body of a call, whoever sends it.
    pub(super) fn note(&mut self, bytes: usize, now: Instant) -> Option<SharingChange> {
        let span = RATE_SPAN.as_secs_f64();
        let age = now.saturating_duration_since(self.noted).as_secs_f64();
        self.bytes_per_s *= (-age / span).exp();
        self.bytes_per_s += bytes as f64 / span;
        self.noted = now;
        let limit = if self.shared {
            self.bound * RELEASE_PART
        } else {
            self.bound
        };
        let before = std::mem::replace(&mut self.shared, self.bytes_per_s > limit);
        match (before, self.shared) {
            (false, true) => Some(SharingChange::Begun),
            (true, false) => Some(SharingChange::Ended),
            _ => None,
        }
    }

    /// Says whether other hosts send calls now.
    pub(super) fn is_shared(&self) -> bool {
        self.shared
    }

    /// Returns the rate in bytes a second.
    pub(super) fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }
}

#[cfg(test)]
mod tests;
