use super::*;

fn start(store: &mut RolloutStore, version: &str, duration_ms: u64, now_ms: u64) -> RolloutOutcome {
    store.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: version.to_owned(),
            duration_ms,
        },
        former: vec!["v1".to_owned(), String::new()],
        now_ms,
    })
}

fn finish(store: &mut RolloutStore, revision: u64, completed: bool) {
    store.apply(&RolloutCommand::Finish {
        service: "desk".to_owned(),
        revision,
        completed,
        cause: RolloutCause::Evidence,
    });
}

fn newest(store: &RolloutStore) -> RolloutRecord {
    store.newest("desk").unwrap().clone()
}

#[test]
fn a_repeated_order_gets_the_first_outcome_and_a_different_one_is_rejected() {
    let mut store = RolloutStore::default();
    let first = start(&mut store, "v2", 9_000, 1_000);
    assert_eq!(start(&mut store, "v2", 9_000, 4_000), first);
    let other = start(&mut store, "v3", 9_000, 4_000);
    assert!(matches!(other, RolloutOutcome::InProgress(_)), "{other:?}");
    let longer = start(&mut store, "v2", 60_000, 4_000);
    assert!(
        matches!(longer, RolloutOutcome::InProgress(_)),
        "{longer:?}"
    );
    assert_eq!(newest(&store).version, "v2");
}

/// Guards against a second roll-out after the acknowledgement of an order is lost and the version
/// is reverted before the order is repeated.
#[test]
fn a_repeat_shortly_after_the_end_starts_nothing_and_a_later_order_does() {
    let mut store = RolloutStore::default();
    start(&mut store, "v2", 9_000, 1_000);
    finish(&mut store, 1, false);
    start(&mut store, "v2", 9_000, 6_000);
    assert_eq!(newest(&store).state, RolloutState::Reverted);
    start(&mut store, "v2", 9_000, 60_000);
    assert_eq!(newest(&store).state, RolloutState::InProgress);
    assert_eq!(newest(&store).revision, 2);
}

#[test]
fn a_late_command_of_another_roll_out_changes_nothing() {
    let mut store = RolloutStore::default();
    start(&mut store, "v2", 9_000, 1_000);
    finish(&mut store, 1, false);
    start(&mut store, "v3", 9_000, 60_000);
    finish(&mut store, 1, true);
    store.apply(&RolloutCommand::SetShare {
        service: "desk".to_owned(),
        expected: (1, 0),
        permille: 900,
        cause: RolloutCause::Evidence,
    });
    let newest = newest(&store);
    assert_eq!((newest.revision, newest.permille), (2, 0));
    assert!(newest.is_in_progress());
}

#[test]
fn version_status_depends_on_the_version_and_the_final_state() {
    let mut store = RolloutStore::default();
    let statuses = |store: &RolloutStore| {
        ["v1", "v2", "v3", ""].map(|version| store.version_status("desk", version))
    };
    use VersionStatus::{Excluded, UnderTest, Unrestricted};
    assert_eq!(
        statuses(&store),
        [Unrestricted, Unrestricted, Unrestricted, Unrestricted]
    );
    start(&mut store, "v2", 9_000, 1_000);
    assert_eq!(
        statuses(&store),
        [Unrestricted, UnderTest, Unrestricted, Unrestricted]
    );
    let mut reverted = store.clone();
    finish(&mut reverted, 1, false);
    assert_eq!(
        statuses(&reverted),
        [Unrestricted, Excluded, Unrestricted, Unrestricted]
    );
    finish(&mut store, 1, true);
    // A third version appeared later and is not affected.
    assert_eq!(
        statuses(&store),
        [Excluded, Unrestricted, Unrestricted, Excluded]
    );
}

#[test]
fn merge_keeps_the_newer_record_and_history_is_bounded() {
    let mut store = RolloutStore::default();
    start(&mut store, "v2", 9_000, 1_000);
    let early = store.clone();
    finish(&mut store, 1, false);
    assert!(!store.merge(&early));
    let mut other = early;
    assert!(other.merge(&store));
    assert_eq!(other, store);
    for round in 0..20 {
        start(&mut store, "v2", 1, 1_000_000 * (round + 1));
        let revision = newest(&store).revision;
        finish(&mut store, revision, false);
    }
    assert_eq!(store.history("desk").len(), MAX_RECORDS_PER_SERVICE);
    assert_eq!(newest(&store).revision, 21);
}

#[test]
fn invalid_orders_are_refused() {
    let check = |version: &str, duration_ms| {
        let order = RolloutOrder {
            service: "desk".to_owned(),
            version: version.to_owned(),
            duration_ms,
        };
        order.check()
    };
    use crate::OrderError::{EmptyVersion, InvalidDuration, InvalidVersion, VersionTooLong};
    assert_eq!(check("v2", 12_000), Ok(()));
    assert_eq!(check("", 12_000), Err(EmptyVersion));
    assert_eq!(check("v 2", 12_000), Err(InvalidVersion));
    assert_eq!(check("v\u{e9}", 12_000), Err(InvalidVersion));
    assert_eq!(
        check(&"v".repeat(10_240), 12_000),
        Err(VersionTooLong(10_240))
    );
    assert_eq!(check("v2", 0), Err(InvalidDuration(0)));
    let year = 365 * 24 * 60 * 60 * 1_000;
    assert_eq!(check("v2", year), Err(InvalidDuration(year)));
}
