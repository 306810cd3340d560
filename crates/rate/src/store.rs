//! The rate limits of targets, as one process knows them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::observation::TimedObservation;
use crate::{RateLimit, RateObservation};

/// How long a limit applies after the last response that carried it, or after it was last
/// published. It is retained that long since a target that receives no requests sends no responses.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// How long the absence of a limit is retained, so that an older observation does not restore it.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);

/// How often a limit that targets keep sending is published again, so that it does not expire at
/// processes that receive no responses themselves.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(120);

/// The effect of an observation on the limit of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// The limit is the same as before.
    Unchanged,
    /// The target has another limit than before.
    Limited {
        /// The limit before; `None` if there was none.
        previous: Option<RateLimit>,
        /// The limit now.
        current: RateLimit,
    },
    /// The target has no limit any more.
    Lifted {
        /// The limit before.
        previous: RateLimit,
    },
}

/// Observations that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateChanges {
    /// The observations.
    pub observations: Vec<RateObservation>,
    /// The revision up to which the reader has seen all changes after applying them.
    pub revision: u64,
}

/// The effect of a target incarnation on the stored observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationEffect {
    /// The incarnation was known already.
    Unchanged,
    /// The incarnation is newer, and the stored observation comes from it.
    Retained,
    /// The incarnation is newer than the stored observation, which was removed. Holds the limit
    /// that it carried.
    Discarded(Option<RateLimit>),
}

#[derive(Debug)]
struct RateEntry {
    observation: TimedObservation,
    /// The revision of the last change.
    revision: u64,
    /// Whether this process publishes the entry to others. Readers without any state get all
    /// entries.
    publishes: bool,
    /// Start time of the latest known incarnation of the target, in Unix milliseconds.
    born: u64,
    /// When the entry was last published, by this process or another one.
    published_at: BootInstant,
}

/// The rate limits of targets.
///
/// Invariant: an observation that was certainly made after another one replaces it. If the order of
/// two is uncertain, the lower limit applies, and any limit takes precedence over none.
#[derive(Debug, Default)]
pub struct RateStore {
    entries: HashMap<String, RateEntry>,
    by_revision: BTreeMap<u64, String>,
    revision: u64,
}

