//! How many records are retention, and for how long.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Suspect, SuspectStore};
use crate::{RequestKey, RequestSubject, SuspectRecord};

/// Requests that are retention. Where more are accused those of the account with the largest go first, so that one
/// account which sends ever new ones does not push out those of others. A record takes about 400 bytes.
pub const MAX_SUSPECTS: usize = 4_096;

/// Records that go at once where there is no more room, so that looking for the weakest is rare.
const EVICTION_BATCH: usize = 128;

/// How long a request that is not held is remembered after the last end, and one that is held after it was
/// last refused. A caller that comes again later than that ends a few targets more, once.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
const HELD_RETENTION: Duration = Duration::from_secs(24 * 3_600);

impl SuspectStore {
    /// Forgets what is old; returns the requests that were held until then.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestSubject> {
        let is_expired = |one: &Suspect| {
            let retention = if one.record.held {
                HELD_RETENTION
            } else {
                SUSPECT_RETENTION
            };
            now.saturating_duration_since(one.last_seen) > retention
        };
        let expired = self.suspects.values().filter(|one| is_expired(one));
        let expired: Vec<SuspectRecord> = expired.map(|one| one.record.clone()).collect();
        expired.iter().for_each(|one| self.forget(one.subject.key));
        if !expired.is_empty() {
            self.reattribute();
        }
        let held = expired.into_iter().filter(|one| one.held);
        held.map(|one| one.subject).collect()
    }

    /// Makes room for a request that is not known yet.
    pub(super) fn evict_for(&mut self, subject: &RequestSubject) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&subject.key) {
            return;
        }
        let mut accounts: HashMap<&str, usize> = HashMap::new();
        for one in self.suspects.values() {
            *accounts.entry(&one.record.subject.account).or_default() += 1;
        }
        let Some(largest) = accounts.values().copied().max() else {
            return;
        };
        let of_largest = |one: &&Suspect| accounts[one.record.subject.account.as_str()] == largest;
        let mut candidates: Vec<&Suspect> = self.suspects.values().filter(of_largest).collect();
        candidates.sort_by_key(|one| {
            let record = &one.record;
            (
                record.held,
                record.crashes.len(),
                one.last_seen,
                record.subject.key,
            )
        });
        let weakest = candidates.into_iter().take(EVICTION_BATCH);
        let keys: Vec<RequestKey> = weakest.map(|one| one.record.subject.key).collect();
        keys.into_iter().for_each(|key| self.forget(key));
    }

    pub(super) fn forget(&mut self, key: RequestKey) {
        if let Some(suspect) = self.suspects.remove(&key) {
            self.by_revision.remove(&suspect.revision);
        }
    }
}
