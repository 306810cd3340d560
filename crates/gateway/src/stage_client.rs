//! Client of the roles that entry hosts have for each other: coordinators of pools, placers of
//! prompts, issuers of permits and senders of delegated calls.

mod batch_end;
mod batch_run;
mod better_host;
mod guard;
mod host_rank;
mod link;
mod link_state;
mod partitions;
mod place;
mod returned_batch;
mod run_permit;
mod send_permit;
mod sender;
mod stream_origin;
mod succession;
mod unreachable_halls;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_directory::{EntryHostRecord, HostDelay};
use linnet_forecast::PoolTimes;
use linnet_shares::{AccountLimit, UseReport};
use linnet_succession::{BatchRoute, CONNECT_TIMEOUT};
use linnet_wire::{MessageVersion, PeerIdentity};
use tokio::sync::mpsc;

use crate::coordinator::{CallDelegate, Coordinator};
use crate::engine::EnginePlacer;
use crate::metrics::GatewayMetrics;
use crate::overload::{OverloadPolicy, SharedAccountShares};
use crate::piece::{ExpectedPieces, PieceFault, PoolLoad};
use crate::piece_message::PieceRequest;
use crate::pool_key::{PoolKey, PoolMap};
use crate::rank::Rank;
use crate::target::TargetStore;

pub(crate) use guard::{Expectation, Placement};
pub(crate) use linnet_succession::SILENCE_TIMEOUT;
pub(crate) use partitions::{KnownLoad, PartitionRequirements};
pub(crate) use send_permit::SendPermitHost;
pub(crate) use stream_origin::OriginLookup;

use guard::ExpectationHandle;
use host_rank::{CoordinatorRank, CoordinatorRanking};
use link::run_link;
use link_state::{Link, LinkState};
use sender::SenderCandidates;

/// Heartbeat interval on a connection with pending requests; the peer counts as lost after a silence
/// of [`SILENCE_TIMEOUT`].
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Heartbeat interval and silence timeout on a connection without pending requests. A coordinator
/// or placer for 300 hosts has most of its connections in this state; at the shorter interval their
/// heartbeats are 4,000 messages a second, sent and received. In a fleet of 75 hosts, on three
/// days, the longer interval reduced the mean CPU use of an entry host from 0.0092, 0.0121 and
/// 0.0107 cores to 0.0086, 0.0110 and 0.0099.
pub(crate) const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
pub(crate) const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which an unused connection is closed. By then its heartbeats have cost both ends more
/// than opening another connection does; without this timeout a host would end up connected to
/// every coordinator and placer.
const UNUSED_LINK_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before reconnecting to a host whose connection was lost.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Number of hosts to which the coordinator of a pool reports its use of the targets.
const SUCCESSOR_COUNT: usize = 2;

type PieceResults = Vec<Result<String, PieceFault>>;

/// A batch that has completed or failed.
pub(crate) struct FinishedBatch {
    /// The outcome of each piece.
    pub(crate) results: PieceResults,
    /// The coordinator that ran the batch, where its results are released.
    pub(crate) coordinator: HostLocation,
    /// The pool or partition that ran the batch.
    pub(crate) pool: PoolKey,
}

/// The entry host that has a role for a pool, such as its coordinator or placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum HostLocation {
    /// This host.
    #[display("local")]
    Local,
    /// Another entry host, by the address of its peer port.
    #[display("{_0}")]
    Remote(SocketAddr),
}

