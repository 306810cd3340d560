//! The order in which entry hosts are chosen for the roles of a pool.
//!
//! A role takes processor time that its pool determines, whatever host has it. So hosts with more
//! processor time rank first, and hosts that delay their work last.

use std::cmp::Reverse;

use linnet_directory::{EntryHostRecord, HostDelay};

use crate::pool_key::PoolKey;
use crate::rendezvous::ScoreKey;

/// Exponent of the capacity in the weight of a host. With the capacity itself as weight, fifty small
/// hosts have as many roles as sixteen that are three times as large. A power has no threshold
/// between sizes: hosts that differ by a few percent rank almost alike.
const CAPACITY_EXPONENT: i32 = 4;

/// Ranks entry hosts for one label; all hosts with the same list rank them alike.
#[derive(Debug, Clone, Copy)]
pub(super) struct HostRanking {
    key: ScoreKey,
    by_capacity: bool,
    by_delay: bool,
}

impl HostRanking {
    /// Creates the ranking of `hosts` for a label. Capacities and delays count only if all hosts state
    /// theirs: an earlier build does not know them, and hosts that rank differently choose different
    /// coordinators.
    pub(super) fn new(label: &str, hosts: &[EntryHostRecord]) -> Self {
        Self {
            key: ScoreKey::new(label),
            by_capacity: hosts.iter().all(|host| host.role.capacity > 0),
            by_delay: hosts
                .iter()
                .all(|host| host.role.delay != HostDelay::Unknown),
        }
    }

    /// Returns whether a host does its work in time, and its score; the highest pair ranks first.
    pub(super) fn rank(self, host: &EntryHostRecord) -> (bool, u64) {
        let is_delayed = self.by_delay && host.role.delay == HostDelay::Delayed;
        (!is_delayed, self.score(host))
    }

    fn score(self, host: &EntryHostRecord) -> u64 {
        if !self.by_capacity || host.role.capacity == 0 {
            return self.key.score(&host.name);
        }
        let weight = f64::from(host.role.capacity).powi(CAPACITY_EXPONENT);
        // The bits of positive numbers are in their order.
        self.key.weighted_score(&host.name, weight).to_bits()
    }
}

/// Whether a host is in the hall of a partition, and its rank among the hosts of which that is so.
pub(super) type CoordinatorRank = (bool, (bool, u64));

/// Ranks entry hosts as coordinators of one pool. For a partition the hosts of its hall come first,
/// since they are the last to lose contact with its targets.
pub(super) struct CoordinatorRanking<'a> {
    pool: &'a PoolKey,
    ranking: HostRanking,
}

impl<'a> CoordinatorRanking<'a> {
    pub(super) fn new(pool: &'a PoolKey, hosts: &[EntryHostRecord]) -> Self {
        let ranking = HostRanking::new(&pool.label(), hosts);
        Self { pool, ranking }
    }

    /// Returns the rank of a host; the one with the highest rank is the coordinator.
    pub(super) fn rank(&self, host: &EntryHostRecord) -> CoordinatorRank {
        let same_hall = self.pool.hall() == Some(host.hall.as_str());
        (same_hall, self.ranking.rank(host))
    }

    /// Returns the hosts that rank before `own`, the best first. A stopping host coordinates only if
    /// there is no other: the others no longer choose it, and two coordinators of one pool compete for
    /// its targets.
    pub(super) fn better_hosts<'h>(
        &self,
        own: &EntryHostRecord,
        hosts: &'h [EntryHostRecord],
    ) -> Vec<&'h EntryHostRecord> {
        let own_rank = self.rank(own);
        let candidates = hosts
            .iter()
            .filter(|host| host.name != own.name && !host.stopping);
        let ranked = candidates.map(|host| (self.rank(host), host));
        let mut better: Vec<(CoordinatorRank, &EntryHostRecord)> = ranked
            .filter(|(rank, _)| own.stopping || *rank > own_rank)
            .collect();
        better.sort_by_key(|(rank, host)| Reverse((*rank, host.peer)));
        better.into_iter().map(|(_, host)| host).collect()
    }
}

#[cfg(test)]
mod tests;
