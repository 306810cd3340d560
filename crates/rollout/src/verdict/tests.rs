use super::*;

fn counts(responses: u64, failures: u64, time_ms: f64) -> VersionCounts {
    let mut counts = VersionCounts::default();
    (0..failures).for_each(|_| counts.record(None));
    (failures..responses).for_each(|_| counts.record(Some(Some(time_ms))));
    counts
}

fn totals(routes: &[(&str, VersionCounts, VersionCounts)]) -> RolloutTotals {
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
fn no_counts_give_no_evidence() {
    assert_eq!(evaluate_rollout(&RolloutTotals::default()).log_gain, 0.0);
}

#[test]
fn equally_good_or_bad_versions_give_no_evidence() {
    for failures in [0, 20, 100, 200] {
        let verdict = evaluate_rollout(&totals(&[(
            "quote",
            counts(20, failures / 10, 30.0),
            counts(200, failures, 30.0),
        )]));
        assert!(verdict.log_gain < 3.0, "{failures}: {verdict:?}");
    }
}

#[test]
fn failures_on_a_single_route_are_detected_and_attributed() {
    let good = || counts(500, 0, 30.0);
    let verdict = evaluate_rollout(&totals(&[
        ("audit", good(), good()),
        ("order", counts(12, 6, 30.0), counts(200, 0, 30.0)),
        ("quote", good(), good()),
    ]));
    assert!(verdict.log_gain > 6.91, "{verdict:?}");
    assert_eq!(verdict.cause, RolloutCause::Failures("order".to_owned()));
}

#[test]
fn responses_that_take_three_times_as_long_are_detected() {
    let verdict = evaluate_rollout(&totals(&[(
        "quote",
        counts(20, 0, 90.0),
        counts(200, 0, 30.0),
    )]));
    assert!(verdict.log_gain > 6.91, "{verdict:?}");
    assert!(matches!(verdict.cause, RolloutCause::Slowness(_)));
}

#[test]
fn slightly_slower_responses_are_accepted() {
    let verdict = evaluate_rollout(&totals(&[(
        "quote",
        counts(200, 0, 40.0),
        counts(2_000, 0, 30.0),
    )]));
    assert!(verdict.log_gain < 3.0, "{verdict:?}");
}
