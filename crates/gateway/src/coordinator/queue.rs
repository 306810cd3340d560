//! Accepts batches of pieces from all entry hosts and sends them to targets in calls.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_forecast::PoolTimes;
use linnet_routing::RouteTable;
use linnet_shares::{AccountLimit, AccountShare, UseReport};
use linnet_telemetry::{EventCode, EventRecorder};

use super::batch::{BatchKey, BatchOutcome};
use super::call;
use super::delegation::{CallDelegate, DelegatedCall, SendRate};
use super::due_call::DueCall;
use super::queue_return::ReturnRule;
use super::state::{ExpectationKey, QueueState};
use crate::OverloadPolicy;
use crate::allowed_halls::AllowedHalls;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUsage};
use crate::pool_key::PoolKey;
use crate::rank::Rank;
use crate::stage_call::{CallOutcome, StageCall, StageRelease, StageTargetClient};
use crate::version_split::VersionSplit;

/// The load of each pool that has work, as reported to other hosts.
pub(crate) type PoolLoads = Rc<[(PoolKey, PoolLoad)]>;

/// Observes calls whose target crashed.
pub(crate) type TargetCrashObserver = Box<dyn Fn(&DueCall)>;

/// Observes the end of each call, with its duration.
pub(crate) type CallObserver = Box<dyn Fn(&DueCall, &CallOutcome, Duration)>;

/// Coordinates the pools of the services that this host was chosen for.
pub(crate) struct Coordinator {
    pub(crate) caller: StageTargetClient,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(super) state: RefCell<QueueState>,
    send_rate: RefCell<SendRate>,
    delegate: OnceCell<CallDelegate>,
    target_crash_observer: OnceCell<TargetCrashObserver>,
    call_observer: OnceCell<CallObserver>,
    /// The last result of [`Coordinator::loads`] and when it was computed.
    pub(super) cached_loads: RefCell<Option<(PoolLoads, Instant)>>,
}

/// How long a computed load is reused. Computing it walks the queue, which takes 4 microseconds
/// with 1,000 pieces (`measure_the_load_of_a_long_queue`, release build), and a host that
/// coordinates for 300 others reports it to each of them several times a second and after each
/// batch.
const LOADS_CACHE_TTL: Duration = Duration::from_millis(15);

impl Coordinator {
    /// Creates a coordinator that sends up to `max_own_bytes_per_s` bytes of calls per second by
    /// itself and delegates the rest.
    pub(crate) fn new(
        caller: StageTargetClient,
        recorder: Arc<EventRecorder>,
        max_own_bytes_per_s: f64,
        overload: OverloadPolicy,
    ) -> Self {
        Self {
            caller,
            recorder,
            state: RefCell::new(QueueState::new(overload)),
            send_rate: RefCell::new(SendRate::new(max_own_bytes_per_s, Instant::now())),
            delegate: OnceCell::new(),
            target_crash_observer: OnceCell::new(),
            call_observer: OnceCell::new(),
            cached_loads: RefCell::default(),
        }
    }

    /// Sets the delegate that hands calls to other hosts when this one has too many.
    pub(crate) fn set_delegate(&self, delegate: CallDelegate) {
        let _ = self.delegate.set(delegate);
    }

    /// Sets the observer of calls whose target crashed.
    pub(crate) fn set_target_crash_observer(&self, observer: TargetCrashObserver) {
        let _ = self.target_crash_observer.set(observer);
    }

    /// Sets the observer of call ends.
    pub(crate) fn set_call_observer(&self, observer: CallObserver) {
        let _ = self.call_observer.set(observer);
    }

    pub(super) fn notify_call_outcome(&self, call: &DueCall, end: &CallOutcome, took: Duration) {
        if let Some(observer) = self.call_observer.get() {
            observer(call, end, took);
        }
    }

    /// Sets the services with a roll-out in progress.
    pub(crate) fn set_splits(&self, splits: &HashMap<String, VersionSplit>) {
        let mut state = self.state.borrow_mut();
        state.splits.clone_from(splits);
        let state = &mut *state;
        for (key, pool) in &mut state.pools {
            pool.set_split(state.splits.get(&key.service));
        }
    }

