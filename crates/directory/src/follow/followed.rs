//! Which control hosts a process follows, and which of them are of use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ContentHash;

/// Control hosts that an entry host follows, and that tell it of targets and entry hosts. They tell each other at once,
/// so that a few know what all know; one may be lost, and another cut off, before the next ones are found. What an
/// entry host hears and says, and a control host for each of them, does not grow with the number of control hosts.
pub(super) const FOLLOWED_HOSTS: usize = 3;

/// How long a control host that is being connected counts as followed. After that another one is followed too.
pub(super) const CONNECT_GRACE: Duration = Duration::from_millis(1_000);

/// How long a control host that hears no leader counts: longer than an election takes. After that another one is
/// followed too, which may be in the part of the fleet that has a leader.
pub(super) const LEADERLESS_GRACE: Duration = Duration::from_millis(2_500);

/// A control host that is followed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedHost {
    /// Rounds for which it was not wanted.
    pub(super) rounds_unneeded: u32,
    /// Whether this process is connected with it.
    pub(super) connected: bool,
    /// Since when it is, or is not.
    pub(super) changed_at: Instant,
    /// Since when it hears no leader.
    pub(super) leaderless_since: Option<Instant>,
    /// Whether it is of an earlier build, which does not tell the others whom it hears.
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

    /// Says whether it is of use, or may be soon, so that no other one is needed in its place.
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

/// Ranks control hosts for a process, in another order than for the next process.
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

/// Chooses the control hosts that tell a process of targets and entry hosts, the same ones while they are
/// connected.
pub(super) fn choose_list_sources(
    own_address: SocketAddr,
    connected: &BTreeSet<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    rank_controls(own_address, connected)
        .into_iter()
        .take(FOLLOWED_HOSTS)
        .collect()
}

/// Chooses the control hosts that an entry host follows: the first ones of its ranking until enough of them count.
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
