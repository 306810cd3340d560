//! Reasons why a request is refused or fails.

use std::time::Duration;

use derive_more::Display;

/// The reason of a refusal, independent of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// No route matches host and path.
    #[display("no_route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// A header is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The body exceeds the size limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// This host has no configuration yet or is about to stop.
    #[display("not_ready")]
    NotReady,
    /// No target is available.
    #[display("no_target")]
    NoTarget,
    /// Targets are full, or the remaining time is too short. The request did not run.
    #[display("overloaded")]
    Overloaded,
    /// Targets crashed repeatedly while the request ran, so it is not sent to any target.
    #[display("ends_targets")]
    CrashesTargets,
    /// Targets crashed while the request, or requests with a part of its prompt, ran, but it is not
    /// certain that they were the cause.
    #[display("may_end_targets")]
    MayCrashTargets,
    /// A target may have run the request and gave no usable response.
    #[display("target_failed")]
    TargetFailed,
    /// The deadline passed; the request may have run.
    #[display("timed_out")]
    TimedOut,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 11] = [
        Self::NoRoute,
        Self::Unauthorized,
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::NotReady,
        Self::NoTarget,
        Self::Overloaded,
        Self::CrashesTargets,
        Self::MayCrashTargets,
        Self::TargetFailed,
        Self::TimedOut,
    ];

    /// Returns whether the refusal guarantees that the request did not run and will not run.
    pub fn promises_not_run(self) -> bool {
        !matches!(self, Self::TargetFailed | Self::TimedOut)
    }
}

/// A final response that does not come from a target.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}: {detail}")]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Details for the log and the caller.
    pub detail: String,
    /// When the caller may retry, if the request did not run and may succeed later.
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

    /// Sets when the caller may retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the keys of the line that ends the request; `outcome` is the last one, as its value
    /// has spaces.
    pub(crate) fn log_keys(&self) -> String {
        match self.retry_after {
            Some(wait) => format!("retry_after_ms={} outcome={self}", wait.as_millis()),
            None => format!("outcome={self}"),
        }
    }
}
