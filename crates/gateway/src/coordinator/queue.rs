//! Batches of pieces from all entry hosts, and the calls that bring them to targets.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::{RouteTable, StagePool};
use linnet_telemetry::EventRecorder;

use super::call;
use super::pool::{DueCall, HeldResult, LOST, OTHERS, PoolQueue, StageTarget, Waiting};
use crate::Dialect;
use crate::ask::Rank;
use crate::graph::maker_of;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUse};
use crate::pool_key::PoolKey;
use crate::upstream::UpstreamPool;

/// How long a target rests after a call that failed; doubled with each in a row, up to eight times.
const FAILED_REST: Duration = Duration::from_millis(600);

/// How long a target rests after it was too busy for a call; doubled with each in a row, since it may
/// be that many hosts gather pieces at the same time.
const BUSY_REST: Duration = Duration::from_millis(40);
const MAX_BUSY_DOUBLINGS: u32 = 4;

/// How often a piece is given to a target before it counts as failed.
const MAX_TRIES: u32 = 3;

/// Names one batch of pieces at its coordinator.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchKey(u64);

/// Names pieces that are expected at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExpectKey(u64);

type Reply = Box<dyn FnOnce(Vec<Result<String, PieceFault>>)>;

struct Batch {
    reply: Option<Reply>,
    results: Vec<Option<Result<String, PieceFault>>>,
}

/// How a call ended as a whole.
pub(crate) enum CallEnd {
    /// An outcome for each piece.
    Answered(Vec<Result<String, PieceFault>>),
    /// The target did not run it and is busy.
    Busy,
    /// Another start of a target is at the address.
    OtherTarget,
    /// No usable answer.
    Failed(String),
}

#[derive(Default)]
struct QueueState {
    specs: HashMap<String, StagePool>,
    pools: HashMap<PoolKey, PoolQueue>,
    batches: HashMap<BatchKey, Batch>,
    next_batch: u64,
    expected: BTreeMap<ExpectKey, ExpectedPieces>,
    records: Vec<TargetRecord>,
}

/// Gathers pieces for the services that this host was chosen for.
pub(crate) struct Coordinator {
    pub(crate) dialect: Dialect,
    pub(crate) pool: UpstreamPool,
    pub(crate) recorder: Arc<EventRecorder>,
    state: RefCell<QueueState>,
}

