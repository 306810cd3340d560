//! Capacity and retention of the suspect records.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Suspect, SuspectStore};
use crate::{RequestKey, RequestSubject, SuspectRecord};

/// Maximum number of requests with a record. Beyond that, records of the account with the most
/// records are evicted first, so that one account that keeps sending new requests does not displace
/// those of others. A record takes about 400 bytes.
pub const MAX_SUSPECTS: usize = 4_096;

/// Number of records that are evicted at a time, so that the search for the weakest evidence is
/// rare.
pub(crate) const EVICTION_BATCH: usize = 128;

/// How long a record is retained: after the last crash if the request is not held, after the last
/// refusal if it is. A held request that returns later crashes a few more targets once.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);
pub(crate) const HELD_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Returns the records of the account that has the most, or of all accounts that share that number.
pub(crate) fn records_of_largest_account<'a, T>(
    all: Vec<&'a T>,
    account_of: impl Fn(&'a T) -> &'a str,
) -> Vec<&'a T> {
    let mut accounts: HashMap<&str, usize> = HashMap::new();
    for one in &all {
        *accounts.entry(account_of(one)).or_default() += 1;
    }
    let largest = accounts.values().copied().max();
    let of_largest = |one: &&'a T| accounts.get(account_of(one)).copied() == largest;
    all.into_iter().filter(of_largest).collect()
}

impl SuspectStore {
    /// Removes expired records; returns the requests that were held until then.
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
        let mut instants = std::mem::take(&mut self.instants);
        instants.trim(|| self.known_crashes());
        self.instants = instants;
        let held = expired.into_iter().filter(|one| one.held);
        held.map(|one| one.subject).collect()
    }

    /// Evicts records if the store is full and a request is new to it.
    pub(super) fn evict_for(&mut self, subject: &RequestSubject) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&subject.key) {
            return;
        }
        let all: Vec<&Suspect> = self.suspects.values().collect();
        let mut candidates = records_of_largest_account(all, |one| &one.record.subject.account);
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
            self.changes.forget(suspect.revision);
        }
    }
}
