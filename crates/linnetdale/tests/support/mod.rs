//! Real processes on a loopback address of their own, with links that can be cut.

#![allow(dead_code)]

pub mod cluster;
pub mod daemon;
pub mod http;
pub mod invariant_monitor;
pub mod ledger;
pub mod operator;
pub mod relay;
pub mod testbed;

use std::time::{Duration, Instant};

/// Time after which [`wait_until`] and [`wait_for`] fail the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Polls a condition until it holds; fails the test after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(15));
    }
}

/// Polls `get` until it returns a value.
pub fn wait_for<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let mut found = None;
    wait_until(what, || {
        found = get();
        found.is_some()
    });
    found.expect("wait_until returned after a value was found")
}
