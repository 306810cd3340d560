use linnet_rollout::{RolloutCause, RolloutCommand, RolloutOrder};

use super::*;

fn book(permille: u16) -> RolloutStore {
    let mut book = RolloutStore::default();
    book.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: 10_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 0,
    });
    book.apply(&RolloutCommand::SetShare {
        service: "desk".to_owned(),
        expected: (1, 0),
        permille,
        cause: RolloutCause::Time,
    });
    book
}

fn split(permille: u16, hears: bool) -> VersionSplit {
    VersionSplit::all_of(&book(permille), hears)
        .remove("desk")
        .unwrap()
}

fn tested_of(split: &VersionSplit, draws: usize) -> usize {
    let drawn = (0..draws).map(|_| split.draw());
    drawn.filter(|side| *side == VersionSide::Tested).count()
}

#[test]
fn a_host_gives_the_version_its_share_and_none_where_it_hears_no_control_host() {
    fastrand::seed(7);
    let tested = tested_of(&split(100, true), 10_000);
    assert!((900..1_100).contains(&tested), "{tested}");
    assert_eq!(tested_of(&split(100, false), 10_000), 0);
    assert_eq!(tested_of(&split(1_000, true), 100), 100);
}

#[test]
fn targets_of_a_third_version_or_of_none_are_on_the_former_side() {
    let split = split(100, true);
    assert_eq!(split.side_of("v2"), VersionSide::Tested);
    for version in ["v1", "v3", ""] {
        assert_eq!(split.side_of(version), VersionSide::Former);
    }
}

/// Nothing is free but targets of the version, time and again.
#[test]
fn calls_that_wait_do_not_flow_over_to_the_version() {
    for seed in 0..20 {
        fastrand::seed(seed);
        let mut calls = CallSplit::new(split(50, true));
        for _ in 0..1_000 {
            let version = if calls.allows("v2") { "v2" } else { "v1" };
            assert!(calls.allows(version));
            calls.note(version);
        }
        assert!((49..=52).contains(&calls.tested), "{}", calls.tested);
    }
}

#[test]
fn with_no_share_or_with_all_one_side_gets_every_call() {
    let none = CallSplit::new(split(0, true));
    assert!(!none.allows("v2") && none.allows("v1"));
    let all = CallSplit::new(split(1_000, true));
    assert!(all.allows("v2") && !all.allows("v1"));
}
