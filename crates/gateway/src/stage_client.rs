//! Hands batches of pieces to the entry host that gathers them for their service.

mod cut_halls;
mod guard;
mod link;
mod link_state;
mod parts;
mod place;
mod rate_ask;
mod sender;
mod turn_ask;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::GatewayRecord;
use linnet_wire::{MessageVersion, PeerIdentity};
use tokio::sync::{mpsc, oneshot};

use crate::coordinator::{Coordinator, SendingShare};
use crate::engine::EnginePlacer;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad};
use crate::piece_message::PieceRequest;
use crate::pool_key::{PoolKey, PoolMap};
use crate::rendezvous;
use crate::target::TargetBook;

pub(crate) use guard::{Expectation, Placement};
pub(crate) use parts::PartWant;
pub(crate) use rate_ask::RateHost;

use guard::{ExpectedAt, LocalBatch, RemoteBatch};
use link::run_link;
use link_state::{Link, LinkState};

/// Between two signs of life, and the silence after which a side is taken as lost, on a connection on
/// which something is waited for.
pub(crate) const ALIVE_PERIOD: Duration = Duration::from_millis(150);
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(550);

/// The same while nothing is waited for. A host that gathers or places for 300 others has most of its
/// connections in this state at any moment; at the shorter period their signs of life are 4,000
/// messages a second, in and out. On three days of a fleet of 75 the mean processor of an entry host
/// fell from 0.0092, 0.0121 and 0.0107 cores to 0.0086, 0.0110 and 0.0099.
pub(crate) const IDLE_PERIOD: Duration = Duration::from_millis(400);
pub(crate) const IDLE_SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// How long a connection is kept that nothing needs. Signs of life on it cost both ends more in that time than it takes
/// to open another one; without an end to it a host would come to be connected with every host that gathers or places.
const UNUSED_KEPT: Duration = Duration::from_secs(4);

/// How long a connection may take to open before requests go to another host meanwhile.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);

/// Wait before a host that was lost is called again.
const RECONNECT_WAIT: Duration = Duration::from_millis(400);

/// How often a batch is handed out before it counts as lost.
const MAX_HANDOUTS: u32 = 3;

/// How many hosts are told what the one that gathers for a pool uses.
const SUCCESSORS: usize = 2;

type Results = Vec<Result<String, PieceFault>>;

/// A batch that has ended.
pub(crate) struct GatheredBatch {
    /// The outcome of each piece.
    pub(crate) results: Results,
    /// Where its results are released.
    pub(crate) home: Home,
    /// The pool, or the part of one, that ran it.
    pub(crate) pool: PoolKey,
}

/// Ranks a host for a pool: the highest gathers for it.
fn rank_of(pool: &PoolKey, label: &str, name: &str, hall: &str) -> (bool, u64) {
    let same_hall = pool.hall() == Some(hall);
    (same_hall, rendezvous::score(label, name))
}

/// Returns the hosts that should gather for a pool rather than the host `name`, the best first. For
/// the part of a hall the hosts of that hall come first, since they reach its targets longest. A host
/// that is stopping gathers for itself only where there is no other: the others have left it, and
/// two that gather for one pool are in each other's way.
fn hosts_before<'a>(
    pool: &PoolKey,
    name: &str,
    hall: &str,
    stopping: bool,
    hosts: impl Iterator<Item = &'a GatewayRecord>,
) -> Vec<&'a GatewayRecord> {
    let label = pool.label();
    let own = rank_of(pool, &label, name, hall);
    let others = hosts.filter(|one| one.name != name && !one.stopping);
    let ranked = others.map(|one| (rank_of(pool, &label, &one.name, &one.hall), one));
    let mut before: Vec<_> = ranked.filter(|(rank, _)| stopping || *rank > own).collect();
    before.sort_by_key(|(rank, one)| Reverse((*rank, one.peer)));
    before.into_iter().map(|(_, one)| one).collect()
}

fn is_unreachable(results: &Results) -> bool {
    let unreachable = |result: &Result<String, PieceFault>| {
        matches!(result, Err(PieceFault::Failed | PieceFault::Lost))
    };
    !results.is_empty() && results.iter().all(unreachable)
}

/// Where a batch was gathered; its results are released there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Home {
    /// On this host.
    Here,
    /// On another entry host.
    Remote(SocketAddr),
}

