//! Why a request was refused or failed.

use std::time::Duration;

use derive_more::Display;

/// The reason of a refusal, independent of any dialect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// No route fits host and path.
    #[display("no_route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// A header is not as it must be.
    #[display("bad_request")]
    BadRequest,
    /// The body is over its limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// This host has no configuration yet or is about to end.
    #[display("not_ready")]
    NotReady,
    /// No target takes work.
    #[display("no_target")]
    NoTarget,
    /// Targets are full, or the time left does not hold the work. It did not run.
    #[display("overloaded")]
    Overloaded,
    /// Targets ended while it ran, each time it came, so it is not sent to any.
    #[display("ends_targets")]
    CrashesTargets,
    /// A target may have run it and gave no usable answer.
    #[display("target_failed")]
    TargetFailed,
    /// The time was over; it may have run.
    #[display("timed_out")]
    TimedOut,
}

impl RefusalReason {
    /// Returns every reason.
    pub const ALL: [Self; 10] = [
        Self::NoRoute,
        Self::Unauthorized,
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::NotReady,
        Self::NoTarget,
        Self::Overloaded,
        Self::CrashesTargets,
        Self::TargetFailed,
        Self::TimedOut,
    ];

    /// Says whether the refusal promises that nothing ran and nothing will.
    pub fn promises_not_run(self) -> bool {
        !matches!(self, Self::TargetFailed | Self::TimedOut)
    }
}

/// A final answer that is not a target's.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}: {detail}")]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// What decided it, for the log and the caller.
    pub detail: String,
    /// When the caller should come back, where it did not run and may later.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets when the caller should come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
