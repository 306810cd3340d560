//! Limits the rate of requests to cold targets.
//!
//! A target is cold for some time after its start, and may become cold again at any moment.
//! Meanwhile all hosts together may send it `per_s` requests per second; well above that it fails.
//!
//! - The host that decides for a complete service, because it places its prompts or coordinates its
//!   pieces, counts what it sends: [`SendWindow`]. At most two hosts act as that host for the same
//!   target, one on each side of a network partition or during a handover, so that together they
//!   send at most twice the rate for a moment.
//! - A host that should query the deciding host and cannot reach it sends nothing to cold targets.
//! - For plain services no host decides for all. Each host sends at its share of half of the rate,
//!   [`SendShare`], from a random moment on, so that the sum over all hosts has a mean of half of
//!   the rate: with 9 per second and 88 hosts with constant demand at most 14 arrive in a second,
//!   over 200 seeds (`hosts_that_do_not_know_of_each_other_stay_within_what_is_allowed`).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Minimum length of the window in which sent requests are counted.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the rate that is shared by hosts without a deciding host.
const SHARED_FRACTION: f64 = 0.5;

/// The rate of requests that a cold target can handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdRate {
    per_s: f64,
}

impl ColdRate {
    /// Returns the rate, or `None` if cold targets need no limit.
    pub(crate) fn new(per_s: f64) -> Option<Self> {
        (per_s > 0.0).then_some(Self { per_s })
    }

    /// Returns the window in which sent requests are counted, and how many are allowed in it.
    fn window(self) -> (Duration, usize) {
        let span = MIN_WINDOW.max(Duration::from_secs_f64((1.0 / self.per_s).min(60.0)));
        let max_sends = (self.per_s * span.as_secs_f64() + 1e-9).floor() as usize;
        (span, max_sends.max(1))
    }

    /// Returns the interval between two requests of one of `hosts` hosts.
    fn host_interval(self, hosts: usize) -> Duration {
        let per_s = self.per_s * SHARED_FRACTION / hosts.max(1) as f64;
        Duration::from_secs_f64((1.0 / per_s).min(3_600.0))
    }
}

/// Requests that the deciding host of a service recently sent to one cold target.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendWindow {
    sent: VecDeque<Instant>,
}

impl SendWindow {
    /// Returns whether another request may be sent.
    pub(crate) fn allows_send(&self, rate: ColdRate, now: Instant) -> bool {
        let (span, max_sends) = rate.window();
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < span;
        self.sent.iter().rev().take_while(is_recent).count() < max_sends
    }

    /// Counts a request that is sent now.
    pub(crate) fn record_send(&mut self, rate: ColdRate, now: Instant) {
        let (span, _) = rate.window();
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) >= span;
        while self.sent.front().is_some_and(is_expired) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// The time from which one of many hosts may send to a cold target if no host decides for all.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendShare {
    next: Option<Instant>,
}

impl SendShare {
    /// Returns whether a request may be sent. The first call starts the interval: the host then
    /// waits for a moment that `random` (0 to 1) selects within it.
    pub(crate) fn allows_send(
        &mut self,
        rate: ColdRate,
        hosts: usize,
        random: f64,
        now: Instant,
    ) -> bool {
        let first_send = || now + rate.host_interval(hosts).mul_f64(random);
        *self.next.get_or_insert_with(first_send) <= now
    }

    /// Counts a request that is sent now.
    pub(crate) fn record_send(&mut self, rate: ColdRate, hosts: usize, now: Instant) {
        self.next = Some(now + rate.host_interval(hosts));
    }
}

#[cfg(test)]
mod tests;