#[derive(Default)]
struct ClientState {
    entry_hosts: Vec<EntryHostRecord>,
    links: HashMap<SocketAddr, Link>,
    next_number: u64,
    /// Whether this host is about to stop.
    stopping: bool,
    /// What this host states of its delay.
    delay: HostDelay,
    /// The loads that coordinators reported, with the time of the report.
    loads: HashMap<PoolKey, (PoolLoad, Instant)>,
    /// The times that coordinators measured, with the time of the report.
    times: HashMap<PoolKey, (PoolTimes<Rank>, Instant)>,
    /// The partitions of each pool.
    pools: PoolMap,
    /// Pools and partitions whose targets could not be reached, and until when they are avoided.
    avoided_until: HashMap<PoolKey, Instant>,
    /// Cached results of [`StageClient::successors`] for the known entry hosts.
    successors: HashMap<PoolKey, Rc<[String]>>,
    /// Cached results of [`StageClient::better_coordinators`]. A request looks up the coordinator
    /// of each partition of each pool on its path several times. Ranking 300 hosts and finding the
    /// unreachable halls takes 36 microseconds, and 0.1 from the caches
    /// (`measure_coordinator_ranking`, release build).
    better_coordinators: HashMap<PoolKey, Rc<[EntryHostRecord]>>,
    /// Cached results of [`StageClient::sender_candidates`] by target, with the hall of the target.
    /// Ranking 66 hosts for each delegated call took 4.5% of the busiest hosts' processor time.
    senders: HashMap<String, (String, SenderCandidates)>,
    /// Cached unreachable halls and the time of their computation; `None` if a connection has
    /// changed since.
    unreachable_halls: Option<(Rc<BTreeSet<String>>, Instant)>,
    /// Whether a host is known that no control host lists any more.
    keeps_unlisted_hosts: bool,
    /// The pools with batches that await their results, and the number of these. Only with
    /// succession order.
    awaited_pools: HashMap<PoolKey, usize>,
    /// Whether the task runs that opens connections in advance for these pools.
    runs_probes: bool,
    /// When this host last ran a batch of a pool as coordinator.
    coordinated_at: HashMap<PoolKey, Instant>,
}

impl ClientState {
    /// Clears everything that is computed from the list of entry hosts.
    fn clear_rankings(&mut self) {
        self.successors.clear();
        self.better_coordinators.clear();
        self.senders.clear();
        self.unreachable_halls = None;
    }

    fn is_up(&self, address: SocketAddr) -> bool {
        let link = self.links.get(&address);
        link.is_some_and(|link| link.state == LinkState::Up)
    }
}

/// Connections to the other entry hosts, and the choice of the host for each role. Cheap to clone.
#[derive(Clone)]
pub(crate) struct StageClient {
    identity: PeerIdentity,
    /// The record of this host when it started.
    own: EntryHostRecord,
    coordinator: Rc<Coordinator>,
    placer: Rc<RefCell<EnginePlacer>>,
    state: Rc<RefCell<ClientState>>,
    account_shares: SharedAccountShares,
    /// The policies for the active configuration.
    overload: Rc<Cell<OverloadPolicy>>,
    metrics: GatewayMetrics,
}

impl StageClient {
    pub(crate) fn new(
        identity: PeerIdentity,
        own: EntryHostRecord,
        coordinator: Rc<Coordinator>,
        placer: Rc<RefCell<EnginePlacer>>,
        metrics: GatewayMetrics,
    ) -> Self {
        let state = ClientState {
            delay: own.role.delay,
            ..ClientState::default()
        };
        let client = Self {
            identity,
            own,
            coordinator: coordinator.clone(),
            placer,
            state: Rc::new(RefCell::new(state)),
            account_shares: Rc::default(),
            overload: Rc::default(),
            metrics,
        };
        let (call_client, release_client) = (client.clone(), client.clone());
        coordinator.set_delegate(CallDelegate {
            call: Box::new(move |call, hall| call_client.delegate_call(call, hall)),
            release: Box::new(move |release, hall| release_client.delegate_release(release, hall)),
        });
        client
    }

    /// Sets the entry hosts that the control hosts list. An unlisted host to which a connection is
    /// up is retained: otherwise hosts that lost the connections to the control hosts and hosts
    /// that did not would choose different coordinators.
    pub(crate) fn set_entry_hosts(&self, listed_hosts: Vec<EntryHostRecord>) {
        let mut state = self.state.borrow_mut();
        let listed: HashSet<&str> = listed_hosts.iter().map(|host| host.name.as_str()).collect();
        let former_hosts = std::mem::take(&mut state.entry_hosts);
        let unlisted = former_hosts.iter();
        let unlisted = unlisted.filter(|record| !listed.contains(record.name.as_str()));
        let reached: Vec<EntryHostRecord> = unlisted
            .filter(|record| state.is_up(record.peer))
            .cloned()
            .collect();
        state.keeps_unlisted_hosts = !reached.is_empty();
        let known: Vec<EntryHostRecord> = listed_hosts.into_iter().chain(reached).collect();
        if known != former_hosts {
            state.clear_rankings();
        }
        state.entry_hosts = known;
    }