#[derive(Default)]
struct ClientState {
    gateways: Vec<GatewayRecord>,
    links: HashMap<SocketAddr, Link>,
    next_batch: u64,
    /// Whether this host is about to end.
    stopping: bool,
    /// What the coordinators told of their pools, and when.
    loads: HashMap<PoolKey, (PoolLoad, Instant)>,
    /// How large pools are split.
    pools: PoolMap,
    /// Parts whose targets could not be reached, and until when they are passed over.
    avoided: HashMap<PoolKey, Instant>,
    /// What [`StageClient::successors`] found for the entry hosts that are known now.
    successors: HashMap<PoolKey, Rc<[String]>>,
    /// The hosts that should gather for a pool rather than this one, the best first. Ranking 300 hosts
    /// takes 36 microseconds, with the halls out of reach, and 0.1 where both are kept
    /// (`measure_ranks_of_hosts`, release build); a request asks for the host of each part of each pool
    /// on its way several times.
    ranked: HashMap<PoolKey, Rc<[GatewayRecord]>>,
    /// Halls that are out of reach, and when they were worked out; nothing where a connection has
    /// changed since.
    cut_halls: Option<(Rc<BTreeSet<String>>, Instant)>,
    /// Whether a host is known that no control host names any more.
    keeps_unnamed: bool,
}

impl ClientState {
    /// Forgets what was worked out from the hosts that were known before.
    fn forget_ranks(&mut self) {
        self.successors.clear();
        self.ranked.clear();
        self.cut_halls = None;
    }

    fn is_up(&self, address: SocketAddr) -> bool {
        let link = self.links.get(&address);
        link.is_some_and(|link| link.state == LinkState::Up)
    }
}

/// The way to the hosts that gather pieces. Cheap to clone.
#[derive(Clone)]
pub(crate) struct StageClient {
    identity: PeerIdentity,
    name: String,
    hall: String,
    coordinator: Rc<Coordinator>,
    engines: Rc<RefCell<EnginePlacer>>,
    state: Rc<RefCell<ClientState>>,
}

impl StageClient {
    pub(crate) fn new(
        identity: PeerIdentity,
        name: String,
        hall: String,
        coordinator: Rc<Coordinator>,
        engines: Rc<RefCell<EnginePlacer>>,
    ) -> Self {
        let client = Self {
            identity,
            name,
            hall,
            coordinator: coordinator.clone(),
            engines,
            state: Rc::default(),
        };
        let (calling, releasing) = (client.clone(), client.clone());
        coordinator.set_share(SendingShare {
            call: Box::new(move |call, hall| calling.share_call(call, hall)),
            release: Box::new(move |release, hall| releasing.share_release(release, hall)),
        });
        client
    }

    /// Takes the entry hosts that the control hosts hear. One that they lost while this host still
    /// reaches it stays: otherwise hosts that lost the control hosts and those that did not would
    /// gather pieces at different places.
    pub(crate) fn set_gateways(&self, gateways: Vec<GatewayRecord>) {
        let mut state = self.state.borrow_mut();
        let named: HashSet<&str> = gateways.iter().map(|one| one.name.as_str()).collect();
        let former_all = std::mem::take(&mut state.gateways);
        let unnamed = former_all.iter();
        let unnamed = unnamed.filter(|record| !named.contains(record.name.as_str()));
        let reached: Vec<GatewayRecord> = unnamed
            .filter(|record| state.is_up(record.peer))
            .cloned()
            .collect();
        state.keeps_unnamed = !reached.is_empty();
        let known: Vec<GatewayRecord> = gateways.into_iter().chain(reached).collect();
        if known != former_all {
            state.forget_ranks();
        }
        state.gateways = known;
    }

    /// Says whether a host is known only since this one reaches it. The list has to be looked at again
    /// then, since such a host may be lost without a word of the control hosts.
    pub(crate) fn keeps_unnamed(&self) -> bool {
        self.state.borrow().keeps_unnamed
    }

    /// Takes the targets that take work.
    pub(crate) fn set_targets(&self, book: &TargetBook) {
        let pools = PoolMap::new(book.all());
        self.state.borrow_mut().pools = pools;
    }

    /// Takes the targets of some services that take work, as others have not changed.
    pub(crate) fn update_targets(&self, book: &TargetBook, services: &BTreeSet<&str>) {
        let mut state = self.state.borrow_mut();
        for service in services {
            let targets = book.of_service(service);
            let targets = targets.map(|one| (one.hall.as_str(), one.id.as_str()));
            state.pools.replace(service, targets);
        }
    }

    /// Leaves gathering and placing to other hosts from now on, since this one is about to end.
    pub(crate) fn begin_stop(&self) {
        let mut state = self.state.borrow_mut();
        state.stopping = true;
        state.forget_ranks();
    }

    /// Returns how many entry hosts are known, this one among them.
    pub(crate) fn gateway_count(&self) -> usize {
        let state = self.state.borrow();
        let others = state.gateways.iter().filter(|one| one.name != self.name);
        others.count() + 1
    }

