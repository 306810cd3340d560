//! What an answer said of the rate of its target.

use std::time::Duration;

use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};

use crate::NamedRate;

/// What an answer said of the rate of its target, as processes tell it each other: ages in place of moments, since
/// their clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateWord {
    /// The target.
    pub target: String,
    /// The rate that it named; nothing where it named none.
    pub rate: Option<NamedRate>,
    /// Milliseconds since the request was sent that was answered.
    pub asked_ms: u64,
    /// Milliseconds since the answer came.
    pub heard_ms: u64,
}

/// A word with the moments between which the target said it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimedWord {
    pub(crate) rate: Option<NamedRate>,
    pub(crate) asked: BootInstant,
    pub(crate) heard: BootInstant,
}

impl TimedWord {
    pub(crate) fn new(word: &RateWord, now: BootInstant) -> Self {
        Self {
            rate: word.rate,
            asked: now.before(Duration::from_millis(word.asked_ms)),
            heard: now.before(Duration::from_millis(word.heard_ms)),
        }
    }

    pub(crate) fn told(&self, target: &str, now: BootInstant) -> RateWord {
        RateWord {
            target: target.to_owned(),
            rate: self.rate,
            asked_ms: (now - self.asked).as_millis() as u64,
            heard_ms: (now - self.heard).as_millis() as u64,
        }
    }

    /// Says whether it was surely said after another one.
    pub(crate) fn follows(&self, other: &Self) -> bool {
        self.asked > other.heard
    }
}
