//! Chooses the host that takes a batch.

use std::time::Instant;

use crate::{Candidate, LinkView};

/// Maximum number of attempts to have a batch run. The last one is made at the submitting host, so
/// that it depends on no other host. Connections that did not open are not counted: when the first
/// seven hosts were killed, they used up all attempts within milliseconds, and each submitting host
/// ran its batches itself.
pub const MAX_ROUTE_ATTEMPTS: u32 = 8;

/// Minimum number of connections that are opened at the same time while a coordinator may be lost.
/// With half of the hosts lost, one of three hosts is live in 7 of 8 cases.
const MIN_PROBES: usize = 3;

/// The host that takes a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteChoice<H> {
    /// Another host.
    Remote(H),
    /// The host that submits the batch.
    Local,
}

/// The attempts to have one batch run.
#[derive(Debug, Clone)]
pub struct BatchRoute<H> {
    /// The hosts that were lost while they had the batch, or could not be reached, and whose
    /// connections have not been up since.
    excluded: Vec<H>,
    /// The hosts that do not know the pool of the batch.
    unable: Vec<H>,
    ended: u32,
}

impl<H: Copy + Eq> Default for BatchRoute<H> {
    fn default() -> Self {
        Self::new()
    }
}

impl<H: Copy + Eq> BatchRoute<H> {
    /// Creates the route of a batch that has not been sent to any host.
    pub fn new() -> Self {
        Self {
            excluded: Vec::new(),
            unable: Vec::new(),
            ended: 0,
        }
    }

    /// Records that an attempt ended because its host was lost.
    pub fn record_lost(&mut self, host: H) {
        self.excluded.push(host);
        self.ended += 1;
    }

    /// Records that the connection to a host did not open, or not in time. The host did not get the
    /// batch, so this is no attempt. Each host is tried once until its connection is up, which
    /// bounds their number.
    pub fn record_unopened(&mut self, host: H) {
        self.excluded.push(host);
    }

    /// Records that a host does not know the pool of the batch, as it has just started. It does not
    /// get the batch again.
    pub fn record_unable(&mut self, host: H) {
        self.unable.push(host);
        self.ended += 1;
    }

    /// Returns whether a host that is up may get the batch.
    pub fn is_able(&self, host: H) -> bool {
        !self.unable.contains(&host)
    }

    /// Records that an attempt ended for another reason and the batch is run again.
    pub fn record_failed(&mut self) {
        self.ended += 1;
    }

    /// Returns the number of attempts that have ended.
    pub fn ended_attempts(&self) -> u32 {
        self.ended
    }

    /// Chooses among the hosts that rank before this one, the best first. A connection to a chosen
    /// host that is [`LinkView::Unknown`] has to be opened by the caller.
    pub fn choose(&mut self, candidates: &[Candidate<H>], now: Instant) -> RouteChoice<H> {
        self.readmit_reopened(candidates);
        if self.ended + 1 >= MAX_ROUTE_ATTEMPTS {
            return RouteChoice::Local;
        }
        let mut others = candidates.iter();
        let chosen = others.find(|one| self.may_take(one, now));
        chosen.map_or(RouteChoice::Local, |one| RouteChoice::Remote(one.host))
    }

    /// Ends the exclusion of hosts whose connections are up: they were lost before, so they have
    /// been opened anew.
    fn readmit_reopened(&mut self, candidates: &[Candidate<H>]) {
        let is_up = |one: &&Candidate<H>| matches!(one.link, LinkView::Up { .. });
        for reopened in candidates.iter().filter(is_up) {
            self.excluded.retain(|host| *host != reopened.host);
        }
    }

    fn may_take(&self, candidate: &Candidate<H>, now: Instant) -> bool {
        let is_usable = match candidate.link {
            // After a loss, other hosts that have not been heard lately are probably lost too:
            // each of them would keep the batch for another 550 ms. Before a loss, a late
            // heartbeat is no reason to choose another host than the others do.
            LinkView::Up { .. } => self.ended == 0 || candidate.link.is_heard(now),
            LinkView::Opening { .. } => candidate.link.is_opening_in_time(now),
            LinkView::Unknown => true,
            LinkView::Lost => false,
        };
        let host = candidate.host;
        is_usable && !self.excluded.contains(&host) && self.is_able(host)
    }
}

/// Returns the hosts to which connections are opened now, as a coordinator is lost or may be lost
/// soon: the next [`MIN_PROBES`] hosts, or as many as have been found lost, less those to which
/// connections are being opened already. So all hosts are tried in a number of rounds that grows
/// with the logarithm of the number of lost hosts.
///
/// Behind a suspect host, only one that has just been heard counts as live: heartbeats of a host
/// without pending requests come every 400 ms, so it may have been lost together with the suspect.
/// `candidates` is as for [`BatchRoute::choose`].
pub fn hosts_to_probe<H: Copy + Eq>(candidates: &[Candidate<H>], now: Instant) -> Vec<H> {
    let (mut suspects, mut opening) = (0, 0);
    let mut probes = Vec::new();
    for Candidate { host, link } in candidates {
        let is_enough = opening + probes.len() >= MIN_PROBES.max(suspects);
        let is_taken = suspects == 0 && link.is_heard(now) && !link.is_suspect(now);
        if is_enough || is_taken || link.is_responsive(now) {
            break;
        }
        match link {
            LinkView::Unknown if suspects > 0 => probes.push(*host),
            _ if link.is_opening_in_time(now) => opening += 1,
            _ => suspects += usize::from(link.is_suspect(now)),
        }
    }
    probes
}
