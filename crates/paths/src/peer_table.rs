//! The entry hosts that can open connections for this one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a peer that opened a connection is preferred.
const PREFERENCE_TIME: Duration = Duration::from_secs(5);

/// Weight of a peer that opened a connection lately; other peers have weight 1, so that some of the
/// targets are still tried through them and no peer receives everything.
const PREFERRED_WEIGHT: f64 = 4.0;

/// How long a peer is left out that is cut off or cannot be reached; doubled each time in a row.
const BASE_AVOIDANCE: Duration = Duration::from_secs(1);
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;

/// How long a peer is left out that serves as many tunnels as it may, or that was slow to answer. If
/// all hosts are slow, longer times would leave a host without any peer.
const SHORT_AVOIDANCE: Duration = Duration::from_millis(200);

/// How long a peer is left out that does not know tunnels, as builds before this one.
const UNSUPPORTED_AVOIDANCE: Duration = Duration::from_secs(5);

/// How long a peer is not asked again for a target that it could not reach, so that others are asked
/// meanwhile.
const TARGET_AVOIDANCE: Duration = Duration::from_secs(3);

/// An entry host that can open connections for this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHost {
    /// Its name.
    pub name: String,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// What a peer answered to the request for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The connection is open.
    Opened,
    /// The peer's directory does not list the target.
    UnknownTarget,
    /// Nothing listens at the address of the target.
    Refused,
    /// The target did not respond.
    Silent,
    /// The peer has lost its path to the target, which other hosts reach.
    PathLost,
    /// The peer has lost most targets.
    CutOff,
    /// The peer serves as many tunnels as it may.
    Full,
    /// The peer does not know tunnels.
    Unsupported,
    /// The peer could not be reached.
    Unreachable,
    /// The peer did not answer in time; it may be overloaded.
    TimedOut,
}

impl PeerAnswer {
    /// Returns whether the answer suggests that no host reaches the target.
    pub(crate) fn shows_target_down(self) -> bool {
        matches!(self, Self::Refused | Self::Silent)
    }
}

#[derive(Debug)]
struct Peer {
    host: PeerHost,
    opened_at: Option<Instant>,
    /// The answer for which the peer is left out, and until when.
    avoided: Option<(PeerAnswer, Instant)>,
    /// Avoidances in a row.
    avoidances: u32,
    /// Answers for targets that the peer could not reach, with the end of their avoidance.
    unreached: HashMap<SocketAddr, (PeerAnswer, Instant)>,
}

impl Peer {
    fn new(host: PeerHost) -> Self {
        Self {
            host,
            opened_at: None,
            avoided: None,
            avoidances: 0,
            unreached: HashMap::new(),
        }
    }

    fn is_usable(&self, target: SocketAddr, now: Instant) -> bool {
        self.avoided_answer(now).is_none() && self.unreached_answer(target, now).is_none()
    }

    /// Returns the answer for which the peer is left out.
    fn avoided_answer(&self, now: Instant) -> Option<PeerAnswer> {
        let (answer, until) = self.avoided?;
        (until > now).then_some(answer)
    }

    /// Returns whether the peer may reach a target, as far as its answers tell.
    fn may_reach(&self, target: SocketAddr, now: Instant) -> bool {
        match self.unreached_answer(target, now) {
            Some(PeerAnswer::PathLost) => true,
            Some(_) => false,
            None => !matches!(
                self.avoided_answer(now),
                Some(PeerAnswer::Unreachable | PeerAnswer::Unsupported)
            ),
        }
    }

    /// Returns the answer of the peer for a target that it could not reach a moment ago.
    fn unreached_answer(&self, target: SocketAddr, now: Instant) -> Option<PeerAnswer> {
        let (answer, until) = self.unreached.get(&target)?;
        (*until > now).then_some(*answer)
    }

    fn weight(&self, now: Instant) -> f64 {
        let is_recent = |at| now.duration_since(at) < PREFERENCE_TIME;
        if self.opened_at.is_some_and(is_recent) {
            PREFERRED_WEIGHT
        } else {
            1.0
        }
    }