impl RateStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the store has no entries, not even of limits that were lifted a while ago.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the limit of a target; `None` if it accepts any rate.
    pub fn rate_limit(&self, target: &str) -> Option<RateLimit> {
        self.entries.get(target)?.observation.rate_limit
    }

    /// Returns the targets that have a limit, each with its limit.
    pub fn limits(&self) -> impl Iterator<Item = (&str, RateLimit)> {
        let entries = self.entries.iter();
        entries.filter_map(|(target, entry)| Some((target.as_str(), entry.observation.rate_limit?)))
    }

    /// Records an observation, and publishes it to others if it changes the limit or is due to be
    /// published again.
    pub fn record_observed(
        &mut self,
        observation: &RateObservation,
        now: BootInstant,
    ) -> RateChange {
        let change = self.apply(observation, now);
        let Some(entry) = self.entries.get(&observation.target) else {
            return change;
        };
        if change != RateChange::Unchanged || now - entry.published_at > REPUBLISH_INTERVAL {
            self.mark_for_publication(&observation.target, now);
        }
        change
    }

    /// Records an observation that this process forwards to others; returns whether there is
    /// something to forward. An observation that contradicts the stored one causes the stored one
    /// to be sent again.
    pub fn relay(&mut self, observation: &RateObservation, now: BootInstant) -> bool {
        let before = self.revision;
        self.record_observed(observation, now);
        let known = self.entries.get(&observation.target);
        let contradicts =
            known.is_some_and(|entry| entry.observation.rate_limit != observation.rate_limit);
        if contradicts && self.revision == before {
            self.mark_for_publication(&observation.target, now);
        }
        self.revision > before
    }

    /// Records an observation from a process that publishes it to the others itself. If the stored
    /// observation takes precedence, that one is published instead.
    pub fn record_received(
        &mut self,
        observation: &RateObservation,
        now: BootInstant,
    ) -> RateChange {
        let change = self.apply(observation, now);
        let Some(entry) = self.entries.get_mut(&observation.target) else {
            return change;
        };
        if entry.observation.rate_limit != observation.rate_limit {
            self.mark_for_publication(&observation.target, now);
            return change;
        }
        entry.published_at = now;
        if change != RateChange::Unchanged {
            entry.publishes = false;
            self.assign_revision(&observation.target);
        }
        change
    }

    /// Records an incarnation of a target that started at the Unix millisecond `born`, and removes
    /// an observation that was made before it. `unix_ms` is the current time.
    pub fn record_incarnation(
        &mut self,
        target: &str,
        born: u64,
        unix_ms: u64,
        now: BootInstant,
    ) -> IncarnationEffect {
        let Some(entry) = self
            .entries
            .get_mut(target)
            .filter(|entry| entry.born < born)
        else {
            return IncarnationEffect::Unchanged;
        };
        entry.born = born;
        let received_ms =
            unix_ms.saturating_sub((now - entry.observation.received_at).as_millis() as u64);
        if received_ms >= born {
            return IncarnationEffect::Retained;
        }
        let previous = entry.observation.rate_limit;
        self.remove(target);
        IncarnationEffect::Discarded(previous)
    }

    /// Publishes an observation again, for processes that may have removed it.
    pub fn republish(&mut self, target: &str, now: BootInstant) {
        self.mark_for_publication(target, now);
    }

    fn apply(&mut self, observation: &RateObservation, now: BootInstant) -> RateChange {
        let timed = TimedObservation::new(observation, now);
        let Some(entry) = self.entries.get_mut(&observation.target) else {
            let Some(limit) = timed.rate_limit else {
                return RateChange::Unchanged;
            };
            let entry = RateEntry {
                observation: timed,
                revision: 0,
                publishes: false,
                born: 0,
                published_at: now,
            };
            self.entries.insert(observation.target.clone(), entry);
            return RateChange::Limited {
                previous: None,
                current: limit,
            };
        };
        let previous = entry.observation.rate_limit;
        if timed.is_after(&entry.observation) {
            entry.observation = timed;
        } else if !entry.observation.is_after(&timed) {
            entry.observation = merge_concurrent(entry.observation, timed);
        }
        match (previous, entry.observation.rate_limit) {
            (previous, Some(current)) if previous != Some(current) => {
                RateChange::Limited { previous, current }
            }
            (Some(previous), None) => RateChange::Lifted { previous },
            _ => RateChange::Unchanged,
        }
    }

    fn mark_for_publication(&mut self, target: &str, now: BootInstant) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.published_at = now;
            entry.publishes = true;
        }
        self.assign_revision(target);
    }

    fn assign_revision(&mut self, target: &str) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, target.to_owned());
    }

    /// Returns at most `max_count` observations that changed after a revision, the oldest change
    /// first: those that this process publishes, or all of them for a reader that may have no
    /// state.
    pub fn changed_after(
        &self,
        after: u64,
        max_count: usize,
        all: bool,
        now: BootInstant,
    ) -> RateChanges {
        let newer = self.by_revision.range(after.saturating_add(1)..);
        let entries = newer
            .filter_map(|(revision, target)| Some((*revision, target, self.entries.get(target)?)));
        let published = entries
            .filter(|(.., entry)| all || entry.publishes)
            .take(max_count);
        let found = published
            .map(|(revision, target, entry)| (revision, entry.observation.reported(target, now)));
        let found: Vec<(u64, RateObservation)> = found.collect();
        let is_last_part = found.len() < max_count;
        let last = found.last().map_or(after, |(revision, _)| *revision);
        RateChanges {
            observations: found
                .into_iter()
                .map(|(_, observation)| observation)
                .collect(),
            revision: if is_last_part {
                self.revision.max(after)
            } else {
                last
            },
        }
    }

    /// Returns the stored observation of one target, in the form that is sent to other processes.
    pub fn observation(&self, target: &str, now: BootInstant) -> Option<RateObservation> {
        Some(self.entries.get(target)?.observation.reported(target, now))
    }

    /// Removes the entry of a target.
    pub fn remove(&mut self, target: &str) {
        if let Some(entry) = self.entries.remove(target) {
            self.by_revision.remove(&entry.revision);
        }
    }

    /// Returns when the last response of a target was received, with or without a limit.
    pub fn last_observed(&self, target: &str) -> Option<BootInstant> {
        Some(self.entries.get(target)?.observation.received_at)
    }

    /// Removes expired entries; returns the targets whose limit expired, each with that limit.
    pub fn expire(&mut self, now: BootInstant) -> Vec<(String, RateLimit)> {
        let mut ended = Vec::new();
        let by_revision = &mut self.by_revision;
        self.entries.retain(|target, entry| {
            let span = match entry.observation.rate_limit {
                Some(_) => LIMIT_RETENTION,
                None => LIFTED_RETENTION,
            };
            // A limit that is published repeatedly is still received by some process.
            let last = entry.observation.received_at.max(entry.published_at);
            let kept = now - last < span;
            if !kept {
                by_revision.remove(&entry.revision);
                ended.extend(
                    entry
                        .observation
                        .rate_limit
                        .map(|limit| (target.clone(), limit)),
                );
            }
            kept
        });
        ended
    }
}

/// Merges two observations whose order is uncertain.
fn merge_concurrent(one: TimedObservation, other: TimedObservation) -> TimedObservation {
    match (one.rate_limit, other.rate_limit) {
        (_, None) => one,
        (None, Some(_)) => other,
        (Some(limit), Some(lower)) if lower < limit => other,
        (Some(limit), Some(higher)) if higher > limit => one,
        _ => TimedObservation {
            rate_limit: one.rate_limit,
            sent_at: one.sent_at.max(other.sent_at),
            received_at: one.received_at.max(other.received_at),
        },
    }
}

#[cfg(test)]
mod tests;
