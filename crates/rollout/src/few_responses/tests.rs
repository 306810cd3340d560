use super::*;
use crate::RouteCounts;

fn totals(tested: (u64, u64), former: (u64, u64)) -> RolloutTotals {
    let mut counts = RouteCounts::default();
    (counts.tested.responses, counts.tested.failures) = tested;
    (counts.former.responses, counts.former.failures) = former;
    let mut totals = RolloutTotals::default();
    let routes = totals.phases.entry((1, 1)).or_default();
    routes.insert("report".to_owned(), counts);
    totals
}

#[test]
fn the_tail_probability_is_that_of_the_hypergeometric_distribution() {
    let is_near = |found: f64, wanted: f64| (found - wanted).abs() < 1e-12;
    assert!(is_near(tail_probability(2, 2, 4, 2), 1.0 / 6.0));
    assert!(is_near(tail_probability(2, 1, 4, 2), 5.0 / 6.0));
    assert!(is_near(tail_probability(2, 0, 4, 2), 1.0));
    assert!(is_near(tail_probability(13, 3, 171, 3), 286.0 / 818_805.0));
    assert!(is_near(tail_probability(0, 0, 10, 3), 1.0));
}

#[test]
fn a_version_without_failures_or_without_responses_does_not_fail_more_often() {
    assert!(!fails_more_often(&totals((0, 0), (0, 0))));
    assert!(!fails_more_often(&totals((0, 0), (100, 40))));
    assert!(!fails_more_often(&totals((29, 0), (1_000, 0))));
    assert!(!fails_more_often(&totals((1, 1), (1, 0))));
}
