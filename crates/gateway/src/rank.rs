//! The order in which requests are served.

use serde::{Deserialize, Serialize};

/// Priority of a request: the account's priority is compared before the route's. Lower values are
/// more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// The priority of the account, or of the route if the account has none.
    pub account_priority: u8,
    /// The priority of the route.
    pub route_priority: u8,
}

impl Rank {
    /// Returns the rank as one of the priority levels of engines, 0 to 9.
    pub(crate) fn engine_priority(self) -> u8 {
        let level = self
            .account_priority
            .saturating_mul(3)
            .saturating_add(self.route_priority.min(2));
        level.min(9)
    }
}
