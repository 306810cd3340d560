//! Hands out targets: queues, windows, choice, ejection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use tokio::sync::oneshot;

use crate::context::{DispatchContext, QueuedAsk};
use crate::permit::AttemptFinish;
use crate::{
    AdmissionAsk, AdmittedRequest, DispatchRefusal, ListedState, ListingChange, PolicyChoice,
    PoolId, PoolReport, RefusalCause, TargetId, TargetListing, TargetPermit, TargetReport,
    TargetState,
};

/// Requests that may wait for one pool.
const MAX_QUEUE: usize = 4_096;

/// How many times the expected work must fit into the time left; estimates are not exact, and a
/// request that is shed late has cost its early stages.
const ADMISSION_MARGIN: f64 = 1.2;

/// A wait that is told where a pool has no usable target and no drain time is known.
const NO_TARGET_WAIT: Duration = Duration::from_secs(1);

/// What a request asks of a pool.
#[derive(Debug, Clone)]
pub struct StageAsk {
    /// The pool.
    pub pool: String,
    /// The account, as a small number.
    pub account: u32,
    /// The weight of the account.
    pub weight: u32,
    /// The route, as a small number.
    pub route: u32,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// The time that the stages after this one take.
    pub work_after: Duration,
    /// Targets that failed this request already.
    pub avoid: Vec<TargetId>,
    /// The target that holds the prefix of the request, as far as is known.
    pub prefix_holder: Option<TargetId>,
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

    /// Returns the data hall of this host.
    pub(crate) fn hall(&self) -> &str {
        &self.hall
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

    /// Gives targets to waiting requests whose windows have room by the passing of time alone, as
    /// after a slow start or an ejection.
    pub fn refresh(self: &Arc<Self>) {
        self.pump_all();
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
    pub fn usual_through<'a>(&self, pools: impl Iterator<Item = &'a str>, route: u32) -> Duration {
        if !self.policy.admission {
            return Duration::ZERO;
        }
        let context = self.lock();
        pools
            .filter_map(|name| context.pool_names.get(name))
            .map(|pool| context.pools[*pool].usual_of(route))
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
        ask: &AdmissionAsk,
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
        let work = ids.iter().map(|pool| context.work_of(*pool, ask, now));
        let work: Duration = work.sum();
        if self.policy.admission && work.mul_f64(ADMISSION_MARGIN) > ask.time_left {
            let waits = ids.iter().map(|pool| context.wait_for(*pool, ask, now));
            let longest = waits.max().unwrap_or_default();
            return Err(DispatchRefusal::new(RefusalCause::NoTime, longest));
        }
        for pool in &ids {
            let state = &mut context.pools[*pool];
            *state.promised.entry(ask.account).or_default() += 1;
            state.weights.insert(ask.account, ask.weight);
        }
        Ok(AdmittedRequest {
            account: ask.account,
            dispatcher: self.clone(),
            pools: ids,
        })
    }

    pub(crate) fn forget_promise(&self, pool: PoolId, account: u32) {
        let mut context = self.lock();
        let promised = &mut context.pools[pool].promised;
        if let Some(count) = promised.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                promised.remove(&account);
            }
        }
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

    /// Returns the usual time of an attempt of a route at a pool; zero while nothing is known.
    pub fn usual_time(&self, name: &str, route: u32) -> Duration {
        let context = self.lock();
        let pool = context.pool_names.get(name);
        pool.map(|pool| context.pools[*pool].usual_of(route))
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
        let pool = context.pool_names.get(&ask.pool);
        let own = pool.map(|pool| context.pools[*pool].usual_of(ask.route));
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

    pub(crate) fn release(self: &Arc<Self>, finish: AttemptFinish) {
        self.lock().settle(&finish);
        self.pump(finish.pool);
    }

    fn lock(&self) -> MutexGuard<'_, DispatchContext> {
        self.context.lock().unwrap_or_else(PoisonError::into_inner)
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