    /// Runs a batch.
    pub(crate) async fn run(&self, mut batch: PieceBatch) -> GatheredBatch {
        let mut last = vec![Err(PieceFault::Lost); batch.count as usize];
        for handout in 1..=MAX_HANDOUTS {
            // The last try depends on nobody else.
            let home = if handout == MAX_HANDOUTS {
                Home::Here
            } else {
                self.home_of(&batch.pool)
            };
            let results = match home {
                Home::Here => self.run_here(batch.clone()).await,
                Home::Remote(address) => {
                    batch.number = self.next_number();
                    self.run_at(address, batch.clone()).await
                }
            };
            // Without results the link was lost, and with it what was handed out on it.
            let Some(results) = results else {
                continue;
            };
            if handout == MAX_HANDOUTS || !is_unreachable(&results) || !self.move_on(&mut batch) {
                return GatheredBatch {
                    results,
                    home,
                    pool: batch.pool,
                };
            }
            last = results;
        }
        GatheredBatch {
            results: last,
            home: Home::Here,
            pool: batch.pool,
        }
    }

    /// Releases results where they were gathered; where that host was lost, at the one that gathers
    /// for the pool now.
    pub(crate) fn free(&self, home: Home, pool: &PoolKey, handles: Vec<String>, bytes: u64) {
        let gathered_at = match home {
            Home::Remote(address) if !self.state.borrow().is_up(address) => self.home_of(pool),
            home => home,
        };
        match gathered_at {
            Home::Here => self.coordinator.free(&pool.service, handles, bytes),
            Home::Remote(address) => {
                let request = PieceRequest::Free {
                    service: pool.service.clone(),
                    handles,
                    bytes,
                };
                self.send_to(address, request, |_| {});
            }
        }
    }

    /// Returns the hosts that would gather for a pool if this one were lost, the first ones.
    pub(crate) fn successors(&self, pool: &PoolKey) -> Rc<[String]> {
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.successors.get(pool) {
            return known.clone();
        }
        let label = pool.label();
        let others = state.gateways.iter();
        let others = others.filter(|one| one.name != self.name && !one.stopping);
        let mut ranked: Vec<((bool, u64), &str)> = others
            .map(|one| {
                (
                    rank_of(pool, &label, &one.name, &one.hall),
                    one.name.as_str(),
                )
            })
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        let first = ranked.into_iter().take(SUCCESSORS);
        let found: Rc<[String]> = first.map(|(_, name)| name.to_owned()).collect();
        state.successors.insert(pool.clone(), found.clone());
        found
    }

    // Every host ranks the others alike, so they meet at the same one while they hear the same. A
    // host that cannot be reached is passed over until it was reached again in the background.
    fn home_of(&self, pool: &PoolKey) -> Home {
        let cut = self.cut_halls();
        let candidates = self.ranked_hosts(pool);
        let mut candidates = candidates.iter().filter(|one| !cut.contains(&one.hall));
        let reached = candidates.find(|one| self.is_reachable(one.peer));
        reached.map_or(Home::Here, |one| Home::Remote(one.peer))
    }

    /// Returns the hosts that should gather for a pool rather than this one, the best first.
    fn ranked_hosts(&self, pool: &PoolKey) -> Rc<[GatewayRecord]> {
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.ranked.get(pool) {
            return known.clone();
        }
        let others = state.gateways.iter();
        let before = hosts_before(pool, &self.name, &self.hall, state.stopping, others);
        let ranked: Rc<[GatewayRecord]> = before.into_iter().cloned().collect();
        state.ranked.insert(pool.clone(), ranked.clone());
        ranked
    }

    fn is_reachable(&self, address: SocketAddr) -> bool {
        let mut state = self.state.borrow_mut();
        let link = state
            .links
            .entry(address)
            .or_insert_with(|| self.start_link(address));
        match link.state {
            LinkState::Up => true,
            LinkState::Opening(since) => since.elapsed() < CONNECT_PATIENCE,
            LinkState::Lost => false,
        }
    }

    fn next_number(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        state.next_batch += 1;
        state.next_batch
    }

    async fn run_here(&self, batch: PieceBatch) -> Option<Results> {
        let (done, results) = oneshot::channel();
        let key = self.coordinator.submit(batch, move |results| {
            let _ = done.send(results);
        });
        let _guard = key.map(|key| LocalBatch {
            coordinator: self.coordinator.clone(),
            key,
        });
        results.await.ok()
    }

