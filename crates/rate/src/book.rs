//! The rates that targets named, as one process knows them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::word::TimedWord;
use crate::{NamedRate, RateWord};

/// How long a rate holds after the target was last heard to name it. A target that is not asked says nothing.
const NAMED_KEPT: Duration = Duration::from_secs(600);

/// How long it is remembered that a target names no rate any more, so that an older word does not bring it back.
const ENDED_KEPT: Duration = Duration::from_secs(60);

/// How often a rate that goes on to be named is told again, so that it does not end at processes that get no answers.
const TOLD_PERIOD: Duration = Duration::from_secs(120);

/// What a word changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// Nothing that holds.
    Nothing,
    /// The target takes another rate than before; nothing where it took any.
    Named {
        /// The rate before.
        former: Option<NamedRate>,
        /// The rate now.
        rate: NamedRate,
    },
    /// The target takes any rate again.
    Ended {
        /// The rate before.
        former: NamedRate,
    },
}

/// Words that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedRates {
    /// The words.
    pub words: Vec<RateWord>,
    /// The number of the last change that they bring their reader to.
    pub number: u64,
}

/// How what is known of a target stands to its present start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartChange {
    /// It is the start that was known.
    Known,
    /// It is a newer one, and what is known was said by it.
    Spoken,
    /// It is a newer one, which owes nothing; the rate that a former one named is forgotten.
    Silent(Option<NamedRate>),
}

#[derive(Debug)]
struct Held {
    word: TimedWord,
    /// Number of the last change.
    changed: u64,
    /// Whether this process tells others of it, beside those that have lost everything.
    own: bool,
    /// When the start began that is known to run, in Unix milliseconds.
    born: u64,
    /// When it was last told, or told here.
    told: BootInstant,
}

/// The rates that targets named.
///
/// Invariant: a word that was surely said after another one replaces it; of two whose order is not sure the lower rate
/// holds, and any rate before none.
#[derive(Debug, Default)]
pub struct RateBook {
    held: HashMap<String, Held>,
    by_change: BTreeMap<u64, String>,
    number: u64,
}

