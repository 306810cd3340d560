//! A monotonic clock that includes the time during which the machine was suspended.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A point in time on the clock that counts from boot, including suspended time.
///
/// It measures leases and the back-off of targets. The monotonic clock of the standard library does not advance
/// while the machine is suspended: with it, a leader that was suspended while another one led believed that its
/// lease was still valid and answered reads with stale state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Returns the time elapsed since this instant.
    pub fn elapsed(self) -> Duration {
        Self::now() - self
    }

    /// Returns the instant that lies `span` before this one, at the earliest the boot.
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

/// The time from an earlier instant to a later one; zero if `earlier` is later.
impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
