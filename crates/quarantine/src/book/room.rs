//! How many records are kept, and for how long.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Suspect, SuspectBook};
use crate::{RequestKey, RequestSubject, SuspectRecord};

/// Requests that are kept. Where more are accused those of the account with the most go first, so that one
/// account which sends ever new ones does not push out those of others. A record takes about 400 bytes.
pub const MAX_SUSPECTS: usize = 4_096;

/// Records that go at once where there is no more room, so that looking for the weakest is rare.
const MADE_ROOM: usize = 128;

/// How long a request that is not held is remembered after the last end, and one that is held after it was
/// last refused. A caller that comes again later than that ends a few targets more, once.
const SUSPECT_KEPT: Duration = Duration::from_secs(3_600);
const HELD_KEPT: Duration = Duration::from_secs(24 * 3_600);

impl SuspectBook {
    /// Forgets what is old; returns the requests that were held until then.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestSubject> {
        let is_past = |one: &Suspect| {
            let kept = if one.record.held {
                HELD_KEPT
            } else {
                SUSPECT_KEPT
            };
            now.saturating_duration_since(one.last) > kept
        };
        let past = self.suspects.values().filter(|one| is_past(one));
        let past: Vec<SuspectRecord> = past.map(|one| one.record.clone()).collect();
        past.iter().for_each(|one| self.forget(one.subject.key));
        if !past.is_empty() {
            self.weigh();
        }
        let held = past.into_iter().filter(|one| one.held);
        held.map(|one| one.subject).collect()
    }

    /// Makes room for a request that is not known yet.
    pub(super) fn make_room(&mut self, subject: &RequestSubject) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&subject.key) {
            return;
        }
        let mut accounts: HashMap<&str, usize> = HashMap::new();
        for one in self.suspects.values() {
            *accounts.entry(&one.record.subject.account).or_default() += 1;
        }
        let Some(most) = accounts.values().copied().max() else {
            return;
        };
        let of_most = |one: &&Suspect| accounts[one.record.subject.account.as_str()] == most;
        let mut candidates: Vec<&Suspect> = self.suspects.values().filter(of_most).collect();
        candidates.sort_by_key(|one| {
            let record = &one.record;
            (record.held, record.ends.len(), one.last, record.subject.key)
        });
        let weakest = candidates.into_iter().take(MADE_ROOM);
        let keys: Vec<RequestKey> = weakest.map(|one| one.record.subject.key).collect();
        keys.into_iter().for_each(|key| self.forget(key));
    }

    pub(super) fn forget(&mut self, key: RequestKey) {
        if let Some(suspect) = self.suspects.remove(&key) {
            self.by_change.remove(&suspect.changed);
        }
    }
}
