//! Choice of the host that takes a batch, by succession order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_succession::{
    BatchRoute, CONNECT_TIMEOUT, Candidate, LinkView, RouteChoice, hosts_to_probe,
};
use linnet_telemetry::EventCode;
use tokio::time::sleep;

use super::link_state::Link;
use super::{HostLocation, StageClient};
use crate::overload::OverloadPolicy;
use crate::pool_key::PoolKey;

/// Interval of the checks whether connections have to be opened in advance; well below the 250 ms of
/// silence from which on they are.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without batches after which a host that gets one begins to coordinate the pool again; also
/// the minimum time between two event lines for one pool.
const COORDINATION_GAP: Duration = Duration::from_secs(1);

/// Counts a batch that awaits its results, until this is dropped.
pub(super) struct AwaitedPool {
    client: StageClient,
    pool: PoolKey,
}

impl Drop for AwaitedPool {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        let Some(count) = state.awaited_pools.get_mut(&self.pool) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            state.awaited_pools.remove(&self.pool);
        }
    }
}

/// Returns the pools of which this host has run batches lately.
fn recently_coordinated(
    coordinated_at: &HashMap<PoolKey, Instant>,
) -> impl Iterator<Item = &PoolKey> {
    let now = Instant::now();
    let recent = move |at: Instant| now.saturating_duration_since(at) < COORDINATION_GAP;
    let pools = coordinated_at.iter();
    pools
        .filter(move |(_, at)| recent(**at))
        .map(|(pool, _)| pool)
}

/// Opens connections in advance while batches are awaited.
async fn run_probes(client: StageClient) {
    loop {
        sleep(PROBE_CHECK_INTERVAL).await;
        client.probe_if_awaited();
        let mut state = client.state.borrow_mut();
        if state.awaited_pools.is_empty() {
            state.runs_probes = false;
            return;
        }
    }
}

impl StageClient {
    /// Sets the policies for the active configuration.
    pub(crate) fn set_overload(&self, policy: OverloadPolicy) {
        self.overload.set(policy);
    }

    /// Returns whether batches follow the succession order of their pool.
    pub(crate) fn follows_succession(&self) -> bool {
        self.overload.get().ordered_succession
    }

    /// Returns the host that takes a batch next. Opens a connection to it if there is none.
    pub(super) fn next_host(
        &self,
        route: &mut BatchRoute<SocketAddr>,
        pool: &PoolKey,
    ) -> HostLocation {
        let takes_batch =
            |one: &Candidate<SocketAddr>, now| route.is_able(one.host) && one.link.is_heard(now);
        let candidates = self.route_candidates(pool, takes_batch);
        match route.choose(&candidates, Instant::now()) {
            RouteChoice::Remote(address) => {
                self.connect_or_check(address);
                HostLocation::Remote(address)
            }
            RouteChoice::Local => HostLocation::Local,
        }
    }

    /// Returns the hosts that may take a batch, the best first, up to the first one of which `is_live`
    /// holds: the decision does not depend on those behind it.
    ///
    /// The hosts of an unreachable hall are left out only for a partition in that hall, since its
    /// targets cannot be reached either. For a complete pool they stay candidates: a hall counts as
    /// unreachable after two lost connections, and hosts that lost different connections would
    /// choose different coordinators.
    fn route_candidates(
        &self,
        pool: &PoolKey,
        is_live: impl Fn(&Candidate<SocketAddr>, Instant) -> bool,
    ) -> Vec<Candidate<SocketAddr>> {
        let unreachable = self.unreachable_halls();
        let better = self.better_coordinators(pool);
        let is_left_out = |hall: &str| pool.hall() == Some(hall) && unreachable.contains(hall);
        let now = Instant::now();
        let mut candidates = Vec::new();
        for host in better.iter().filter(|host| !is_left_out(&host.hall)) {
            let candidate = Candidate {
                host: host.peer,
                link: self.link_view(host.peer),
            };
            candidates.push(candidate);
            if is_live(&candidate, now) {
                break;
            }
        }
        candidates
    }

    fn link_view(&self, address: SocketAddr) -> LinkView {
        let state = self.state.borrow();
        let link = state.links.get(&address);
        link.map_or(LinkView::Unknown, Link::view)
    }

    /// Returns until when batches may wait for a connection to open; `None` if it is not opening.
    pub(super) fn opening_until(&self, address: SocketAddr) -> Option<Instant> {
        match self.link_view(address) {
            LinkView::Opening { since } => Some(since + CONNECT_TIMEOUT),
            _ => None,
        }
    }

    /// Opens connections to successors of coordinators that have batches of this host and may be
    /// lost.
    pub(super) fn probe_if_awaited(&self) {
        let pools: Vec<PoolKey> = {
            let state = self.state.borrow();
            state.awaited_pools.keys().cloned().collect()
        };
        for pool in &pools {
            let candidates = self.route_candidates(pool, |one, now| one.link.is_responsive(now));
            for address in hosts_to_probe(&candidates, Instant::now()) {
                self.connect_or_check(address);
            }
        }
    }

    /// Counts a batch that awaits its results; while there are any, connections are opened in
    /// advance.
    pub(super) fn await_pool(&self, pool: &PoolKey) -> AwaitedPool {
        let mut state = self.state.borrow_mut();
        *state.awaited_pools.entry(pool.clone()).or_default() += 1;
        if !std::mem::replace(&mut state.runs_probes, true) {
            ntex::rt::spawn(run_probes(self.clone()));
        }
        AwaitedPool {
            client: self.clone(),
            pool: pool.clone(),
        }
    }

    /// Returns the number of pools of which this host has run batches lately.
    pub(crate) fn coordinated_pool_count(&self) -> usize {
        let state = self.state.borrow();
        recently_coordinated(&state.coordinated_at).count()
    }

    /// Returns their labels, for the log.
    pub(crate) fn coordinated_pool_labels(&self) -> String {
        let state = self.state.borrow();
        let pools = recently_coordinated(&state.coordinated_at);
        pools.map(PoolKey::label).collect::<Vec<_>>().join(",")
    }

    /// Records that this host runs a batch as coordinator. Writes an event line if it did not
    /// coordinate the pool before and a better host is listed.
    pub(crate) fn record_coordination(&self, pool: &PoolKey) {
        let now = Instant::now();
        let former = {
            let mut state = self.state.borrow_mut();
            state.coordinated_at.insert(pool.clone(), now)
        };
        if !self.follows_succession() {
            return;
        }
        let goes_on = former.is_some_and(|at| now.duration_since(at) < COORDINATION_GAP);
        let better = self.better_coordinators(pool);
        let Some(best) = better.first().filter(|_| !goes_on) else {
            return;
        };
        let reason = match self.link_view(best.peer) {
            LinkView::Unknown => "not_connected",
            LinkView::Opening { .. } => "opening",
            LinkView::Lost => "lost",
            // Another host chose this one, or this is the last attempt of a batch.
            LinkView::Up { .. } => "up",
        };
        let detail = format!("pool={} better={} state={reason}", pool.label(), best.name);
        let recorder = &self.coordinator.recorder;
        recorder.record(EventCode::CoordinatesOutOfOrder, "", detail);
    }
}
