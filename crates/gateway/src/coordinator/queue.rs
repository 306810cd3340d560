//! Batches of pieces from all entry hosts, and the calls that bring them to targets.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::RouteTable;
use linnet_telemetry::{EventCode, EventRecorder};

use super::batch::{BatchKey, PieceOutcome};
use super::call;
use super::due_call::DueCall;
use super::sending::{SendingRate, SendingShare, SharedCall};
use super::state::{ExpectKey, QueueState};
use crate::home_halls::HomeHalls;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUsage};
use crate::pool_key::PoolKey;
use crate::stage_call::{CallOutcome, StageCall, StageRelease, StageTargetClient};
use crate::version_split::VersionSplit;

/// The load of each pool that has work, as other hosts are told it.
pub(crate) type ToldLoads = Rc<[(PoolKey, PoolLoad)]>;

/// Hears of a call under which a target ended.
pub(crate) type EndWatch = Box<dyn Fn(&DueCall)>;

/// Hears of the end of each call, and the time that it took.
pub(crate) type CallWatch = Box<dyn Fn(&DueCall, &CallOutcome, Duration)>;

/// Gathers pieces for the services that this host was chosen for.
pub(crate) struct Coordinator {
    pub(crate) caller: StageTargetClient,
    pub(crate) recorder: Arc<EventRecorder>,
    state: RefCell<QueueState>,
    rate: RefCell<SendingRate>,
    share: OnceCell<SendingShare>,
    /// Hears of calls under which a target ended.
    end_watch: OnceCell<EndWatch>,
    call_watch: OnceCell<CallWatch>,
    /// What [`Coordinator::loads`] returned last, and when it was worked out.
    told_loads: RefCell<Option<(ToldLoads, Instant)>>,
}

/// How long a load that is told to other hosts counts. Working it out walks the queue, 4 microseconds with
/// 1,000 pieces (`measure_the_load_of_a_long_queue`, release build), and a host that gathers for 300
/// others tells it to each several times a second and after each batch.
const LOADS_KEPT: Duration = Duration::from_millis(15);

impl Coordinator {
    /// Creates a coordinator that sends up to `shared_bytes_per_s` bytes of calls in a second by itself.
    pub(crate) fn new(
        caller: StageTargetClient,
        recorder: Arc<EventRecorder>,
        shared_bytes_per_s: f64,
    ) -> Self {
        Self {
            caller,
            recorder,
            state: RefCell::default(),
            rate: RefCell::new(SendingRate::new(shared_bytes_per_s, Instant::now())),
            share: OnceCell::new(),
            end_watch: OnceCell::new(),
            call_watch: OnceCell::new(),
            told_loads: RefCell::default(),
        }
    }

    /// Takes the way to other hosts, which send calls where this one has too many.
    pub(crate) fn set_share(&self, share: SendingShare) {
        let _ = self.share.set(share);
    }

    /// Takes who hears of calls under which a target ended.
    pub(crate) fn set_end_watch(&self, watch: EndWatch) {
        let _ = self.end_watch.set(watch);
    }

    /// Takes who hears of the ends of calls.
    pub(crate) fn set_call_watch(&self, watch: CallWatch) {
        let _ = self.call_watch.set(watch);
    }

    pub(super) fn tell_end(&self, call: &DueCall, end: &CallOutcome, took: Duration) {
        if let Some(watch) = self.call_watch.get() {
            watch(call, end, took);
        }
    }

    /// Takes the services of which a version is rolled out.
    pub(crate) fn set_splits(&self, splits: &HashMap<String, VersionSplit>) {
        let mut state = self.state.borrow_mut();
        state.splits.clone_from(splits);
        let state = &mut *state;
        for (key, pool) in &mut state.pools {
            pool.set_split(state.splits.get(&key.service));
        }
    }

    /// Says whether the target of a call is in the list of targets that take work.
    pub(super) fn is_listed(&self, call: &DueCall) -> bool {
        let state = self.state.borrow();
        let pool = state.pools.get(&call.pool);
        let target = pool.and_then(|pool| pool.targets.get(&call.target));
        target.is_some_and(|target| target.listed)
    }

    pub(super) fn note_target_end(&self, call: &DueCall) {
        if let Some(watch) = self.end_watch.get() {
            watch(call);
        }
    }

