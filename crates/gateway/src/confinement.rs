//! Keeping the requests of accounts that send ever new requests which end targets away from those of others.
//!
//! Such accounts share a few targets of each service, the same ones at every host, and all others use the
//! rest. So only these targets end, and only the requests of those accounts end with them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::rendezvous::ScoreKey;
use crate::target::TargetStore;

/// Part of the targets of a service that confined accounts use; one at least, and none where there is only one.
const CONFINED_FRACTION: f64 = 1.0 / 6.0;

/// What the targets are ranked by for it.
const RANKING_LABEL: &str = "confined accounts";

/// How long a target counts that is not listed any more. One that ends time and again is silent for moments; with the
/// share worked out from the others alone it moved to one of theirs.
const TARGET_RETENTION: Duration = Duration::from_secs(30);

/// The targets of each service that are listed, or were until a while ago.
#[derive(Default)]
pub(crate) struct RecentTargets {
    services: HashMap<String, BTreeMap<String, Instant>>,
}

impl RecentTargets {
    /// Takes the targets that are listed now.
    pub(crate) fn record(&mut self, targets: &TargetStore, now: Instant) {
        for (service, id) in targets.all_ids() {
            let known = self.services.entry(service.clone()).or_default();
            known.insert(id.clone(), now);
        }
        for known in self.services.values_mut() {
            known.retain(|_, listed| now.saturating_duration_since(*listed) < TARGET_RETENTION);
        }
    }

    /// Forgets all of them.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }

    /// Returns the targets of a service that a request must not use: those outside of the share of confined accounts
    /// for one of theirs, and those within it for any other.
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
