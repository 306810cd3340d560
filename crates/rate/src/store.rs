//! The rates that targets named, as one process knows them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::observation::TimedObservation;
use crate::{RateLimit, RateObservation};

/// How long a rate holds after the target was last heard to name it. A target that is not asked says nothing.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// How long it is remembered that a target names no rate any more, so that an older observation does not bring it back.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);

/// How often a rate that goes on to be named is published again, so that it does not end at processes that get no answers.
const REPUBLISH_INTERVAL: Duration = Duration::from_secs(120);

/// What a observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// Nothing that holds.
    Unchanged,
    /// The target takes another rate than before; nothing where it took any.
    Limited {
        /// The rate before.
        previous: Option<RateLimit>,
        /// The rate now.
        current: RateLimit,
    },
    /// The target takes any rate again.
    Lifted {
        /// The rate before.
        previous: RateLimit,
    },
}

/// Words that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateChanges {
    /// The words.
    pub observations: Vec<RateObservation>,
    /// The number of the last change that they bring their reader to.
    pub revision: u64,
}

/// How what is known of a target stands to its present start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationEffect {
    /// It is the start that was known.
    Unchanged,
    /// It is a newer one, and what is known was said by it.
    Retained,
    /// It is a newer one, which owes nothing; the rate that a previous one named is forgotten.
    Discarded(Option<RateLimit>),
}

#[derive(Debug)]
struct RateEntry {
    observation: TimedObservation,
    /// Number of the last change.
    revision: u64,
    /// Whether this process tells others of it, beside those that have lost everything.
    publishes: bool,
    /// When the start began that is known to run, in Unix milliseconds.
    born: u64,
    /// When it was last published, or published here.
    published_at: BootInstant,
}

/// The rates that targets named.
///
/// Invariant: a observation that was surely said after another one replaces it; of two whose order is not sure the lower rate
/// holds, and any rate before none.
#[derive(Debug, Default)]
pub struct RateStore {
    entries: HashMap<String, RateEntry>,
    by_revision: BTreeMap<u64, String>,
    revision: u64,
}

impl RateStore {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether no target names a rate, nor did a while ago.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the rate that holds for a target; nothing where it takes any.
    pub fn rate_limit(&self, target: &str) -> Option<RateLimit> {
        self.entries.get(target)?.observation.rate_limit
    }

    /// Returns the targets that name a rate.
    pub fn limits(&self) -> impl Iterator<Item = (&str, RateLimit)> {
        let entries = self.entries.iter();
        entries.filter_map(|(target, entry)| Some((target.as_str(), entry.observation.rate_limit?)))
    }

    /// Takes a observation that others should be published of where it is news.
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

    /// Takes a observation that this process passes on to others; says whether there is something to tell.
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

    /// Takes a observation from a process that tells the others itself. Where this one knows better it tells that.
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

    /// Looks at the start of a target that runs, which began at a Unix millisecond. What a previous one named is
    /// forgotten; `unix_ms` is the time of day.
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

    /// Has a observation published again to those that may have forgotten it.
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

    /// Returns the first words that changed after a change number, so many at max_count: those of which this process tells
    /// others, or all of them for one that may know nothing.
    pub fn changed_after(
        &self,
        after_revision: u64,
        max_count: usize,
        all: bool,
        now: BootInstant,
    ) -> RateChanges {
        let after = self.by_revision.range(after_revision.saturating_add(1)..);
        let entries = after
            .filter_map(|(revision, target)| Some((*revision, target, self.entries.get(target)?)));
        let published = entries
            .filter(|(.., entry)| all || entry.publishes)
            .take(max_count);
        let found = published.map(|(revision, target, entry)| {
            (revision, entry.observation.to_observation(target, now))
        });
        let found: Vec<(u64, RateObservation)> = found.collect();
        let is_last_part = found.len() < max_count;
        let last = found
            .last()
            .map_or(after_revision, |(revision, _)| *revision);
        RateChanges {
            observations: found
                .into_iter()
                .map(|(_, observation)| observation)
                .collect(),
            revision: if is_last_part {
                self.revision.max(after_revision)
            } else {
                last
            },
        }
    }

    /// Returns what is known of one target, to be published to another process.
    pub fn observation(&self, target: &str, now: BootInstant) -> Option<RateObservation> {
        Some(
            self.entries
                .get(target)?
                .observation
                .to_observation(target, now),
        )
    }

    /// Forgets a target, since another start has followed that owes nothing.
    pub fn remove(&mut self, target: &str) {
        if let Some(entry) = self.entries.remove(target) {
            self.by_revision.remove(&entry.revision);
        }
    }

    /// Returns when a target was last heard to name a rate, or to name none.
    pub fn last_observed(&self, target: &str) -> Option<BootInstant> {
        Some(self.entries.get(target)?.observation.received_at)
    }

    /// Forgets what is old; returns the targets whose rate ended by that.
    pub fn expire(&mut self, now: BootInstant) -> Vec<(String, RateLimit)> {
        let mut ended = Vec::new();
        let by_revision = &mut self.by_revision;
        self.entries.retain(|target, entry| {
            let span = match entry.observation.rate_limit {
                Some(_) => LIMIT_RETENTION,
                None => LIFTED_RETENTION,
            };
            // What is published again and again is heard by others.
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

/// Joins two words whose order is not sure.
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
