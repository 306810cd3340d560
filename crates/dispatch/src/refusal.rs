//! Why a request gets no target, and when to come back.

use std::time::Duration;

use derive_more::Display;

/// Why a request was given up on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalCause {
    /// The time left does not hold the work left.
    #[display("the time left does not hold the work left")]
    NoTime,
    /// The queue of the pool is full.
    #[display("the queue is full")]
    QueueFull,
    /// No target of the pool is usable.
    #[display("no target is usable")]
    NoTarget,
    /// The rate of the account is used up.
    #[display("the account's rate is used up")]
    AccountRate,
    /// The account has its most requests in flight.
    #[display("the account has its most requests in flight")]
    AccountInFlight,
    /// The account's tokens are used up.
    #[display("the account's tokens are used up")]
    AccountTokens,
}

/// A refusal. It is given at once, never held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When asking again may help.
    pub retry_after: Duration,
}

/// The least time after which a caller is told to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest time after which a caller is told to come back.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(30);

impl DispatchRefusal {
    /// Creates a refusal; `wait` is the real drain time, which is spread by up to a half so that
    /// callers do not come back together.
    pub fn new(cause: RefusalCause, wait: Duration) -> Self {
        let wait = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
        Self {
            cause,
            retry_after: wait.mul_f64(1.0 + fastrand::f64() / 2.0),
        }
    }
}
