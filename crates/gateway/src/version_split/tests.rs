use linnet_rollout::{RolloutCause, RolloutCommand, RolloutOrder};

use super::*;
use crate::target::TargetStore;
use crate::target::tests::{SERVICE, record};

fn rollouts(permille: u16) -> RolloutStore {
    let mut rollouts = RolloutStore::default();
    rollouts.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: 10_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 0,
    });
    rollouts.apply(&RolloutCommand::SetShare {
        service: "desk".to_owned(),
        expected: (1, 0),
        permille,
        cause: RolloutCause::Time,
    });
    rollouts
}

fn split(permille: u16, is_connected: bool) -> VersionSplit {
    VersionSplit::all_in_progress(&rollouts(permille), is_connected)
        .remove("desk")
        .unwrap()
}

fn count_tested(split: &VersionSplit, draws: usize) -> usize {
    let drawn = (0..draws).map(|_| split.draw_side());
    drawn.filter(|side| *side == VersionSide::Tested).count()
}

#[test]
fn the_version_receives_its_share_and_none_without_a_connection_to_a_control_host() {
    fastrand::seed(7);
    let tested = count_tested(&split(100, true), 10_000);
    assert!((900..1_100).contains(&tested), "{tested}");
    assert_eq!(count_tested(&split(100, false), 10_000), 0);
    assert_eq!(count_tested(&split(1_000, true), 100), 100);
}

#[test]
fn targets_of_a_third_version_or_without_a_version_are_on_the_former_side() {
    let split = split(100, true);
    assert_eq!(split.side_of("v2"), VersionSide::Tested);
    for version in ["v1", "v3", ""] {
        assert_eq!(split.side_of(version), VersionSide::Former);
    }
}

/// Guards against queued calls overflowing to the version when only its targets are idle.
#[test]
fn queued_calls_do_not_overflow_to_the_version() {
    for seed in 0..20 {
        fastrand::seed(seed);
        let mut calls = CallSplit::new(split(50, true));
        for _ in 0..1_000 {
            let version = if calls.allows("v2") { "v2" } else { "v1" };
            assert!(calls.allows(version));
            calls.record_call(version);
        }
        assert!(
            (49..=52).contains(&calls.tested_calls),
            "{}",
            calls.tested_calls
        );
    }
}

#[test]
fn one_side_receives_every_call_at_a_share_of_zero_or_one() {
    let none = CallSplit::new(split(0, true));
    assert!(!none.allows("v2") && none.allows("v1"));
    let all = CallSplit::new(split(1_000, true));
    assert!(all.allows("v2") && !all.allows("v1"));
}

/// Streams of the former version found no target once a roll-out sent all new requests elsewhere.
#[test]
fn targets_of_a_bound_version_are_usable_whatever_share_a_rollout_gives_it() {
    let records = ["v1", "v2"].map(|version| linnet_directory::TargetRecord {
        version: version.to_owned(),
        ..record(version, 1_000)
    });
    let now = std::time::Instant::now();
    for permille in [0, 500, 1_000] {
        let mut store = TargetStore::default();
        store.replace(&records, now);
        store.set_splits(HashMap::from([(SERVICE.to_owned(), split(permille, true))]));
        for version in ["v1", "v2"] {
            let usable = store.usable_by(SERVICE, Some(&version.to_owned()), now);
            let ids: Vec<&str> = usable.iter().map(|one| one.id.as_str()).collect();
            assert_eq!(ids, [version], "{permille}");
        }
    }
}