    /// Leaves the peer out, for longer each time. Answers that come while it is left out belong to the
    /// same failure.
    fn avoid(&mut self, answer: PeerAnswer, now: Instant) {
        if self.avoided.is_some_and(|(_, until)| until > now) {
            return;
        }
        let doublings = self.avoidances.min(MAX_AVOIDANCE_DOUBLINGS);
        self.avoided = Some((answer, now + BASE_AVOIDANCE * 2_u32.pow(doublings)));
        self.avoidances += 1;
        self.opened_at = None;
    }
}

/// The entry hosts that can open connections for this one, by address.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<SocketAddr, Peer>,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the known peers. What was learned of those that remain is kept.
    pub fn set_peers(&mut self, hosts: impl IntoIterator<Item = PeerHost>) {
        let mut former = std::mem::take(&mut self.peers);
        for host in hosts {
            let known = former
                .remove(&host.address)
                .filter(|peer| peer.host == host);
            let peer = known.unwrap_or_else(|| Peer::new(host));
            self.peers.insert(peer.host.address, peer);
        }
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether a peer is known.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Returns the number of known peers.
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns how many peers answered a moment ago that a target cannot be reached.
    pub fn agreeing_count(&self, target: SocketAddr, now: Instant) -> usize {
        let answers = self.peers.values();
        let answers = answers.filter_map(|peer| peer.unreached_answer(target, now));
        answers.filter(|answer| answer.shows_target_down()).count()
    }

    /// Returns whether all peers that could not reach a target a moment ago were refused, and there is one.
    pub fn are_all_refused(&self, target: SocketAddr, now: Instant) -> bool {
        let answers = self.peers.values();
        let answers = answers.filter_map(|peer| peer.unreached_answer(target, now));
        let mut answers = answers
            .filter(|answer| answer.shows_target_down())
            .peekable();
        answers.peek().is_some() && answers.all(|answer| answer == PeerAnswer::Refused)
    }

    /// Returns whether any peer may reach a target, as far as their answers tell: it was not asked, was
    /// slow, full or cut off, or has lost its path.
    pub fn may_be_reached(&self, target: SocketAddr, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.may_reach(target, now))
    }

    /// Chooses the peer to ask for a connection to a target, by the highest `score` of its name and
    /// weight; `None` if all are left out or were `asked` already.
    pub fn choose(
        &self,
        target: SocketAddr,
        asked: &[SocketAddr],
        now: Instant,
        score: impl Fn(&str, f64) -> f64,
    ) -> Option<SocketAddr> {
        let usable = self
            .peers
            .values()
            .filter(|peer| peer.is_usable(target, now) && !asked.contains(&peer.host.address));
        let scored = usable.map(|peer| {
            let score = score(&peer.host.name, peer.weight(now));
            (score, peer.host.address)
        });
        let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, address)| address)
    }

    /// Records what a peer answered.
    pub fn record(
        &mut self,
        address: SocketAddr,
        target: SocketAddr,
        answer: PeerAnswer,
        now: Instant,
    ) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        match answer {
            PeerAnswer::Opened => {
                peer.opened_at = Some(now);
                peer.avoidances = 0;
                peer.unreached.remove(&target);
            }
            PeerAnswer::UnknownTarget
            | PeerAnswer::Refused
            | PeerAnswer::Silent
            | PeerAnswer::PathLost => {
                peer.unreached.retain(|_, (_, until)| *until > now);
                peer.unreached
                    .insert(target, (answer, now + TARGET_AVOIDANCE));
            }
            PeerAnswer::CutOff | PeerAnswer::Unreachable => peer.avoid(answer, now),
            PeerAnswer::Full | PeerAnswer::TimedOut => {
                peer.avoided = Some((answer, now + SHORT_AVOIDANCE));
            }
            PeerAnswer::Unsupported => {
                peer.avoided = Some((answer, now + UNSUPPORTED_AVOIDANCE));
            }
        }
    }
}
