//! Reservations of admitted requests at the pools that they have not reached yet.
//!
//! An admitted request will queue at each later pool. Counting it there from its admission keeps
//! admission from accepting more requests than a pool can serve in time.

use std::sync::Arc;
use std::time::Duration;

use crate::{PoolId, TargetDispatcher};

/// The properties of a request that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// The index of the account.
    pub account: u32,
    /// The weight of the account.
    pub weight: u32,
    /// The index of the route.
    pub route: u32,
    /// The time left until the caller's deadline.
    pub time_left: Duration,
}

/// The reservations of an admitted request, one for each pool that it has not reached yet. Releases
/// them on drop.
pub struct AdmittedRequest {
    pub(crate) account: u32,
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) pools: Vec<PoolId>,
}

impl AdmittedRequest {
    /// Releases the reservation at the next pool. From then on the request itself is queued or in
    /// flight there.
    pub fn enter_next_pool(&mut self) {
        if !self.pools.is_empty() {
            let pool = self.pools.remove(0);
            self.dispatcher.release_reservation(pool, self.account);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        for pool in self.pools.drain(..) {
            self.dispatcher.release_reservation(pool, self.account);
        }
    }
}