    /// Returns whether a host is retained only because a connection to it is up. The list must then
    /// be recomputed regularly, since the control hosts do not report the loss of such a host.
    pub(crate) fn keeps_unlisted_hosts(&self) -> bool {
        self.state.borrow().keeps_unlisted_hosts
    }

    /// Sets the targets that accept work, and partitions their pools.
    pub(crate) fn set_targets(&self, store: &TargetStore) {
        let pools = PoolMap::new(store.iter());
        self.state.borrow_mut().pools = pools;
    }

    /// Replaces the targets that accept work of some services; those of the others have not
    /// changed.
    pub(crate) fn update_targets(&self, store: &TargetStore, services: &BTreeSet<&str>) {
        let mut state = self.state.borrow_mut();
        for service in services {
            let targets = store.of_service(service);
            let targets = targets.map(|target| (target.hall.as_str(), target.id.as_str()));
            state.pools.replace_service(service, targets);
        }
    }

    /// Ranks this host behind all others as coordinator and placer from now on, since it is about
    /// to stop.
    pub(crate) fn begin_stop(&self) {
        let mut state = self.state.borrow_mut();
        state.stopping = true;
        state.clear_rankings();
    }

    /// Ranks this host by its delay as coordinator, placer and sender from now on.
    pub(crate) fn set_delay(&self, delay: HostDelay) {
        let mut state = self.state.borrow_mut();
        state.delay = delay;
        state.clear_rankings();
    }

    /// Returns the record of this host as it is now.
    fn own_record(&self, state: &ClientState) -> EntryHostRecord {
        let mut record = self.own.clone();
        record.stopping = state.stopping;
        record.role.delay = state.delay;
        record
    }

    /// Returns the names of the known entry hosts.
    pub(crate) fn entry_host_names(&self) -> HashSet<String> {
        let state = self.state.borrow();
        let hosts = state.entry_hosts.iter();
        hosts.map(|host| host.name.clone()).collect()
    }

    /// Returns the number of known entry hosts, including this one.
    pub(crate) fn entry_host_count(&self) -> usize {
        let state = self.state.borrow();
        let others = state
            .entry_hosts
            .iter()
            .filter(|host| host.name != self.own.name);
        others.count() + 1
    }

    /// Releases results at the coordinator that ran their batch, or at the present coordinator of
    /// the pool if that host was lost.
    pub(crate) fn release_results(
        &self,
        coordinator: HostLocation,
        pool: &PoolKey,
        handles: Vec<String>,
        bytes: u64,
    ) {
        let receiver = match coordinator {
            HostLocation::Remote(address) if !self.state.borrow().is_up(address) => {
                self.coordinator_of(pool)
            }
            coordinator => coordinator,
        };
        match receiver {
            HostLocation::Local => self
                .coordinator
                .release_results(&pool.service, handles, bytes),
            HostLocation::Remote(address) => {
                let request = PieceRequest::ReleaseResults {
                    service: pool.service.clone(),
                    handles,
                    bytes,
                };
                self.send_to(address, request, |_| {});
            }
        }
    }

    /// Returns the names of the hosts that are next in line as coordinator of a pool if this one
    /// were lost.
    pub(crate) fn successors(&self, pool: &PoolKey) -> Rc<[String]> {
        let mut state = self.state.borrow_mut();
        if let Some(cached) = state.successors.get(pool) {
            return cached.clone();
        }
        let ranking = CoordinatorRanking::new(pool, &state.entry_hosts);
        let others = state.entry_hosts.iter();
        let others = others.filter(|host| host.name != self.own.name && !host.stopping);
        let mut ranked: Vec<(CoordinatorRank, &str)> = others
            .map(|host| (ranking.rank(host), host.name.as_str()))
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        let first = ranked.into_iter().take(SUCCESSOR_COUNT);
        let successors: Rc<[String]> = first.map(|(_, name)| name.to_owned()).collect();
        state.successors.insert(pool.clone(), successors.clone());
        successors
    }

    /// Returns the coordinator of a pool.
    pub(crate) fn coordinator_of(&self, pool: &PoolKey) -> HostLocation {
        if self.follows_succession() {
            self.next_host(&mut BatchRoute::new(), pool)
        } else {
            self.reachable_host_of(pool)
        }
    }

