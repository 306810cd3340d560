//! Exchange of suspect records between processes.

use std::time::{Duration, Instant};

use super::{REFUSAL_PUBLISH_INTERVAL, SuspectChanges, SuspectStore};
use crate::{CrashKey, RequestKey, SuspectRecord};

impl SuspectStore {
    /// Merges a record of another process; returns whether it changed or refreshed the record here.
    pub fn merge(&mut self, received: &SuspectRecord, now: Instant) -> bool {
        let key = received.subject.key;
        let age = Duration::from_millis(received.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        self.evict_for(&received.subject);
        let known = self.suspects.contains_key(&key);
        for crash in &received.crashes {
            self.instants.add(*crash, now);
        }
        let suspect = self.suspect(&received.subject, at);
        let was_candidate = suspect.record.is_candidate();
        let former = suspect.record.crashes.clone();
        let crashes = former.len();
        let (was_held, round) = (suspect.record.held, suspect.record.round);
        let refreshed = at.saturating_duration_since(suspect.last_seen) >= REFUSAL_PUBLISH_INTERVAL;
        let changed = suspect.record.merge(received);
        if suspect.record.round != round {
            suspect.trial_crashes.clear();
        }
        if changed {
            suspect.last_crash_or_trial = suspect.last_crash_or_trial.max(at);
        }
        suspect.last_seen = suspect.last_seen.max(at);
        if known && !changed && !refreshed {
            return false;
        }
        let has_new_crash = suspect.record.crashes.len() > crashes;
        if was_held {
            let new: Vec<CrashKey> = suspect
                .record
                .crashes
                .difference(&former)
                .copied()
                .collect();
            new.into_iter()
                .for_each(|crash| suspect.note_trial_crash(crash));
        }
        if suspect.record.held && !was_held {
            self.newly_held.push(key);
        }
        self.mark_changed(key);
        if was_candidate || received.held {
            self.reattribute();
        }
        if has_new_crash {
            self.schedule_decision(key, now);
        }
        true
    }

    /// Returns at most `limit` records that changed after a revision, the oldest change first.
    pub fn changed_after(&self, after: u64, limit: usize, now: Instant) -> SuspectChanges {
        self.filtered_after(after, limit, now, |_| true)
    }

    /// Returns whether a request is of interest to every host.
    pub fn is_shared(&self, key: RequestKey) -> bool {
        let suspect = self.suspects.get(&key);
        suspect.is_some_and(|one| one.record.shared)
    }

    /// Returns the changed records of interest to every host. If all records were sent, a host in a
    /// fleet of 300 would receive 9,000 of unrelated requests, 2 MB, when a seventh of 3,000
    /// targets crash at once.
    pub fn shared_after(&self, after: u64, limit: usize, now: Instant) -> SuspectChanges {
        self.filtered_after(after, limit, now, |record| record.shared)
    }

    fn filtered_after(
        &self,
        after: u64,
        limit: usize,
        now: Instant,
        is_wanted: impl Fn(&SuspectRecord) -> bool,
    ) -> SuspectChanges {
        self.changes.after(after, limit, |key| {
            let suspect = self.suspects.get(&key)?;
            is_wanted(&suspect.record).then(|| suspect.to_record(now))
        })
    }
}
