//! Heartbeats between the entry hosts of one data hall, by UDP.
//!
//! Twice a second each host publishes its table version, whether it is connected to a control host,
//! and which targets are leaving. A restarted host in an unreachable hall thereby finds the newest
//! table of the hall, and a leaving target is known to all hosts at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linnet_feed::HostReport;
use linnet_telemetry::{EventCode, Stamp};
use linnet_wire::{MAX_DATAGRAM_BYTES, PEER_TRAFFIC, PeerIdentity, open_datagram, seal_datagram};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::context::EntryContext;
use crate::shares::{AccountDemand, DEMAND_LIFETIME, PeerDemand};

/// The interval between two heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of peers that get one heartbeat; larger halls are covered round-robin. Limits the
/// traffic of a host in a large hall.
const HEARTBEAT_FANOUT: usize = 8;

/// The number of missed heartbeats after which a peer is considered lost.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// How long a host does not retry a lost control connection while a peer is linked to control.
const CONTROL_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The maximum number of leaving targets in one heartbeat.
const MAX_LEAVING_TARGETS: usize = 16;

/// The heartbeat of a host to its hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct HallHeartbeat {
    hall: String,
    ops: SocketAddr,
    version: u64,
    linked: bool,
    leaving: Vec<String>,
    demand: Vec<AccountDemand>,
}

/// A host of the hall according to its last heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct HallPeer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) version: u64,
    pub(crate) linked: bool,
    ops: SocketAddr,
    demand: Vec<AccountDemand>,
    stamp: Stamp,
    received_at: Instant,
}

/// The state of the hosts of the hall, and of this host's link to control.
pub(crate) struct HallView {
    peers: Mutex<HashMap<String, HallPeer>>,
    peer_timeout: Duration,
    linked: AtomicBool,
    control_lost_at: Mutex<Option<Instant>>,
    local_demand: Mutex<Vec<AccountDemand>>,
    hall_size: u32,
    ops: SocketAddr,
}

impl HallView {
    /// Creates a view of a hall with `peer_count` other hosts.
    pub(crate) fn new(peer_count: usize, ops: SocketAddr) -> Self {
        let rounds = peer_count.div_ceil(HEARTBEAT_FANOUT).max(1) as u32;
        Self {
            peers: Mutex::default(),
            peer_timeout: HEARTBEAT_INTERVAL * rounds * MAX_MISSED_HEARTBEATS,
            linked: AtomicBool::new(false),
            control_lost_at: Mutex::new(None),
            local_demand: Mutex::default(),
            hall_size: peer_count as u32 + 1,
            ops,
        }
    }

    /// Returns whether this host receives updates from a control host.
    pub(crate) fn is_linked(&self) -> bool {
        self.linked.load(Ordering::Acquire)
    }

    pub(crate) fn set_linked(&self, linked: bool) {
        self.linked.store(linked, Ordering::Release);
    }

    /// Records that the connection to a control host was lost or could not be established.
    pub(crate) fn mark_control_lost(&self) {
        let mut lost = self
            .control_lost_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *lost = Some(Instant::now());
    }

    /// Returns whether control was lost so recently that another host of the hall should be
    /// followed.
    pub(crate) fn lost_control_recently(&self) -> bool {
        let lost = self
            .control_lost_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lost.is_some_and(|at| at.elapsed() < CONTROL_RETRY_DELAY)
    }

    /// Returns the configured number of entry hosts of the hall.
    pub(crate) fn hall_size(&self) -> u32 {
        self.hall_size
    }

    /// Sets the demand at this host that is published to the hall.
    pub(crate) fn publish_demand(&self, demand: Vec<AccountDemand>) {
        *self.lock_demand() = demand;
    }

    /// Returns the demand of accounts at the other hosts of the hall.
    pub(crate) fn peer_demand(&self) -> PeerDemand {
        let mut demand = PeerDemand::default();
        let max_age = self.peer_timeout.max(DEMAND_LIFETIME);
        for peer in self
            .lock()
            .values()
            .filter(|peer| peer.received_at.elapsed() < max_age)
        {
            demand.hosts += 1;
            for (account, amount) in &peer.demand {
                *demand.by_account.entry(*account).or_default() += f64::from(*amount);
            }
        }
        demand
    }

