//! The suspect records of a process.

mod confinement;
mod exchange;
mod retention;
mod trials;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

pub use retention::MAX_SUSPECTS;
pub(crate) use retention::{EVICTION_BATCH, HELD_RETENTION, records_of_largest_account};

use crate::attribution::{
    Candidate, CrashEvidence, HOLD_CRASHES, ISOLATED_HOLD_CRASHES, attribute_crashes, unattributed,
};
use crate::changes::{ChangeLog, RecordChanges};
use crate::instant::CrashInstants;
use crate::trial::TrialCrashes;
use crate::{CrashKey, RequestKey, RequestStatus, RequestSubject, SuspectRecord};

/// Target crashes after which a request runs once at a time. After one crash, the request is no
/// more likely to be the cause than others that ran there, and isolation would serialize popular
/// requests.
const ISOLATE_CRASHES: usize = 2;

/// Delay from the last crash of a request to the decision whether it is the cause. By then other
/// hosts have reported what ran at the target: a message reaches all hosts within 20 ms in a fleet
/// of 12, and within 0.35 ms per entry host in a large one.
const DECISION_DELAY: Duration = Duration::from_millis(REPORT_DELAY_MS);
pub(crate) const REPORT_DELAY_MS: u64 = 150;

/// Interval at which refusals of a request are published, so that hosts retain its record.
pub(crate) const REFUSAL_PUBLISH_INTERVAL: Duration = Duration::from_secs(60);

struct Suspect {
    record: SuspectRecord,
    /// The time of the last crash, trial or refusal.
    last_seen: Instant,
    /// The time of the last crash or trial.
    last_crash_or_trial: Instant,
    /// Crashes since the first trial.
    trial_crashes: TrialCrashes,
    /// When it is decided whether the request is the cause; `None` once that is decided.
    decision_at: Option<Instant>,
    /// The revision of the last change.
    revision: u64,
}

/// Suspect records that changed, in the order of their changes.
pub type SuspectChanges = RecordChanges<SuspectRecord>;

/// The suspect records of a process, by request.
#[derive(Default)]
pub struct SuspectStore {
    suspects: HashMap<RequestKey, Suspect>,
    changes: ChangeLog<RequestKey>,
    instants: CrashInstants,
    /// Crashes that held parts of prompts explain.
    explained: BTreeSet<CrashKey>,
    /// Crashes of targets during trials of held parts of prompts.
    part_trials: BTreeSet<CrashKey>,
    /// The request to which each crash is attributed.
    attributed: BTreeMap<CrashKey, RequestKey>,
    /// Requests that became held and were not returned by [`SuspectStore::drain_held`] yet.
    newly_held: Vec<RequestKey>,
    /// The time of the next decision.
    next_decision: Option<Instant>,
    /// Whether this process is out of contact with all control hosts.
    is_isolated: bool,
}

