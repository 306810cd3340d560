//! Confinement of the requests of accounts that keep sending new requests which crash targets.
//!
//! These accounts share a few targets of each service, the same ones at every host, and all other
//! accounts use the rest. So only these targets crash, and only requests of these accounts are
//! interrupted by it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::rendezvous::ScoreKey;
use crate::target::TargetStore;

/// Fraction of the targets of a service that confined accounts use: at least one target, and none
/// if there is only one.
const CONFINED_FRACTION: f64 = 1.0 / 6.0;

/// Label of the hash by which the targets are ranked.
const RANKING_LABEL: &str = "confined accounts";

/// How long a target that is not listed any more is still counted. A target that crashes repeatedly
/// is missing from the list for moments. If the share were then chosen from the listed targets
/// alone, it would move to targets of the other accounts.
const TARGET_RETENTION: Duration = Duration::from_secs(30);

/// The targets of each service that are listed, or were recently.
#[derive(Default)]
pub(crate) struct RecentTargets {
    services: HashMap<String, BTreeMap<String, Instant>>,
}

impl RecentTargets {
    /// Records the targets that are listed now.
    pub(crate) fn record(&mut self, targets: &TargetStore, now: Instant) {
        for (service, id) in targets.all_ids() {
            let known = self.services.entry(service.clone()).or_default();
            known.insert(id.clone(), now);
        }
        for known in self.services.values_mut() {
            known.retain(|_, listed| now.saturating_duration_since(*listed) < TARGET_RETENTION);
        }
    }

    /// Removes all targets.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns the targets of a service that a request must not use: for a confined account those
    /// outside of the share, for any other account those within it.
    pub(crate) fn closed_targets(
        &self,
        targets: &TargetStore,
        service: &str,
        is_confined: bool,
    ) -> Vec<String> {
        let recent = self.services.get(service).into_iter();
        let recent = recent.flat_map(BTreeMap::keys);
        let ids: BTreeSet<&String> = recent.chain(targets.ids_of_service(service)).collect();
        select_closed_targets(ids, is_confined)
    }
}

fn select_closed_targets(ids: BTreeSet<&String>, is_confined: bool) -> Vec<String> {
    let key = ScoreKey::new(RANKING_LABEL);
    let mut ranked: Vec<(u64, &String)> = ids.into_iter().map(|id| (key.score(id), id)).collect();
    if ranked.len() < 2 {
        return Vec::new();
    }
    ranked.sort_unstable();
    let share = ((ranked.len() as f64 * CONFINED_FRACTION) as usize).max(1);
    let (within, outside) = ranked.split_at(share);
    let closed = if is_confined { outside } else { within };
    closed.iter().map(|(_, id)| (*id).clone()).collect()
}

#[cfg(test)]
mod tests;
