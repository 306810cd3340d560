//! Choice of the partition of a stage pool for a batch, and the known load of the partitions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use linnet_forecast::PoolTimes;
use linnet_routing::StagePool;

use super::{HostLocation, StageClient};
use crate::allowed_halls::AllowedHalls;
use crate::piece::{PieceBatch, PoolLoad};
use crate::pool_key::PoolKey;
use crate::rank::Rank;

/// Penalty for partitions outside the preferred hall: how much longer the queue in that hall may
/// be, in milliseconds.
const OTHER_HALL_PENALTY_MS: f64 = 150.0;

/// How long a partition is avoided after no piece of a batch could be run there.
const PARTITION_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Age up to which a reported load is used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(600);

/// The load of a pool as this host knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownLoad {
    pub(crate) load: PoolLoad,
    /// The measured times of the pool, if all its partitions with work report theirs.
    pub(crate) times: Option<PoolTimes<Rank>>,
    /// Age of the oldest report that it is computed from; zero for a pool that this host
    /// coordinates.
    pub(crate) age: Duration,
}

/// The requirements of a batch on the partition that runs it.
pub(crate) struct PartitionRequirements<'a> {
    /// The settings of the pool, if known.
    pub(crate) spec: Option<&'a StagePool>,
    /// The hall that holds large inputs or consumes large results.
    pub(crate) preferred_hall: Option<&'a str>,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// Number of pieces.
    pub(crate) pieces: u32,
    /// The halls in which the pieces may run.
    pub(crate) allowed_halls: &'a AllowedHalls,
}

/// Returns the first list that is not empty.
fn first_non_empty<const N: usize>(lists: [Vec<PoolKey>; N]) -> Vec<PoolKey> {
    let found = lists.into_iter().find(|keys| !keys.is_empty());
    found.unwrap_or_default()
}

/// Returns the times of two partitions of a pool as those of one pool. The drain rate is known only
/// if both are.
fn merge_times(one: &PoolTimes<Rank>, other: &PoolTimes<Rank>) -> PoolTimes<Rank> {
    let mut arrivals: BTreeMap<Rank, u32> = BTreeMap::new();
    for (rank, per_s) in one.arrivals.iter().chain(&other.arrivals) {
        let sum = arrivals.entry(*rank).or_default();
        *sum = sum.saturating_add(*per_s);
    }
    let drains = [one.drain_per_s, other.drain_per_s];
    PoolTimes {
        call_ms: one.call_ms.max(other.call_ms),
        drain_per_s: match drains.contains(&0) {
            true => 0,
            false => drains[0].saturating_add(drains[1]),
        },
        arrivals: arrivals.into_iter().collect(),
    }
}

impl StageClient {
    /// Chooses the partition of a pool for the pieces of one request. Without a preferred hall it
    /// takes the shorter queue of two partitions drawn at random, so that hosts with the same load
    /// reports do not all choose the same one. With a preferred hall it chooses that hall unless
    /// its queue is much longer.
    pub(crate) fn choose_partition(
        &self,
        service: &str,
        requirements: &PartitionRequirements<'_>,
    ) -> PoolKey {
        let mut candidates = self.usable_partitions(service, requirements.allowed_halls);
        let score = |key: &PoolKey| {
            let known = self.load_of_partition(key);
            let wait_ms = match (&known, requirements.spec) {
                (Some(known), Some(spec)) => {
                    known
                        .load
                        .expected_wait_ms(spec, requirements.rank, requirements.pieces)
                }
                _ => 0.0,
            };
            let is_other_hall = requirements
                .preferred_hall
                .is_some_and(|hall| key.hall() != Some(hall));
            wait_ms + f64::from(u8::from(is_other_hall)) * OTHER_HALL_PENALTY_MS + fastrand::f64()
        };
        if requirements.preferred_hall.is_none() {
            fastrand::shuffle(&mut candidates);
            candidates.truncate(2);
        }
        let scored = candidates.into_iter().map(|key| (score(&key), key));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or_else(|| PoolKey::whole(service), |(_, key)| key)
    }

