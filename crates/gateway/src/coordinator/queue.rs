//! Batches of pieces from all entry hosts, and the calls that bring them to targets.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::RouteTable;
use linnet_telemetry::EventRecorder;

use super::batch::{BatchKey, PieceOutcome};
use super::call;
use super::pool::DueCall;
use super::state::{CallEnd, ExpectKey, QueueState};
use crate::Dialect;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUse};
use crate::pool_key::PoolKey;
use crate::upstream::UpstreamPool;

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
        self.state.borrow_mut().expect(expected)
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
        reply: impl FnOnce(Vec<PieceOutcome>) + 'static,
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
        state.batches.cancel(key);
        for pool in state.pools.values_mut() {
            pool.waiting.retain(|waiting| waiting.piece.batch != key);
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

    /// Takes that a call is late, so that its pieces go to other targets as well; it is waited for until
    /// `until`.
    pub(crate) fn note_late(self: &Rc<Self>, call: &DueCall, until: Instant) {
        self.state.borrow_mut().note_late(call, until);
        self.dispatch(&call.pool);
    }

    /// Takes the end of a call and serves what waits. Returns how long the target rests, after
    /// which [`Coordinator::dispatch`] is due again.
    pub(crate) fn finish_call(
        self: &Rc<Self>,
        call: DueCall,
        end: CallEnd,
        late: bool,
    ) -> Option<Duration> {
        let pool = call.pool.clone();
        let finished = self.state.borrow_mut().finish_call(call, end, late);
        for (reply, outcomes) in finished.replies {
            reply(outcomes);
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