    /// Sends a call to its target, unless another host does.
    pub(super) async fn carry(&self, call: &StageCall, shared: Option<SharedCall>) -> CallOutcome {
        match shared {
            Some(shared) => shared.end.await,
            None => self.caller.send_call(call).await,
        }
    }

    /// Counts a call that is due, and hands it to another host where this one has too many.
    pub(super) fn share(&self, call: &StageCall, hall: &str) -> Option<SharedCall> {
        self.note_sending(call);
        let share = self.share.get()?;
        let is_shared = self.rate.borrow().is_shared();
        is_shared.then(|| (share.call)(call, hall)).flatten()
    }

    /// Sends a release to its target, or has another host send it.
    fn send_release(self: &Rc<Self>, release: StageRelease, hall: &str) {
        let share = self.share.get().filter(|_| self.rate.borrow().is_shared());
        let own = match share {
            Some(share) => (share.release)(release, hall),
            None => Some(release),
        };
        if let Some(release) = own {
            let caller = self.caller.clone();
            ntex::rt::spawn(async move { caller.send_release(&release).await });
        }
    }

    fn note_sending(&self, call: &StageCall) {
        let mut rate = self.rate.borrow_mut();
        let Some(change) = rate.note(call.estimated_body_bytes(), Instant::now()) else {
            return;
        };
        let detail = format!("{change:?} bytes_per_s={:.0}", rate.bytes_per_s());
        self.recorder
            .record(EventCode::StageCallsShared, "", detail);
    }

    /// Takes the stage pools of a configuration.
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

    /// Takes all targets that take work.
    pub(crate) fn set_targets(self: &Rc<Self>, records: &[TargetRecord]) {
        self.state.borrow_mut().set_targets(records);
        self.dispatch_all();
    }

    /// Takes targets that have come or changed, and those that get no more work; all others stay.
    pub(crate) fn update_targets(
        self: &Rc<Self>,
        listed: &[TargetRecord],
        unlisted: &[TargetRecord],
    ) {
        self.state.borrow_mut().update_targets(listed, unlisted);
        self.dispatch_all();
    }

    /// Returns the load of every pool that has work here, as it is told to other hosts.
    pub(crate) fn loads(&self) -> ToldLoads {
        let now = Instant::now();
        let mut told = self.told_loads.borrow_mut();
        match &*told {
            Some((loads, since)) if now.saturating_duration_since(*since) < LOADS_KEPT => {
                loads.clone()
            }
            _ => {
                let loads: ToldLoads = self.loads_at(now).into();
                *told = Some((loads.clone(), now));
                loads
            }
        }
    }

    fn loads_at(&self, now: Instant) -> Vec<(PoolKey, PoolLoad)> {
        let state = self.state.borrow();
        let working = state.pools.iter().filter(|(_, pool)| pool.has_work());
        working
            .map(|(key, pool)| (key.clone(), state.load(key, pool, now)))
            .collect()
    }

    /// Counts pieces that will come.
    pub(crate) fn expect(&self, expected: ExpectedPieces) -> ExpectKey {
        self.state.borrow_mut().expect(expected)
    }

    /// Ends what [`Coordinator::expect`] began.
    pub(crate) fn arrived(&self, key: ExpectKey) {
        self.state.borrow_mut().end_expected(key);
    }

    /// Returns the load of one pool.
    pub(crate) fn load_of(&self, key: &PoolKey) -> Option<PoolLoad> {
        let state = self.state.borrow();
        let pool = state.pools.get(key)?;
        Some(state.load(key, pool, Instant::now()))
    }

    /// Takes a batch; `reply` is called once, with an outcome for each piece.
    pub(crate) fn submit(
        self: &Rc<Self>,
        batch: PieceBatch,
        reply: impl FnOnce(Vec<PieceOutcome>) + 'static,
    ) -> Option<BatchKey> {
        let count = batch.piece_count as usize;
        let now = Instant::now();
        let homes = HomeHalls::told(batch.allowed_halls.clone());
        let refused = {
            let mut state = self.state.borrow_mut();
            match state.pool_mut(&batch.pool) {
                None => Some(PieceFault::CoordinatorLost),
                Some(pool) if !pool.has_target_in(&homes) => Some(PieceFault::Failed),
                Some(pool) if pool.is_too_late(&batch, now) => Some(PieceFault::QueueTooLong),
                Some(_) => None,
            }
        };
        if let Some(fault) = refused {
            reply(vec![Err(fault); count]);
            return None;
        }
        let pool = batch.pool.clone();
        let key = self.state.borrow_mut().enqueue(batch, Box::new(reply), now);
        self.dispatch(&pool);
        Some(key)
    }