    /// Returns whether the target of a call is in the list of targets that accept work.
    pub(super) fn is_listed(&self, call: &DueCall) -> bool {
        let state = self.state.borrow();
        let pool = state.pools.get(&call.pool);
        let target = pool.and_then(|pool| pool.targets.get(&call.target));
        target.is_some_and(|target| target.listed)
    }

    pub(super) fn notify_target_crash(&self, call: &DueCall) {
        if let Some(observer) = self.target_crash_observer.get() {
            observer(call);
        }
    }

    /// Sends a call to its target, or waits for the host that sends it instead.
    pub(super) async fn send_call(
        &self,
        call: &StageCall,
        delegated: Option<DelegatedCall>,
    ) -> CallOutcome {
        match delegated {
            Some(delegated) => delegated.end.await,
            None => self.caller.send_call(call).await,
        }
    }

    /// Counts the bytes of a call, and hands it to another host if this one has too many to send.
    pub(super) fn delegate_call(&self, call: &StageCall, hall: &str) -> Option<DelegatedCall> {
        self.record_call_bytes(call);
        let delegate = self.delegate.get()?;
        let is_delegating = self.send_rate.borrow().is_delegating();
        is_delegating.then(|| (delegate.call)(call, hall)).flatten()
    }

    /// Sends a release to its target, or hands it to another host.
    fn send_release(self: &Rc<Self>, release: StageRelease, hall: &str) {
        let delegate = self
            .delegate
            .get()
            .filter(|_| self.send_rate.borrow().is_delegating());
        let own = match delegate {
            Some(delegate) => (delegate.release)(release, hall),
            None => Some(release),
        };
        if let Some(release) = own {
            let caller = self.caller.clone();
            ntex::rt::spawn(async move { caller.send_release(&release).await });
        }
    }

    fn record_call_bytes(&self, call: &StageCall) {
        let mut rate = self.send_rate.borrow_mut();
        let Some(change) = rate.record(call.estimated_body_bytes(), Instant::now()) else {
            return;
        };
        let detail = format!("{change:?} bytes_per_s={:.0}", rate.bytes_per_s());
        self.recorder
            .record(EventCode::StageCallsShared, "", detail);
    }

    /// Applies the stage pools of a configuration.
    pub(crate) fn set_services(&self, table: &RouteTable) {
        let mut state = self.state.borrow_mut();
        let services = table.config().services.iter();
        let specs = services.filter_map(|service| {
            let spec = service.stage_pool.clone()?;
            Some((service.name.clone(), spec))
        });
        state.specs.extend(specs);
        let state = &mut *state;
        for (key, pool) in &mut state.pools {
            if let Some(spec) = state.specs.get(&key.service) {
                pool.spec = spec.clone();
            }
        }
    }

    /// Sets the overload policy. Pools that are measured keep their measurements if it stays the same.
    pub(crate) fn set_overload(&self, policy: OverloadPolicy) {
        self.state.borrow_mut().set_overload(policy);
    }

    /// Replaces the list of targets that accept work.
    pub(crate) fn set_targets(self: &Rc<Self>, records: &[TargetRecord]) {
        self.state.borrow_mut().set_targets(records);
        self.dispatch_all();
    }

    /// Adds or updates the `listed` targets and removes the `unlisted` ones; all others stay.
    pub(crate) fn update_targets(
        self: &Rc<Self>,
        listed: &[TargetRecord],
        unlisted: &[TargetRecord],
    ) {
        self.state.borrow_mut().update_targets(listed, unlisted);
        self.dispatch_all();
    }

    /// Returns the load of every pool that has work here, as reported to other hosts. The result
    /// may be up to `LOADS_CACHE_TTL` old.
    pub(crate) fn loads(&self) -> PoolLoads {
        let now = Instant::now();
        let mut cached = self.cached_loads.borrow_mut();
        match &*cached {
            Some((loads, since)) if now.saturating_duration_since(*since) < LOADS_CACHE_TTL => {
                loads.clone()
            }
            _ => {
                let loads: PoolLoads = self.loads_at(now).into();
                *cached = Some((loads.clone(), now));
                loads
            }
        }
    }

    fn loads_at(&self, now: Instant) -> Vec<(PoolKey, PoolLoad)> {
        let state = self.state.borrow();
        let active = state.pools.iter().filter(|(_, pool)| pool.has_work());
        active
            .map(|(key, pool)| (key.clone(), state.load(key, pool, now)))
            .collect()
    }

