//! A rate limit observed in a response of a target.

use std::time::Duration;

use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// A rate limit observed in a response of a target, in the form that processes exchange. It holds
/// ages instead of times, since the clocks of processes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateObservation {
    /// The target.
    pub target: String,
    /// The limit that the response carried; `None` if it carried none.
    pub rate_limit: Option<RateLimit>,
    /// Age of the answered request when the observation was sent to another process, in
    /// milliseconds.
    pub sent_age_ms: u64,
    /// Age of the response when the observation was sent to another process, in milliseconds.
    pub received_age_ms: u64,
}

/// An observation with the times between which the target sent the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedObservation {
    pub(crate) rate_limit: Option<RateLimit>,
    pub(crate) sent_at: BootInstant,
    pub(crate) received_at: BootInstant,
}

impl TimedObservation {
    pub(crate) fn new(observation: &RateObservation, now: BootInstant) -> Self {
        Self {
            rate_limit: observation.rate_limit,
            sent_at: now.before(Duration::from_millis(observation.sent_age_ms)),
            received_at: now.before(Duration::from_millis(observation.received_age_ms)),
        }
    }

    /// Returns the observation with its present ages, to be sent to other processes.
    pub(crate) fn reported(&self, target: &str, now: BootInstant) -> RateObservation {
        RateObservation {
            target: target.to_owned(),
            rate_limit: self.rate_limit,
            sent_age_ms: (now - self.sent_at).as_millis() as u64,
            received_age_ms: (now - self.received_at).as_millis() as u64,
        }
    }

    /// Returns whether this observation was certainly made after another one.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        self.sent_at > other.received_at
    }
}