    async fn run_at(&self, address: SocketAddr, batch: PieceBatch) -> Option<Results> {
        let (done, results) = oneshot::channel();
        let number = batch.number;
        {
            let mut state = self.state.borrow_mut();
            let link = state
                .links
                .entry(address)
                .or_insert_with(|| self.start_link(address));
            link.send(PieceRequest::Run(batch), |link| {
                link.waiting.insert(number, done);
            });
        }
        let _guard = RemoteBatch {
            client: self.clone(),
            address,
            number,
        };
        results.await.ok()
    }

    fn start_link(&self, address: SocketAddr) -> Link {
        let (outgoing, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(run_link(self.clone(), address, queue));
        Link {
            state: LinkState::Opening(Instant::now()),
            form: MessageVersion::NEWEST,
            heard: Instant::now(),
            used: Instant::now(),
            held: 0,
            outgoing,
            waiting: HashMap::new(),
            placing: HashMap::new(),
            calling: HashMap::new(),
            turns: HashMap::new(),
            rates: HashMap::new(),
        }
    }

    fn knows(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        state.gateways.iter().any(|one| one.peer == address)
    }

    /// Notes that a link is up, and which form the other side speaks.
    fn mark_up(&self, address: SocketAddr, form: MessageVersion) {
        if let Some(link) = self.state.borrow_mut().links.get_mut(&address) {
            link.form = form;
        }
        self.mark(address, LinkState::Up);
    }

    /// Says whether a host speaks a form or a later one, as far as that is known.
    fn speaks(&self, address: SocketAddr, form: MessageVersion) -> bool {
        let state = self.state.borrow();
        let link = state.links.get(&address);
        link.is_none_or(|link| link.form >= form)
    }

    /// Notes where a link stands. The batches on one that was lost are dropped, which lets their
    /// requests try another host.
    fn mark(&self, address: SocketAddr, to: LinkState) {
        let dropped = {
            let mut state = self.state.borrow_mut();
            state.cut_halls = None;
            let Some(link) = state.links.get_mut(&address) else {
                return;
            };
            link.state = to;
            link.heard = Instant::now();
            if to == LinkState::Lost {
                let placing = std::mem::take(&mut link.placing);
                let calling = std::mem::take(&mut link.calling);
                let turns = std::mem::take(&mut link.turns);
                let rates = std::mem::take(&mut link.rates);
                let waiting = std::mem::take(&mut link.waiting);
                (waiting, placing, calling, turns, rates)
            } else {
                Default::default()
            }
        };
        drop(dropped);
    }

    /// Tells the host that gathers the pieces of a service that some will come.
    pub(crate) fn expect(&self, expected: ExpectedPieces) -> Expectation {
        let home = match self.home_of(&expected.pool) {
            Home::Here => ExpectedAt::Here(self.coordinator.expect(expected)),
            Home::Remote(address) => {
                let number = self.next_number();
                self.send_to(address, PieceRequest::Expect { number, expected }, |_| {});
                ExpectedAt::Remote(address, number)
            }
        };
        Expectation {
            client: self.clone(),
            home,
        }
    }

    fn send_to(&self, address: SocketAddr, request: PieceRequest, note: impl FnOnce(&mut Link)) {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&address) {
            link.send(request, note);
        }
    }

    fn note_heard(&self, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&address) {
            link.heard = Instant::now();
        }
    }

    /// Returns the time until the next sign of life is due to another host; nothing where that host is
    /// silent although something is waited for.
    fn next_sign(&self, address: SocketAddr) -> Option<Duration> {
        let state = self.state.borrow();
        let link = state.links.get(&address)?;
        if link.is_silent(Instant::now()) {
            return None;
        }
        Some(if link.is_waited_on() {
            ALIVE_PERIOD
        } else {
            IDLE_PERIOD
        })
    }

    /// Takes a connection out that nothing has needed for a while; says whether it was one.
    fn take_unused(&self, address: SocketAddr) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let link = state.links.get(&address);
        let unused = link.is_some_and(|link| link.is_unused(UNUSED_KEPT, now));
        if unused {
            state.links.remove(&address);
            state.cut_halls = None;
        }
        unused
    }

    fn take_loads(&self, loads: Vec<(PoolKey, PoolLoad)>) {
        let now = Instant::now();
        let loads = loads.into_iter().map(|(pool, load)| (pool, (load, now)));
        self.state.borrow_mut().loads.extend(loads);
    }

    fn take_done(&self, address: SocketAddr, number: u64, results: Results) {
        let mut state = self.state.borrow_mut();
        let waiter = state
            .links
            .get_mut(&address)
            .and_then(|link| link.waiting.remove(&number));
        if let Some(waiter) = waiter {
            let _ = waiter.send(results);
        }
    }
}

#[cfg(test)]
mod tests;