    /// Returns the measured times of every pool that has work here.
    pub(crate) fn times(&self) -> Vec<(PoolKey, PoolTimes<Rank>)> {
        let (state, now) = (self.state.borrow(), Instant::now());
        let active = state.pools.iter().filter(|(_, pool)| pool.has_work());
        let measured = active.filter_map(|(key, pool)| Some((key.clone(), pool.times(now)?)));
        measured.collect()
    }

    /// Returns the measured times of one pool; `None` if it is not measured.
    pub(crate) fn times_of(&self, key: &PoolKey) -> Option<PoolTimes<Rank>> {
        self.state.borrow().pools.get(key)?.times(Instant::now())
    }

    /// Applies what client accounts asked of a pool at the host `host`, and returns the accounts
    /// that are limited there.
    pub(crate) fn apply_use(
        &self,
        host: &str,
        pool: &PoolKey,
        report: &UseReport<Rank>,
    ) -> Vec<AccountLimit<Rank>> {
        let mut state = self.state.borrow_mut();
        let pool = state.pool_mut(pool);
        pool.map_or_else(Vec::new, |pool| {
            pool.apply_use(host, report, Instant::now())
        })
    }

    /// Returns what each client account asks of each pool beside its share.
    pub(crate) fn account_shares(&self) -> Vec<(PoolKey, Vec<AccountShare<Rank>>)> {
        let (state, now) = (self.state.borrow(), Instant::now());
        let pools = state.pools.iter();
        let shared = pools.filter_map(|(key, pool)| Some((key.clone(), pool.account_shares(now)?)));
        shared.collect()
    }

    /// Counts pieces that an admitted request will submit later.
    pub(crate) fn expect_pieces(&self, expected: ExpectedPieces) -> ExpectationKey {
        self.state.borrow_mut().expect_pieces(expected)
    }

    /// Ends an expectation that [`Coordinator::expect_pieces`] returned.
    pub(crate) fn end_expected(&self, key: ExpectationKey) {
        self.state.borrow_mut().end_expected(key);
    }

    /// Returns how often a target was examined for a queued piece: the work of dispatches.
    pub(crate) fn examined_targets(&self) -> u64 {
        self.state.borrow().examined_targets()
    }

    /// Returns the load of one pool.
    pub(crate) fn load_of(&self, key: &PoolKey) -> Option<PoolLoad> {
        let state = self.state.borrow();
        let pool = state.pools.get(key)?;
        Some(state.load(key, pool, Instant::now()))
    }

    /// Queues a batch. `reply` is called once, with an outcome for each piece or when the batch is
    /// returned; if the batch is refused it is called at once. A batch that was returned before passed
    /// the check of its objective at the first coordinator.
    pub(crate) fn submit(
        self: &Rc<Self>,
        batch: PieceBatch,
        rule: ReturnRule,
        reply: impl FnOnce(BatchOutcome) + 'static,
    ) -> Option<BatchKey> {
        let count = batch.piece_count as usize;
        let now = Instant::now();
        let allowed_halls = AllowedHalls::from_names(batch.allowed_halls.clone());
        let refused = {
            let mut state = self.state.borrow_mut();
            match state.pool_mut(&batch.pool) {
                None => Some(PieceFault::CoordinatorLost),
                Some(pool) if !pool.has_target_in(&allowed_halls) => Some(PieceFault::Failed),
                Some(pool)
                    if rule != ReturnRule::ReturnedBefore
                        && pool.would_miss_objective(&batch, now) =>
                {
                    Some(PieceFault::QueueTooLong)
                }
                Some(_) => None,
            }
        };
        if let Some(fault) = refused {
            reply(BatchOutcome::Completed(vec![Err(fault); count]));
            return None;
        }
        let pool = batch.pool.clone();
        let mut state = self.state.borrow_mut();
        let key = state.enqueue(batch, rule, Box::new(reply), now);
        drop(state);
        self.dispatch(&pool);
        Some(key)
    }

    /// Cancels a batch. Calls that are running go on, and their results are released.
    pub(crate) fn cancel(&self, key: BatchKey) {
        let mut state = self.state.borrow_mut();
        state.batches.cancel(key);
        for pool in state.pools.values_mut() {
            pool.queue.retain(|piece| piece.key.batch != key);
        }
    }

