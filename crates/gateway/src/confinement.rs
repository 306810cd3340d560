//! Keeping the requests of accounts that send ever new requests which end targets away from those of others.
//!
//! Such accounts share a few targets of each service, the same ones at every host, and all others use the
//! rest. So only these targets end, and only the requests of those accounts end with them.

use crate::rendezvous::ScoreKey;
use crate::target::TargetBook;

/// Part of the targets of a service that confined accounts use; one at least, and none where there is only one.
const CONFINED_PART: f64 = 1.0 / 6.0;

/// What the targets are ranked by for it.
const RANKING: &str = "confined accounts";

/// Returns the targets of a service that a request must not use: those outside of the share of confined accounts
/// for one of theirs, and those within it for any other.
pub(crate) fn closed_targets(book: &TargetBook, service: &str, confined: bool) -> Vec<String> {
    let key = ScoreKey::new(RANKING);
    let mut ranked: Vec<(u64, &str)> = book
        .of_service(service)
        .map(|target| (key.score(&target.id), target.id.as_str()))
        .collect();
    if ranked.len() < 2 {
        return Vec::new();
    }
    ranked.sort_unstable();
    let share = ((ranked.len() as f64 * CONFINED_PART) as usize).max(1);
    let (within, outside) = ranked.split_at(share);
    let closed = if confined { outside } else { within };
    closed.iter().map(|(_, id)| (*id).to_owned()).collect()
}

#[cfg(test)]
mod tests;
