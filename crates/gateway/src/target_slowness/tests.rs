use super::*;

const OBJECTIVE: Duration = Duration::from_millis(120);

/// Load of a target in another hall, which is chosen once the load of the one in the own hall is
/// higher.
const OTHER_HALL: f64 = 0.25;

#[test]
fn a_target_within_its_objective_adds_no_load() {
    let now = Instant::now();
    let mut slowness = TargetSlowness::default();
    for took in [5, 40, 119] {
        slowness.record(Duration::from_millis(took), OBJECTIVE, now);
        assert_eq!(slowness.load(now), 0.0);
    }
}

#[test]
fn one_slow_request_diverts_requests_for_a_while() {
    let now = Instant::now();
    let mut slowness = TargetSlowness::default();
    slowness.record(Duration::from_millis(900), OBJECTIVE, now);
    assert!(slowness.load(now) > OTHER_HALL);
    assert!(slowness.load(now + Duration::from_secs(4)) > OTHER_HALL);
    assert!(slowness.load(now + Duration::from_secs(20)) < OTHER_HALL);
}

/// 88 hosts with 1.5 requests a second each; of three targets, the one in the hosts' own hall
/// becomes slow.
#[test]
fn a_slow_target_gets_few_requests() {
    let (mut slow, mut all) = (0, 0);
    let began = Instant::now();
    for host in 0..88_u64 {
        let mut random = fastrand::Rng::with_seed(host);
        let mut slowness = TargetSlowness::default();
        for number in 0..15_u64 {
            let now = began + Duration::from_millis(number * 667);
            all += 1;
            if slowness.load(now) + 0.05 * random.f64() < OTHER_HALL {
                slow += 1;
                slowness.record(Duration::from_millis(600), OBJECTIVE, now);
            }
        }
    }
    println!("{slow} of {all} requests go to the slow target; all of them without the slowness");
    assert!(slow * 5 < all, "{slow} of {all}");
}

#[test]
fn extreme_durations_and_objectives_are_bounded() {
    let now = Instant::now();
    let mut slowness = TargetSlowness::default();
    slowness.record(Duration::MAX, OBJECTIVE, now);
    slowness.record(OBJECTIVE, Duration::ZERO, now);
    assert!(slowness.load(now) <= MAX_RATIO * LOAD_PER_EXCESS);
}
