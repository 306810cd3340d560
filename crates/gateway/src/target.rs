//! The targets that take work, as this host knows them.

mod store;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;

use crate::cold::SendShare;
use crate::target_slowness::TargetSlowness;

pub(crate) use store::TargetStore;

/// Failures in a row after which a target gets no work for a while.
const EJECTION_THRESHOLD: u32 = 2;

/// How long a target is first left alone.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(600);

/// The longest time that a target is left alone.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Part of the targets of a service that may be left alone at one time.
const MAX_EJECTED_FRACTION: f64 = 0.6;

/// How long a target that turned a request away is passed over where others are free; doubled with each in a row.
/// It may name no time to come back, or one that is soon over. Without this two of six targets that refused
/// all cost a fifth of the requests, by the allowance of repeats (655 of 3,150 in 2 s, mean of three runs).
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(40);
const MAX_COOLDOWN_DOUBLINGS: u32 = 4;

/// What a target of another hall counts beside its load, in parts of its slots: a way there and back of some
/// milliseconds, and bytes that cross halls.
const REMOTE_HALL_PENALTY: f64 = 0.25;

/// What a cold target counts: it gets work only where the others are full.
const COLD_PENALTY: f64 = 0.5;

/// A target in work.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) id: String,
    /// When this start of it began; see [`TargetRecord::born`].
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    pub(crate) hall: String,
    pub(crate) slots: u32,
    /// The version of its software; empty where it is not known.
    pub(crate) version: String,
    /// Requests of this host that are in flight there.
    pub(crate) in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Requests in a row that it turned away.
    refusals: u32,
    cooldown_until: Option<Instant>,
    cold_until: Option<Instant>,
    slowness: TargetSlowness,
    /// When this host may send to it while it is cold and nobody decides for all hosts.
    share: SendShare,
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
        }
    }

    /// Takes what a record tells of the same start.
    fn apply_record(&mut self, record: &TargetRecord, now: Instant) {
        self.address = record.address;
        self.slots = record.slots.max(1);
        self.version.clone_from(&record.version);
        self.set_cold(record.cold_ms, now);
    }

    /// Takes how much longer it is cold. It keeps its share of what it gets then until it is warm.
    fn set_cold(&mut self, cold_ms: u32, now: Instant) {
        self.cold_until = (cold_ms > 0).then(|| now + Duration::from_millis(u64::from(cold_ms)));
        if cold_ms == 0 {
            self.share = SendShare::default();
        }
    }

    /// Returns what it costs to send it one more request, in parts of its slots; `other_hall` says whether
    /// it lies in another hall than this host.
    pub(crate) fn load(&self, other_hall: bool, now: Instant) -> f64 {
        let part = |counts: bool, load: f64| if counts { load } else { 0.0 };
        f64::from(self.in_flight) / f64::from(self.slots)
            + part(other_hall, REMOTE_HALL_PENALTY)
            + part(self.is_cold(now), COLD_PENALTY)
            + self.slowness.load(now)
    }

    /// Says whether it is cold.
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

    /// Says whether others are to be used rather than it, where there are any.
    fn is_avoided(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.cooldown_until.is_some_and(|until| until > now)
    }
}

/// A target that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChosenTarget {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    pub(crate) hall: String,
}

impl ChosenTarget {
    pub(crate) fn new(target: &Target) -> Self {
        Self {
            id: target.id.clone(),
            born: target.born,
            address: target.address,
            hall: target.hall.clone(),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