    /// Returns the placer of a pool, or its coordinator without succession order. All hosts with
    /// the same list of entry hosts rank these alike, so they choose the same one. A host that
    /// cannot be reached is skipped until a connection to it has been opened in the background.
    fn reachable_host_of(&self, pool: &PoolKey) -> HostLocation {
        let unreachable = self.unreachable_halls();
        let candidates = self.better_coordinators(pool);
        let mut candidates = candidates
            .iter()
            .filter(|host| !unreachable.contains(&host.hall));
        let chosen = candidates.find(|host| self.connect_or_check(host.peer));
        chosen.map_or(HostLocation::Local, |host| HostLocation::Remote(host.peer))
    }

    /// Returns the hosts that rank before this one as coordinator of a pool, the best first.
    fn better_coordinators(&self, pool: &PoolKey) -> Rc<[EntryHostRecord]> {
        let mut state = self.state.borrow_mut();
        if let Some(cached) = state.better_coordinators.get(pool) {
            return cached.clone();
        }
        let own = self.own_record(&state);
        let ranking = CoordinatorRanking::new(pool, &state.entry_hosts);
        let better = ranking.better_hosts(&own, &state.entry_hosts);
        let ranked: Rc<[EntryHostRecord]> = better.into_iter().cloned().collect();
        state
            .better_coordinators
            .insert(pool.clone(), ranked.clone());
        ranked
    }

    /// Returns whether requests may be sent to a host: its connection is up, or has only just begun
    /// to open. Opens a connection if there is none.
    fn connect_or_check(&self, address: SocketAddr) -> bool {
        let mut state = self.state.borrow_mut();
        let link = state
            .links
            .entry(address)
            .or_insert_with(|| self.start_link(address));
        match link.state {
            LinkState::Up => true,
            LinkState::Opening(since) => since.elapsed() < CONNECT_TIMEOUT,
            LinkState::Lost => false,
        }
    }

    fn next_number(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        state.next_number += 1;
        state.next_number
    }

    fn start_link(&self, address: SocketAddr) -> Link {
        let (outgoing, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(run_link(self.clone(), address, queue));
        Link {
            state: LinkState::Opening(Instant::now()),
            message_version: MessageVersion::NEWEST,
            last_received: Instant::now(),
            last_heard: Instant::now(),
            was_up: false,
            last_used: Instant::now(),
            remote_holds: 0,
            outgoing,
            pending_batches: HashMap::new(),
            pending_placements: HashMap::new(),
            pending_calls: HashMap::new(),
            pending_run_permits: HashMap::new(),
            pending_send_permits: HashMap::new(),
            pending_streams: HashMap::new(),
        }
    }

    fn is_known(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        state.entry_hosts.iter().any(|host| host.peer == address)
    }

    /// Records that a connection is up, and the message version of the peer.
    fn mark_link_up(&self, address: SocketAddr, version: MessageVersion) {
        if let Some(link) = self.state.borrow_mut().links.get_mut(&address) {
            link.message_version = version;
        }
        self.set_link_state(address, LinkState::Up);
    }

    /// Returns whether a host supports a message version. Without a connection to it the newest is
    /// assumed.
    fn supports(&self, address: SocketAddr, version: MessageVersion) -> bool {
        let state = self.state.borrow();
        let link = state.links.get(&address);
        link.is_none_or(|link| link.message_version >= version)
    }

    /// Sets the state of a connection. If it was lost, drops all pending replies, so that their
    /// requests try another host.
    fn set_link_state(&self, address: SocketAddr, new_state: LinkState) {
        let dropped = {
            let mut state = self.state.borrow_mut();
            state.unreachable_halls = None;
            let Some(link) = state.links.get_mut(&address) else {
                return;
            };
            link.state = new_state;
            link.last_received = Instant::now();
            link.last_heard = Instant::now();
            link.was_up |= new_state == LinkState::Up;
            if new_state == LinkState::Lost {
                let placements = std::mem::take(&mut link.pending_placements);
                let calls = std::mem::take(&mut link.pending_calls);
                let run_permits = std::mem::take(&mut link.pending_run_permits);
                let send_permits = std::mem::take(&mut link.pending_send_permits);
                let batches = std::mem::take(&mut link.pending_batches);
                let streams = std::mem::take(&mut link.pending_streams);
                (
                    batches,
                    placements,
                    calls,
                    run_permits,
                    send_permits,
                    streams,
                )
            } else {
                Default::default()
            }
        };
        drop(dropped);
    }

    /// Announces pieces that will be submitted later to the coordinator of their pool.
    pub(crate) fn expect_pieces(&self, expected: ExpectedPieces) -> Expectation {
        let handle = match self.coordinator_of(&expected.pool) {
            HostLocation::Local => {
                ExpectationHandle::Local(self.coordinator.expect_pieces(expected))
            }
            HostLocation::Remote(address) => {
                let number = self.next_number();
                self.send_to(
                    address,
                    PieceRequest::ExpectPieces { number, expected },
                    |_| {},
                );
                ExpectationHandle::Remote(address, number)
            }
        };
        Expectation {
            client: self.clone(),
            handle,
        }
    }

    /// Sends a request on an existing connection, and lets `record` store the channel that receives
    /// the reply. Without a connection the request is dropped.
    fn send_to(&self, address: SocketAddr, request: PieceRequest, record: impl FnOnce(&mut Link)) {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&address) {
            link.send(request, record);
        }
    }

