//! Assigns targets to requests: queues, windows, choice, ejection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use tokio::sync::oneshot;

use crate::context::{DispatchContext, QueuedRequest};
use crate::permit::AttemptFinish;
use crate::{
    AdmissionRequest, AdmittedRequest, DispatchRefusal, ListedState, ListingChange, PolicyChoice,
    PoolId, PoolReport, RefusalCause, TargetId, TargetListing, TargetPermit, TargetReport,
    TargetState,
};

/// The maximum number of requests queued for one pool.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Factor on the expected work, which must then fit into the time left. Estimates are not exact,
/// and a request that is shed late wastes the work of its early stages.
const ADMISSION_MARGIN: f64 = 1.2;

/// The retry delay announced if a pool has no usable target, so that no drain time is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request for a target of a pool.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// The pool.
    pub pool: String,
    /// The index of the account.
    pub account: u32,
    /// The weight of the account.
    pub weight: u32,
    /// The index of the route.
    pub route: u32,
    /// The deadline of the complete response.
    pub deadline: Instant,
    /// The typical duration of the stages after this one.
    pub work_after: Duration,
    /// Targets that already failed this request.
    pub avoid: Vec<TargetId>,
    /// The target that has cached the prefix of the request, if known.
    pub prefix_holder: Option<TargetId>,
}

