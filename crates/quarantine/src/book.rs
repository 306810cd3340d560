//! The records of a process.

mod room;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use room::MAX_SUSPECTS;

use crate::guilt::{Candidate, HOLDING_ENDS, explain_ends, unexplained};
use crate::{EndKey, RequestKey, RequestStanding, RequestSubject, SuspectRecord};

/// Ends after which a request runs once at a time. With one alone it is as likely as anything else that ran
/// there, and a popular request would wait for itself after each end of any target.
const APART_ENDS: usize = 2;

/// How long after the last end or trial the first, second and later trials are due. An innocent request that
/// was held in a series of lost targets is free again after the first; the guilty one ends one target at
/// each.
const TRIAL_WAITS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(1_800),
];

/// How long after its last end it is decided whether a request is the cause: by then other hosts have told
/// what they had running there. A word reaches all hosts within some 20 ms on a fleet of 12, and within 0.35
/// ms for each entry host on a large one.
const SETTLING: Duration = Duration::from_millis(150);

/// Requests of one account that came to be held within a span, from which on the account's requests are confined to
/// a share of the targets. One that is refused soon ends three targets; a caller that sends ever new ones would
/// end three for each.
const CONFINING_REQUESTS: usize = 5;
const CONFINING_SPAN: Duration = Duration::from_secs(60);

/// How often a refusal is told to others, so that a request that keeps coming is remembered.
const REFUSAL_TOLD: Duration = Duration::from_secs(60);

struct Suspect {
    record: SuspectRecord,
    /// When the last end, trial or refusal was.
    last: Instant,
    /// When the last end or trial was.
    last_run: Instant,
    /// When it is decided whether it is the cause; nothing where that is decided.
    decides_at: Option<Instant>,
    /// Number of the change that last altered it.
    changed: u64,
}

/// Records that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedSuspects {
    /// The records.
    pub records: Vec<SuspectRecord>,
    /// The number of the last change that they bring their reader to.
    pub number: u64,
}

/// The records of a process, by request.
#[derive(Default)]
pub struct SuspectBook {
    suspects: HashMap<RequestKey, Suspect>,
    by_change: BTreeMap<u64, RequestKey>,
    number: u64,
    /// The request that explains an end.
    explained: BTreeMap<EndKey, RequestKey>,
    /// Requests that came to be held here and were not told of by [`SuspectBook::drain_held`] yet.
    newly_held: Vec<RequestKey>,
    /// When the next request is decided on.
    decides_next: Option<Instant>,
}

