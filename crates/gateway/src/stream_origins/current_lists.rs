//! The wait for lists that are as current as a request.
//!
//! A host that was cut off from the control hosts, or stood still, does not know it for the silence
//! timeout of its connections. Until then, its lists lack targets that have begun streams elsewhere.

use std::time::{Duration, Instant};

use tokio::time::timeout;

use crate::Gateway;
use crate::caller_request::CallerRequest;

/// Longest time from the sending of an update until it is applied. Control hosts send updates unasked, so
/// one that is applied sooner after a request arrived may be older than the request.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(400);

/// Longest wait: that delay, the interval of updates, which is 400 ms, and half of it for a busy control
/// host.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_000);

/// Fraction of the remaining time of a request that may be spent on the wait.
const LIST_WAIT_FRACTION: f64 = 0.5;

impl Gateway {
    /// Waits until the lists of this host are at least as current as the request; returns whether they are.
    pub(super) async fn await_current_lists(&self, request: &CallerRequest) -> bool {
        let since = Instant::now() + MAX_UPDATE_DELAY;
        let longest = request.time_left().mul_f64(LIST_WAIT_FRACTION);
        let mut updates = self.stream_origins.updates.subscribe();
        let arrival = async {
            while !self.directory.borrow().is_current_since(since) {
                let _ = updates.changed().await;
            }
        };
        timeout(longest.min(MAX_LIST_WAIT), arrival).await.is_ok()
    }
}
