use super::*;

fn counts(responses: u64, failures: u64, time_ms: f64) -> VersionCounts {
    let mut counts = VersionCounts::default();
    (0..failures).for_each(|_| counts.record(None));
    (failures..responses).for_each(|_| counts.record(Some(Some(time_ms))));
    counts
}

fn sums(routes: &[(&str, VersionCounts, VersionCounts)]) -> RolloutTotals {
    let routes = routes.iter().map(|(route, tested, former)| {
        let counts = RouteCounts {
            tested: tested.clone(),
            former: former.clone(),
        };
        ((*route).to_owned(), counts)
    });
    RolloutTotals {
        phases: [((1, 1), routes.collect())].into(),
        ..RolloutTotals::default()
    }
}

#[test]
fn nothing_counted_says_nothing() {
    assert_eq!(evaluate_rollout(&RolloutTotals::default()).against, 0.0);
}

#[test]
fn versions_that_answer_alike_are_not_told_apart_however_bad_both_are() {
    for failures in [0, 20, 100, 200] {
        let verdict = evaluate_rollout(&sums(&[(
            "quote",
            counts(20, failures / 10, 30.0),
            counts(200, failures, 30.0),
        )]));
        assert!(verdict.against < 3.0, "{failures}: {verdict:?}");
    }
}

#[test]
fn failures_on_one_route_only_are_found_and_named() {
    let good = || counts(500, 0, 30.0);
    let verdict = evaluate_rollout(&sums(&[
        ("audit", good(), good()),
        ("order", counts(12, 6, 30.0), counts(200, 0, 30.0)),
        ("quote", good(), good()),
    ]));
    assert!(verdict.against > 6.91, "{verdict:?}");
    assert_eq!(verdict.cause, RolloutCause::Failures("order".to_owned()));
}

#[test]
fn answers_that_come_in_thrice_the_time_are_found() {
    let verdict = evaluate_rollout(&sums(&[(
        "quote",
        counts(20, 0, 90.0),
        counts(200, 0, 30.0),
    )]));
    assert!(verdict.against > 6.91, "{verdict:?}");
    assert!(matches!(verdict.cause, RolloutCause::Slowness(_)));
}

#[test]
fn a_little_more_time_is_no_fault() {
    let verdict = evaluate_rollout(&sums(&[(
        "quote",
        counts(200, 0, 40.0),
        counts(2_000, 0, 30.0),
    )]));
    assert!(verdict.against < 3.0, "{verdict:?}");
}
