//! The path from this host to each target.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a target that no host reached is taken as down, without asking peers again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Time that a direct connection attempt has before a peer is asked as well. The network's round
/// trips take some milliseconds.
const HEAD_START: Duration = Duration::from_millis(100);

/// The same while this host is in doubt about the target.
const DOUBTFUL_HEAD_START: Duration = Duration::from_millis(30);

/// Number of targets lost within [`DOUBT_WINDOW`] from which on the others are doubted.
const DOUBT_THRESHOLD: usize = 2;
const DOUBT_WINDOW: Duration = Duration::from_secs(3);

/// Interval of direct attempts to lost targets, of this host in total.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of direct attempts to lost targets after a successful one: the partition has probably
/// ended.
pub const RESTORE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of checks of silent targets, of this host in total.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The same while a target is lost: further ones are likely.
const URGENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a sign of life after which a target that owes a response is checked.
pub const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(400);

/// How long a failed direct attempt answers the requests of other hosts for the same target.
const FAILURE_MEMORY: Duration = Duration::from_millis(500);

/// How a connection to a target is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly; peers are asked if the attempt fails or takes longer than the head start.
    Direct {
        /// The head start.
        head_start: Duration,
    },
    /// Directly, without asking peers: they could not reach the target a moment ago.
    DirectOnly,
    /// Through a peer.
    Tunnel,
}

/// Why a direct attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nothing listens at the address, or the network answers for it.
    Refused,
    /// No response in time.
    Silent,
}

/// A change of the path to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// The target can only be reached through peers.
    Lost,
    /// The target can be reached directly again.
    Restored,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum PathState {
    #[default]
    Direct,
    Lost,
    Down {
        until: Instant,
    },
}

#[derive(Debug, Default)]
struct TargetPath {
    state: PathState,
    /// When a direct connection last opened or carried a response.
    alive_at: Option<Instant>,
    /// When the path was lost.
    lost_at: Option<Instant>,
    /// When a direct attempt to a lost target was last made.
    probed_at: Option<Instant>,
    /// The last direct attempt, if it failed.
    failure: Option<(Instant, ConnectFailure)>,
}

/// The path to each target, by address. A target without an entry is reached directly.
#[derive(Debug, Default)]
pub struct PathTable {
    paths: HashMap<SocketAddr, TargetPath>,
    /// Idle connections without a sign of life since then are not used.
    doubted_since: Option<Instant>,
    next_probe_at: Option<Instant>,
    next_check_at: Option<Instant>,
}

impl PathTable {
    /// Creates a table in which all paths are direct.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how to open a connection to a target.
    pub fn plan(&self, target: SocketAddr, now: Instant) -> ConnectPlan {
        match self.state(target) {
            PathState::Lost => ConnectPlan::Tunnel,
            PathState::Down { until } if until > now => ConnectPlan::DirectOnly,
            _ if self.is_doubted(target) => ConnectPlan::Direct {
                head_start: DOUBTFUL_HEAD_START,
            },
            _ => ConnectPlan::Direct {
                head_start: HEAD_START,
            },
        }
    }

    /// Returns whether an idle direct connection to a target may be used.
    pub fn may_use_idle(&self, target: SocketAddr) -> bool {
        !self.is_lost(target) && !self.is_doubted(target)
    }

    /// Returns whether a target can only be reached through peers.
    pub fn is_lost(&self, target: SocketAddr) -> bool {
        self.state(target) == PathState::Lost
    }

    /// Returns the number of lost targets.
    pub fn lost_count(&self) -> usize {
        let paths = self.paths.values();
        paths.filter(|path| path.state == PathState::Lost).count()
    }

    /// Returns whether this host doubts its paths in general, since it has lost several targets.
    pub fn is_in_doubt(&self) -> bool {
        self.doubted_since.is_some()
    }

    /// Records that a direct connection was opened.
    pub fn record_open(&mut self, target: SocketAddr, now: Instant) -> Option<PathChange> {
        let path = self.paths.entry(target).or_default();
        path.alive_at = Some(now);
        path.failure = None;
        let was_lost = path.state == PathState::Lost;
        path.state = PathState::Direct;
        if !was_lost {
            return None;
        }
        self.next_probe_at = Some(now + RESTORE_INTERVAL);
        if self.lost_count() == 0 {
            self.doubted_since = None;
        }
        Some(PathChange::Restored)
    }

