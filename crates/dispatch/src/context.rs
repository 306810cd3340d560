//! The state of the dispatcher and the steps that change it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::PrimaryMap;
use tokio::sync::oneshot;

use crate::permit::AttemptFinish;
use crate::{
    AdmissionAsk, AttemptOutcome, FairQueue, ListedState, ListingChange, PolicyChoice, PoolId,
    StageAsk, StageEstimate, TargetDispatcher, TargetId, TargetListing, TargetPermit, TargetSample,
    TargetState, choose_target,
};

/// The most of a pool's targets that may be ejected at one time.
const EJECTED_SHARE: f64 = 0.5;

/// One of so many places of a pool must be free before work that can wait begins.
const SPARE_PARTS: u32 = 4;

/// A request that waits.
pub(crate) struct QueuedAsk {
    pub(crate) ask: StageAsk,
    pub(crate) grant: oneshot::Sender<TargetPermit>,
}

/// One pool: its targets, its queue, what its attempts take.
pub(crate) struct PoolState {
    pub(crate) name: String,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) queue: FairQueue<QueuedAsk>,
    pub(crate) estimate: StageEstimate,
    /// What attempts of each route take.
    pub(crate) routes: HashMap<u32, StageEstimate>,
    /// Admitted requests of each account that have not reached the pool yet.
    pub(crate) promised: HashMap<u32, usize>,
    /// The weight that each account was last seen with.
    pub(crate) weights: HashMap<u32, u32>,
}

impl PoolState {
    /// Returns the usual time of a route here; that of all routes while it is not known.
    pub(crate) fn usual_of(&self, route: u32) -> Duration {
        let own = self.routes.get(&route).unwrap_or(&self.estimate);
        own.usual()
    }

    /// Returns the requests that wait, and those that are on their way.
    pub(crate) fn ahead(&self) -> usize {
        self.queue.len() + self.promised.values().sum::<usize>()
    }

    fn ahead_of(&self, account: u32) -> usize {
        let promised = self.promised.get(&account).copied().unwrap_or(0);
        self.queue.account_len(account) + promised
    }

    /// Returns the weights of all accounts that wait or are on their way, the asking one counted.
    fn active_weight(&self, ask: &AdmissionAsk) -> f64 {
        let mut active: HashSet<u32> = self.queue.waiting_accounts().collect();
        active.extend(self.promised.keys());
        active.remove(&ask.account);
        let others = active
            .iter()
            .map(|account| self.weights.get(account).copied().unwrap_or(1));
        f64::from(ask.weight.max(1)) + others.map(f64::from).sum::<f64>()
    }
}

/// All that the dispatcher knows, under its lock.
#[derive(Default)]
pub(crate) struct DispatchContext {
    pub(crate) targets: PrimaryMap<TargetId, TargetState>,
    pub(crate) target_pools: HashMap<TargetId, PoolId>,
    pub(crate) target_names: HashMap<String, TargetId>,
    pub(crate) pools: PrimaryMap<PoolId, PoolState>,
    pub(crate) pool_names: HashMap<String, PoolId>,
}

impl DispatchContext {
    pub(crate) fn put_target(
        &mut self,
        listing: &TargetListing,
        policy: PolicyChoice,
        now: Instant,
        change: &mut ListingChange,
    ) {
        let pool = self.intern_pool(&listing.pool, policy);
        let listed = if listing.leaving {
            ListedState::Leaving
        } else {
            ListedState::Live
        };
        let known = self.target_names.get(&listing.name).copied();
        let Some(id) = known.filter(|id| self.target_pools.get(id) == Some(&pool)) else {
            self.add_target(listing, pool, listed, now, change);
            return;
        };
        let target = &mut self.targets[id];
        let restarted = target.address != listing.address || target.listed == ListedState::Gone;
        if restarted {
            target.address = listing.address;
            target.listed = listed;
            target.window.restart(now);
            change.listed.push(listing.name.clone());
        } else if listed == ListedState::Leaving && target.listed == ListedState::Live {
            // A target that said itself that it leaves is not brought back by a list that lags.
            target.listed = ListedState::Leaving;
            change.leaving.push(listing.name.clone());
        }
        target.hall.clone_from(&listing.hall);
    }