impl Coordinator {
    pub(crate) fn new(dialect: Dialect, pool: UpstreamPool, recorder: Arc<EventRecorder>) -> Self {
        Self {
            dialect,
            pool,
            recorder,
            state: RefCell::default(),
        }
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

    /// Takes the list of targets that take work.
    pub(crate) fn set_targets(self: &Rc<Self>, records: &[TargetRecord]) {
        {
            let mut state = self.state.borrow_mut();
            state.records = records.to_vec();
            for (key, pool) in &mut state.pools {
                pool.set_targets(key, records);
            }
        }
        self.dispatch_all();
    }

    /// Returns the load of every pool that has work here.
    pub(crate) fn loads(&self) -> Vec<(PoolKey, PoolLoad)> {
        let state = self.state.borrow();
        let now = Instant::now();
        let working = state.pools.iter().filter(|(_, pool)| pool.has_work());
        working
            .map(|(key, pool)| (key.clone(), state.load(key, pool, now)))
            .collect()
    }

    /// Counts pieces that will come.
    pub(crate) fn expect(&self, expected: ExpectedPieces) -> ExpectKey {
        let mut state = self.state.borrow_mut();
        state.next_batch += 1;
        let key = ExpectKey(state.next_batch);
        state.expected.insert(key, expected);
        key
    }

    /// Ends what [`Coordinator::expect`] began.
    pub(crate) fn arrived(&self, key: ExpectKey) {
        self.state.borrow_mut().expected.remove(&key);
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
        reply: impl FnOnce(Vec<Result<String, PieceFault>>) + 'static,
    ) -> Option<BatchKey> {
        let count = batch.count as usize;
        let now = Instant::now();
        let refused = {
            let mut state = self.state.borrow_mut();
            match state.pool_mut(&batch.pool) {
                None => Some(PieceFault::Lost),
                Some(pool) if pool.targets.is_empty() => Some(PieceFault::Failed),
                Some(pool) if pool.is_too_late(&batch, now) => Some(PieceFault::Refused),
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
        state.batches.remove(&key);
        for pool in state.pools.values_mut() {
            pool.waiting.retain(|waiting| waiting.batch != key);
        }
    }

    /// Releases results of a service, each of about `bytes`. Those that another host gathered are
    /// released as well, since that host may be gone.
    pub(crate) fn free(self: &Rc<Self>, service: &str, handles: Vec<String>, bytes: u64) {
        let calls = self
            .state
            .borrow_mut()
            .take_results(service, handles, bytes);
        for (address, handles) in calls {
            ntex::rt::spawn(call::free_results(self.clone(), address, handles));
        }
        for pool in self.pools_of(service) {
            self.dispatch(&pool);
        }
    }

    /// Returns what this host uses of the targets of every pool for which it gathers.
    pub(crate) fn uses(&self) -> Vec<(PoolKey, Vec<TargetUse>)> {
        let state = self.state.borrow();
        let now = Instant::now();
        let uses = state.pools.iter();
        let uses = uses.map(|(key, pool)| (key.clone(), pool.uses(now)));
        uses.filter(|(_, uses)| !uses.is_empty()).collect()
    }

    /// Takes what another host that gathers for a pool uses of its targets. Should that host be
    /// lost, this one begins with what the targets are known to hold.
    pub(crate) fn set_uses(&self, teller: &str, pool: &PoolKey, uses: &[TargetUse]) {
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
            ntex::rt::spawn(call::run_call(self.clone(), call));
        }
    }

    /// Takes what a target reported to have free for results.
    pub(crate) fn take_free_bytes(self: &Rc<Self>, pool: &PoolKey, address: SocketAddr, free: u64) {
        self.state.borrow_mut().take_free_bytes(pool, address, free);
        self.dispatch(pool);
    }

    /// Takes the end of a call and serves what waits. Returns how long the target rests, after
    /// which [`Coordinator::dispatch`] is due again.
    pub(crate) fn finish_call(self: &Rc<Self>, call: DueCall, end: CallEnd) -> Option<Duration> {
        let pool = call.pool.clone();
        let finished = self.state.borrow_mut().finish_call(call, end);
        for (reply, results) in finished.replies {
            reply(results);
        }
        if let Some(address) = finished.unsure {
            ntex::rt::spawn(call::ask_free_bytes(self.clone(), pool.clone(), address));
        }
        if finished.unclaimed.is_empty() {
            self.dispatch(&pool);
        } else {
            self.free(&pool.service, finished.unclaimed, 0);
        }
        finished.rest
    }
}

/// What is due after a call has ended.
struct Finished {
    /// How long its target rests.
    rest: Option<Duration>,
    /// A target whose memory holds more than this host knows.
    unsure: Option<SocketAddr>,
    /// Results that nobody waits for any more.
    unclaimed: Vec<String>,
    replies: Vec<(Reply, Vec<Result<String, PieceFault>>)>,
}

impl QueueState {
    /// Returns the load of a pool, with the pieces that are expected there.
    fn load(&self, key: &PoolKey, pool: &PoolQueue, now: Instant) -> PoolLoad {
        let mut load = pool.load(now);
        let mut waiting: BTreeMap<Rank, u32> = load.waiting.iter().copied().collect();
        let coming = self.expected.values().filter(|one| one.pool == *key);
        for expected in coming {
            *waiting.entry(expected.rank).or_default() += expected.pieces;
        }
        load.waiting = waiting.into_iter().collect();
        load
    }

    /// Returns a pool, which begins when it is first asked for.
    fn pool_mut(&mut self, key: &PoolKey) -> Option<&mut PoolQueue> {
        if !self.pools.contains_key(key) {
            let spec = self.specs.get(&key.service)?.clone();
            let mut pool = PoolQueue::new(spec);
            pool.set_targets(key, &self.records);
            self.pools.insert(key.clone(), pool);
        }
        self.pools.get_mut(key)
    }

    fn enqueue(&mut self, batch: PieceBatch, reply: Reply, now: Instant) -> BatchKey {
        self.next_batch += 1;
        let key = BatchKey(self.next_batch);
        let entry = Batch {
            reply: Some(reply),
            results: vec![None; batch.count as usize],
        };
        self.batches.insert(key, entry);
        let deadline = now + Duration::from_millis(batch.remaining_ms);
        let wanted = now + Duration::from_millis(batch.wanted_ms);
        let Some(pool) = self.pools.get_mut(&batch.pool) else {
            return key;
        };
        let work = Rc::new(batch.work);
        for place in 0..batch.count as usize {
            pool.waiting.push(Waiting {
                batch: key,
                place,
                rank: batch.rank,
                deadline,
                wanted,
                hall: batch.hall.clone(),
                result_bytes: batch.result_bytes,
                work: work.clone(),
                tries: 0,
            });
        }
        // Stable: among equals the earlier batch is first.
        pool.waiting
            .sort_by_key(|waiting| (waiting.rank, waiting.batch));
        key
    }

    fn due_calls(&mut self, key: &PoolKey, now: Instant) -> Vec<DueCall> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
        pool.forget_expired(now);
        pool.due_calls(key, now)
    }

    /// Takes results off their targets, and returns which targets are to be told.
    fn take_results(
        &mut self,
        service: &str,
        handles: Vec<String>,
        bytes: u64,
    ) -> BTreeMap<SocketAddr, Vec<String>> {
        let mut calls: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        let pools = self.pools.iter_mut();
        let pools = pools.filter(|(key, _)| key.service == service);
        let mut targets: Vec<&mut StageTarget> = pools
            .flat_map(|(_, pool)| pool.targets.values_mut())
            .collect();
        for handle in handles {
            let known = targets
                .iter_mut()
                .find_map(|target| target.results.remove(&handle).map(|_| target.address));
            let maker = known.or_else(|| {
                let address = maker_of(&handle).parse().ok()?;
                let target = targets.iter_mut().find(|one| one.address == address)?;
                target.take_off_told(bytes);
                Some(address)
            });
            if let Some(address) = maker {
                calls.entry(address).or_default().push(handle);
            }
        }
        calls
    }

    fn finish_call(&mut self, call: DueCall, end: CallEnd) -> Finished {
        let now = Instant::now();
        let mut unclaimed = Vec::new();
        let mut replies = Vec::new();
        let mut rest = None;
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return Finished {
                rest,
                unsure: None,
                unclaimed,
                replies,
            };
        };
        let ttl = Duration::from_millis(pool.spec.result_ttl_ms);
        if let Some(target) = pool.targets.get_mut(&call.target) {
            target.busy = target.busy.saturating_sub(1);
            target.reserved = target.reserved.saturating_sub(call.reserved);
            rest = match &end {
                CallEnd::Answered(_) => None,
                CallEnd::Busy => {
                    Some(BUSY_REST * 2_u32.pow(target.refusals.min(MAX_BUSY_DOUBLINGS)))
                }
                CallEnd::Failed(_) => Some(FAILED_REST * 2_u32.pow(target.failures.min(3))),
                CallEnd::OtherTarget => None,
            };
            target.leaving = target.leaving || matches!(end, CallEnd::OtherTarget);
            target.failures = match &end {
                CallEnd::Failed(_) => target.failures + 1,
                _ => 0,
            };
            target.refusals = match &end {
                CallEnd::Busy => target.refusals + 1,
                _ => 0,
            };
            if let Some(rest) = rest {
                target.rest_until = Some(now + rest);
            }
        }
        let outcomes: Vec<Result<String, PieceFault>> = match end {
            CallEnd::Answered(outcomes) => outcomes,
            CallEnd::Busy | CallEnd::OtherTarget => {
                vec![Err(PieceFault::NotTaken); call.pieces.len()]
            }
            CallEnd::Failed(_) => vec![Err(PieceFault::Failed); call.pieces.len()],
        };
        if matches!(outcomes.first(), Some(Err(PieceFault::Failed)))
            && let Some(target) = pool.targets.get_mut(&call.target)
        {
            // It may have run all the same: its results take their room until they expire, and
            // nobody knows their handles.
            let lost = HeldResult {
                bytes: call.reserved,
                until: now + ttl,
            };
            target.results.insert(format!("{LOST}{now:?}"), lost);
        }
        let mut again = Vec::new();
        let mut full = false;
        for (mut waiting, outcome) in call.pieces.into_iter().zip(outcomes) {
            if let Ok(handle) = &outcome
                && let Some(target) = pool.targets.get_mut(&call.target)
            {
                let held = HeldResult {
                    bytes: waiting.result_bytes,
                    until: now + ttl,
                };
                target.results.insert(handle.clone(), held);
            }
            full |= outcome == Err(PieceFault::NoRoom);
            let Some(batch) = self.batches.get_mut(&waiting.batch) else {
                unclaimed.extend(outcome.ok());
                continue;
            };
            let may_pay = matches!(
                outcome,
                Err(PieceFault::Failed | PieceFault::NoRoom | PieceFault::NotTaken)
            );
            if may_pay && waiting.tries + 1 < MAX_TRIES && waiting.deadline > now {
                waiting.tries += u32::from(outcome == Err(PieceFault::Failed));
                again.push(waiting);
                continue;
            }
            batch.results[waiting.place] = Some(outcome);
            if batch.results.iter().all(Option::is_some)
                && let Some(mut done) = self.batches.remove(&waiting.batch)
                && let Some(reply) = done.reply.take()
            {
                replies.push((reply, done.results.into_iter().flatten().collect()));
            }
        }
        let mut unsure = None;
        if full && let Some(target) = pool.targets.get_mut(&call.target) {
            let room = pool.spec.result_memory_bytes;
            target.set_others(room.saturating_sub(target.used_bytes()), now);
            unsure = Some(target.address);
        }
        pool.waiting.extend(again);
        pool.waiting
            .sort_by_key(|waiting| (waiting.rank, waiting.batch));
        Finished {
            rest,
            unsure,
            unclaimed,
            replies,
        }
    }

    /// Takes what a target reported to have free; the rest that this host does not know of is held
    /// by results that others had made.
    fn take_free_bytes(&mut self, key: &PoolKey, address: SocketAddr, free: u64) {
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        let room = pool.spec.result_memory_bytes;
        let mut targets = pool.targets.values_mut();
        if let Some(target) = targets.find(|target| target.address == address) {
            target.results.remove(OTHERS);
            let known = target.used_bytes();
            target.set_others(room.saturating_sub(free + known), Instant::now());
        }
    }
}
