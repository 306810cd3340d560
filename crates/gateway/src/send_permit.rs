//! Leave to send to targets that name rates, as this host got it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::send_permit_issuer::{PERMIT_LIFETIME, SendPermitReply};

/// The span by whose requests it is told how many a host is about to send.
const DEMAND_WINDOW: Duration = Duration::from_millis(20);

/// How long it counts that a request would wait for permits: others like it come.
const MAX_WAIT_RETENTION: Duration = Duration::from_secs(1);

/// Leave to send one request to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SendPermit {
    /// Until when it may be used; nothing where the target named no rate when it was taken.
    until: Option<BootInstant>,
}

impl SendPermit {
    /// Leave for a target that takes any rate.
    pub(crate) const UNRESTRICTED: Self = Self { until: None };

    fn until(until: BootInstant) -> Self {
        Self { until: Some(until) }
    }

    /// Says whether a request may be sent with it to a target that names a rate.
    pub(crate) fn is_valid(self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now <= until)
    }
}

/// Requests to one target in one span and in the one before.
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

/// What this host was told of one target's permits.
#[derive(Debug, Clone, Default)]
struct TargetPermits {
    /// No permits for a moment before this one.
    next_at: BootInstant,
    /// The longest time that a request of this host would wait for permits, and when it came.
    longest_wait: (Duration, BootInstant),
    /// Permits that were given beside one that was requested_at for.
    spare: Vec<SendPermit>,
    demand: SendDemand,
}

/// Leave to send to targets that name rates.
#[derive(Debug, Default)]
pub(crate) struct SendPermitCache {
    targets: RefCell<HashMap<String, TargetPermits>>,
}

impl SendPermitCache {
    /// Takes a permit that was given before; counts the request in any case.
    pub(crate) fn take_spare(&self, target: &str, now: BootInstant) -> Option<SendPermit> {
        let mut targets = self.targets.borrow_mut();
        let permits = targets.entry(target.to_owned()).or_default();
        permits.demand.record(now);
        permits.spare.retain(|permit| permit.is_valid(now));
        permits.spare.pop()
    }

    /// Returns how many requests are about to follow one.
    pub(crate) fn demand(&self, target: &str) -> u32 {
        let targets = self.targets.borrow();
        targets
            .get(target)
            .map_or(0, |permits| permits.demand.previous)
    }

    /// Takes the reply to a question that was requested_at at `requested_at`; returns when the request may go and the permit, where
    /// permits was given.
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

    /// Says whether a request that would wait for a span gets no permits for a target.
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

    /// Returns how long no request of this host gets permits for a target, as long as they wait.
    pub(crate) fn unavailable_for(&self, target: &str, now: BootInstant) -> Duration {
        let targets = self.targets.borrow();
        let permits = targets
            .get(target)
            .filter(|permits| permits.spare.is_empty());
        permits.map_or(Duration::ZERO, |permits| {
            (permits.next_at - now).saturating_sub(permits.longest_wait.0)
        })
    }

    /// Forgets a target that names no rate any more.
    pub(crate) fn remove(&self, target: &str) {
        self.targets.borrow_mut().remove(target);
    }
}

#[cfg(test)]
mod tests;
