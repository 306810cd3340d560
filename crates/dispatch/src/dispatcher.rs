//! Hands out targets: queues, windows, choice, ejection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranelift_entity::{EntityRef, PrimaryMap};
use tokio::sync::oneshot;

use crate::{
    AdmittedRequest, AttemptOutcome, DispatchRefusal, FairQueue, ListedState, LoadReport,
    PolicyChoice, PoolId, RefusalCause, StageEstimate, TargetId, TargetPermit, TargetSample,
    TargetState, choose_target,
};

/// Requests that may wait for one pool.
const MAX_QUEUE: usize = 4_096;

/// The most of a pool's targets that may be ejected at one time.
const EJECTED_SHARE: f64 = 0.5;

/// How many times the expected work must fit into the time left; estimates are not exact, and a
/// request that is shed late has cost its early stages.
const ADMISSION_MARGIN: f64 = 1.2;

/// One of so many places of a pool must be free before work that can wait begins.
const SPARE_PARTS: u32 = 4;

/// A wait that is told where a pool has no usable target and no drain time is known.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// One target as a host list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Its name.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub hall: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a request asks of a pool.
#[derive(Debug, Clone)]
pub struct StageAsk {
    /// The pool.
    pub pool: String,
    /// The account, as a small number.
    pub account: u32,
    /// The weight of the account.
    pub weight: u32,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// The time that the stages after this one take.
    pub work_after: Duration,
    /// Targets that failed this request already.
    pub avoid: Vec<TargetId>,
    /// The target that holds the prefix of the request, as far as is known.
    pub prefix_holder: Option<TargetId>,
}

/// What an operator sees of a target.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetReport {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its data hall.
    pub hall: String,
    /// `live`, `leaving`, `gone` or `ejected`.
    pub state: String,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The bound of those.
    pub window: u32,
}

/// What an operator sees of a pool.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PoolReport {
    /// Its name.
    pub name: String,
    /// Requests that wait.
    pub waiting: usize,
    /// The usual time of an attempt, in microseconds.
    pub usual_us: u64,
}

struct QueuedAsk {
    ask: StageAsk,
    grant: oneshot::Sender<TargetPermit>,
}

struct PoolState {
    name: String,
    targets: Vec<TargetId>,
    queue: FairQueue<QueuedAsk>,
    estimate: StageEstimate,
    /// Admitted requests that have not reached the pool yet.
    promised: usize,
}

#[derive(Default)]
struct DispatchContext {
    targets: PrimaryMap<TargetId, TargetState>,
    target_pools: HashMap<TargetId, PoolId>,
    target_names: HashMap<String, TargetId>,
    pools: PrimaryMap<PoolId, PoolState>,
    pool_names: HashMap<String, PoolId>,
}

/// Hands out targets to the requests of one host.
pub struct TargetDispatcher {
    policy: PolicyChoice,
    hall: String,
    context: Mutex<DispatchContext>,
}

impl TargetDispatcher {
    /// Creates a dispatcher for a host in a data hall.
    pub fn new(policy: PolicyChoice, hall: impl Into<String>) -> Self {
        Self {
            policy,
            hall: hall.into(),
            context: Mutex::default(),
        }
    }

    /// Returns the rules in force.
    pub fn policy(&self) -> PolicyChoice {
        self.policy
    }

    /// Takes a read of the host list in. Only a whole read takes targets out.
    pub fn take_listing(
        self: &Arc<Self>,
        listings: &[TargetListing],
        whole: bool,
    ) -> ListingChange {
        let now = Instant::now();
        let mut change = ListingChange::default();
        {
            let mut context = self.lock();
            for listing in listings {
                context.put_target(listing, self.policy, now, &mut change);
            }
            if whole {
                context.drop_unlisted(listings, &mut change);
            }
        }
        self.pump_all();
        change
    }