impl SuspectBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of the newest change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns what holds of a request.
    pub fn standing(&self, key: RequestKey, now: Instant) -> RequestStanding {
        let Some(suspect) = self.suspects.get(&key) else {
            return RequestStanding::Free;
        };
        if suspect.record.held {
            let trials = suspect.record.trials as usize;
            let wait = TRIAL_WAITS[trials.min(TRIAL_WAITS.len() - 1)];
            let rested = now.saturating_duration_since(suspect.last_run);
            return RequestStanding::Held {
                trial_due: rested >= wait,
            };
        }
        if suspect.decides_at.is_some() {
            return RequestStanding::Undecided;
        }
        if unexplained(&suspect.record, &self.explained).len() >= APART_ENDS {
            return RequestStanding::Suspect;
        }
        RequestStanding::Free
    }

    /// Notes that a target ended while a request ran there; says whether that is news.
    pub fn accuse(&mut self, subject: &RequestSubject, end: EndKey, now: Instant) -> bool {
        self.make_room(subject);
        let suspect = self.suspect(subject, now);
        suspect.record.subject.take_name(subject);
        if !suspect.record.add_end(end) {
            return false;
        }
        suspect.last = now;
        suspect.last_run = now;
        self.mark_changed(subject.key);
        self.decide_later(subject.key, now);
        true
    }

    /// Decides on the requests on which it is time to. To be called before a standing is asked for.
    pub fn settle(&mut self, now: Instant) {
        if self.decides_next.is_some_and(|at| at <= now) {
            for suspect in self.suspects.values_mut() {
                suspect.decides_at = suspect.decides_at.filter(|at| *at > now);
            }
            let all = self.suspects.values();
            self.decides_next = all.filter_map(|one| one.decides_at).min();
            self.weigh();
        }
    }

    /// Notes that a request ran whole; says whether anything was held against it.
    pub fn acquit(&mut self, key: RequestKey) -> bool {
        let suspect = self.suspects.get_mut(&key);
        let Some(suspect) = suspect.filter(|one| !one.record.ends.is_empty()) else {
            return false;
        };
        let weighed = suspect.record.may_be_cause();
        suspect.record.begin_round(BTreeSet::new());
        suspect.decides_at = None;
        self.mark_changed(key);
        if weighed {
            self.weigh();
        }
        true
    }

    /// Notes that a target which was taken as ended runs on; returns the requests that it was held against.
    pub fn retract(&mut self, end: EndKey) -> Vec<RequestKey> {
        let accused = self.suspects.values_mut();
        let accused = accused.filter(|one| one.record.ends.contains(&end));
        let mut freed = Vec::new();
        for suspect in accused {
            let mut ends = suspect.record.ends.clone();
            ends.remove(&end);
            suspect.record.begin_round(ends);
            suspect.decides_at = None;
            freed.push(suspect.record.subject.key);
        }
        freed.sort_unstable();
        freed.iter().for_each(|key| self.mark_changed(*key));
        if !freed.is_empty() {
            self.weigh();
        }
        freed
    }

    /// Returns the ends that are held against any request.
    pub fn known_ends(&self) -> HashSet<EndKey> {
        let all = self.suspects.values();
        all.flat_map(|one| one.record.ends.iter().copied())
            .collect()
    }

    /// Notes that a held request is run once more.
    pub fn note_trial(&mut self, key: RequestKey, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        suspect.record.trials += 1;
        suspect.last = now;
        suspect.last_run = now;
        self.mark_changed(key);
    }

    /// Notes that a held request was refused, which keeps it in memory.
    pub fn note_refused(&mut self, key: RequestKey, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        let silent = now.saturating_duration_since(suspect.last);
        if silent >= REFUSAL_TOLD {
            suspect.last = now;
            self.mark_changed(key);
        }
    }

    /// Takes the record of another process; says whether it changed what is known here.
    pub fn merge(&mut self, told: &SuspectRecord, now: Instant) -> bool {
        let key = told.subject.key;
        let age = Duration::from_millis(told.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        self.make_room(&told.subject);
        let known = self.suspects.contains_key(&key);
        let suspect = self.suspect(&told.subject, at);
        let weighed = suspect.record.may_be_cause();
        let ends = suspect.record.ends.len();
        let was_held = suspect.record.held;
        let refreshed = at.saturating_duration_since(suspect.last) >= REFUSAL_TOLD;
        let altered = suspect.record.merge(told);
        if altered {
            suspect.last_run = suspect.last_run.max(at);
        }
        suspect.last = suspect.last.max(at);
        if known && !altered && !refreshed {
            return false;
        }
        let gained = suspect.record.ends.len() > ends;
        if suspect.record.held && !was_held {
            self.newly_held.push(key);
        }
        self.mark_changed(key);
        if weighed || told.held {
            self.weigh();
        }
        if gained {
            self.decide_later(key, now);
        }
        true
    }

    /// Returns the first records that changed after a change number, so many at most.
    pub fn changed_after(&self, number: u64, most: usize, now: Instant) -> ChangedSuspects {
        self.wanted_after(number, most, now, |_| true)
    }

    /// Says whether a request concerns every host.
    pub fn is_shared(&self, key: RequestKey) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|one| one.record.shared)
    }

    /// Does the same with those that concern every host. A host that has 300 others beside it would get 9,000
    /// records of innocent requests, 2 MB, when a seventh of 3,000 targets ended at once.
    pub fn shared_after(&self, number: u64, most: usize, now: Instant) -> ChangedSuspects {
        self.wanted_after(number, most, now, |record| record.shared)
    }

    fn wanted_after(
        &self,
        number: u64,
        most: usize,
        now: Instant,
        is_wanted: impl Fn(&SuspectRecord) -> bool,
    ) -> ChangedSuspects {
        let after = self.by_change.range(number.saturating_add(1)..);
        let after = after.filter_map(|(change, key)| Some((*change, self.suspects.get(key)?)));
        let wanted = after.filter(|(_, one)| is_wanted(&one.record)).take(most);
        let found: Vec<(u64, &Suspect)> = wanted.collect();
        let is_rest = found.len() < most;
        let last = found.last().map_or(number, |(change, _)| *change);
        ChangedSuspects {
            records: found.iter().map(|(_, one)| one.told(now)).collect(),
            number: if is_rest {
                self.number.max(number)
            } else {
                last
            },
        }
    }

    /// Returns the record of a request as it is told now.
    pub fn record(&self, key: RequestKey, now: Instant) -> Option<SuspectRecord> {
        Some(self.suspects.get(&key)?.told(now))
    }

    /// Returns the records of requests that came to be held here since this was last asked.
    pub fn drain_held(&mut self, now: Instant) -> Vec<SuspectRecord> {
        let keys = std::mem::take(&mut self.newly_held);
        let records = keys.into_iter().filter_map(|key| self.record(key, now));
        records.filter(|one| one.held).collect()
    }

    /// Returns every record, also those against which nothing stands any more.
    pub fn all_records(&self, now: Instant) -> Vec<SuspectRecord> {
        self.suspects.values().map(|one| one.told(now)).collect()
    }

    /// Returns every record against which anything stands, the held ones first.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let standing = self.suspects.values();
        let standing = standing.filter(|one| !one.record.ends.is_empty());
        let mut records: Vec<SuspectRecord> = standing.map(|one| one.told(now)).collect();
        records.sort_by_key(|one| (!one.held, one.subject.key));
        records
    }

    /// Returns the accounts that have sent so many requests which end targets lately that their requests are
    /// confined to a share of the targets.
    pub fn confined_accounts(&self, now: Instant) -> BTreeSet<String> {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        let held = self.suspects.values().filter(|one| one.record.held);
        for one in held {
            if now.saturating_duration_since(one.last_run) < CONFINING_SPAN {
                *counts.entry(&one.record.subject.account).or_default() += 1;
            }
        }
        let confined = counts.into_iter();
        // An empty name is that of requests of all callers without an account.
        let confined =
            confined.filter(|(name, held)| *held >= CONFINING_REQUESTS && !name.is_empty());
        confined.map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns how many requests are held, and against how many anything stands.
    pub fn counts(&self) -> (usize, usize) {
        let all = || self.suspects.values().map(|one| &one.record);
        let accused = all().filter(|one| !one.ends.is_empty());
        (all().filter(|one| one.held).count(), accused.count())
    }

    fn suspect(&mut self, subject: &RequestSubject, at: Instant) -> &mut Suspect {
        let fresh = || Suspect {
            record: SuspectRecord::new(subject.clone()),
            last: at,
            last_run: at,
            decides_at: None,
            changed: 0,
        };
        self.suspects.entry(subject.key).or_insert_with(fresh)
    }

    fn mark_changed(&mut self, key: RequestKey) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        self.by_change.remove(&suspect.changed);
        self.number += 1;
        suspect.changed = self.number;
        self.by_change.insert(self.number, key);
    }

    /// Has a request that has gained an end decided on a moment later.
    fn decide_later(&mut self, key: RequestKey, now: Instant) {
        let explained = &self.explained;
        let suspect = self.suspects.get_mut(&key);
        let is_open = |one: &&mut Suspect| {
            !one.record.held && unexplained(&one.record, explained).len() >= HOLDING_ENDS
        };
        if let Some(suspect) = suspect.filter(is_open) {
            let at = now + SETTLING;
            suspect.decides_at = Some(at);
            self.decides_next = Some(self.decides_next.map_or(at, |next| next.min(at)));
        }
        // What it explains is not open for others any more.
        if self.suspects.get(&key).is_some_and(|one| one.record.held) {
            self.weigh();
        }
    }

    /// Works out anew which requests are held.
    fn weigh(&mut self) {
        let all = self.suspects.values();
        let may_be = all.filter(|one| one.record.may_be_cause());
        let candidates = may_be.map(|one| Candidate {
            record: &one.record,
            decided: one.decides_at.is_none(),
        });
        self.explained = explain_ends(candidates.collect());
        let causes: BTreeSet<RequestKey> = self.explained.values().copied().collect();
        for key in causes {
            let suspect = self.suspects.get_mut(&key);
            let Some(suspect) = suspect.filter(|one| !one.record.held) else {
                continue;
            };
            suspect.record.held = true;
            self.newly_held.push(key);
            self.mark_changed(key);
        }
    }
}

impl Suspect {
    fn told(&self, now: Instant) -> SuspectRecord {
        let mut record = self.record.clone();
        record.age_ms = now.saturating_duration_since(self.last).as_millis() as u64;
        record
    }
}

#[cfg(test)]
mod tests;
