//! Detection of unreachable data halls by the connections to their entry hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{LinkState, StageClient};

/// Number of lost connections to a hall, with none up, after which the hall counts as unreachable.
/// Requests then no longer try its other hosts one by one. These are probed in the background, this
/// many at a time, and the hall is reachable again once a connection is up.
const LOST_LINK_THRESHOLD: usize = 2;

/// Lifetime of the cached result while no connection is opened or lost. The computation examines
/// every host, and each request needs the result several times.
const UNREACHABLE_HALLS_TTL: Duration = Duration::from_millis(50);

/// Number of hosts of one hall, and of connections to them by state.
#[derive(Debug, Clone, Copy, Default)]
struct HallLinks {
    hosts: usize,
    up: usize,
    lost: usize,
}

impl HallLinks {
    fn is_unreachable(self) -> bool {
        self.up == 0 && self.lost >= LOST_LINK_THRESHOLD.min(self.hosts)
    }
}

/// Returns the unreachable halls, given the hall and connection state of each known host. The own
/// hall is always reachable.
fn find_unreachable_halls<'a>(
    own: &str,
    hosts: impl Iterator<Item = (&'a str, Option<LinkState>)>,
) -> BTreeSet<String> {
    let mut halls: BTreeMap<&str, HallLinks> = BTreeMap::new();
    for (hall, link) in hosts.filter(|(hall, _)| *hall != own) {
        let links = halls.entry(hall).or_default();
        links.hosts += 1;
        links.up += usize::from(link == Some(LinkState::Up));
        links.lost += usize::from(link == Some(LinkState::Lost));
    }
    let unreachable = halls
        .into_iter()
        .filter(|(_, links)| links.is_unreachable());
    unreachable.map(|(hall, _)| hall.to_owned()).collect()
}

impl StageClient {
    /// Returns the data halls that are unreachable from this host.
    pub(super) fn unreachable_halls(&self) -> Rc<BTreeSet<String>> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        if let Some((cached, computed_at)) = &state.unreachable_halls
            && now.saturating_duration_since(*computed_at) < UNREACHABLE_HALLS_TTL
        {
            return cached.clone();
        }
        let hosts = state.entry_hosts.iter().map(|host| {
            let link = state.links.get(&host.peer);
            (host.hall.as_str(), link.map(|link| link.hall_state_at(now)))
        });
        let unreachable = Rc::new(find_unreachable_halls(&self.own.hall, hosts));
        state.unreachable_halls = Some((unreachable.clone(), now));
        unreachable
    }

    /// Opens connections to some hosts of each unreachable hall that have none yet: possibly only
    /// the hosts tried so far are down.
    pub(crate) fn probe_unreachable_halls(&self) {
        for hall in self.unreachable_halls().iter() {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let of_hall = state.entry_hosts.iter().filter(|host| host.hall == *hall);
            let (tried, untried): (Vec<_>, Vec<_>) =
                of_hall.partition(|host| state.links.contains_key(&host.peer));
            let opening = tried.iter().filter(|host| {
                let link = state.links.get(&host.peer);
                link.is_some_and(|link| matches!(link.state, LinkState::Opening(_)))
            });
            let probe_count = LOST_LINK_THRESHOLD.saturating_sub(opening.count());
            let probes: Vec<_> = untried
                .iter()
                .take(probe_count)
                .map(|host| host.peer)
                .collect();
            for address in probes {
                state.links.insert(address, self.start_link(address));
            }
        }
    }
}

#[cfg(test)]
mod tests;