    /// Releases results of a service, each of about `bytes`. Results that another host coordinated
    /// are released as well, since that host may be gone.
    pub(crate) fn release_results(
        self: &Rc<Self>,
        service: &str,
        handles: Vec<String>,
        bytes: u64,
    ) {
        let mut state = self.state.borrow_mut();
        let releases = state.remove_results(service, handles, bytes, Instant::now());
        drop(state);
        for (release, hall) in releases {
            self.send_release(release, &hall);
        }
        for pool in self.pools_of(service) {
            self.dispatch(&pool);
        }
    }

    /// Returns this host's usage of targets in the pools that it coordinates and `keep` selects.
    pub(crate) fn usage(
        &self,
        keep: impl Fn(&PoolKey) -> bool,
    ) -> Vec<(PoolKey, Vec<TargetUsage>)> {
        let state = self.state.borrow();
        let now = Instant::now();
        let uses = state.pools.iter().filter(|(key, _)| keep(key));
        let uses = uses.map(|(key, pool)| (key.clone(), pool.usage(now)));
        uses.filter(|(_, uses)| !uses.is_empty()).collect()
    }

    /// Sets the usage of a pool's targets that another coordinator reported. If this host takes
    /// over from that one after its connection is lost, it starts with the known memory usage of
    /// the targets.
    pub(crate) fn set_peer_usage(&self, peer: &str, pool: &PoolKey, uses: &[TargetUsage]) {
        let mut state = self.state.borrow_mut();
        if let Some(pool) = state.pool_mut(pool) {
            pool.set_peer_usage(peer, uses, Instant::now());
        }
    }

    fn pools_of(&self, service: &str) -> Vec<PoolKey> {
        let state = self.state.borrow();
        let keys = state.pools.keys().filter(|key| key.service == service);
        keys.cloned().collect()
    }

    /// Starts every call that a free target can take, in all pools: memory also becomes free by
    /// itself, when results expire.
    pub(crate) fn dispatch_all(self: &Rc<Self>) {
        let pools: Vec<PoolKey> = self.state.borrow().pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    /// Starts every call of a pool that a free target can take.
    pub(crate) fn dispatch(self: &Rc<Self>, pool: &PoolKey) {
        let due = self.state.borrow_mut().due_calls(pool, Instant::now());
        for call in due {
            if let Some(next_call_after) = call.next_call_after {
                ntex::rt::spawn(call::dispatch_after(
                    self.clone(),
                    call.pool.clone(),
                    next_call_after,
                ));
            }
            ntex::rt::spawn(call::run_call(self.clone(), call));
        }
    }

    /// Applies the free result memory that a target reported.
    pub(crate) fn apply_free_bytes(
        self: &Rc<Self>,
        pool: &PoolKey,
        address: SocketAddr,
        free: u64,
    ) {
        self.state
            .borrow_mut()
            .apply_free_bytes(pool, address, free);
        self.dispatch(pool);
    }

    /// Queues the pieces of a late call for other targets as well; the call is awaited until
    /// `until`.
    pub(crate) fn requeue_late_call(self: &Rc<Self>, call: &DueCall, until: Instant) {
        self.state
            .borrow_mut()
            .requeue_late_call(call, until, Instant::now());
        self.dispatch(&call.pool);
    }

    /// Applies the end of a call and dispatches queued pieces. Returns the cooldown of the target,
    /// after which [`Coordinator::dispatch`] has to be called again.
    pub(crate) fn finish_call(
        self: &Rc<Self>,
        call: DueCall,
        end: CallOutcome,
        late: bool,
        sender: Option<SocketAddr>,
    ) -> Option<Duration> {
        let pool = call.pool.clone();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        // The target's response to a delegated call was sent to the other host, and a back-off in
        // it applies to that host only.
        if sender.is_none() {
            state.set_standing(&call, self.caller.availability(&call.target), now);
        }
        let effects = state.finish_call(call, end, late, now);
        drop(state);
        for (reply, outcomes) in effects.replies {
            reply(BatchOutcome::Completed(outcomes));
        }
        if let Some((target, address)) = effects.full_target {
            let query = call::query_free_bytes(self.clone(), pool.clone(), target, address);
            ntex::rt::spawn(query);
        }
        if effects.unneeded.is_empty() {
            self.dispatch(&pool);
        } else {
            self.release_results(&pool.service, effects.unneeded, 0);
        }
        effects.cooldown
    }
}
