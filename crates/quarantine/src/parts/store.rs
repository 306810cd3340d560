//! The records of suspect parts of a process.

mod exchange;
mod trials;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::attribution::{HeldGroup, find_causes};
use super::{OriginTag, PartKey, PartRecord, PartStatus, PartSubject, RunTag};
use crate::CrashKey;
use crate::changes::{ChangeLog, RecordChanges};
use crate::instant::CrashInstants;
use crate::store::REFUSAL_PUBLISH_INTERVAL;
use crate::trial::TrialCrashes;

/// Time from the first event of an answer until the run counts as completed, while further events come:
/// a part that crashes targets does so when they begin to answer on it.
pub const RUN_SETTLE_TIME: Duration = Duration::from_millis(300);

/// Delay from the last crash of a part to the decision whether it is the cause. By then the runs that
/// were in flight at that moment have settled, and other hosts have reported theirs.
const DECISION_DELAY: Duration =
    Duration::from_millis(RUN_SETTLE_TIME.as_millis() as u64 + crate::store::REPORT_DELAY_MS);

/// Crashes without a completed run after which a request with the part is not retried.
const NO_RETRY_CRASHES: usize = 2;

/// Part records that changed, in the order of their changes.
pub type PartChanges = RecordChanges<PartRecord>;

/// A crash of a target while a request with some parts in its prompt was in flight there.
#[derive(Debug, Clone, Copy)]
pub struct PartCrash {
    /// The crash.
    pub crash: CrashKey,
    /// The request, in the scope of its account.
    pub request: OriginTag,
    /// The account, in the scope of all accounts.
    pub account: OriginTag,
}

impl PartCrash {
    fn origin(&self, subject: &PartSubject) -> OriginTag {
        match subject.account {
            Some(_) => self.request,
            None => self.account,
        }
    }
}

pub(super) struct Part {
    pub(super) record: PartRecord,
    pub(super) created_at: Instant,
    /// The time of the last crash, trial or refusal.
    pub(super) last_seen: Instant,
    /// The time of the last crash or trial.
    pub(super) last_crash_or_trial: Instant,
    /// Crashes while a trial ran, or when it had just ended.
    trial_crashes: TrialCrashes,
    /// When it may be held; `None` once that is decided.
    decision_at: Option<Instant>,
    /// The revision of the last change.
    pub(super) revision: u64,
}

/// The suspect parts of a process, by part.
#[derive(Default)]
pub struct PartStore {
    pub(super) parts: HashMap<PartKey, Part>,
    pub(super) changes: ChangeLog<PartKey>,
    pub(super) instants: CrashInstants,
    /// Crashes of targets during trials of held requests.
    request_trials: BTreeSet<CrashKey>,
    /// Whether records changed since the crashes were attributed.
    pub(super) is_stale: bool,
    /// Groups of which a request must not have all parts.
    held: Vec<HeldGroup>,
    /// Counts the changes of the held groups.
    held_changes: u64,
    /// Parts that became held and were not returned by [`PartStore::drain_held`] yet.
    newly_held: Vec<PartKey>,
    /// Parts that became free and were not returned by [`PartStore::drain_released`] yet.
    newly_released: Vec<PartKey>,
    /// The time of the next decision.
    next_decision: Option<Instant>,
    /// Whether this process is out of contact with all control hosts.
    is_isolated: bool,
}

