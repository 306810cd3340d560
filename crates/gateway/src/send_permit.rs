//! Permits to send to targets with rate limits, as issued to this host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::send_permit_issuer::{PERMIT_LIFETIME, SendPermitReply};

/// Window over which requests are counted to predict how many this host is about to send.
const DEMAND_WINDOW: Duration = Duration::from_millis(20);

/// How long the longest wait that a request accepted is retained, as an estimate for later
/// requests.
const MAX_WAIT_RETENTION: Duration = Duration::from_secs(1);

/// Permission to send one request to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SendPermit {
    /// When the permit expires; `None` if the target had no rate limit when it was issued.
    until: Option<BootInstant>,
}

impl SendPermit {
    /// The permit for a target without a rate limit.
    pub(crate) const UNRESTRICTED: Self = Self { until: None };

    fn until(until: BootInstant) -> Self {
        Self { until: Some(until) }
    }

    /// Returns whether the permit allows a request to a target with a rate limit.
    pub(crate) fn is_valid(self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now <= until)
    }
}

/// Number of requests to one target in the current and in the previous window.
#[derive(Debug, Clone, Copy, Default)]
struct SendDemand {
    since: BootInstant,
    count: u32,
    previous: u32,
}

impl TargetPermits {
    fn record_max_wait(&mut self, max_wait: Duration, now: BootInstant) {
        let (longest_wait, at) = self.longest_wait;
        if max_wait >= longest_wait || now - at > MAX_WAIT_RETENTION {
            self.longest_wait = (max_wait, now);
        }
    }
}

impl SendDemand {
    fn record(&mut self, now: BootInstant) {
        let age = now - self.since;
        if age >= DEMAND_WINDOW {
            self.previous = if age < DEMAND_WINDOW * 2 {
                self.count
            } else {
                0
            };
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }
}

/// The permits of this host for one target.
#[derive(Debug, Clone, Default)]
struct TargetPermits {
    /// No permit is available before this time.
    next_at: BootInstant,
    /// The longest wait for a permit that a request of this host accepted, and when that was.
    longest_wait: (Duration, BootInstant),
    /// Permits that were issued in addition to a requested one.
    spare: Vec<SendPermit>,
    demand: SendDemand,
}

/// Permits of this host to send to targets with rate limits.
#[derive(Debug, Default)]
pub(crate) struct SendPermitCache {
    targets: RefCell<HashMap<String, TargetPermits>>,
}

impl SendPermitCache {
    /// Counts a request, and takes an unused permit for it if there is one.
    pub(crate) fn take_spare(&self, target: &str, now: BootInstant) -> Option<SendPermit> {
        let mut targets = self.targets.borrow_mut();
        let permits = targets.entry(target.to_owned()).or_default();
        permits.demand.record(now);
        permits.spare.retain(|permit| permit.is_valid(now));
        permits.spare.pop()
    }

    /// Returns how many further requests to a target are expected to follow the present one.
    pub(crate) fn demand(&self, target: &str) -> u32 {
        let targets = self.targets.borrow();
        targets
            .get(target)
            .map_or(0, |permits| permits.demand.previous)
    }

    /// Records the reply to a request for a permit that was made at `requested_at`. If a permit was
    /// issued, returns it and how long the request has to wait before it is sent.
    pub(crate) fn record_reply(
        &self,
        target: &str,
        reply: SendPermitReply,
        max_wait: Duration,
        requested_at: BootInstant,
    ) -> Option<(Duration, SendPermit)> {
        let mut targets = self.targets.borrow_mut();
        let permits = targets.entry(target.to_owned()).or_default();
        permits.record_max_wait(max_wait, requested_at);
        match reply {
            SendPermitReply::Granted {
                wait_ms,
                more,
                next_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let permit = SendPermit::until(requested_at + wait + PERMIT_LIFETIME);
                permits.spare.extend((0..more).map(|_| permit));
                if more == 0 {
                    permits.next_at = requested_at + Duration::from_millis(next_ms);
                }
                Some((wait, permit))
            }
            SendPermitReply::Denied(after_ms) => {
                permits.next_at = requested_at + Duration::from_millis(after_ms);
                None
            }
        }
    }

    /// Returns whether a request that accepts a wait of `max_wait` would not get a permit.
    pub(crate) fn would_time_out(
        &self,
        target: &str,
        max_wait: Duration,
        now: BootInstant,
    ) -> bool {
        let mut targets = self.targets.borrow_mut();
        let Some(permits) = targets.get_mut(target) else {
            return false;
        };
        permits.record_max_wait(max_wait, now);
        permits.next_at - now > max_wait
    }

    /// Returns for how long no request of this host will get a permit for a target, even after the
    /// longest accepted wait.
    pub(crate) fn unavailable_for(&self, target: &str, now: BootInstant) -> Duration {
        let targets = self.targets.borrow();
        let permits = targets
            .get(target)
            .filter(|permits| permits.spare.is_empty());
        permits.map_or(Duration::ZERO, |permits| {
            (permits.next_at - now).saturating_sub(permits.longest_wait.0)
        })
    }

    /// Removes the permits for a target that has no rate limit any more.
    pub(crate) fn remove(&self, target: &str) {
        self.targets.borrow_mut().remove(target);
    }
}

#[cfg(test)]
mod tests;
