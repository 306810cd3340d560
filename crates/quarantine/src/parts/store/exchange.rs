//! Exchange of the records of suspect parts between processes.

use std::time::{Duration, Instant};

use super::{PartChanges, PartStore};
use crate::CrashKey;
use crate::parts::{PartKey, PartRecord};
use crate::store::REFUSAL_PUBLISH_INTERVAL;

impl PartStore {
    /// Merges a record of another process; returns whether it changed or refreshed the record here.
    pub fn merge(&mut self, received: &PartRecord, now: Instant) -> bool {
        let key = received.subject.key;
        let age = Duration::from_millis(received.age_ms);
        let at = now.checked_sub(age).unwrap_or(now);
        self.evict_for(&received.subject);
        let known = self.contains(key);
        let is_held = self.is_held(key);
        for crash in received.crashes.keys() {
            self.instants.add(*crash, now);
        }
        let part = self.part(&received.subject, at);
        let former: Vec<CrashKey> = part.record.crashes.keys().copied().collect();
        let refreshed = at.saturating_duration_since(part.last_seen) >= REFUSAL_PUBLISH_INTERVAL;
        let round = part.record.round;
        let changed = part.record.merge(received);
        if part.record.round != round {
            part.trial_crashes.clear();
        }
        part.last_seen = part.last_seen.max(at);
        if changed {
            part.last_crash_or_trial = part.last_crash_or_trial.max(at);
        }
        let crashes: Vec<CrashKey> = part.record.crashes.keys().copied().collect();
        let mut new = crashes;
        new.retain(|crash| !former.contains(crash));
        if is_held {
            new.iter().for_each(|crash| part.note_trial_crash(*crash));
        }
        if known && !changed && !refreshed {
            return false;
        }
        self.mark_changed(key);
        self.schedule_decision(key, !new.is_empty(), now);
        true
    }

    /// Returns at most `limit` records that changed after a revision, the oldest change first.
    pub fn changed_after(&self, after: u64, limit: usize, now: Instant) -> PartChanges {
        let record = |key| Some(self.parts.get(&key)?.to_record(now));
        self.changes.after(after, limit, record)
    }

    /// Returns the changed records of interest to every host.
    pub fn shared_after(&self, after: u64, limit: usize, now: Instant) -> PartChanges {
        self.changes.after(after, limit, |key| {
            let part = self.parts.get(&key)?;
            part.record.is_shared().then(|| part.to_record(now))
        })
    }

    /// Returns whether a part is of interest to every host.
    pub fn is_shared(&self, key: PartKey) -> bool {
        let part = self.parts.get(&key);
        part.is_some_and(|part| part.record.is_shared())
    }
}
