//! Real processes on a loopback address of their own, with links that can be cut.

#![allow(dead_code)]

pub mod cluster;
pub mod daemon;
pub mod http;
pub mod ledger;
pub mod operator;
pub mod relay;
pub mod watch;
pub mod world;

use std::time::{Duration, Instant};

/// The longest wait for anything that must come true.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Waits until a condition holds; fails the test, with what was waited for, when it never does.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came true: {what}");
        std::thread::sleep(Duration::from_millis(15));
    }
}

/// Waits until something is there and returns it.
pub fn wait_for<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let mut found = None;
    wait_until(what, || {
        found = get();
        found.is_some()
    });
    found.expect("it was found")
}