impl PartStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Returns how often the held groups have changed.
    pub fn held_changes(&self) -> u64 {
        self.held_changes
    }

    /// Returns whether a part has a record.
    pub fn contains(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Returns the status of a request by the keys of all parts of its prompt.
    pub fn status(&self, keys: &[PartKey], now: Instant) -> PartStatus {
        let has_all = |group: &&HeldGroup| group.parts.iter().all(|part| keys.contains(part));
        if let Some(group) = self.held.iter().find(has_all) {
            let part = group.parts[0];
            let wait = self.time_to_trial(part, now);
            return PartStatus::Held {
                part,
                trial_due: wait.is_some_and(|wait| wait.is_zero()),
            };
        }
        let known = || keys.iter().filter_map(|key| self.parts.get(key));
        if known().any(|part| part.decision_at.is_some()) {
            return PartStatus::Undecided;
        }
        let is_suspect = |part: &Part| {
            part.record.runs.is_empty() && part.record.crashes.len() >= NO_RETRY_CRASHES
        };
        match known().any(is_suspect) {
            true => PartStatus::Suspect,
            false => PartStatus::Clear,
        }
    }

    /// Returns whether a part is in a held group.
    pub fn is_held(&self, key: PartKey) -> bool {
        self.held.iter().any(|group| group.parts.contains(&key))
    }

    /// Adds the crash of a target where a request with the part was in flight; returns whether it is
    /// new.
    pub fn add_crash(&mut self, subject: &PartSubject, crash: PartCrash, now: Instant) -> bool {
        self.evict_for(subject);
        let origin = crash.origin(subject);
        let is_held = self.is_held(subject.key);
        self.instants.add(crash.crash, now);
        let part = self.part(subject, now);
        let is_known = part.record.crashes.contains_key(&crash.crash);
        if !part.record.add_crash(crash.crash, origin) {
            return false;
        }
        if is_held && !is_known {
            part.note_trial_crash(crash.crash);
        }
        part.last_seen = now;
        part.last_crash_or_trial = now;
        self.mark_changed(subject.key);
        self.schedule_decision(subject.key, !is_known, now);
        true
    }

    /// Adds a completed run of a request with the part, if more of them are needed; returns whether
    /// it was added.
    pub fn add_run(&mut self, key: PartKey, run: RunTag) -> bool {
        let is_held = self.is_held(key);
        let Some(part) = self.parts.get_mut(&key) else {
            return false;
        };
        if !part.record.add_run(run) {
            return false;
        }
        if is_held && part.record.passed_trials < part.record.trials {
            part.record.passed_trials += 1;
        }
        self.mark_changed(key);
        true
    }

    /// Takes back a run whose target crashed after it counted; returns whether it was counted.
    pub fn retract_run(&mut self, key: PartKey, run: RunTag) -> bool {
        let part = self.parts.get_mut(&key);
        let was_counted = part.is_some_and(|part| part.record.retract_run(run));
        if was_counted {
            self.mark_changed(key);
        }
        was_counted
    }

    /// Applies the changes since the last call and makes the decisions that are due. Call this
    /// before the functions that return what is held.
    pub fn decide_due(&mut self, now: Instant) {
        let is_due = self.next_decision.is_some_and(|at| at <= now);
        if is_due {
            for part in self.parts.values_mut() {
                part.decision_at = part.decision_at.filter(|at| *at > now);
            }
            let all = self.parts.values();
            self.next_decision = all.filter_map(|part| part.decision_at).min();
        }
        if is_due || std::mem::take(&mut self.is_stale) {
            self.reattribute();
        }
    }

    /// Sets whether this process is out of contact with all control hosts. The parts that it would
    /// hold after contact is restored wait until other hosts have reported.
    pub fn set_isolated(&mut self, is_isolated: bool, now: Instant) {
        let was_isolated = std::mem::replace(&mut self.is_isolated, is_isolated);
        if was_isolated && !is_isolated {
            let keys: Vec<PartKey> = self.parts.keys().copied().collect();
            keys.into_iter()
                .for_each(|key| self.schedule_decision(key, true, now));
        }
        self.is_stale |= was_isolated != is_isolated;
    }

    /// Discards the evidence about a part and the others of its group; returns whether there was any.
    pub fn release(&mut self, key: PartKey) -> bool {
        let mut keys = self.group_of(key);
        keys.push(key);
        let mut was_known = false;
        for key in keys {
            let part = self.parts.get_mut(&key);
            if let Some(part) = part.filter(|part| !part.record.crashes.is_empty()) {
                part.begin_round(BTreeMap::new());
                self.mark_changed(key);
                was_known = true;
            }
        }
        was_known
    }

    /// Discards a crash, since the target still runs; returns the affected parts.
    pub fn retract_crash(&mut self, crash: CrashKey) -> Vec<PartKey> {
        let mut affected = Vec::new();
        for part in self.parts.values_mut() {
            let mut crashes = part.record.crashes.clone();
            if crashes.remove(&crash).is_some() {
                part.begin_round(crashes);
                affected.push(part.record.subject.key);
            }
        }
        affected.sort_unstable();
        affected.iter().for_each(|key| self.mark_changed(*key));
        affected
    }

    /// Returns the crashes that are attributed to held parts.
    pub fn attributed_crashes(&self) -> BTreeSet<CrashKey> {
        let held = self.held.iter();
        held.flat_map(|group| group.crashes.iter().copied())
            .collect()
    }

    /// Returns whether a decision on one of the parts is due soon.
    pub fn is_deciding(&self, keys: &[PartKey]) -> bool {
        let mut known = keys.iter().filter_map(|key| self.parts.get(key));
        known.any(|part| part.decision_at.is_some())
    }

    /// Returns the crashes that are recorded for any part.
    pub fn known_crashes(&self) -> HashSet<CrashKey> {
        let all = self.parts.values();
        all.flat_map(|part| part.record.crashes.keys().copied())
            .collect()
    }

    /// Records that a request with a held part was refused, which extends the retention of the
    /// records of its group.
    pub fn record_refusal(&mut self, key: PartKey, now: Instant) {
        for key in self.group_of(key) {
            if let Some(part) = self.parts.get_mut(&key)
                && now.saturating_duration_since(part.last_seen) >= REFUSAL_PUBLISH_INTERVAL
            {
                part.last_seen = now;
                self.mark_changed(key);
            }
        }
    }

    /// Returns the record of a part, with its present age.
    pub fn record(&self, key: PartKey, now: Instant) -> Option<PartRecord> {
        Some(self.parts.get(&key)?.to_record(now))
    }

    /// Returns the records of parts that became held since the last call.
    pub fn drain_held(&mut self, now: Instant) -> Vec<PartRecord> {
        let keys = std::mem::take(&mut self.newly_held);
        keys.into_iter()
            .filter_map(|key| self.record(key, now))
            .collect()
    }

    /// Returns the parts that are no longer held since the last call.
    pub fn drain_released(&mut self) -> Vec<PartKey> {
        std::mem::take(&mut self.newly_released)
    }

    /// Returns all records, the held ones first.
    pub fn all_records(&self, now: Instant) -> Vec<PartRecord> {
        let all = self.parts.values();
        let mut records: Vec<PartRecord> = all.map(|part| part.to_record(now)).collect();
        records.sort_by_key(|record| (!self.is_held(record.subject.key), record.subject.key));
        records
    }

    /// Returns how many parts are held, and how many have crashes recorded.
    pub fn counts(&self) -> (usize, usize) {
        let held: HashSet<&PartKey> = self.held.iter().flat_map(|group| &group.parts).collect();
        let accused = self.parts.values();
        let accused = accused.filter(|part| !part.record.crashes.is_empty());
        (held.len(), accused.count())
    }

    fn part(&mut self, subject: &PartSubject, at: Instant) -> &mut Part {
        let fresh = || Part {
            record: PartRecord::new(subject.clone()),
            created_at: at,
            last_seen: at,
            last_crash_or_trial: at,
            trial_crashes: TrialCrashes::default(),
            decision_at: None,
            revision: 0,
        };
        self.parts.entry(subject.key).or_insert_with(fresh)
    }

    fn group_of(&self, key: PartKey) -> Vec<PartKey> {
        let mut groups = self.held.iter();
        let group = groups.find(|group| group.parts.contains(&key));
        group.map_or_else(Vec::new, |group| group.parts.clone())
    }

    pub(super) fn mark_changed(&mut self, key: PartKey) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.revision = self.changes.record(part.revision, key);
            self.is_stale = true;
        }
    }

    fn is_candidate(&self, key: PartKey) -> bool {
        let part = self.parts.get(&key);
        part.is_some_and(|part| part.record.is_candidate(&self.instants))
    }

    /// Schedules the decision on a part that may have enough crashes to be held, for each crash that no
    /// pending decision includes: what speaks for the part is learned later than the crash.
    fn schedule_decision(&mut self, key: PartKey, has_new_crash: bool, now: Instant) {
        let is_due = has_new_crash && !self.is_held(key) && self.is_candidate(key);
        let part = self.parts.get_mut(&key).filter(|_| is_due);
        if let Some(part) = part.filter(|part| part.decision_at.is_none()) {
            let at = now + DECISION_DELAY;
            part.decision_at = Some(at);
            self.next_decision = Some(self.next_decision.map_or(at, |next| next.min(at)));
        }
    }

    /// Attributes all crashes again, which may hold and release parts.
    fn reattribute(&mut self) {
        let records = self.parts.values().map(|part| &part.record);
        let is_decided = |key| {
            let part = self.parts.get(&key);
            part.is_some_and(|part| part.decision_at.is_none())
        };
        let held = find_causes(records, &self.instants, is_decided, self.is_isolated);
        self.held_changes += u64::from(held != self.held);
        let former = std::mem::replace(&mut self.held, held);
        let parts_of = |groups: &[HeldGroup]| -> BTreeSet<PartKey> {
            groups
                .iter()
                .flat_map(|group| &group.parts)
                .copied()
                .collect()
        };
        let (former, held) = (parts_of(&former), parts_of(&self.held));
        for key in &held {
            let part = self.parts.get_mut(key);
            if let Some(part) = part.filter(|part| !part.record.was_held) {
                part.record.was_held = true;
                part.revision = self.changes.record(part.revision, *key);
            }
        }
        self.newly_held.extend(held.difference(&former));
        self.newly_released.extend(former.difference(&held));
    }
}

impl Part {
    /// Begins a round in which only the given crashes count.
    fn begin_round(&mut self, crashes: BTreeMap<CrashKey, BTreeSet<OriginTag>>) {
        self.record.begin_round(crashes);
        self.trial_crashes.clear();
        self.decision_at = None;
    }

    /// Adds a new crash of a held part, if a trial has not completed.
    fn note_trial_crash(&mut self, crash: CrashKey) {
        if self.record.trials > self.record.passed_trials {
            self.trial_crashes.add(crash);
        }
    }

    /// Returns the account; empty for all accounts.
    pub(super) fn account(&self) -> &str {
        self.record.subject.account.as_deref().unwrap_or_default()
    }

    fn to_record(&self, now: Instant) -> PartRecord {
        let mut record = self.record.clone();
        record.age_ms = now.saturating_duration_since(self.last_seen).as_millis() as u64;
        record
    }
}

#[cfg(test)]
mod tests;
