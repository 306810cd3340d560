//! Halls that are out of reach, judged by the connections to their entry hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{LinkState, StageClient};

/// Lost connections to one hall, with none that is up, after which it counts as out of reach.
/// Requests do not try its other hosts one by one then; they are called in the background, so many
/// at a time, and the first that answers ends it.
const LOST_LINKS: usize = 2;

/// How long what was worked out counts while no connection is opened or lost: it looks at every host, and
/// is asked for several times a request.
const CUT_KEPT: Duration = Duration::from_millis(50);

/// What is known of the connections to the hosts of one hall.
#[derive(Debug, Clone, Copy, Default)]
struct HallLinks {
    hosts: usize,
    up: usize,
    lost: usize,
}

impl HallLinks {
    fn is_cut(self) -> bool {
        self.up == 0 && self.lost >= LOST_LINKS.min(self.hosts)
    }
}

/// Returns the halls that are out of reach, given each known host's hall and connection. The own
/// hall never is.
fn cut_halls_of<'a>(
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
    let cut = halls.into_iter().filter(|(_, links)| links.is_cut());
    cut.map(|(hall, _)| hall.to_owned()).collect()
}

impl StageClient {
    /// Returns the halls that are out of reach.
    pub(super) fn cut_halls(&self) -> Rc<BTreeSet<String>> {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        if let Some((known, since)) = &state.cut_halls
            && now.saturating_duration_since(*since) < CUT_KEPT
        {
            return known.clone();
        }
        let hosts = state.gateways.iter().map(|host| {
            let link = state.links.get(&host.peer);
            (host.hall.as_str(), link.map(|link| link.state_at(now)))
        });
        let cut = Rc::new(cut_halls_of(&self.hall, hosts));
        state.cut_halls = Some((cut.clone(), now));
        cut
    }

    /// Calls some hosts that were never called of each hall that is out of reach: it may be that only
    /// those that were called are gone.
    pub(crate) fn probe_cut_halls(&self) {
        for hall in self.cut_halls().iter() {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let of_hall = state.gateways.iter().filter(|one| one.hall == *hall);
            let (called, fresh): (Vec<_>, Vec<_>) =
                of_hall.partition(|one| state.links.contains_key(&one.peer));
            let opening = called.iter().filter(|one| {
                let link = state.links.get(&one.peer);
                link.is_some_and(|link| matches!(link.state, LinkState::Opening(_)))
            });
            let more = LOST_LINKS.saturating_sub(opening.count());
            let fresh: Vec<_> = fresh.iter().take(more).map(|one| one.peer).collect();
            for address in fresh {
                state.links.insert(address, self.start_link(address));
            }
        }
    }
}

#[cfg(test)]
mod tests;