    /// Queues messages again that were not sent before the connection to a host was lost.
    fn keep_messages(&self, address: SocketAddr, kept: impl IntoIterator<Item = PieceRequest>) {
        let state = self.state.borrow();
        if let Some(link) = state.links.get(&address) {
            kept.into_iter().for_each(|message| {
                let _ = link.outgoing.send(message);
            });
        }
    }

    fn record_received(&self, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&address) {
            link.last_received = Instant::now();
            link.last_heard = Instant::now();
        }
    }

    /// Returns the time after which a heartbeat is due if nothing else is sent; `None` if the peer
    /// is silent although requests are pending.
    fn heartbeat_interval(&self, address: SocketAddr) -> Option<Duration> {
        let state = self.state.borrow();
        let link = state.links.get(&address)?;
        if link.is_silent(Instant::now()) {
            return None;
        }
        Some(if link.has_pending() {
            HEARTBEAT_INTERVAL
        } else {
            IDLE_HEARTBEAT_INTERVAL
        })
    }

    /// Removes a connection that has not been used for [`UNUSED_LINK_TIMEOUT`]; returns whether it
    /// did.
    fn remove_if_unused(&self, address: SocketAddr) -> bool {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let link = state.links.get(&address);
        let unused = link.is_some_and(|link| link.is_unused(UNUSED_LINK_TIMEOUT, now));
        if unused {
            state.links.remove(&address);
            state.unreachable_halls = None;
        }
        unused
    }

    fn store_loads(&self, loads: Vec<(PoolKey, PoolLoad)>) {
        let now = Instant::now();
        let loads = loads.into_iter().map(|(pool, load)| (pool, (load, now)));
        self.state.borrow_mut().loads.extend(loads);
    }

    /// Returns the shares of client accounts.
    pub(crate) fn account_shares(&self) -> &SharedAccountShares {
        &self.account_shares
    }

    /// Reports what client accounts asked of a pool to its coordinator.
    pub(crate) fn report_use(&self, pool: PoolKey, report: UseReport<Rank>) {
        match self.coordinator_of(&pool) {
            HostLocation::Local => {
                let limits = self.coordinator.apply_use(&self.own.name, &pool, &report);
                self.apply_account_limits(&pool, limits);
            }
            HostLocation::Remote(address) => {
                self.send_to(address, PieceRequest::ReportUse { pool, report }, |_| {});
            }
        }
    }

    fn apply_account_limits(&self, pool: &PoolKey, limits: Vec<AccountLimit<Rank>>) {
        self.account_shares.borrow_mut().apply_limits(pool, limits);
    }

    fn store_times(&self, times: Vec<(PoolKey, PoolTimes<Rank>)>) {
        let now = Instant::now();
        let times = times.into_iter().map(|(pool, times)| (pool, (times, now)));
        self.state.borrow_mut().times.extend(times);
    }
}

#[cfg(test)]
pub(crate) mod tests;
