//! What entry hosts of one data hall tell each other, by UDP.
//!
//! Each says twice a second which version of the table it has, whether it hears a control host,
//! and which targets it knows to be leaving. So a restarted host in a hall that is cut off finds
//! the newest table of the hall, and news of a leaving target is everywhere at once.

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
use crate::shares::{AccountDemand, DEMAND_LIFE, HeardDemand};

/// Between two messages to the same few peers.
pub(crate) const BEAT_PERIOD: Duration = Duration::from_millis(500);

/// Peers that one round of messages goes to; with more of them, rounds take turns. It bounds what
/// a host sends in a large hall.
const BEAT_FANOUT: usize = 8;

/// A peer is taken as gone after so many of its rounds were missed.
const MISSED_ROUNDS: u32 = 4;

/// How long control is not tried again while a peer is linked to it.
const CONTROL_PAUSE: Duration = Duration::from_secs(5);

/// Leaving targets that one message names.
const MAX_LEAVING: usize = 16;

/// What a host tells its hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct HallBeat {
    hall: String,
    ops: SocketAddr,
    version: u64,
    linked: bool,
    leaving: Vec<String>,
    demand: Vec<AccountDemand>,
}

/// A host of the hall as it was last heard.
#[derive(Debug, Clone)]
pub(crate) struct HallPeer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) version: u64,
    pub(crate) linked: bool,
    ops: SocketAddr,
    demand: Vec<AccountDemand>,
    stamp: Stamp,
    heard: Instant,
}

/// The hosts of the hall, and this host's link to control.
pub(crate) struct HallView {
    peers: Mutex<HashMap<String, HallPeer>>,
    patience: Duration,
    linked: AtomicBool,
    control_lost: Mutex<Option<Instant>>,
    own_demand: Mutex<Vec<AccountDemand>>,
    hall_size: u32,
    ops: SocketAddr,
}

impl HallView {
    /// Creates a view of a hall with so many other hosts.
    pub(crate) fn new(peer_count: usize, ops: SocketAddr) -> Self {
        let rounds = peer_count.div_ceil(BEAT_FANOUT).max(1) as u32;
        Self {
            peers: Mutex::default(),
            patience: BEAT_PERIOD * rounds * MISSED_ROUNDS,
            linked: AtomicBool::new(false),
            control_lost: Mutex::new(None),
            own_demand: Mutex::default(),
            hall_size: peer_count as u32 + 1,
            ops,
        }
    }

    /// Says whether this host hears a control host.
    pub(crate) fn is_linked(&self) -> bool {
        self.linked.load(Ordering::Acquire)
    }

    pub(crate) fn set_linked(&self, linked: bool) {
        self.linked.store(linked, Ordering::Release);
    }

    /// Notes that a control host was lost or could not be reached.
    pub(crate) fn note_control_lost(&self) {
        let mut lost = self
            .control_lost
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *lost = Some(Instant::now());
    }

    /// Says whether that was so lately that another host of the hall should be followed.
    pub(crate) fn lost_control_lately(&self) -> bool {
        let lost = self
            .control_lost
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lost.is_some_and(|at| at.elapsed() < CONTROL_PAUSE)
    }

    /// Returns the number of entry hosts that the hall is set up with.
    pub(crate) fn hall_size(&self) -> u32 {
        self.hall_size
    }

    /// Sets what the hall is told of the demand at this host.
    pub(crate) fn tell_demand(&self, demand: Vec<AccountDemand>) {
        *self.lock_demand() = demand;
    }

    /// Returns what accounts ask of the other hosts of the hall.
    pub(crate) fn heard_demand(&self) -> HeardDemand {
        let mut heard = HeardDemand::default();
        let patience = self.patience.max(DEMAND_LIFE);
        for peer in self
            .lock()
            .values()
            .filter(|peer| peer.heard.elapsed() < patience)
        {
            heard.hosts += 1;
            for (account, amount) in &peer.demand {
                *heard.by_account.entry(*account).or_default() += f64::from(*amount);
            }
        }
        heard
    }

    fn lock_demand(&self) -> MutexGuard<'_, Vec<AccountDemand>> {
        self.own_demand
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the peers that live, by name.
    pub(crate) fn live_peers(&self) -> Vec<HallPeer> {
        let now = Instant::now();
        let mut live: Vec<_> = self
            .lock()
            .values()
            .filter(|peer| now - peer.heard < self.patience)
            .cloned()
            .collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns what a control host is told: this host and the peers that it hears.
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
            age_ms: (now - peer.heard).as_millis() as u64,
        });
        std::iter::once(own).chain(peers).collect()
    }

    // A stamp that does not rise is a replay, or came out of order; either way it tells nothing.
    fn take_beat(&self, name: String, address: SocketAddr, stamp: Stamp, beat: &HallBeat) {
        let mut peers = self.lock();
        if peers.get(&name).is_some_and(|known| known.stamp >= stamp) {
            return;
        }
        let peer = HallPeer {
            name: name.clone(),
            address,
            version: beat.version,
            linked: beat.linked,
            ops: beat.ops,
            demand: beat.demand.clone(),
            stamp,
            heard: Instant::now(),
        };
        peers.insert(name, peer);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, HallPeer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells the hall of this host, a few peers a round, and at once when there is news.
pub(crate) async fn send_beats(
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
        let news = timeout(BEAT_PERIOD, entry.hall_news.notified())
            .await
            .is_ok();
        let beat = HallBeat {
            hall: entry.hall.clone(),
            ops: view.ops,
            version: entry.feed.version(),
            linked: view.is_linked(),
            leaving: entry
                .dispatcher
                .leaving_targets()
                .into_iter()
                .take(MAX_LEAVING)
                .collect(),
            demand: view.lock_demand().clone(),
        };
        let Ok(bytes) = seal_datagram(&identity, &beat) else {
            continue;
        };
        let count = if news {
            peers.len()
        } else {
            BEAT_FANOUT.min(peers.len())
        };
        for offset in 0..count {
            // A datagram that cannot be sent is as good as lost; the next round comes soon.
            let _ = socket
                .send_to(&bytes, peers[(turn + offset) % peers.len()])
                .await;
            PEER_TRAFFIC.count_sent(bytes.len());
        }
        turn = (turn + count) % peers.len();
    }
}

/// Takes in what the other hosts of the hall tell.
pub(crate) async fn receive_beats(
    entry: Arc<EntryContext>,
    view: Arc<HallView>,
    identity: PeerIdentity,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram met a closed port; the socket itself is well.
            continue;
        };
        let Ok(open) = open_datagram::<HallBeat>(&identity.keys, &buffer[..length]) else {
            continue;
        };
        if open.message.hall != entry.hall || open.sender == entry.name {
            continue;
        }
        identity.clock.observe(open.stamp);
        for target in &open.message.leaving {
            if entry.dispatcher.mark_leaving(target) {
                entry
                    .recorder
                    .record(EventCode::TargetLeaving, target, open.sender.clone());
            }
        }
        view.take_beat(open.sender, address, open.stamp, &open.message);
    }
}
