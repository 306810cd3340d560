#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use futures_util::FutureExt;
use linnet_directory::TargetRecord;

use super::*;
use crate::gateway::tests::{gateway_with, run};
use crate::overload::OverloadPolicy;
use crate::overload::tests::{loaded_gateway, request};
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

/// Guards against a target that is taken for crashed although it serves requests again.
#[test]
fn a_target_that_took_a_request_after_its_recorded_crash_is_probed_again() {
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let chosen = ChosenTarget {
            address: listener.local_addr().unwrap(),
            ..listed(&[born(5, "t", port)]).find(SERVICE, "t").unwrap()
        };
        let gateway = gateway_with(OverloadPolicy::default(), None);
        let crashed_at = Instant::now();
        let crash = CrashKey::new(&chosen.id, chosen.born);
        let state = CrashState::Crashed(crashed_at);
        gateway
            .crash_tracker
            .states
            .borrow_mut()
            .insert(crash, state);
        let target = (SERVICE, &chosen);
        let earlier = crashed_at.checked_sub(Duration::from_millis(1)).unwrap();
        assert!(gateway.join_probe(target, None, earlier).is_none());
        let later = crashed_at + Duration::from_millis(1);
        let outcome = gateway.join_probe(target, None, later).unwrap().await;
        assert_eq!(outcome, Ok(ProbeOutcome::Open));
    });
}

/// Guards against a request that ended well and is later accused of a crash of its target.
#[test]
fn a_body_that_ended_with_its_connection_is_not_interrupted_by_the_probe() {
    run(async {
        let gateway = loaded_gateway(OverloadPolicy::default());
        let request = request(&gateway, 8_000);
        let records = [born(5, "t", 1_000)];
        gateway
            .targets
            .borrow_mut()
            .replace(&records, Instant::now());
        let chosen = gateway.targets.borrow().find(SERVICE, "t").unwrap();
        let target = (SERVICE, &chosen);
        let mut probe = Box::pin(gateway.probe_after_close(target, &request, Instant::now()));
        assert_eq!(probe.as_mut().now_or_never(), None, "the probe has ended");
        let states = gateway.crash_tracker.states.borrow();
        let crash = CrashKey::new(&chosen.id, chosen.born);
        let Some(CrashState::Probing { interrupted, .. }) = states.get(&crash) else {
            panic!("no probe was started");
        };
        assert!(interrupted.is_empty());
    });
}