    /// Records a response over a direct connection.
    pub fn record_response(&mut self, target: SocketAddr, now: Instant) {
        self.paths.entry(target).or_default().alive_at = Some(now);
    }

    /// Records that a direct attempt failed.
    pub fn record_failure(&mut self, target: SocketAddr, failure: ConnectFailure, now: Instant) {
        self.paths.entry(target).or_default().failure = Some((now, failure));
    }

    /// Records that a peer reaches a target to which a direct attempt failed.
    pub fn record_lost(&mut self, target: SocketAddr, now: Instant) -> Option<PathChange> {
        let path = self.paths.entry(target).or_default();
        if path.state == PathState::Lost {
            return None;
        }
        path.state = PathState::Lost;
        path.lost_at = Some(now);
        path.probed_at = Some(now);
        self.next_probe_at.get_or_insert(now + PROBE_INTERVAL);
        self.next_check_at = Some(now);
        let is_recent = |path: &&TargetPath| {
            let lost_at = path.lost_at.filter(|_| path.state == PathState::Lost);
            lost_at.is_some_and(|at| now.duration_since(at) < DOUBT_WINDOW)
        };
        if self.paths.values().filter(is_recent).count() >= DOUBT_THRESHOLD {
            self.doubted_since = Some(now);
        }
        Some(PathChange::Lost)
    }

    /// Records that peers cannot reach a target either.
    pub fn record_down(&mut self, target: SocketAddr, now: Instant) {
        let path = self.paths.entry(target).or_default();
        path.state = PathState::Down {
            until: now + DOWN_TIME,
        };
    }

    /// Returns the lost target that is due for a direct attempt, and counts the attempt as made.
    pub fn next_probe(&mut self, now: Instant) -> Option<SocketAddr> {
        if self.next_probe_at.is_some_and(|at| at > now) {
            return None;
        }
        let paths = self.paths.iter_mut();
        let lost = paths.filter(|(_, path)| path.state == PathState::Lost);
        let Some((target, path)) = lost.min_by_key(|(target, path)| (path.probed_at, **target))
        else {
            self.next_probe_at = None;
            return None;
        };
        path.probed_at = Some(now);
        self.next_probe_at = Some(now + PROBE_INTERVAL);
        Some(*target)
    }

    /// Returns whether a silent target that owes a response is to be checked by a direct attempt,
    /// and counts the attempt as made.
    pub fn begin_check(&mut self, target: SocketAddr, now: Instant) -> bool {
        let is_due = self.next_check_at.is_none_or(|at| at <= now);
        let path = self.paths.get(&target);
        let alive_at = path.and_then(|path| path.alive_at);
        let is_silent = alive_at.is_none_or(|at| now.duration_since(at) >= SILENCE_BEFORE_CHECK);
        if !is_due || !is_silent || self.is_lost(target) {
            return false;
        }
        let interval = if self.lost_count() > 0 {
            URGENT_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.next_check_at = Some(now + interval);
        true
    }

    /// Returns how a direct attempt to a target failed a moment ago, for another host that asks for
    /// a connection: many that ask cause one attempt.
    pub fn recent_failure(&self, target: SocketAddr, now: Instant) -> Option<ConnectFailure> {
        let (at, failure) = self.paths.get(&target)?.failure?;
        (now.duration_since(at) < FAILURE_MEMORY).then_some(failure)
    }

    /// Returns whether this host has lost several targets, so that its failure to reach one says
    /// nothing about that target.
    pub fn is_cut_off(&self) -> bool {
        self.lost_count() >= DOUBT_THRESHOLD
    }

    /// Returns whether this host has lost most of the targets that it used, so that other hosts had
    /// better ask another one for any target.
    pub fn has_lost_most(&self) -> bool {
        self.is_cut_off() && 2 * self.lost_count() > self.paths.len()
    }

    /// Removes targets that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.paths.retain(|target, _| keep(target));
        if self.lost_count() == 0 {
            self.doubted_since = None;
        }
    }

    fn state(&self, target: SocketAddr) -> PathState {
        self.paths
            .get(&target)
            .map_or(PathState::Direct, |path| path.state)
    }

    /// Returns whether a target has shown no sign of life since this host came into doubt.
    fn is_doubted(&self, target: SocketAddr) -> bool {
        let Some(since) = self.doubted_since else {
            return false;
        };
        let path = self.paths.get(&target);
        path.and_then(|path| path.alive_at)
            .is_none_or(|at| at < since)
    }
}