    /// Forgets a batch; what is at work already goes on and its results are released.
    pub(crate) fn cancel(&self, key: BatchKey) {
        let mut state = self.state.borrow_mut();
        state.batches.cancel(key);
        for pool in state.pools.values_mut() {
            pool.waiting.retain(|waiting| waiting.piece.batch != key);
        }
    }

    /// Releases results of a service, each of about `bytes`. Those that another host gathered are
    /// released as well, since that host may be gone.
    pub(crate) fn free(self: &Rc<Self>, service: &str, handles: Vec<String>, bytes: u64) {
        let mut state = self.state.borrow_mut();
        let releases = state.take_results(service, handles, bytes, Instant::now());
        drop(state);
        for (release, hall) in releases {
            self.send_release(release, &hall);
        }
        for pool in self.pools_of(service) {
            self.dispatch(&pool);
        }
    }

    /// Returns what this host uses of the targets of those pools for which it gathers and which are
    /// `wanted`.
    pub(crate) fn uses(
        &self,
        wanted: impl Fn(&PoolKey) -> bool,
    ) -> Vec<(PoolKey, Vec<TargetUsage>)> {
        let state = self.state.borrow();
        let now = Instant::now();
        let uses = state.pools.iter().filter(|(key, _)| wanted(key));
        let uses = uses.map(|(key, pool)| (key.clone(), pool.uses(now)));
        uses.filter(|(_, uses)| !uses.is_empty()).collect()
    }

    /// Takes what another host that gathers for a pool uses of its targets. Should that host be
    /// lost, this one begins with what the targets are known to hold.
    pub(crate) fn set_uses(&self, teller: &str, pool: &PoolKey, uses: &[TargetUsage]) {
        let mut state = self.state.borrow_mut();
        if let Some(pool) = state.pool_mut(pool) {
            pool.set_uses(teller, uses, Instant::now());
        }
    }

    fn pools_of(&self, service: &str) -> Vec<PoolKey> {
        let state = self.state.borrow();
        let keys = state.pools.keys().filter(|key| key.service == service);
        keys.cloned().collect()
    }

    /// Starts what is due in every pool: room comes back by itself when results expire.
    pub(crate) fn dispatch_all(self: &Rc<Self>) {
        let pools: Vec<PoolKey> = self.state.borrow().pools.keys().cloned().collect();
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    /// Starts every call that a free target can take.
    pub(crate) fn dispatch(self: &Rc<Self>, pool: &PoolKey) {
        let due = self.state.borrow_mut().due_calls(pool, Instant::now());
        for call in due {
            if let Some(handover) = call.handover {
                ntex::rt::spawn(call::dispatch_after(
                    self.clone(),
                    call.pool.clone(),
                    handover,
                ));
            }
            ntex::rt::spawn(call::run_call(self.clone(), call));
        }
    }

    /// Takes what a target reported to have free for results.
    pub(crate) fn take_free_bytes(self: &Rc<Self>, pool: &PoolKey, address: SocketAddr, free: u64) {
        self.state.borrow_mut().take_free_bytes(pool, address, free);
        self.dispatch(pool);
    }

    /// Takes that a call is late, so that its pieces go to other targets as well; it is waited for until
    /// `until`.
    pub(crate) fn note_late(self: &Rc<Self>, call: &DueCall, until: Instant) {
        self.state
            .borrow_mut()
            .note_late(call, until, Instant::now());
        self.dispatch(&call.pool);
    }

    /// Takes the end of a call and serves what waits. Returns how long the target rests, after
    /// which [`Coordinator::dispatch`] is due again.
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
        // What a target asks of another host that sends calls is that host's to keep.
        if sender.is_none() {
            state.set_standing(&call, self.caller.availability(&call.target), now);
        }
        let finished = state.finish_call(call, end, late, now);
        drop(state);
        for (reply, outcomes) in finished.replies {
            reply(outcomes);
        }
        if let Some((target, address)) = finished.unsure {
            let learning = call::learn_free_bytes(self.clone(), pool.clone(), target, address);
            ntex::rt::spawn(learning);
        }
        if finished.unclaimed.is_empty() {
            self.dispatch(&pool);
        } else {
            self.free(&pool.service, finished.unclaimed, 0);
        }
        finished.rest
    }
}
