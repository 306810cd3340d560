//! Keeping the requests of accounts that send ever new requests which end targets away from those of others.
//!
//! Such accounts share a few targets of each service, the same ones at every host, and all others use the
//! rest. So only these targets end, and only the requests of those accounts end with them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::rendezvous::ScoreKey;
use crate::target::TargetBook;

/// Part of the targets of a service that confined accounts use; one at least, and none where there is only one.
const CONFINED_PART: f64 = 1.0 / 6.0;

/// What the targets are ranked by for it.
const RANKING: &str = "confined accounts";

/// How long a target counts that is not listed any more. One that ends time and again is silent for moments; with the
/// share worked out from the others alone it moved to one of theirs.
const REMEMBERED: Duration = Duration::from_secs(30);

/// The targets of each service that are listed, or were until a while ago.
#[derive(Default)]
pub(crate) struct RememberedTargets {
    services: HashMap<String, BTreeMap<String, Instant>>,
}

impl RememberedTargets {
    /// Takes the targets that are listed now.
    pub(crate) fn note(&mut self, book: &TargetBook, now: Instant) {
        for (service, id) in book.all_ids() {
            let known = self.services.entry(service.clone()).or_default();
            known.insert(id.clone(), now);
        }
        for known in self.services.values_mut() {
            known.retain(|_, listed| now.saturating_duration_since(*listed) < REMEMBERED);
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
        book: &TargetBook,
        service: &str,
        confined: bool,
    ) -> Vec<String> {
        let remembered = self.services.get(service).into_iter();
        let remembered = remembered.flat_map(BTreeMap::keys);
        let ids: BTreeSet<&String> = remembered.chain(book.ids_of(service)).collect();
        closed_of(ids, confined)
    }
}

fn closed_of(ids: BTreeSet<&String>, confined: bool) -> Vec<String> {
    let key = ScoreKey::new(RANKING);
    let mut ranked: Vec<(u64, &String)> = ids.into_iter().map(|id| (key.score(id), id)).collect();
    if ranked.len() < 2 {
        return Vec::new();
    }
    ranked.sort_unstable();
    let share = ((ranked.len() as f64 * CONFINED_PART) as usize).max(1);
    let (within, outside) = ranked.split_at(share);
    let closed = if confined { outside } else { within };
    closed.iter().map(|(_, id)| (*id).clone()).collect()
}

#[cfg(test)]
mod tests;