impl RateBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether no target names a rate, nor did a while ago.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of the newest change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the rate that holds for a target; nothing where it takes any.
    pub fn rate(&self, target: &str) -> Option<NamedRate> {
        self.held.get(target)?.word.rate
    }

    /// Returns the targets that name a rate.
    pub fn named(&self) -> impl Iterator<Item = (&str, NamedRate)> {
        let held = self.held.iter();
        held.filter_map(|(target, held)| Some((target.as_str(), held.word.rate?)))
    }

    /// Takes a word that others should be told of where it is news.
    pub fn take_heard(&mut self, word: &RateWord, now: BootInstant) -> RateChange {
        let change = self.take(word, now);
        let Some(held) = self.held.get(&word.target) else {
            return change;
        };
        if change != RateChange::Nothing || now - held.told > TOLD_PERIOD {
            self.mark_changed(&word.target, now);
        }
        change
    }

    /// Takes a word that this process passes on to others; says whether there is something to tell.
    pub fn relay(&mut self, word: &RateWord, now: BootInstant) -> bool {
        let before = self.number;
        self.take_heard(word, now);
        let known = self.held.get(&word.target);
        let contradicts = known.is_some_and(|held| held.word.rate != word.rate);
        if contradicts && self.number == before {
            self.mark_changed(&word.target, now);
        }
        self.number > before
    }

    /// Takes a word from a process that tells the others itself. Where this one knows better it tells that.
    pub fn take_told(&mut self, word: &RateWord, now: BootInstant) -> RateChange {
        let change = self.take(word, now);
        let Some(held) = self.held.get_mut(&word.target) else {
            return change;
        };
        if held.word.rate != word.rate {
            self.mark_changed(&word.target, now);
            return change;
        }
        held.told = now;
        if change != RateChange::Nothing {
            held.own = false;
            self.number_change(&word.target);
        }
        change
    }

    /// Looks at the start of a target that runs, which began at a Unix millisecond. What a former one named is
    /// forgotten; `unix_ms` is the time of day.
    pub fn note_start(
        &mut self,
        target: &str,
        born: u64,
        unix_ms: u64,
        now: BootInstant,
    ) -> StartChange {
        let Some(held) = self.held.get_mut(target).filter(|held| held.born < born) else {
            return StartChange::Known;
        };
        held.born = born;
        let heard_at = unix_ms.saturating_sub((now - held.word.heard).as_millis() as u64);
        if heard_at >= born {
            return StartChange::Spoken;
        }
        let former = held.word.rate;
        self.forget(target);
        StartChange::Silent(former)
    }

    /// Has a word told again to those that may have forgotten it.
    pub fn tell_again(&mut self, target: &str, now: BootInstant) {
        self.mark_changed(target, now);
    }

    fn take(&mut self, word: &RateWord, now: BootInstant) -> RateChange {
        let timed = TimedWord::new(word, now);
        let Some(held) = self.held.get_mut(&word.target) else {
            let Some(rate) = timed.rate else {
                return RateChange::Nothing;
            };
            let held = Held {
                word: timed,
                changed: 0,
                own: false,
                born: 0,
                told: now,
            };
            self.held.insert(word.target.clone(), held);
            return RateChange::Named { former: None, rate };
        };
        let former = held.word.rate;
        if timed.follows(&held.word) {
            held.word = timed;
        } else if !held.word.follows(&timed) {
            held.word = lower(held.word, timed);
        }
        match (former, held.word.rate) {
            (former, Some(rate)) if former != Some(rate) => RateChange::Named { former, rate },
            (Some(former), None) => RateChange::Ended { former },
            _ => RateChange::Nothing,
        }
    }

    fn mark_changed(&mut self, target: &str, now: BootInstant) {
        if let Some(held) = self.held.get_mut(target) {
            held.told = now;
            held.own = true;
        }
        self.number_change(target);
    }

    fn number_change(&mut self, target: &str) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        self.by_change.remove(&held.changed);
        self.number += 1;
        held.changed = self.number;
        self.by_change.insert(self.number, target.to_owned());
    }

    /// Returns the first words that changed after a change number, so many at most: those of which this process tells
    /// others, or all of them for one that may know nothing.
    pub fn changed_after(
        &self,
        number: u64,
        most: usize,
        all: bool,
        now: BootInstant,
    ) -> ChangedRates {
        let after = self.by_change.range(number.saturating_add(1)..);
        let held =
            after.filter_map(|(change, target)| Some((*change, target, self.held.get(target)?)));
        let told = held.filter(|(.., held)| all || held.own).take(most);
        let found = told.map(|(change, target, held)| (change, held.word.told(target, now)));
        let found: Vec<(u64, RateWord)> = found.collect();
        let is_rest = found.len() < most;
        let last = found.last().map_or(number, |(change, _)| *change);
        ChangedRates {
            words: found.into_iter().map(|(_, word)| word).collect(),
            number: if is_rest {
                self.number.max(number)
            } else {
                last
            },
        }
    }

    /// Returns what is known of one target, to be told to another process.
    pub fn word(&self, target: &str, now: BootInstant) -> Option<RateWord> {
        Some(self.held.get(target)?.word.told(target, now))
    }

    /// Forgets a target, since another start has followed that owes nothing.
    pub fn forget(&mut self, target: &str) {
        if let Some(held) = self.held.remove(target) {
            self.by_change.remove(&held.changed);
        }
    }

    /// Returns when a target was last heard to name a rate, or to name none.
    pub fn heard(&self, target: &str) -> Option<BootInstant> {
        Some(self.held.get(target)?.word.heard)
    }

    /// Forgets what is old; returns the targets whose rate ended by that.
    pub fn expire(&mut self, now: BootInstant) -> Vec<(String, NamedRate)> {
        let mut ended = Vec::new();
        let by_change = &mut self.by_change;
        self.held.retain(|target, held| {
            let span = match held.word.rate {
                Some(_) => NAMED_KEPT,
                None => ENDED_KEPT,
            };
            // What is told again and again is heard by others.
            let last = held.word.heard.max(held.told);
            let kept = now - last < span;
            if !kept {
                by_change.remove(&held.changed);
                ended.extend(held.word.rate.map(|rate| (target.clone(), rate)));
            }
            kept
        });
        ended
    }
}

/// Joins two words whose order is not sure.
fn lower(one: TimedWord, other: TimedWord) -> TimedWord {
    match (one.rate, other.rate) {
        (_, None) => one,
        (None, Some(_)) => other,
        (Some(rate), Some(lower)) if lower < rate => other,
        (Some(rate), Some(higher)) if higher > rate => one,
        _ => TimedWord {
            rate: one.rate,
            asked: one.asked.max(other.asked),
            heard: one.heard.max(other.heard),
        },
    }
}

#[cfg(test)]
mod tests;
