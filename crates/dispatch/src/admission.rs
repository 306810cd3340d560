//! Requests that were admitted and have not yet reached all of their stages.
//!
//! Such a request will queue at each later pool. Counting it there from its admission on keeps a
//! pool from being promised to more requests than it can serve in time.

use std::sync::Arc;
use std::time::Duration;

use crate::{PoolId, TargetDispatcher};

/// What a request asks of admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionAsk {
    /// The account, as a small number.
    pub account: u32,
    /// The weight of the account.
    pub weight: u32,
    /// The route, as a small number.
    pub route: u32,
    /// The time that the caller gives.
    pub time_left: Duration,
}

/// The places that an admitted request will take, one for each pool that it has not reached yet.
pub struct AdmittedRequest {
    pub(crate) account: u32,
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) pools: Vec<PoolId>,
}

impl AdmittedRequest {
    /// Says that the request has reached its next pool, where it counts by itself from now on.
    pub fn reach_next(&mut self) {
        if !self.pools.is_empty() {
            let pool = self.pools.remove(0);
            self.dispatcher.forget_promise(pool, self.account);
        }
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        for pool in self.pools.drain(..) {
            self.dispatcher.forget_promise(pool, self.account);
        }
    }
}
