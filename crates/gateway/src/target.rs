//! The targets that accept work, as this host knows them.

mod marks;
mod store;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;

use crate::cold::SendShare;
use crate::target_slowness::TargetSlowness;

pub(crate) use marks::TargetMarks;
pub(crate) use store::TargetStore;

/// Consecutive failures after which a target is ejected for a while.
const EJECTION_THRESHOLD: u32 = 2;

/// Duration of the first ejection of a target; doubled with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(600);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Largest fraction of the targets of a service that failures may eject at the same time.
const MAX_EJECTED_FRACTION: f64 = 0.6;

/// How long a target that refused a request is avoided while others are available; doubled with
/// each consecutive refusal. A refusal may carry no Retry-After time, or a short one. Without the
/// cooldown, two of six targets that refused everything cost a fifth of the requests (655 of 3,150
/// in 2 s), since these exhausted the retry budget.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(40);
const MAX_COOLDOWN_DOUBLINGS: u32 = 4;

/// Additional load of a target in another hall, as a fraction of its slots, for a round trip of
/// some milliseconds and for bytes that cross halls.
const REMOTE_HALL_PENALTY: f64 = 0.25;

/// Additional load of a cold target: it receives work only when the others are full.
const COLD_PENALTY: f64 = 0.5;

/// A target that accepts work.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) id: String,
    /// Start time of this incarnation, see [`TargetRecord::born`].
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    pub(crate) hall: String,
    pub(crate) slots: u32,
    /// The software version; empty if unknown.
    pub(crate) version: String,
    /// Requests of this host that are in flight at the target.
    pub(crate) in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Consecutive refusals.
    refusals: u32,
    cooldown_until: Option<Instant>,
    cold_until: Option<Instant>,
    slowness: TargetSlowness,
    /// This host's share of the rate of the target while it is cold and no single host paces it for
    /// all.
    share: SendShare,
    /// When this incarnation was listed first.
    pub(crate) listed_since: Option<Instant>,
    pub(crate) marks: TargetMarks,
}

impl Target {
    fn new(record: &TargetRecord) -> Self {
        Self {
            id: record.id.clone(),
            born: record.born,
            address: record.address,
            hall: record.hall.clone(),
            slots: record.slots.max(1),
            version: record.version.clone(),
            in_flight: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            refusals: 0,
            cooldown_until: None,
            cold_until: None,
            slowness: TargetSlowness::default(),
            share: SendShare::default(),
            listed_since: None,
            marks: TargetMarks::default(),
        }
    }

    /// Applies a record of the same incarnation.
    fn apply_record(&mut self, record: &TargetRecord, now: Instant) {
        self.listed_since.get_or_insert(now);
        self.address = record.address;
        self.slots = record.slots.max(1);
        self.version.clone_from(&record.version);
        self.set_cold(record.cold_ms, now);
    }

    /// Sets how much longer the target is cold. Its share is retained until the target is warm.
    fn set_cold(&mut self, cold_ms: u32, now: Instant) {
        self.cold_until = (cold_ms > 0).then(|| now + Duration::from_millis(u64::from(cold_ms)));
        if cold_ms == 0 {
            self.share = SendShare::default();
        }
    }

    /// Returns the load of the target for one more request, as a fraction of its slots.
    /// `other_hall` says whether the target is in another hall than this host.
    pub(crate) fn load(&self, other_hall: bool, now: Instant) -> f64 {
        let part = |counts: bool, load: f64| if counts { load } else { 0.0 };
        f64::from(self.in_flight) / f64::from(self.slots)
            + part(other_hall, REMOTE_HALL_PENALTY)
            + part(self.is_cold(now), COLD_PENALTY)
            + self.slowness.load(now)
    }

    /// Returns whether the target is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    fn eject(&mut self, now: Instant) {
        let span = BASE_EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(4));
        self.ejected_until = Some(now + span.min(MAX_EJECTION_TIME));
        self.ejections += 1;
        self.failures = 0;
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    fn record_refusal(&mut self, now: Instant) {
        let doublings = self.refusals.min(MAX_COOLDOWN_DOUBLINGS);
        self.cooldown_until = Some(now + REFUSAL_COOLDOWN * 2_u32.pow(doublings));
        self.refusals += 1;
    }

    /// Returns for how long the target is avoided because it refused a request.
    fn cooldown_left(&self, now: Instant) -> Duration {
        let until = self.cooldown_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns whether other targets are to be preferred, if there are any.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.is_ejected(now) || !self.cooldown_left(now).is_zero()
    }
}

/// A target that was chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChosenTarget {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    pub(crate) hall: String,
    /// The software version; empty if unknown.
    pub(crate) version: String,
}

impl ChosenTarget {
    pub(crate) fn new(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            born: target.born,
            address: target.address,
            hall: target.hall.clone(),
            version: target.version.clone(),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
