//! Hybrid logical clock: wall time in milliseconds, extended by a counter.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of bits of a stamp for the counter of readings within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A reading of a [`HybridClock`]: milliseconds since 1970 in the high 48 bits, a counter below.
pub type Stamp = u64;

/// A monotonic clock whose readings are greater than every stamp that it has observed.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that has observed no stamps.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a stamp greater than every stamp read or observed before.
    pub fn tick(&self) -> Stamp {
        self.advance_past(0)
    }

    /// Observes a stamp received with a message, so that later readings sort after it.
    pub fn observe(&self, remote: Stamp) -> Stamp {
        self.advance_past(remote)
    }

    /// Returns the wall-clock part of a stamp in milliseconds since 1970.
    pub fn unix_millis(stamp: Stamp) -> u64 {
        stamp >> COUNTER_BITS
    }

    fn advance_past(&self, remote: Stamp) -> Stamp {
        let wall = wall_millis() << COUNTER_BITS;
        let mut last = self.last.load(Ordering::Relaxed);
        loop {
            let next = wall.max(last + 1).max(remote.saturating_add(1));
            let swap =
                self.last
                    .compare_exchange_weak(last, next, Ordering::AcqRel, Ordering::Relaxed);
            match swap {
                Ok(_) => return next,
                Err(seen) => last = seen,
            }
        }
    }
}

fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|elapsed| elapsed.as_millis() as u64)
        .unwrap_or(0)
}
