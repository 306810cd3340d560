//! Refusals of requests, with a retry delay.

use std::time::Duration;

use derive_more::Display;

/// The reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalCause {
    /// The time left is too short for the remaining work.
    #[display("the time left is too short for the remaining work")]
    NoTime,
    /// The queue of the pool is full.
    #[display("the queue of the pool is full")]
    QueueFull,
    /// No target of the pool is usable.
    #[display("no target of the pool is usable")]
    NoTarget,
    /// The request rate of the account is exhausted.
    #[display("the request rate of the account is exhausted")]
    AccountRate,
    /// The account has reached its limit of requests in flight.
    #[display("the account has reached its limit of requests in flight")]
    AccountInFlight,
    /// The token rate of the account is exhausted.
    #[display("the token rate of the account is exhausted")]
    AccountTokens,
}

/// A refusal, returned as soon as it is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchRefusal {
    /// The reason.
    pub cause: RefusalCause,
    /// The delay after which a retry may succeed.
    pub retry_after: Duration,
}

/// The shortest retry delay announced to callers, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest retry delay announced to callers, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl DispatchRefusal {
    /// Creates a refusal. `wait` is the expected drain time; jitter of up to a half is added so
    /// that callers do not retry at the same time.
    pub fn new(cause: RefusalCause, wait: Duration) -> Self {
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Self {
            cause,
            retry_after: wait.mul_f64(1.0 + fastrand::f64() / 2.0),
        }
    }
}
