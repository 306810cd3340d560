//! The state of the dispatcher and its transitions.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranelift_entity::PrimaryMap;
use tokio::sync::oneshot;

use crate::permit::AttemptFinish;
use crate::{
    AdmissionRequest, AttemptOutcome, FairQueue, ListedState, ListingChange, PolicyChoice, PoolId,
    StageEstimate, TargetCandidate, TargetDispatcher, TargetId, TargetListing, TargetPermit,
    TargetRequest, TargetState, choose_target,
};

/// The maximum share of the targets of a pool that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Deferred work starts only if at least one in this many slots of a pool is free.
const SPARE_CAPACITY_DIVISOR: u32 = 4;

/// A request that waits for a permit.
pub(crate) struct QueuedRequest {
    pub(crate) request: TargetRequest,
    pub(crate) grant: oneshot::Sender<TargetPermit>,
}

/// One pool: its targets, its queue and the duration of its attempts.
pub(crate) struct PoolState {
    pub(crate) name: String,
    pub(crate) targets: Vec<TargetId>,
    pub(crate) queue: FairQueue<QueuedRequest>,
    pub(crate) estimate: StageEstimate,
    /// The duration of attempts by route.
    pub(crate) route_estimates: HashMap<u32, StageEstimate>,
    /// The number of admitted requests of each account that have not reached the pool yet.
    pub(crate) reserved: HashMap<u32, usize>,
    /// The weight of each account at its last admission.
    pub(crate) weights: HashMap<u32, u32>,
}

impl PoolState {
    /// Returns the typical duration of attempts of a route at this pool; that of all routes while
    /// the route has no sample.
    pub(crate) fn typical_duration(&self, route: u32) -> Duration {
        let own = self.route_estimates.get(&route).unwrap_or(&self.estimate);
        own.typical()
    }

    /// Returns the number of queued requests and reservations.
    pub(crate) fn backlog(&self) -> usize {
        self.queue.len() + self.reserved.values().sum::<usize>()
    }

    fn account_backlog(&self, account: u32) -> usize {
        let reserved = self.reserved.get(&account).copied().unwrap_or(0);
        self.queue.account_len(account) + reserved
    }

    /// Returns the total weight of all accounts with queued requests or reservations, including the
    /// account of the request.
    fn active_weight(&self, request: &AdmissionRequest) -> f64 {
        let mut active: HashSet<u32> = self.queue.waiting_accounts().collect();
        active.extend(self.reserved.keys());
        active.remove(&request.account);
        let others = active
            .iter()
            .map(|account| self.weights.get(account).copied().unwrap_or(1));
        f64::from(request.weight.max(1)) + others.map(f64::from).sum::<f64>()
    }
}

/// The state of the dispatcher, guarded by its lock.
#[derive(Default)]
pub(crate) struct DispatchContext {
    pub(crate) targets: PrimaryMap<TargetId, TargetState>,
    pub(crate) target_pools: HashMap<TargetId, PoolId>,
    pub(crate) target_names: HashMap<String, TargetId>,
    pub(crate) pools: PrimaryMap<PoolId, PoolState>,
    pub(crate) pool_names: HashMap<String, PoolId>,
}

