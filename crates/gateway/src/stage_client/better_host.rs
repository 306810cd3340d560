//! Finds the better coordinators of a pool that are reachable.

use std::time::Instant;

use linnet_directory::EntryHostRecord;

use super::{LinkState, StageClient};
use crate::pool_key::PoolKey;

/// Maximum number of connections to better hosts that are being opened for one pool. A host far back
/// in succession order would otherwise connect to all hosts before it at once.
const MAX_OPENING: usize = 3;

impl StageClient {
    /// Returns the best host that ranks before this one as coordinator of a pool and is up. Opens
    /// connections to some of those before it to which there is none: a coordinator that submits
    /// no batches itself would not notice that a better host is back.
    pub(crate) fn reachable_better_host(&self, pool: &PoolKey) -> Option<EntryHostRecord> {
        let better = self.better_coordinators(pool);
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let mut opening = 0;
        for host in better.iter() {
            let Some(link) = state.links.get_mut(&host.peer) else {
                if opening < MAX_OPENING {
                    let link = self.start_link(host.peer);
                    state.links.insert(host.peer, link);
                    opening += 1;
                }
                continue;
            };
            // The same condition as for new batches. A host that is cut off has its connection up for
            // 1.2 s while nothing is pending there.
            if link.view().is_heard(now) {
                // Keeps the connection open while the decision depends on it.
                link.last_used = now;
                return Some(host.clone());
            }
            opening += usize::from(matches!(link.state, LinkState::Opening(_)));
        }
        None
    }
}
