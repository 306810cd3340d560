//! Accounts whose requests are confined to a share of the targets.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::SuspectStore;

/// The requests of an account are confined to a share of the targets once this many of them were
/// held within [`CONFINE_WINDOW`]. Each request crashes three targets before it is held, so an
/// account that keeps sending new ones would crash three targets for each.
pub(super) const CONFINE_HELD_REQUESTS: usize = 5;
pub(super) const CONFINE_WINDOW: Duration = Duration::from_secs(60);

impl SuspectStore {
    /// Returns the accounts with so many recently held requests that they are confined.
    pub fn confined_accounts(&self, now: Instant) -> BTreeSet<String> {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        let held = self.suspects.values().filter(|one| one.record.held);
        for one in held {
            if now.saturating_duration_since(one.last_crash_or_trial) < CONFINE_WINDOW {
                *counts.entry(&one.record.subject.account).or_default() += 1;
            }
        }
        let confined = counts.into_iter();
        // All requests without an account share the empty name.
        let confined =
            confined.filter(|(name, held)| *held >= CONFINE_HELD_REQUESTS && !name.is_empty());
        confined.map(|(name, _)| name.to_owned()).collect()
    }
}
