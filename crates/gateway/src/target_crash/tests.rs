#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_directory::TargetRecord;

use super::*;
use crate::target::tests::{SERVICE, record};

fn listed(records: &[TargetRecord]) -> TargetStore {
    let mut store = TargetStore::default();
    store.replace(records, Instant::now());
    store
}

fn born(born: u64, id: &str, port: u16) -> TargetRecord {
    TargetRecord {
        born,
        ..record(id, port)
    }
}

/// Creates a tracker with a target whose connections broke and whose probe timed out.
fn unresponsive_target(since: Instant) -> CrashTracker {
    let chosen = listed(&[born(5, "t", 1_000)]).find(SERVICE, "t").unwrap();
    let tracker = CrashTracker::default();
    tracker.unresponsive.borrow_mut().push(UnresponsiveTarget {
        service: SERVICE.to_owned(),
        chosen,
        interrupted: Vec::new(),
        since,
    });
    tracker
}

#[test]
fn a_new_incarnation_of_an_unresponsive_target_proves_its_crash() {
    let now = Instant::now();
    // A newer incarnation, under the same ID or under another one at the same address.
    for next in [born(6, "t", 1_000), born(6, "u", 1_000)] {
        let tracker = unresponsive_target(now);
        assert_eq!(tracker.take_restarted(&listed(&[next])).len(), 1);
        assert!(tracker.unresponsive.borrow().is_empty());
    }
    // The same incarnation after a network fault, a target at another address, and no target.
    for other in [
        vec![born(5, "t", 1_000)],
        vec![born(6, "u", 1_001)],
        Vec::new(),
    ] {
        let tracker = unresponsive_target(now);
        assert!(tracker.take_restarted(&listed(&other)).is_empty());
        assert_eq!(tracker.unresponsive.borrow().len(), 1);
    }
}

#[test]
fn a_much_later_incarnation_proves_no_crash() {
    let now = Instant::now();
    let tracker = unresponsive_target(now);
    tracker.expire(now + RESTART_TIMEOUT);
    assert!(
        tracker
            .take_restarted(&listed(&[born(6, "t", 1_000)]))
            .is_empty()
    );
}