    /// Marks a target as leaving, by its own word or another host's; true when that is news.
    pub fn mark_leaving(self: &Arc<Self>, name: &str) -> bool {
        let mut context = self.lock();
        let Some(id) = context.target_names.get(name).copied() else {
            return false;
        };
        let target = &mut context.targets[id];
        let news = target.listed == ListedState::Live;
        if news {
            target.listed = ListedState::Leaving;
        }
        let pool = context.target_pools.get(&id).copied();
        drop(context);
        if let Some(pool) = pool {
            self.pump(pool);
        }
        news
    }

    /// Returns the names of the targets that are leaving.
    pub fn leaving_targets(&self) -> Vec<String> {
        let context = self.lock();
        let leaving = context.targets.values();
        leaving
            .filter(|target| target.listed == ListedState::Leaving)
            .map(|target| target.name.clone())
            .collect()
    }

    /// Returns the usual time of a chain of pools, without waiting.
    ///
    /// Waiting is left out on purpose: it counts at admission, before anything is spent. A request
    /// that has been worked on is given up only when even empty queues could not save it. Without
    /// admission nothing is known, as for a plain proxy.
    pub fn usual_through<'a>(&self, pools: impl Iterator<Item = &'a str>) -> Duration {
        if !self.policy.admission {
            return Duration::ZERO;
        }
        let context = self.lock();
        pools
            .filter_map(|name| context.pool_names.get(name))
            .map(|pool| context.pools[*pool].estimate.usual())
            .sum()
    }

    /// Admits a request, or refuses it before its first stage because its time left cannot hold
    /// the work.
    ///
    /// # Errors
    ///
    /// The refusal, with the drain time of the longest queue.
    pub fn admit<'a>(
        self: &Arc<Self>,
        pools: impl Iterator<Item = &'a str>,
        time_left: Duration,
    ) -> Result<AdmittedRequest, DispatchRefusal> {
        let now = Instant::now();
        let mut context = self.lock();
        let mut ids = Vec::new();
        for name in pools {
            let pool = context.pool_names.get(name).copied();
            let Some(pool) = pool.filter(|pool| context.has_usable(*pool, now)) else {
                return Err(DispatchRefusal::new(RefusalCause::NoTarget, NO_TARGET_WAIT));
            };
            ids.push(pool);
        }
        let work: Duration = ids.iter().map(|pool| context.work_of(*pool, now)).sum();
        if self.policy.admission && work.mul_f64(ADMISSION_MARGIN) > time_left {
            let waits = ids.iter().map(|pool| context.wait_of(*pool, now));
            let longest = waits.max().unwrap_or_default();
            return Err(DispatchRefusal::new(RefusalCause::NoTime, longest));
        }
        for pool in &ids {
            context.pools[*pool].promised += 1;
        }
        Ok(AdmittedRequest {
            dispatcher: self.clone(),
            pools: ids,
        })
    }

    pub(crate) fn forget_promise(&self, pool: PoolId) {
        let mut context = self.lock();
        let promised = &mut context.pools[pool].promised;
        *promised = promised.saturating_sub(1);
    }

    /// Waits for a target of a pool.
    ///
    /// # Errors
    ///
    /// A refusal, at once when the queue is full or no target is usable, and at the moment at
    /// which the time left no longer holds the work left.
    pub async fn acquire(self: &Arc<Self>, ask: StageAsk) -> Result<TargetPermit, DispatchRefusal> {
        let latest_start = self.latest_start(&ask);
        let (granted, pool) = self.enqueue(ask)?;
        self.pump(pool);
        match tokio::time::timeout_at(latest_start.into(), granted).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(self.refuse(pool, RefusalCause::NoTarget)),
            Err(_) => Err(self.refuse(pool, RefusalCause::NoTime)),
        }
    }

    /// Returns what operators see.
    pub fn report(&self) -> (Vec<PoolReport>, Vec<TargetReport>) {
        let now = Instant::now();
        let context = self.lock();
        let pools = context.pools.values().map(|pool| PoolReport {
            name: pool.name.clone(),
            waiting: pool.queue.len(),
            usual_us: pool.estimate.usual().as_micros() as u64,
        });
        let targets = context.targets.iter().map(|(id, target)| TargetReport {
            name: target.name.clone(),
            pool: context.pools[context.target_pools[&id]].name.clone(),
            hall: target.hall.clone(),
            state: state_text(target, now).to_owned(),
            in_flight: target.in_flight,
            window: target.window.limit(now),
        });
        (pools.collect(), targets.collect())
    }

    /// Says whether every pool has nobody waiting and a quarter of its places free, so that work
    /// which can wait harms nobody.
    pub fn has_spare<'a>(&self, mut pools: impl Iterator<Item = &'a str>) -> bool {
        let now = Instant::now();
        let context = self.lock();
        pools.all(|name| {
            let pool = context.pool_names.get(name);
            pool.is_some_and(|pool| context.is_spare(*pool, now))
        })
    }

    /// Returns the usual time of an attempt at a pool; zero while nothing is known.
    pub fn usual_time(&self, name: &str) -> Duration {
        let context = self.lock();
        let pool = context.pool_names.get(name);
        pool.map(|pool| context.pools[*pool].estimate.usual())
            .unwrap_or_default()
    }

    /// Returns the key of a pool as a small number, where it is known.
    pub fn pool_number(&self, name: &str) -> Option<u32> {
        let context = self.lock();
        context.pool_names.get(name).map(|pool| pool.index() as u32)
    }

    // Without admission a request waits until its deadline, as a plain proxy would have it.
    fn latest_start(&self, ask: &StageAsk) -> Instant {
        if !self.policy.admission {
            return ask.deadline;
        }
        let context = self.lock();
        let own = context
            .pool_names
            .get(&ask.pool)
            .map(|pool| context.pools[*pool].estimate.mean());
        let work = ask.work_after + own.unwrap_or_default();
        ask.deadline.checked_sub(work).unwrap_or_else(Instant::now)
    }

    fn enqueue(
        &self,
        ask: StageAsk,
    ) -> Result<(oneshot::Receiver<TargetPermit>, PoolId), DispatchRefusal> {
        let now = Instant::now();
        let mut context = self.lock();
        let pool = context.pool_names.get(&ask.pool).copied();
        let Some(pool) = pool.filter(|pool| context.has_usable(*pool, now)) else {
            return Err(DispatchRefusal::new(RefusalCause::NoTarget, NO_TARGET_WAIT));
        };
        let queue = &context.pools[pool].queue;
        // No account may fill the queue: with others waiting, each has its share of the places.
        let places = MAX_QUEUE / (queue.account_count() + 1);
        if queue.len() >= MAX_QUEUE || queue.account_len(ask.account) >= places.max(1) {
            let wait = context.wait_of(pool, now);
            return Err(DispatchRefusal::new(RefusalCause::QueueFull, wait));
        }
        let (grant, granted) = oneshot::channel();
        let (account, deadline) = (ask.account, ask.deadline);
        context.pools[pool]
            .queue
            .push(account, deadline, QueuedAsk { ask, grant });
        Ok((granted, pool))
    }

    fn refuse(&self, pool: PoolId, cause: RefusalCause) -> DispatchRefusal {
        let wait = self.lock().wait_of(pool, Instant::now());
        DispatchRefusal::new(cause, wait)
    }

    /// Gives targets to waiting requests while there is room.
    ///
    /// Permits are sent after the lock is let go: one that nobody takes any more is dropped, and
    /// its drop takes the lock again.
    fn pump(self: &Arc<Self>, pool: PoolId) {
        // Nobody waits for a pool that has no usable target: each is answered at once.
        let stranded = self.lock().take_stranded(pool);
        drop(stranded);
        loop {
            let granted = self.lock().next_grant(self, pool);
            let Some((grant, permit)) = granted else {
                return;
            };
            if let Err(unwanted) = grant.send(permit) {
                drop(unwanted);
            }
        }
    }

    fn pump_all(self: &Arc<Self>) {
        let pools: Vec<PoolId> = self.lock().pools.keys().collect();
        for pool in pools {
            self.pump(pool);
        }
    }

    pub(crate) fn release(
        self: &Arc<Self>,
        pool: PoolId,
        target: TargetId,
        outcome: AttemptOutcome,
        elapsed: Duration,
        report: Option<LoadReport>,
    ) {
        self.lock().settle(pool, target, outcome, elapsed, report);
        self.pump(pool);
    }

    fn lock(&self) -> MutexGuard<'_, DispatchContext> {
        self.context.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a read of the host list changed, by names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingChange {
    /// Targets that are new or came back.
    pub listed: Vec<String>,
    /// Targets that began to leave.
    pub leaving: Vec<String>,
    /// Targets that a whole read no longer names.
    pub gone: Vec<String>,
}