impl DispatchContext {
    pub(crate) fn update_target(
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
            // Only this direction: an outdated list must not revive a target that has announced
            // that it is leaving.
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

    pub(crate) fn mark_unlisted_gone(
        &mut self,
        listings: &[TargetListing],
        change: &mut ListingChange,
    ) {
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
            route_estimates: HashMap::new(),
            reserved: HashMap::new(),
            weights: HashMap::new(),
        });
        self.pool_names.insert(name.to_owned(), pool);
        pool
    }

    pub(crate) fn has_usable_target(&self, pool: PoolId, now: Instant) -> bool {
        let mut targets = self.pools[pool].targets.iter();
        targets.any(|id| self.targets[*id].is_usable(now))
    }

    /// Returns the expected time of a request at a pool: the wait and the typical duration.
    pub(crate) fn expected_duration(
        &self,
        pool: PoolId,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Duration {
        self.admission_wait(pool, request, now) + self.pools[pool].typical_duration(request.route)
    }

    pub(crate) fn has_spare_capacity(&self, pool: PoolId, now: Instant) -> bool {
        let (slots, free) = self.slots_of(pool, now);
        let waiting = self.pools[pool].backlog();
        free as usize > waiting && free * SPARE_CAPACITY_DIVISOR >= slots
    }

    /// Returns the total size of the windows of the usable targets of a pool, and how much of it is
    /// free.
    fn slots_of(&self, pool: PoolId, now: Instant) -> (u32, u32) {
        let usable = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        let (mut slots, mut free) = (0, 0);
        for target in usable.filter(|target| target.is_usable(now)) {
            let limit = target.window.limit(now);
            slots += limit;
            free += limit.saturating_sub(target.in_flight);
        }
        (slots, free)
    }

    /// Returns the time to drain the queue of a pool, including reservations.
    ///
    /// By Little's law, a pool serves as many requests per mean duration as its windows have slots.
    pub(crate) fn queue_wait(&self, pool: PoolId, now: Instant) -> Duration {
        let (_, free) = self.slots_of(pool, now);
        let ahead = self.pools[pool].backlog().saturating_sub(free as usize);
        self.drain_time(pool, ahead as f64, now)
    }

    /// Returns the expected wait at a pool of a request that is admitted now.
    ///
    /// The queue is shared by weight: an account waits for its own requests, served at its share of
    /// the pool, and never longer than for the complete queue. A burst of another account therefore
    /// does not cause its refusal.
    pub(crate) fn admission_wait(
        &self,
        pool: PoolId,
        request: &AdmissionRequest,
        now: Instant,
    ) -> Duration {
        let queue_wait = self.queue_wait(pool, now);
        let state = &self.pools[pool];
        if queue_wait.is_zero() || !state.queue.is_fair() {
            return queue_wait;
        }
        let own_ahead = state.account_backlog(request.account) + 1;
        let own_weight = f64::from(request.weight.max(1));
        let fair_ahead = own_ahead as f64 * state.active_weight(request) / own_weight;
        queue_wait.min(self.drain_time(pool, fair_ahead, now))
    }

    fn drain_time(&self, pool: PoolId, ahead: f64, now: Instant) -> Duration {
        let (slots, _) = self.slots_of(pool, now);
        let mean = self.pools[pool].estimate.mean();
        mean.mul_f64(ahead / f64::from(slots.max(1)))
    }

    pub(crate) fn remove_stranded(&mut self, pool: PoolId) -> Vec<QueuedRequest> {
        let mut stranded = Vec::new();
        if !self.has_usable_target(pool, Instant::now()) {
            let queue = &mut self.pools[pool].queue;
            while let Some(queued) = queue.pop(|queued| queued.request.weight) {
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
            if self.pools[pool].queue.is_empty() || !self.has_free_slot(pool, policy, now) {
                return None;
            }
            let queued = self.pools[pool].queue.pop(|queued| queued.request.weight)?;
            if queued.grant.is_closed() {
                continue;
            }
            let target = self.choose(pool, &queued.request, policy, dispatcher.hall(), now)?;
            let state = &mut self.targets[target];
            state.in_flight += 1;
            let permit = TargetPermit {
                dispatcher: dispatcher.clone(),
                pool,
                route: queued.request.route,
                target,
                name: state.name.clone(),
                address: state.address,
                since: now,
                finished: false,
            };
            return Some((queued.grant, permit));
        }
    }

    fn has_free_slot(&self, pool: PoolId, policy: PolicyChoice, now: Instant) -> bool {
        let mut targets = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        targets.any(|target| target.is_usable(now) && (!policy.windows || target.has_room(now)))
    }

    fn choose(
        &self,
        pool: PoolId,
        request: &TargetRequest,
        policy: PolicyChoice,
        hall: &str,
        now: Instant,
    ) -> Option<TargetId> {
        let usable: Vec<TargetCandidate<'_>> = self.pools[pool]
            .targets
            .iter()
            .map(|id| TargetCandidate {
                id: *id,
                state: &self.targets[*id],
                has_prefix: request.prefix_holder == Some(*id),
            })
            .filter(|sample| sample.state.is_usable(now))
            .filter(|sample| !policy.windows || sample.state.has_room(now))
            .collect();
        let untried: Vec<_> = usable
            .iter()
            .filter(|sample| !request.avoid.contains(&sample.id))
            .copied()
            .collect();
        // Falls back to targets that already failed this request if there is no other.
        let candidates = if untried.is_empty() {
            &usable
        } else {
            &untried
        };
        choose_target(policy.target, candidates, hall, now)
    }

    pub(crate) fn record_finish(&mut self, finish: &AttemptFinish) {
        let now = Instant::now();
        let (pool, id, elapsed) = (finish.pool, finish.target, finish.elapsed);
        let target = &mut self.targets[id];
        target.in_flight = target.in_flight.saturating_sub(1);
        let others_in_flight = target.in_flight;
        if finish.report.is_some() {
            target.report = finish.report;
        }
        match finish.outcome {
            AttemptOutcome::Success => {
                target.record_success();
                let pool = &mut self.pools[pool];
                pool.estimate.record(elapsed);
                let route = pool.route_estimates.entry(finish.route).or_default();
                route.record(elapsed);
                target
                    .window
                    .record_finish(elapsed, route.floor(), others_in_flight);
            }
            AttemptOutcome::Busy => target.window.record_busy(),
            AttemptOutcome::Leaving => {
                if target.listed == ListedState::Live {
                    target.listed = ListedState::Leaving;
                }
            }
            AttemptOutcome::Failure => {
                if target.record_failure() && self.can_eject(pool, now) {
                    self.targets[id].eject(now);
                }
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    // If most targets of a pool fail, the cause is likely elsewhere, and the remaining targets
    // could not carry the load.
    fn can_eject(&self, pool: PoolId, now: Instant) -> bool {
        let targets = self.pools[pool].targets.iter().map(|id| &self.targets[*id]);
        let live: Vec<_> = targets
            .filter(|target| target.listed == ListedState::Live)
            .collect();
        let ejected = live.iter().filter(|target| target.is_ejected(now)).count();
        (ejected + 1) as f64 <= live.len() as f64 * MAX_EJECTED_SHARE
    }
}
