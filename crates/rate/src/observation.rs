//! What an answer said of the rate of its target.

use std::time::Duration;

use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// What an answer said of the rate of its target, as processes tell it each other: ages in place of moments, since
/// their clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateObservation {
    /// The target.
    pub target: String,
    /// The rate that it named; nothing where it named none.
    pub rate_limit: Option<RateLimit>,
    /// Milliseconds since the request was sent that was answered.
    pub sent_age_ms: u64,
    /// Milliseconds since the answer came.
    pub received_age_ms: u64,
}

/// A observation with the moments between which the target said it.
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

    pub(crate) fn to_observation(&self, target: &str, now: BootInstant) -> RateObservation {
        RateObservation {
            target: target.to_owned(),
            rate_limit: self.rate_limit,
            sent_age_ms: (now - self.sent_at).as_millis() as u64,
            received_age_ms: (now - self.received_at).as_millis() as u64,
        }
    }

    /// Says whether it was surely said after another one.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        self.sent_at > other.received_at
    }
}
