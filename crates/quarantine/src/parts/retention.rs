//! Capacity and retention of the records of suspect parts.

use std::time::{Duration, Instant};

use super::store::{Part, PartStore};
use super::{PartKey, PartSubject};
use crate::store::{EVICTION_BATCH, HELD_RETENTION, records_of_largest_account};

/// Maximum number of parts with a record. Beyond that, the weakest evidence about parts of the
/// account with the most records is evicted, so that an account that sends ever new parts does not
/// displace those of others. A record takes some 300 bytes, and 3 KB at most.
pub(super) const MAX_PARTS: usize = 4_096;

/// How long the record of a part that is not held is retained after the last crash. Crashes with
/// other causes would otherwise add up over days.
const ACCUSED_RETENTION: Duration = Duration::from_secs(600);

/// How long the record of a part whose runs outweigh its crashes is retained after its creation. A
/// part that begins to crash targets later is judged by a new record.
const SOUND_RETENTION: Duration = Duration::from_secs(30);

impl PartStore {
    /// Removes expired records; returns the parts that were held until then.
    pub fn expire(&mut self, now: Instant) -> Vec<PartSubject> {
        let is_expired = |part: &&Part| {
            let (since, retention) = if self.is_held(part.record.subject.key) {
                (part.last_seen, HELD_RETENTION)
            } else if part.record.is_sound() {
                (part.created_at, SOUND_RETENTION)
            } else {
                (part.last_seen, ACCUSED_RETENTION)
            };
            now.saturating_duration_since(since) > retention
        };
        let expired = self.parts.values().filter(is_expired);
        let expired: Vec<PartSubject> = expired.map(|part| part.record.subject.clone()).collect();
        let held = expired.iter().filter(|subject| self.is_held(subject.key));
        let held: Vec<PartSubject> = held.cloned().collect();
        expired.iter().for_each(|subject| self.forget(subject.key));
        let mut instants = std::mem::take(&mut self.instants);
        instants.trim(|| self.known_crashes());
        self.instants = instants;
        held
    }

    /// Evicts records if the store is full and a part is new to it.
    pub(super) fn evict_for(&mut self, subject: &PartSubject) {
        if self.parts.len() < MAX_PARTS || self.contains(subject.key) {
            return;
        }
        let all: Vec<&Part> = self.parts.values().collect();
        let mut candidates = records_of_largest_account(all, Part::account);
        candidates.sort_by_key(|part| {
            let record = &part.record;
            let is_held = self.is_held(record.subject.key);
            let crashes = record.crashes.len();
            (is_held, crashes, part.last_seen, record.subject.key)
        });
        let weakest = candidates.into_iter().take(EVICTION_BATCH);
        let keys: Vec<PartKey> = weakest.map(|part| part.record.subject.key).collect();
        keys.into_iter().for_each(|key| self.forget(key));
    }

    fn forget(&mut self, key: PartKey) {
        if let Some(part) = self.parts.remove(&key) {
            self.changes.forget(part.revision);
            self.is_stale = true;
        }
    }
}