impl DispatchContext {
    fn put_target(
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

    fn drop_unlisted(&mut self, listings: &[TargetListing], change: &mut ListingChange) {
        let named: std::collections::HashSet<&str> = listings
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
            promised: 0,
        });
        self.pool_names.insert(name.to_owned(), pool);
        pool
    }

    fn has_usable(&self, pool: PoolId, now: Instant) -> bool {
        let mut targets = self.pools[pool].targets.iter();
        targets.any(|id| self.targets[*id].is_usable(now))
    }

    /// Returns the time that a pool takes for a request: waiting and the usual time.
    fn work_of(&self, pool: PoolId, now: Instant) -> Duration {
        self.wait_of(pool, now) + self.pools[pool].estimate.usual()
    }

    fn is_spare(&self, pool: PoolId, now: Instant) -> bool {
        let (places, free) = self.places_of(pool, now);
        let waiting = self.pools[pool].queue.len() + self.pools[pool].promised;
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

    /// Returns how long a request that is admitted now will wait at a pool.
    ///
    /// By Little's law a pool serves as many requests in its mean time as its windows hold.
    fn wait_of(&self, pool: PoolId, now: Instant) -> Duration {
        let state = &self.pools[pool];
        let (places, free) = self.places_of(pool, now);
        let ahead = (state.queue.len() + state.promised).saturating_sub(free as usize);
        state
            .estimate
            .mean()
            .mul_f64(ahead as f64 / f64::from(places.max(1)))
    }

    fn take_stranded(&mut self, pool: PoolId) -> Vec<QueuedAsk> {
        let mut stranded = Vec::new();
        if !self.has_usable(pool, Instant::now()) {
            let queue = &mut self.pools[pool].queue;
            while let Some(queued) = queue.pop(|queued| queued.ask.weight) {
                stranded.push(queued);
            }
        }
        stranded
    }

    fn next_grant(
        &mut self,
        dispatcher: &Arc<TargetDispatcher>,
        pool: PoolId,
    ) -> Option<(oneshot::Sender<TargetPermit>, TargetPermit)> {
        let now = Instant::now();
        let policy = dispatcher.policy;
        loop {
            if self.pools[pool].queue.is_empty() || !self.any_room(pool, policy, now) {
                return None;
            }
            let queued = self.pools[pool].queue.pop(|queued| queued.ask.weight)?;
            if queued.grant.is_closed() {
                continue;
            }
            let target = self.choose(pool, &queued.ask, policy, &dispatcher.hall, now)?;
            let state = &mut self.targets[target];
            state.in_flight += 1;
            let permit = TargetPermit {
                dispatcher: dispatcher.clone(),
                pool,
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

    fn settle(
        &mut self,
        pool: PoolId,
        id: TargetId,
        outcome: AttemptOutcome,
        elapsed: Duration,
        report: Option<LoadReport>,
    ) {
        let now = Instant::now();
        let target = &mut self.targets[id];
        target.in_flight = target.in_flight.saturating_sub(1);
        let beside = target.in_flight;
        if report.is_some() {
            target.report = report;
        }
        match outcome {
            AttemptOutcome::Success => {
                target.note_success();
                target.window.take_finish(elapsed, beside);
                self.pools[pool].estimate.take(elapsed);
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

fn state_text(target: &TargetState, now: Instant) -> &'static str {
    match target.listed {
        ListedState::Gone => "gone",
        ListedState::Leaving => "leaving",
        ListedState::Live if target.is_ejected(now) => "ejected",
        ListedState::Live => "live",
    }
}