    fn lock_demand(&self) -> MutexGuard<'_, Vec<AccountDemand>> {
        self.local_demand
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the live peers, sorted by name.
    pub(crate) fn live_peers(&self) -> Vec<HallPeer> {
        let now = Instant::now();
        let mut live: Vec<_> = self
            .lock()
            .values()
            .filter(|peer| now - peer.received_at < self.peer_timeout)
            .cloned()
            .collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the reports for a control host: this host and its live peers.
    pub(crate) fn reports(&self, entry: &EntryContext) -> Vec<HostReport> {
        let now = Instant::now();
        let own = HostReport {
            name: entry.name.clone(),
            hall: entry.hall.clone(),
            ops: self.ops.to_string(),
            version: entry.feed.version(),
            age_ms: 0,
        };
        let peers = self.live_peers().into_iter().map(|peer| HostReport {
            name: peer.name,
            hall: entry.hall.clone(),
            ops: peer.ops.to_string(),
            version: peer.version,
            age_ms: (now - peer.received_at).as_millis() as u64,
        });
        std::iter::once(own).chain(peers).collect()
    }

    // Ignores a heartbeat whose stamp does not increase: it is a replay or arrived out of order.
    fn apply_heartbeat(
        &self,
        name: String,
        address: SocketAddr,
        stamp: Stamp,
        heartbeat: &HallHeartbeat,
    ) {
        let mut peers = self.lock();
        if peers.get(&name).is_some_and(|known| known.stamp >= stamp) {
            return;
        }
        let peer = HallPeer {
            name: name.clone(),
            address,
            version: heartbeat.version,
            linked: heartbeat.linked,
            ops: heartbeat.ops,
            demand: heartbeat.demand.clone(),
            stamp,
            received_at: Instant::now(),
        };
        peers.insert(name, peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, HallPeer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends heartbeats, to a few peers in each round, and to all at once when a target starts leaving.
pub(crate) async fn send_heartbeats(
    entry: Arc<EntryContext>,
    view: Arc<HallView>,
    identity: PeerIdentity,
    socket: Arc<UdpSocket>,
    peers: Vec<SocketAddr>,
) {
    if peers.is_empty() {
        return;
    }
    let mut turn = 0;
    loop {
        let changed = timeout(HEARTBEAT_INTERVAL, entry.leaving_changed.notified())
            .await
            .is_ok();
        let heartbeat = HallHeartbeat {
            hall: entry.hall.clone(),
            ops: view.ops,
            version: entry.feed.version(),
            linked: view.is_linked(),
            leaving: entry
                .dispatcher
                .leaving_targets()
                .into_iter()
                .take(MAX_LEAVING_TARGETS)
                .collect(),
            demand: view.lock_demand().clone(),
        };
        let Ok(bytes) = seal_datagram(&identity, &heartbeat) else {
            continue;
        };
        let count = if changed {
            peers.len()
        } else {
            HEARTBEAT_FANOUT.min(peers.len())
        };
        for offset in 0..count {
            // Send errors are ignored like lost datagrams; the next round follows soon.
            let _ = socket
                .send_to(&bytes, peers[(turn + offset) % peers.len()])
                .await;
            PEER_TRAFFIC.count_sent(bytes.len());
        }
        turn = (turn + count) % peers.len();
    }
}

/// Receives the heartbeats of the other hosts of the hall.
pub(crate) async fn receive_heartbeats(
    entry: Arc<EntryContext>,
    view: Arc<HallView>,
    identity: PeerIdentity,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            // The error is about an earlier datagram to a closed port; the socket still works.
            continue;
        };
        let Ok(received) = open_datagram::<HallHeartbeat>(&identity.keys, &buffer[..length]) else {
            continue;
        };
        if received.message.hall != entry.hall || received.sender == entry.name {
            continue;
        }
        identity.clock.observe(received.stamp);
        for target in &received.message.leaving {
            if entry.dispatcher.mark_leaving(target) {
                entry
                    .recorder
                    .record(EventCode::TargetLeaving, target, received.sender.clone());
            }
        }
        view.apply_heartbeat(received.sender, address, received.stamp, &received.message);
    }
}