    fn add_target(
        &mut self,
        listing: &TargetListing,
        pool: PoolId,
        listed: ListedState,
        now: Instant,
        change: &mut ListingChange,
    ) {
        let mut target = TargetState::new(
            listing.name.clone(),
            listing.address,
            listing.hall.clone(),
            now,
        );
        target.listed = listed;
        let id = self.targets.push(target);
        self.target_names.insert(listing.name.clone(), id);
        self.target_pools.insert(id, pool);
        self.pools[pool].targets.push(id);
        change.listed.push(listing.name.clone());
    }

    pub(crate) fn drop_unlisted(&mut self, listings: &[TargetListing], change: &mut ListingChange) {
        let named: HashSet<&str> = listings
            .iter()
            .map(|listing| listing.name.as_str())
            .collect();
        for target in self.targets.values_mut() {
            if target.listed != ListedState::Gone && !named.contains(target.name.as_str()) {
                target.listed = ListedState::Gone;
                change.gone.push(target.name.clone());
            }
        }
    }

    fn intern_pool(&mut self, name: &str, policy: PolicyChoice) -> PoolId {
        if let Some(pool) = self.pool_names.get(name) {
            return *pool;
        }
        let pool = self.pools.push(PoolState {
            name: name.to_owned(),
            targets: Vec::new(),
            queue: FairQueue::new(policy.queue),
            estimate: StageEstimate::default(),
            routes: HashMap::new(),
            promised: HashMap::new(),
            weights: HashMap::new(),
        });
        self.pool_names.insert(name.to_owned(), pool);
        pool
    }

    pub(crate) fn has_usable(&self, pool: PoolId, now: Instant) -> bool {
        let mut targets = self.pools[pool].targets.iter();
        targets.any(|id| self.targets[*id].is_usable(now))
    }

    /// Returns the time that a pool takes for a request: waiting and the usual time.
    pub(crate) fn work_of(&self, pool: PoolId, ask: &AdmissionAsk, now: Instant) -> Duration {
        self.wait_for(pool, ask, now) + self.pools[pool].usual_of(ask.route)
    }

    pub(crate) fn is_spare(&self, pool: PoolId, now: Instant) -> bool {
        let (places, free) = self.places_of(pool, now);
        let waiting = self.pools[pool].ahead();
        free as usize > waiting && free * SPARE_PARTS >= places
    }

    /// Returns the places that the windows of a pool hold, and how many of them are free.
    fn places_of(&self, pool: PoolId, now: Instant) -> (u32, u32) {
        let usable = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        let (mut places, mut free) = (0, 0);
        for target in usable.filter(|target| target.is_usable(now)) {
            let limit = target.window.limit(now);
            places += limit;
            free += limit.saturating_sub(target.in_flight);
        }
        (places, free)
    }

    /// Returns how long the whole queue of a pool takes, those on their way to it counted.
    ///
    /// By Little's law a pool serves as many requests in its mean time as its windows hold.
    pub(crate) fn wait_of(&self, pool: PoolId, now: Instant) -> Duration {
        let (_, free) = self.places_of(pool, now);
        let ahead = self.pools[pool].ahead().saturating_sub(free as usize);
        self.drain_time(pool, ahead as f64, now)
    }

    /// Returns how long a request of an account that is admitted now will wait at a pool.
    ///
    /// The queue is shared by weight, so an account waits for its own requests at its share of the
    /// pool, and never longer than for all of them. A burst of another account is no reason to
    /// refuse it.
    pub(crate) fn wait_for(&self, pool: PoolId, ask: &AdmissionAsk, now: Instant) -> Duration {
        let whole = self.wait_of(pool, now);
        let state = &self.pools[pool];
        if whole.is_zero() || !state.queue.is_fair() {
            return whole;
        }
        let own_ahead = state.ahead_of(ask.account) + 1;
        let own_weight = f64::from(ask.weight.max(1));
        let fair_ahead = own_ahead as f64 * state.active_weight(ask) / own_weight;
        whole.min(self.drain_time(pool, fair_ahead, now))
    }

    fn drain_time(&self, pool: PoolId, ahead: f64, now: Instant) -> Duration {
        let (places, _) = self.places_of(pool, now);
        let mean = self.pools[pool].estimate.mean();
        mean.mul_f64(ahead / f64::from(places.max(1)))
    }

