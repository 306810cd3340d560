//! Opens connections to targets, directly or through another entry host. The decisions are those of
//! `linnet_paths`.

mod connect;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use linnet_paths::{PathChange, PathTable, PeerHost, PeerTable, tunnel_limit};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;

use crate::connection_use::ConnectionUse;
use crate::host_load::HostLoad;
use crate::metrics::GatewayMetrics;

pub(crate) use connect::{ConnectPurpose, LinkError, SERVE_CONNECT_TIMEOUT, TargetSocket};

/// What is needed to use tunnels.
pub(crate) struct TunnelContext {
    /// Name, keys and clock used towards peers.
    pub(crate) identity: PeerIdentity,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(crate) metrics: GatewayMetrics,
}

/// The links of this host to targets, direct ones and those through other entry hosts.
#[derive(Default)]
pub(crate) struct TargetLinks {
    paths: RefCell<PathTable>,
    peers: RefCell<PeerTable>,
    /// `None` if no tunnels are used.
    context: Option<TunnelContext>,
    /// The address to connect to in place of the registered one.
    address_map: BTreeMap<IpAddr, IpAddr>,
    /// Learns how long connections take to open.
    host_load: Rc<HostLoad>,
    /// Open direct connections of this host.
    open_count: Rc<Cell<usize>>,
    /// Open connections that this host serves for others.
    served_count: Rc<Cell<usize>>,
}

/// Counts something while it exists.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A tunnel that this host serves.
pub(crate) type ServedTunnel = CountGuard;

impl TargetLinks {
    /// Creates links that use tunnels.
    pub(crate) fn new(context: TunnelContext) -> Self {
        Self {
            context: Some(context),
            ..Self::default()
        }
    }

    /// Makes direct connections go to the mapped address in place of the registered one.
    pub(crate) fn with_address_map(mut self, address_map: BTreeMap<IpAddr, IpAddr>) -> Self {
        self.address_map = address_map;
        self
    }

    /// Makes `host_load` learn how long direct connections take to open.
    pub(crate) fn with_host_load(mut self, host_load: Rc<HostLoad>) -> Self {
        self.host_load = host_load;
        self
    }

    /// Returns the address to connect to for a target with a registered address.
    fn connect_address(&self, registered: SocketAddr) -> SocketAddr {
        let mapped = self.address_map.get(&registered.ip());
        SocketAddr::new(
            mapped.copied().unwrap_or(registered.ip()),
            registered.port(),
        )
    }

    /// Counts a connection to a target that was opened.
    pub(crate) fn count_connection(&self, connection_use: ConnectionUse) {
        if let Some(context) = &self.context {
            context.metrics.count_connection(connection_use);
        }
    }

    /// Sets the entry hosts that can open connections for this one.
    pub(crate) fn set_peers(&self, hosts: impl IntoIterator<Item = PeerHost>) {
        self.peers.borrow_mut().set_peers(hosts);
    }

    /// Forgets the paths to targets that `keep` rejects.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.paths.borrow_mut().retain(keep);
        self.update_metrics();
    }

    /// Returns whether an idle connection may be used for a request; `peer` is the host that opened
    /// it if that is another one. Peers that are about to stop are no longer known.
    pub(crate) fn may_use_idle(&self, target: SocketAddr, peer: Option<SocketAddr>) -> bool {
        let paths = self.paths.borrow();
        match peer {
            Some(peer) => paths.is_lost(target) && self.peers.borrow().contains(peer),
            None => paths.may_use_idle(target),
        }
    }

    /// Records a response over a direct connection.
    pub(crate) fn record_response(&self, target: SocketAddr) {
        let mut paths = self.paths.borrow_mut();
        paths.record_response(target, Instant::now());
    }

    /// Counts a direct connection of this host while the guard exists.
    pub(crate) fn count_open(&self) -> CountGuard {
        CountGuard::new(&self.open_count)
    }

    /// Returns how many tunnels this host serves.
    pub(crate) fn served_count(&self) -> usize {
        self.served_count.get()
    }

    /// Begins to serve a tunnel; returns `None` if this host serves as many as it may.
    pub(crate) fn begin_served(&self) -> Option<ServedTunnel> {
        let limit = tunnel_limit(self.open_count.get());
        (self.served_count.get() < limit).then(|| CountGuard::new(&self.served_count))
    }

    /// Returns the next lost target to which a direct attempt is due, and counts it as made.
    pub(crate) fn next_probe(&self) -> Option<SocketAddr> {
        self.paths.borrow_mut().next_probe(Instant::now())
    }

    /// Returns whether a silent target is to be checked now, and counts the check as made.
    pub(crate) fn begin_check(&self, target: SocketAddr) -> bool {
        let now = Instant::now();
        self.has_peers() && self.paths.borrow_mut().begin_check(target, now)
    }

    /// Updates the gauges.
    pub(crate) fn update_metrics(&self) {
        if let Some(context) = &self.context {
            let lost = self.paths.borrow().lost_count();
            context.metrics.paths_lost.set(lost as i64);
            let served = self.served_count.get();
            context.metrics.tunnels_served.set(served as i64);
        }
    }

    fn record_open(&self, target: SocketAddr) {
        let change = self.paths.borrow_mut().record_open(target, Instant::now());
        if change == Some(PathChange::Restored) {
            self.record(EventCode::PathRestored, target, self.describe_paths());
            self.update_metrics();
        }
    }

    /// Records that a direct attempt to a target failed with `cause` and `peer` reached it.
    fn record_lost(&self, target: SocketAddr, peer: SocketAddr, cause: &str) {
        let change = self.paths.borrow_mut().record_lost(target, Instant::now());
        if change == Some(PathChange::Lost) {
            let detail = format!("{} via={peer} cause={cause}", self.describe_paths());
            self.record(EventCode::PathLost, target, detail);
            self.update_metrics();
        }
    }

    fn describe_paths(&self) -> String {
        let paths = self.paths.borrow();
        format!(
            "lost={} in_doubt={}",
            paths.lost_count(),
            paths.is_in_doubt()
        )
    }

    fn record(&self, code: EventCode, target: SocketAddr, detail: String) {
        if let Some(context) = &self.context {
            context.recorder.record(code, &target.to_string(), detail);
        }
    }

    fn has_peers(&self) -> bool {
        self.context.is_some() && !self.peers.borrow().is_empty()
    }
}

#[cfg(test)]
mod tests;
