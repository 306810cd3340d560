//! Which control hosts a process follows, and which of them are of use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ContentHash;

/// Control hosts that an entry host follows, and that tell it of targets and entry hosts. They tell each other at once,
/// so that a few know what all know; one may be lost, and another cut off, before the next ones are found. What an
/// entry host hears and says, and a control host for each of them, does not grow with the number of control hosts.
pub(super) const FOLLOWED: usize = 3;

/// How long a control host that is being connected counts as followed. After that another one is followed too.
pub(super) const OPENING_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long a control host that hears no leader counts: longer than an election takes. After that another one is
/// followed too, which may be in the part of the fleet that has a leader.
pub(super) const UNLED_PATIENCE: Duration = Duration::from_millis(2_500);

/// A control host that is followed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedHost {
    /// Rounds for which it was not wanted.
    pub(super) unwanted: u32,
    /// Whether this process is connected with it.
    pub(super) connected: bool,
    /// Since when it is, or is not.
    pub(super) since: Instant,
    /// Since when it hears no leader.
    pub(super) unled: Option<Instant>,
    /// Whether it is of an earlier build, which does not tell the others whom it hears.
    pub(super) earlier: bool,
}

impl FollowedHost {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            unwanted: 0,
            connected: false,
            since: now,
            unled: None,
            earlier: false,
        }
    }

    /// Says whether it is of use, or may be soon, so that no other one is needed in its place.
    pub(super) fn counts(&self, now: Instant) -> bool {
        let age = |since: Instant| now.saturating_duration_since(since);
        match self.connected {
            true => self.unled.is_none_or(|since| age(since) < UNLED_PATIENCE),
            false => age(self.since) < OPENING_PATIENCE,
        }
    }
}

/// Ranks control hosts for a process, in another order than for the next process.
pub(super) fn rank_controls(me: SocketAddr, controls: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let score = |address: &SocketAddr| ContentHash::new(format!("{me} {address}").as_bytes());
    let mut ranked: Vec<SocketAddr> = controls.iter().copied().collect();
    ranked.sort_by_cached_key(score);
    ranked
}

/// Chooses the control hosts that tell a process of targets and entry hosts, the same ones while they are
/// connected.
pub(super) fn choose_tellers(
    me: SocketAddr,
    connected: &BTreeSet<SocketAddr>,
) -> BTreeSet<SocketAddr> {
    rank_controls(me, connected)
        .into_iter()
        .take(FOLLOWED)
        .collect()
}

/// Chooses the control hosts that an entry host follows: the first ones of its ranking until enough of them count.
pub(super) fn choose_followed(
    ranked: &[SocketAddr],
    counts: impl Fn(SocketAddr) -> bool,
) -> BTreeSet<SocketAddr> {
    let mut chosen = BTreeSet::new();
    let mut counted = 0;
    for address in ranked {
        if counted == FOLLOWED {
            break;
        }
        chosen.insert(*address);
        counted += usize::from(counts(*address));
    }
    chosen
}
