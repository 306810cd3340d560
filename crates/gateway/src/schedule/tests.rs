use super::*;

/// A stage with large results beside a chain of two other stages.
fn schedule(large_ms: f64, first_ms: f64, second_ms: f64, now: Instant) -> StageSchedule {
    let ends = vec![large_ms, first_ms, first_ms + second_ms];
    StageSchedule::plan(&[0], ends, &[large_ms, first_ms, second_ms], now)
}

#[test]
fn a_large_stage_starts_when_it_will_be_ready_with_the_others() {
    let now = Instant::now();
    // Durations of the large stage and of the others; delay of the large stage from `now`.
    let cases = [
        (200.0, 300.0, 500.0, 460),
        (200.0, 150.0, 200.0, 10),
        (200.0, 100.0, 100.0, 0),
        (400.0, 100.0, 100.0, 0),
    ];
    for (large, first, second, start_ms) in cases {
        let schedule = schedule(large, first, second, now);
        let start = schedule
            .start_time(0)
            .unwrap()
            .saturating_duration_since(now);
        assert_eq!(start.as_millis(), start_ms, "{large} {first} {second}");
        assert_eq!(schedule.start_time(1), None);
    }
}

#[test]
fn the_start_follows_the_others_when_they_are_later_or_sooner_than_planned() {
    let now = Instant::now();
    let mut schedule = schedule(200.0, 300.0, 500.0, now);
    schedule.record_stage_end(1, now + Duration::from_millis(700));
    assert_eq!(
        schedule.start_time(0).unwrap() - now,
        Duration::from_millis(860)
    );
    schedule.record_stage_end(1, now + Duration::from_millis(100));
    assert_eq!(
        schedule.start_time(0).unwrap() - now,
        Duration::from_millis(260)
    );
    schedule.record_stage_end(2, now + Duration::from_millis(600));
    assert!(schedule.start_time(0).unwrap() < now + Duration::from_millis(600));
}

#[test]
fn a_request_whose_only_stage_is_large_starts_it_at_once() {
    let now = Instant::now();
    let schedule = StageSchedule::plan(&[0], vec![250.0], &[250.0], now);
    assert!(schedule.is_delayed(0));
    assert!(schedule.start_time(0).unwrap() <= now);
}
