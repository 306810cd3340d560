//! A clock that counts the time in which the machine was suspended.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment of the time since the machine was started, with the spans in which it was suspended.
///
/// Leases, and the time for which a target wants no requests, are measured by it. By the steady clock of the
/// standard library, which stands still meanwhile, a leader that was suspended for as long as another one led
/// believed its lease to last and answered reads with what it held before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns this moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Returns the moment a span before this one.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

/// The time from an earlier moment to a later one; nothing the other way round.
impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
