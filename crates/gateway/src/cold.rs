//! How many requests a cold target gets.
//!
//! A target is cold for some time after its start, and may become so again at any moment. Meanwhile
//! all hosts together may send it `per_s` requests a second; well above that it fails.
//!
//! - Who decides for a whole service, the host that places its prompts or gathers its pieces, counts
//!   what it sends: [`SendWindow`]. At most two hosts believe that of themselves for the same target,
//!   one on each side of a cut or of a change of hands, so that together they stay at twice the rate
//!   for a moment.
//! - A host that should ask such a one and cannot reach it sends cold targets nothing.
//! - Plain services have nobody who decides for all. Each host sends at its share of half of the rate,
//!   [`SendShare`], from a moment that it draws, so that the sum over n hosts has a mean of half of the
//!   rate: with 9 a second and 88 hosts that ask all the time 14 come in a second at most, over 200 seeds
//!   (`hosts_that_do_not_know_of_each_other_stay_within_what_is_allowed`).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The least time in which sendings are counted.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Part of the rate that hosts which do not know of each other share.
const SHARED_FRACTION: f64 = 0.5;

/// The rate that a cold target bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdRate {
    per_s: f64,
}

impl ColdRate {
    /// Returns the rate; nothing where cold targets bear what others do.
    pub(crate) fn new(per_s: f64) -> Option<Self> {
        (per_s > 0.0).then_some(Self { per_s })
    }

    /// Returns the span in which sendings are counted, and how many are allowed in it.
    fn window(self) -> (Duration, usize) {
        let span = MIN_WINDOW.max(Duration::from_secs_f64((1.0 / self.per_s).min(60.0)));
        let most = (self.per_s * span.as_secs_f64() + 1e-9).floor() as usize;
        (span, most.max(1))
    }

    /// Returns the time between two sendings of one of so many hosts.
    fn host_interval(self, hosts: usize) -> Duration {
        let per_s = self.per_s * SHARED_FRACTION / hosts.max(1) as f64;
        Duration::from_secs_f64((1.0 / per_s).min(3_600.0))
    }
}

/// What the host that decides for a service sent to one cold target lately.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendWindow {
    sent: VecDeque<Instant>,
}

impl SendWindow {
    /// Says whether one more may be sent.
    pub(crate) fn allows_send(&self, rate: ColdRate, now: Instant) -> bool {
        let (span, most) = rate.window();
        let lately = |at: &&Instant| now.saturating_duration_since(**at) < span;
        self.sent.iter().rev().take_while(lately).count() < most
    }

    /// Counts one that is sent now.
    pub(crate) fn record_send(&mut self, rate: ColdRate, now: Instant) {
        let (span, _) = rate.window();
        let passed = |at: &Instant| now.saturating_duration_since(*at) >= span;
        while self.sent.front().is_some_and(passed) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// When one of many hosts that do not know of each other may send to a cold target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SendShare {
    next: Option<Instant>,
}

impl SendShare {
    /// Says whether one may be sent; from the first question on, the host waits for its moment, which
    /// `drawn` (0 to 1) places within the gap between two.
    pub(crate) fn allows_send(
        &mut self,
        rate: ColdRate,
        hosts: usize,
        drawn: f64,
        now: Instant,
    ) -> bool {
        let first = || now + rate.host_interval(hosts).mul_f64(drawn);
        *self.next.get_or_insert_with(first) <= now
    }

    /// Counts one that is sent now.
    pub(crate) fn record_send(&mut self, rate: ColdRate, hosts: usize, now: Instant) {
        self.next = Some(now + rate.host_interval(hosts));
    }
}

#[cfg(test)]
mod tests;
