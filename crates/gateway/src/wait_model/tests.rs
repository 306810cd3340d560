use super::*;

const RANK: Rank = Rank {
    account_priority: 1,
    route_priority: 1,
};

fn plan(waits_ms: f64) -> PathPlan {
    PathPlan {
        stages_ms: 500.0,
        waits_ms,
        reading_ms: 100.0,
    }
}

#[test]
fn a_rank_that_waits_longer_than_planned_is_expected_to() {
    let mut model = WaitModel::default();
    assert_eq!(model.expected_ms(RANK, &plan(200.0)), 800.0);
    for _ in 0..50 {
        model.learn(RANK, &plan(200.0), Duration::from_millis(1_100));
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
fn one_observation_says_little_and_no_rank_is_expected_to_be_faster_than_its_queue() {
    let mut model = WaitModel::default();
    model.learn(RANK, &plan(200.0), Duration::from_secs(3_600));
    assert!(model.expected_ms(RANK, &plan(200.0)) <= 1_000.0);
    for _ in 0..50 {
        model.learn(RANK, &plan(200.0), Duration::from_millis(1));
    }
    assert_eq!(model.expected_ms(RANK, &plan(200.0)), 800.0);
}
