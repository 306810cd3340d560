//! Selection of the control hosts that a process follows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ContentHash;

/// Number of control hosts that an entry host follows and receives lists from. Control hosts
/// forward changes to each other at once, so a few of them have all the state. One may be lost, and
/// another cut off, before replacements are found. The traffic of an entry host, and of a control
/// host per entry host, does not grow with the number of control hosts.
pub(super) const FOLLOWED_HOSTS: usize = 3;

/// How long a control host counts as usable while the connection is being opened. After that,
/// another one is followed as well.
pub(super) const CONNECT_GRACE: Duration = Duration::from_millis(1_000);

/// How long a control host without a leader counts as usable: longer than an election takes. After
/// that, another one is followed as well, which may be in the part of the fleet that has a leader.
pub(super) const LEADERLESS_GRACE: Duration = Duration::from_millis(2_500);

/// The state of a control host that is followed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedHost {
    /// Consecutive rounds in which it was not needed.
    pub(super) rounds_unneeded: u32,
    /// Whether a connection to it is open.
    pub(super) connected: bool,
    /// When `connected` last changed.
    pub(super) changed_at: Instant,
    /// Since when it is without a leader.
    pub(super) leaderless_since: Option<Instant>,
    /// Whether it runs an earlier build, which does not report to the other control hosts which
    /// entry hosts are connected to it.
    pub(super) runs_earlier_build: bool,
}

impl FollowedHost {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            rounds_unneeded: 0,
            connected: false,
            changed_at: now,
            leaderless_since: None,
            runs_earlier_build: false,
        }
    }

    /// Returns whether it is usable or may be soon, so that no replacement is needed.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let age = |since: Instant| now.saturating_duration_since(since);
        match self.connected {
            true => self
                .leaderless_since
                .is_none_or(|since| age(since) < LEADERLESS_GRACE),
            false => age(self.changed_at) < CONNECT_GRACE,
        }
    }
}

/// Ranks control hosts for a process. The order differs from process to process.
pub(super) fn rank_controls(
    own_address: SocketAddr,
    controls: &BTreeSet<SocketAddr>,
) -> Vec<SocketAddr> {
    let score =
        |address: &SocketAddr| ContentHash::new(format!("{own_address} {address}").as_bytes());
    let mut ranked: Vec<SocketAddr> = controls.iter().copied().collect();
    ranked.sort_by_cached_key(score);
    ranked
}

/// Chooses the control hosts from which a process receives lists. The choice is stable while they
/// are connected.
pub(super) fn choose_list_sources(
    own_address: SocketAddr,
    connected: &BTreeSet<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    rank_controls(own_address, connected)
        .into_iter()
        .take(FOLLOWED_HOSTS)
        .collect()
}

/// Chooses the control hosts that an entry host follows: the first ones of its ranking, until
/// enough of them are usable.
pub(super) fn choose_followed(
    ranked: &[SocketAddr],
    is_usable: impl Fn(SocketAddr) -> bool,
) -> BTreeSet<SocketAddr> {
    let mut chosen = BTreeSet::new();
    let mut usable = 0;
    for address in ranked {
        if usable == FOLLOWED_HOSTS {
            break;
        }
        chosen.insert(*address);
        usable += usize::from(is_usable(*address));
    }
    chosen
}
