use super::*;

const RANK: Rank = Rank {
    account_priority: 1,
    route_priority: 1,
};

fn plan(waits_ms: f64) -> PathEstimate {
    PathEstimate {
        stages_ms: 500.0,
        waits_ms,
        prefill_ms: 100.0,
    }
}

#[test]
fn expected_waits_follow_longer_waits_of_the_rank() {
    let mut model = WaitModel::default();
    assert_eq!(model.expected_ms(RANK, &plan(200.0)), 800.0);
    for _ in 0..50 {
        model.record_wait(RANK, &plan(200.0), Duration::from_millis(1_100));
    }
    let expected = model.expected_ms(RANK, &plan(200.0));
    assert!((1_190.0..=1_200.0).contains(&expected), "{expected}");
    let other = Rank {
        route_priority: 0,
        ..RANK
    };
    assert_eq!(model.expected_ms(other, &plan(200.0)), 800.0);
}

#[test]
fn one_sample_changes_little_and_no_rank_is_expected_to_be_faster_than_its_queue() {
    let mut model = WaitModel::default();
    model.record_wait(RANK, &plan(200.0), Duration::from_secs(3_600));
    assert!(model.expected_ms(RANK, &plan(200.0)) <= 1_000.0);
    for _ in 0..50 {
        model.record_wait(RANK, &plan(200.0), Duration::from_millis(1));
    }
    assert_eq!(model.expected_ms(RANK, &plan(200.0)), 800.0);
}

#[test]
fn a_ratio_without_samples_is_one_and_has_no_sample_time() {
    let mut model = WaitModel::default();
    assert!(model.wait_ratio(RANK).sampled_at.is_none());
    assert_eq!(model.wait_ratio(RANK).ratio, 1.0);
    let before = Instant::now();
    model.record_wait(RANK, &plan(200.0), Duration::from_millis(1_100));
    let known = model.wait_ratio(RANK);
    assert!(known.ratio > 1.0);
    assert!(known.sampled_at.is_some_and(|at| at >= before));
}
