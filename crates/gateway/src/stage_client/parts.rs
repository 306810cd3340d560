//! Choosing the part of a stage pool, and what is known of the load of each.

use std::time::{Duration, Instant};

use linnet_routing::StagePool;

use super::{Home, StageClient};
use crate::caller_request::Rank;
use crate::home_halls::HomeHalls;
use crate::piece::{PieceBatch, PoolLoad};
use crate::pool_key::PoolKey;

/// What a longer queue in a wanted hall is worth against a shorter one elsewhere, in milliseconds.
const ELSEWHERE_MS: f64 = 150.0;

/// How long a part of a pool is passed over after none of a batch could be run there.
const PART_AVOIDED: Duration = Duration::from_millis(1_500);

/// How long the load of a pool counts.
const LOAD_KEPT: Duration = Duration::from_millis(600);

/// What a request wants of the part of a pool for its pieces.
pub(crate) struct PartWant<'a> {
    /// The pool's settings, where they are known.
    pub(crate) spec: Option<&'a StagePool>,
    /// The hall from which or to which large results would cross.
    pub(crate) hall: Option<&'a str>,
    /// Rank of the request.
    pub(crate) rank: Rank,
    /// How many pieces there are.
    pub(crate) pieces: u32,
    /// The halls in which the pieces may run.
    pub(crate) homes: &'a HomeHalls,
}

/// Returns the first of some choices that leaves any.
fn first_not_empty<const N: usize>(choices: [Vec<PoolKey>; N]) -> Vec<PoolKey> {
    let found = choices.into_iter().find(|keys| !keys.is_empty());
    found.unwrap_or_default()
}

impl StageClient {
    /// Chooses the part of a pool for pieces of one request: the shorter queue of two drawn at
    /// random, so that hosts with the same news do not all choose the same; where a hall matters,
    /// that hall unless its queue is much longer.
    pub(crate) fn choose_part(&self, service: &str, want: &PartWant<'_>) -> PoolKey {
        let parts = self.usable_parts(service, want.homes);
        let score = |key: &PoolKey| {
            let load = self.load_of_part(key);
            let wait = match (&load, want.spec) {
                (Some(load), Some(spec)) => load.wait_ms(spec, want.rank, want.pieces),
                _ => 0.0,
            };
            let elsewhere = want.hall.is_some_and(|hall| key.hall() != Some(hall));
            wait + f64::from(u8::from(elsewhere)) * ELSEWHERE_MS + fastrand::f64()
        };
        let mut drawn: Vec<PoolKey> = parts;
        if want.hall.is_none() {
            fastrand::shuffle(&mut drawn);
            drawn.truncate(2);
        }
        let scored = drawn.into_iter().map(|key| (score(&key), key));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or_else(|| PoolKey::whole(service), |(_, key)| key)
    }

    fn usable_parts(&self, service: &str, homes: &HomeHalls) -> Vec<PoolKey> {
        let state = self.state.borrow();
        let now = Instant::now();
        let all = state.pools.parts_of(service).iter().map(|(key, _)| key);
        let all = all.filter(|key| key.hall().is_none_or(|hall| homes.allow(hall)));
        let is_usable = |key: &&PoolKey| state.avoided.get(*key).is_none_or(|until| *until <= now);
        let usable: Vec<PoolKey> = all.clone().filter(is_usable).cloned().collect();
        let all: Vec<PoolKey> = all.cloned().collect();
        drop(state);
        // The targets of a hall whose entry hosts are out of reach cannot be reached either.
        let cut = self.cut_halls();
        let near = |key: &PoolKey| key.hall().is_none_or(|hall| !cut.contains(hall));
        first_not_empty([
            usable.iter().filter(|key| near(key)).cloned().collect(),
            all.iter().filter(|key| near(key)).cloned().collect(),
            all,
        ])
    }

    /// Hands a batch of which no piece could be run to another part of its pool; false where there
    /// is none.
    pub(super) fn move_on(&self, batch: &mut PieceBatch) -> bool {
        let until = Instant::now() + PART_AVOIDED;
        let mut state = self.state.borrow_mut();
        state.avoided.insert(batch.pool.clone(), until);
        drop(state);
        let homes = HomeHalls::told(batch.homes.clone());
        let others = self.usable_parts(&batch.pool.service, &homes);
        let other = others.into_iter().find(|key| *key != batch.pool);
        other.is_some_and(|other| {
            batch.pool = other;
            true
        })
    }

    /// Returns the load of a pool as it was told lately; nothing where none of its parts is known.
    pub(crate) fn load_of(&self, service: &str) -> Option<PoolLoad> {
        let parts = self.state.borrow().pools.parts_of(service).to_vec();
        let mut sum = PoolLoad::default();
        let mut known = false;
        for (key, targets) in parts {
            let load = self.load_of_part(&key);
            known |= load.is_some();
            // A part that nobody tells of has no work.
            sum.add(&load.unwrap_or(PoolLoad {
                waiting: Vec::new(),
                targets,
                free: targets,
            }));
        }
        known.then_some(sum)
    }

    fn load_of_part(&self, pool: &PoolKey) -> Option<PoolLoad> {
        if self.home_of(pool) == Home::Here {
            return self.coordinator.load_of(pool);
        }
        let state = self.state.borrow();
        let (load, told) = state.loads.get(pool)?;
        (told.elapsed() < LOAD_KEPT).then(|| load.clone())
    }
}
