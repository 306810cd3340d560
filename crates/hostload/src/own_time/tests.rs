use std::time::Duration;

use super::OwnTime;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_forecast_follows_what_requests_took() {
    // What requests took and the delay meanwhile, and the forecast at a delay of 100 ms, in milliseconds.
    let cases = [
        (2_400, 300, 790..=800),
        (200, 100, 200..=210),
        (90_000, 300, 1_980..=2_000),
        (0, 300, 100..=110),
        (60_000, 49, 400..=400),
    ];
    for (took, delay, expected) in cases {
        let mut own = OwnTime::new();
        for _ in 0..60 {
            own.record(millis(took), millis(delay));
        }
        let forecast = own.forecast(millis(100)).as_millis();
        assert!(expected.contains(&forecast), "{took}, {delay}: {forecast}");
    }
}

#[test]
fn a_host_without_delay_adds_nothing() {
    let mut own = OwnTime::new();
    own.record(millis(9_000), millis(300));
    assert_eq!(own.forecast(Duration::ZERO), Duration::ZERO);
}