impl SuspectStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Returns the status of a request.
    pub fn status(&self, key: RequestKey, now: Instant) -> RequestStatus {
        let Some(suspect) = self.suspects.get(&key) else {
            return RequestStatus::Clear;
        };
        if suspect.record.held {
            return RequestStatus::Held {
                trial_due: self
                    .time_to_trial(key, now)
                    .is_some_and(|wait| wait.is_zero()),
            };
        }
        if suspect.decision_at.is_some() {
            return RequestStatus::Undecided;
        }
        if unattributed(&suspect.record, &self.attributed).len() >= ISOLATE_CRASHES {
            return RequestStatus::Suspect;
        }
        RequestStatus::Clear
    }

    /// Sets the crashes that held parts of prompts explain.
    pub fn set_explained(&mut self, crashes: BTreeSet<CrashKey>) {
        if self.explained != crashes {
            self.explained = crashes;
            self.reattribute();
        }
    }

    /// Adds the crash of a target where a request ran; returns whether it is new for the request.
    pub fn add_crash(&mut self, subject: &RequestSubject, crash: CrashKey, now: Instant) -> bool {
        self.evict_for(subject);
        self.instants.add(crash, now);
        let suspect = self.suspect(subject, now);
        suspect.record.subject.fill_in(subject);
        if !suspect.record.add_crash(crash) {
            return false;
        }
        suspect.note_trial_crash(crash);
        suspect.last_seen = now;
        suspect.last_crash_or_trial = now;
        self.mark_changed(subject.key);
        self.schedule_decision(subject.key, now);
        true
    }

    /// Makes the decisions that are due. Call this before [`SuspectStore::status`].
    pub fn decide_due(&mut self, now: Instant) {
        if self.next_decision.is_some_and(|at| at <= now) {
            for suspect in self.suspects.values_mut() {
                suspect.decision_at = suspect.decision_at.filter(|at| *at > now);
            }
            let all = self.suspects.values();
            self.next_decision = all.filter_map(|one| one.decision_at).min();
            self.reattribute();
        }
    }

    /// Sets whether this process is out of contact with all control hosts. The requests that it would
    /// hold after contact is restored wait until other hosts have reported.
    pub fn set_isolated(&mut self, is_isolated: bool, now: Instant) {
        if std::mem::replace(&mut self.is_isolated, is_isolated) && !is_isolated {
            let keys: Vec<RequestKey> = self.suspects.keys().copied().collect();
            keys.into_iter()
                .for_each(|key| self.schedule_decision(key, now));
        }
    }

    /// Discards the crashes of a completed or released request; returns whether there were any.
    pub fn clear_request(&mut self, key: RequestKey) -> bool {
        let suspect = self.suspects.get_mut(&key);
        let Some(suspect) = suspect.filter(|one| !one.record.crashes.is_empty()) else {
            return false;
        };
        let was_candidate = suspect.record.is_candidate();
        suspect.begin_round(BTreeSet::new());
        self.mark_changed(key);
        if was_candidate {
            self.reattribute();
        }
        true
    }

    /// Discards a crash, since the target still runs; returns the affected requests.
    pub fn retract_crash(&mut self, crash: CrashKey) -> Vec<RequestKey> {
        let suspects = self.suspects.values_mut();
        let suspects = suspects.filter(|one| one.record.crashes.contains(&crash));
        let mut affected = Vec::new();
        for suspect in suspects {
            let mut crashes = suspect.record.crashes.clone();
            crashes.remove(&crash);
            suspect.begin_round(crashes);
            affected.push(suspect.record.subject.key);
        }
        affected.sort_unstable();
        affected.iter().for_each(|key| self.mark_changed(*key));
        if !affected.is_empty() {
            self.reattribute();
        }
        affected
    }

    /// Returns the crashes that are recorded for any request.
    pub fn known_crashes(&self) -> HashSet<CrashKey> {
        let all = self.suspects.values();
        all.flat_map(|one| one.record.crashes.iter().copied())
            .collect()
    }

    /// Records that a held request was refused, which extends the retention of its record.
    pub fn record_refusal(&mut self, key: RequestKey, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        let elapsed = now.saturating_duration_since(suspect.last_seen);
        if elapsed >= REFUSAL_PUBLISH_INTERVAL {
            suspect.last_seen = now;
            self.mark_changed(key);
        }
    }

    /// Returns the record of a request, with its present age.
    pub fn record(&self, key: RequestKey, now: Instant) -> Option<SuspectRecord> {
        Some(self.suspects.get(&key)?.to_record(now))
    }

    /// Returns the records of requests that became held since the last call.
    pub fn drain_held(&mut self, now: Instant) -> Vec<SuspectRecord> {
        let keys = std::mem::take(&mut self.newly_held);
        let records = keys.into_iter().filter_map(|key| self.record(key, now));
        records.filter(|one| one.held).collect()
    }

    /// Returns all records, also those without crashes.
    pub fn all_records(&self, now: Instant) -> Vec<SuspectRecord> {
        let all = self.suspects.values();
        all.map(|one| one.to_record(now)).collect()
    }

    /// Returns the records with crashes, the held ones first.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let with_crashes = self.suspects.values();
        let with_crashes = with_crashes.filter(|one| !one.record.crashes.is_empty());
        let mut records: Vec<SuspectRecord> = with_crashes.map(|one| one.to_record(now)).collect();
        records.sort_by_key(|one| (!one.held, one.subject.key));
        records
    }

    /// Returns how many requests are held, and how many have crashes recorded.
    pub fn counts(&self) -> (usize, usize) {
        let all = || self.suspects.values().map(|one| &one.record);
        let suspects = all().filter(|one| !one.crashes.is_empty());
        (all().filter(|one| one.held).count(), suspects.count())
    }

    fn suspect(&mut self, subject: &RequestSubject, at: Instant) -> &mut Suspect {
        let fresh = || Suspect {
            record: SuspectRecord::new(subject.clone()),
            last_seen: at,
            last_crash_or_trial: at,
            trial_crashes: TrialCrashes::default(),
            decision_at: None,
            revision: 0,
        };
        self.suspects.entry(subject.key).or_insert_with(fresh)
    }

    fn mark_changed(&mut self, key: RequestKey) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        suspect.revision = self.changes.record(suspect.revision, key);
    }

    /// Schedules a decision on a request with a new crash, if it has enough crashes to be held.
    fn schedule_decision(&mut self, key: RequestKey, now: Instant) {
        let attributed = &self.attributed;
        let suspect = self.suspects.get_mut(&key);
        let may_be_held = |one: &&mut Suspect| {
            !one.record.held && unattributed(&one.record, attributed).len() >= HOLD_CRASHES
        };
        if let Some(suspect) = suspect.filter(may_be_held) {
            let at = now + DECISION_DELAY;
            suspect.decision_at = Some(at);
            self.next_decision = Some(self.next_decision.map_or(at, |next| next.min(at)));
        }
        // The new crash of a held request is attributed to it, which may clear other requests.
        if self.suspects.get(&key).is_some_and(|one| one.record.held) {
            self.reattribute();
        }
    }

    /// Attributes all crashes again, and holds the requests that are found to be causes.
    fn reattribute(&mut self) {
        let all = self.suspects.values();
        let candidates = all.filter(|one| one.record.is_candidate());
        let candidates = candidates.map(|one| Candidate {
            record: &one.record,
            decided: one.decision_at.is_none(),
        });
        let hold_crashes = match self.is_isolated {
            true => ISOLATED_HOLD_CRASHES,
            false => HOLD_CRASHES,
        };
        let known = &self.known_crashes().into_iter().collect();
        let evidence = CrashEvidence {
            instants: &self.instants,
            known,
            explained: &self.explained,
        };
        self.attributed = attribute_crashes(candidates.collect(), evidence, hold_crashes);
        let causes: BTreeSet<RequestKey> = self.attributed.values().copied().collect();
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
    /// Begins a round in which only the given crashes count.
    fn begin_round(&mut self, crashes: BTreeSet<CrashKey>) {
        self.record.begin_round(crashes);
        self.trial_crashes.clear();
        self.decision_at = None;
    }

    /// Adds a new crash, if there was a trial.
    fn note_trial_crash(&mut self, crash: CrashKey) {
        if self.record.held && self.record.trials > 0 {
            self.trial_crashes.add(crash);
        }
    }

    fn to_record(&self, now: Instant) -> SuspectRecord {
        let mut record = self.record.clone();
        record.age_ms = now.saturating_duration_since(self.last_seen).as_millis() as u64;
        record
    }
}

#[cfg(test)]
mod tests;