    pub(crate) fn take_stranded(&mut self, pool: PoolId) -> Vec<QueuedAsk> {
        let mut stranded = Vec::new();
        if !self.has_usable(pool, Instant::now()) {
            let queue = &mut self.pools[pool].queue;
            while let Some(queued) = queue.pop(|queued| queued.ask.weight) {
                stranded.push(queued);
            }
        }
        stranded
    }

    pub(crate) fn next_grant(
        &mut self,
        dispatcher: &Arc<TargetDispatcher>,
        pool: PoolId,
    ) -> Option<(oneshot::Sender<TargetPermit>, TargetPermit)> {
        let now = Instant::now();
        let policy = dispatcher.policy();
        loop {
            if self.pools[pool].queue.is_empty() || !self.any_room(pool, policy, now) {
                return None;
            }
            let queued = self.pools[pool].queue.pop(|queued| queued.ask.weight)?;
            if queued.grant.is_closed() {
                continue;
            }
            let target = self.choose(pool, &queued.ask, policy, dispatcher.hall(), now)?;
            let state = &mut self.targets[target];
            state.in_flight += 1;
            let permit = TargetPermit {
                dispatcher: dispatcher.clone(),
                pool,
                route: queued.ask.route,
                target,
                name: state.name.clone(),
                address: state.address,
                since: now,
                settled: false,
            };
            return Some((queued.grant, permit));
        }
    }

    fn any_room(&self, pool: PoolId, policy: PolicyChoice, now: Instant) -> bool {
        let mut targets = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        targets.any(|target| target.is_usable(now) && (!policy.windows || target.has_room(now)))
    }

    fn choose(
        &self,
        pool: PoolId,
        ask: &StageAsk,
        policy: PolicyChoice,
        hall: &str,
        now: Instant,
    ) -> Option<TargetId> {
        let usable: Vec<TargetSample<'_>> = self.pools[pool]
            .targets
            .iter()
            .map(|id| TargetSample {
                id: *id,
                state: &self.targets[*id],
                holds_prefix: ask.prefix_holder == Some(*id),
            })
            .filter(|sample| sample.state.is_usable(now))
            .filter(|sample| !policy.windows || sample.state.has_room(now))
            .collect();
        let fresh: Vec<_> = usable
            .iter()
            .filter(|sample| !ask.avoid.contains(&sample.id))
            .copied()
            .collect();
        // A target that failed this request already is better than none.
        let candidates = if fresh.is_empty() { &usable } else { &fresh };
        choose_target(policy.target, candidates, hall, now)
    }

    pub(crate) fn settle(&mut self, finish: &AttemptFinish) {
        let now = Instant::now();
        let (pool, id, elapsed) = (finish.pool, finish.target, finish.elapsed);
        let target = &mut self.targets[id];
        target.in_flight = target.in_flight.saturating_sub(1);
        let beside = target.in_flight;
        if finish.report.is_some() {
            target.report = finish.report;
        }
        match finish.outcome {
            AttemptOutcome::Success => {
                target.note_success();
                let pool = &mut self.pools[pool];
                pool.estimate.take(elapsed);
                let route = pool.routes.entry(finish.route).or_default();
                route.take(elapsed);
                target.window.take_finish(elapsed, route.floor(), beside);
            }
            AttemptOutcome::Busy => target.window.take_busy(),
            AttemptOutcome::Leaving => {
                if target.listed == ListedState::Live {
                    target.listed = ListedState::Leaving;
                }
            }
            AttemptOutcome::Failure => {
                if target.note_failure() && self.may_eject(pool, now) {
                    self.targets[id].eject(now);
                }
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    // With most of a pool failing the cause is likely elsewhere, and the rest could not carry it.
    fn may_eject(&self, pool: PoolId, now: Instant) -> bool {
        let targets = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        let live: Vec<_> = targets
            .filter(|target| target.listed == ListedState::Live)
            .collect();
        let ejected = live.iter().filter(|target| target.is_ejected(now)).count();
        (ejected + 1) as f64 <= live.len() as f64 * EJECTED_SHARE
    }
}