/// Assigns targets to the requests of one host.
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

    /// Returns the active policy.
    pub fn policy(&self) -> PolicyChoice {
        self.policy
    }

    /// Returns the data hall of this host.
    pub(crate) fn hall(&self) -> &str {
        &self.hall
    }

    /// Applies a read of the host list. Only a complete read removes targets.
    pub fn apply_listing(
        self: &Arc<Self>,
        listings: &[TargetListing],
        complete: bool,
    ) -> ListingChange {
        let now = Instant::now();
        let mut change = ListingChange::default();
        {
            let mut context = self.lock();
            for listing in listings {
                context.update_target(listing, self.policy, now, &mut change);
            }
            if complete {
                context.mark_unlisted_gone(listings, &mut change);
            }
        }
        self.grant_all_waiting();
        change
    }

    /// Grants targets to queued requests. Needed where slots become free by the passing of time
    /// alone, as after a slow start or an ejection.
    pub fn grant_waiting_requests(self: &Arc<Self>) {
        self.grant_all_waiting();
    }

    /// Marks a target as leaving, as announced by the target itself or by another host. Returns
    /// whether the target was live before.
    pub fn mark_leaving(self: &Arc<Self>, name: &str) -> bool {
        let mut context = self.lock();
        let Some(id) = context.target_names.get(name).copied() else {
            return false;
        };
        let target = &mut context.targets[id];
        let changed = target.listed == ListedState::Live;
        if changed {
            target.listed = ListedState::Leaving;
        }
        let pool = context.target_pools.get(&id).copied();
        drop(context);
        if let Some(pool) = pool {
            self.grant_waiting(pool);
        }
        changed
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

    /// Returns the sum of the typical durations of a chain of pools, without waits.
    ///
    /// Waits are left out on purpose: they count at admission, before any work is spent. A request
    /// that already ran a stage is given up only if it would miss its deadline even with empty
    /// queues. Without admission control this is zero, as for a plain proxy.
    pub fn typical_total<'a>(&self, pools: impl Iterator<Item = &'a str>, route: u32) -> Duration {
        if !self.policy.admission {
            return Duration::ZERO;
        }
        let context = self.lock();
        pools
            .filter_map(|name| context.pool_names.get(name))
            .map(|pool| context.pools[*pool].typical_duration(route))
            .sum()
    }

    /// Admits a request, or refuses it before its first stage if the time left is too short for the
    /// expected work.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the longest expected wait of its pools.
    pub fn admit<'a>(
        self: &Arc<Self>,
        pools: impl Iterator<Item = &'a str>,
        request: &AdmissionRequest,
    ) -> Result<AdmittedRequest, DispatchRefusal> {
        let now = Instant::now();
        let mut context = self.lock();
        let mut ids = Vec::new();
        for name in pools {
            let pool = context.pool_names.get(name).copied();
            let Some(pool) = pool.filter(|pool| context.has_usable_target(*pool, now)) else {
                return Err(DispatchRefusal::new(
                    RefusalCause::NoTarget,
                    NO_TARGET_RETRY_AFTER,
                ));
            };
            ids.push(pool);
        }
        let work = ids
            .iter()
            .map(|pool| context.expected_duration(*pool, request, now));
        let work: Duration = work.sum();
        if self.policy.admission && work.mul_f64(ADMISSION_MARGIN) > request.time_left {
            let waits = ids
                .iter()
                .map(|pool| context.admission_wait(*pool, request, now));
            let longest = waits.max().unwrap_or_default();
            return Err(DispatchRefusal::new(RefusalCause::NoTime, longest));
        }
        for pool in &ids {
            let state = &mut context.pools[*pool];
            *state.reserved.entry(request.account).or_default() += 1;
            state.weights.insert(request.account, request.weight);
        }
        Ok(AdmittedRequest {
            account: request.account,
            dispatcher: self.clone(),
            pools: ids,
        })
    }

    pub(crate) fn release_reservation(&self, pool: PoolId, account: u32) {
        let mut context = self.lock();
        let reserved = &mut context.pools[pool].reserved;
        if let Some(count) = reserved.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                reserved.remove(&account);
            }
        }
    }

    /// Waits for a target of a pool.
    ///
    /// # Errors
    ///
    /// Returns a refusal: at once if the queue is full or no target is usable, otherwise as soon as
    /// the time left is too short for the remaining work.
    pub async fn acquire(
        self: &Arc<Self>,
        request: TargetRequest,
    ) -> Result<TargetPermit, DispatchRefusal> {
        let latest_start = self.latest_start(&request);
        let (granted, pool) = self.enqueue(request)?;
        self.grant_waiting(pool);
        match tokio::time::timeout_at(latest_start.into(), granted).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(self.refuse(pool, RefusalCause::NoTarget)),
            Err(_) => Err(self.refuse(pool, RefusalCause::NoTime)),
        }
    }

    /// Returns the status of all pools and targets, as shown to operators.
    pub fn report(&self) -> (Vec<PoolReport>, Vec<TargetReport>) {
        let now = Instant::now();
        let context = self.lock();
        let pools = context.pools.values().map(|pool| PoolReport {
            name: pool.name.clone(),
            waiting: pool.queue.len(),
            usual_us: pool.estimate.typical().as_micros() as u64,
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

    /// Returns whether every pool has more free slots than waiting requests and at least a quarter
    /// of its slots free, so that deferred work does not delay other requests.
    pub fn has_spare_capacity<'a>(&self, mut pools: impl Iterator<Item = &'a str>) -> bool {
        let now = Instant::now();
        let context = self.lock();
        pools.all(|name| {
            let pool = context.pool_names.get(name);
            pool.is_some_and(|pool| context.has_spare_capacity(*pool, now))
        })
    }

    /// Returns the typical duration of an attempt of a route at a pool; zero without samples.
    pub fn typical_duration(&self, name: &str, route: u32) -> Duration {
        let context = self.lock();
        let pool = context.pool_names.get(name);
        pool.map(|pool| context.pools[*pool].typical_duration(route))
            .unwrap_or_default()
    }

    /// Returns the index of a pool, if the pool is known.
    pub fn pool_index(&self, name: &str) -> Option<u32> {
        let context = self.lock();
        context.pool_names.get(name).map(|pool| pool.index() as u32)
    }

    // Without admission control a request waits until its deadline, as in a plain proxy.
    fn latest_start(&self, request: &TargetRequest) -> Instant {
        if !self.policy.admission {
            return request.deadline;
        }
        let context = self.lock();
        let pool = context.pool_names.get(&request.pool);
        let own = pool.map(|pool| context.pools[*pool].typical_duration(request.route));
        let work = request.work_after + own.unwrap_or_default();
        request
            .deadline
            .checked_sub(work)
            .unwrap_or_else(Instant::now)
    }

    fn enqueue(
        &self,
        request: TargetRequest,
    ) -> Result<(oneshot::Receiver<TargetPermit>, PoolId), DispatchRefusal> {
        let now = Instant::now();
        let mut context = self.lock();
        let pool = context.pool_names.get(&request.pool).copied();
        let Some(pool) = pool.filter(|pool| context.has_usable_target(*pool, now)) else {
            return Err(DispatchRefusal::new(
                RefusalCause::NoTarget,
                NO_TARGET_RETRY_AFTER,
            ));
        };
        let queue = &context.pools[pool].queue;
        // No account may fill the queue: each account gets an equal share of the queue, with room
        // left for one more account.
        let account_limit = MAX_QUEUED_REQUESTS / (queue.account_count() + 1);
        if queue.len() >= MAX_QUEUED_REQUESTS
            || queue.account_len(request.account) >= account_limit.max(1)
        {
            let wait = context.queue_wait(pool, now);
            return Err(DispatchRefusal::new(RefusalCause::QueueFull, wait));
        }
        let (grant, granted) = oneshot::channel();
        let (account, deadline) = (request.account, request.deadline);
        context.pools[pool]
            .queue
            .push(account, deadline, QueuedRequest { request, grant });
        Ok((granted, pool))
    }

    fn refuse(&self, pool: PoolId, cause: RefusalCause) -> DispatchRefusal {
        let wait = self.lock().queue_wait(pool, Instant::now());
        DispatchRefusal::new(cause, wait)
    }

    /// Grants targets to queued requests while slots are free.
    ///
    /// Permits are sent after the lock is released: a permit whose receiver is gone is dropped, and
    /// its drop acquires the lock again.
    fn grant_waiting(self: &Arc<Self>, pool: PoolId) {
        // Dropping the requests of a pool without a usable target refuses them at once.
        let stranded = self.lock().remove_stranded(pool);
        drop(stranded);
        loop {
            let granted = self.lock().next_grant(self, pool);
            let Some((grant, permit)) = granted else {
                return;
            };
            if let Err(unclaimed) = grant.send(permit) {
                drop(unclaimed);
            }
        }
    }

    fn grant_all_waiting(self: &Arc<Self>) {
        let pools: Vec<PoolId> = self.lock().pools.keys().collect();
        for pool in pools {
            self.grant_waiting(pool);
        }
    }

    pub(crate) fn release(self: &Arc<Self>, finish: AttemptFinish) {
        self.lock().record_finish(&finish);
        self.grant_waiting(finish.pool);
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