    /// Returns the partitions in the allowed halls that are neither avoided nor in an unreachable
    /// hall; if there are none, the reachable ones; if there are none either, all.
    fn usable_partitions(&self, service: &str, allowed_halls: &AllowedHalls) -> Vec<PoolKey> {
        let state = self.state.borrow();
        let now = Instant::now();
        let all = state
            .pools
            .partitions_of(service)
            .iter()
            .map(|(key, _)| key);
        let all = all.filter(|key| key.hall().is_none_or(|hall| allowed_halls.allows(hall)));
        let is_usable = |key: &&PoolKey| {
            state
                .avoided_until
                .get(*key)
                .is_none_or(|until| *until <= now)
        };
        let usable: Vec<PoolKey> = all.clone().filter(is_usable).cloned().collect();
        let all: Vec<PoolKey> = all.cloned().collect();
        drop(state);
        // If the entry hosts of a hall are unreachable, so are its targets.
        let unreachable = self.unreachable_halls();
        let reachable = |key: &PoolKey| key.hall().is_none_or(|hall| !unreachable.contains(hall));
        first_non_empty([
            usable
                .iter()
                .filter(|key| reachable(key))
                .cloned()
                .collect(),
            all.iter().filter(|key| reachable(key)).cloned().collect(),
            all,
        ])
    }

    /// Moves a batch of which no piece could be run to another partition of its pool and avoids the
    /// former one for a while; returns false if there is no other.
    pub(super) fn move_to_other_partition(&self, batch: &mut PieceBatch) -> bool {
        let until = Instant::now() + PARTITION_COOLDOWN;
        let mut state = self.state.borrow_mut();
        state.avoided_until.insert(batch.pool.clone(), until);
        drop(state);
        let allowed_halls = AllowedHalls::from_names(batch.allowed_halls.clone());
        let others = self.usable_partitions(&batch.pool.service, &allowed_halls);
        let other = others.into_iter().find(|key| *key != batch.pool);
        other.is_some_and(|other| {
            batch.pool = other;
            true
        })
    }

    /// Returns the recent load of the pool of a service; `None` if the load of no partition is
    /// known.
    pub(crate) fn load_of(&self, service: &str) -> Option<KnownLoad> {
        let partitions = self.state.borrow().pools.partitions_of(service).to_vec();
        let mut sum = KnownLoad::default();
        let mut any_known = false;
        let mut measured = Vec::new();
        for (key, targets) in partitions {
            let known = self.load_of_partition(&key);
            let is_known = known.is_some();
            any_known |= is_known;
            // A partition without a recent report has no work.
            let known = known.unwrap_or_else(|| KnownLoad {
                load: PoolLoad::idle(targets),
                times: None,
                age: Duration::ZERO,
            });
            sum.load.add(&known.load);
            if is_known {
                measured.push(known.times);
            }
            sum.age = sum.age.max(known.age);
        }
        // A partition with work that reports no times leaves those of the pool unknown.
        let measured: Option<Vec<_>> = measured.into_iter().collect();
        let measured = measured.unwrap_or_default().into_iter();
        sum.times = measured.reduce(|sum, times| merge_times(&sum, &times));
        any_known.then_some(sum)
    }

    fn load_of_partition(&self, pool: &PoolKey) -> Option<KnownLoad> {
        if self.coordinator_of(pool) == HostLocation::Local {
            let load = self.coordinator.load_of(pool)?;
            return Some(KnownLoad {
                load,
                times: self.coordinator.times_of(pool),
                age: Duration::ZERO,
            });
        }
        let state = self.state.borrow();
        let (load, reported_at) = state.loads.get(pool)?;
        let age = reported_at.elapsed();
        let load = (age < MAX_LOAD_AGE).then(|| load.clone())?;
        let times = state.times.get(pool);
        let times = times.filter(|(_, reported_at)| reported_at.elapsed() < MAX_LOAD_AGE);
        let times = times.map(|(times, _)| times.clone());
        Some(KnownLoad { load, times, age })
    }
}
