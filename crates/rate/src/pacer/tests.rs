#![allow(clippy::unwrap_used)]

use super::*;

/// Returns the greatest number of requests in any window of four seconds under constant demand, and
/// the used percentage of the rate.
fn most_in_window(per_second: f64, max_wait: Duration) -> (usize, usize) {
    let begin = BootInstant::now();
    let mut pacer = RatePacer::new(RateLimit::new(per_second), begin);
    let span = Duration::from_secs(60).max(Duration::from_secs_f64(20.0 / per_second));
    let step = Duration::from_micros(500).max(span / 400_000);
    let mut sent: Vec<Duration> = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        while let Ok(wait) = pacer.reserve(begin + at, max_wait) {
            sent.push(at + wait);
        }
        at += step;
    }
    let window = Duration::from_secs(4);
    let counts = sent.iter().map(|from| {
        let inside = sent
            .iter()
            .filter(|at| *at >= from && **at < *from + window);
        inside.count()
    });
    let wanted = (per_second * span.as_secs_f64()) as usize;
    (counts.max().unwrap_or(0), sent.len() * 100 / wanted)
}

#[test]
fn any_window_holds_at_most_the_rate_plus_one_and_the_rate_is_used() {
    for per_second in [0.2, 1.0, 2.0, 7.5, 50.0] {
        let (most, used) = most_in_window(per_second, Duration::from_millis(150));
        let allowed = (per_second * 4.0).ceil() as usize + 1;
        assert!(most <= allowed, "{most} of {allowed} at {per_second}");
        assert!(used >= 90, "{used} of a hundred at {per_second}");
    }
}

#[test]
fn an_idle_pacer_accumulates_no_burst() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(RateLimit::new(2.0), now);
    let later = now + Duration::from_secs(60);
    assert_eq!(pacer.reserve(later, Duration::ZERO), Ok(Duration::ZERO));
    assert_eq!(
        pacer.reserve(later, Duration::ZERO),
        Err(Duration::from_millis(500))
    );
}

#[test]
fn a_zero_rate_allows_one_request_per_max_interval() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(RateLimit::new(0.0), now);
    assert_eq!(pacer.reserve(now, Duration::ZERO), Err(MAX_INTERVAL));
    let later = now + MAX_INTERVAL;
    assert_eq!(pacer.reserve(later, Duration::ZERO), Ok(Duration::ZERO));
}

#[test]
fn a_raised_rate_takes_effect_at_once() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(RateLimit::new(0.1), now);
    pacer.set_rate(RateLimit::new(10.0), now);
    assert_eq!(pacer.time_until_next(now), Duration::from_millis(100));
}

#[test]
fn batches_are_reserved_only_at_high_rates() {
    let now = BootInstant::now();
    let span = Duration::from_millis(20);
    let mut fast = RatePacer::new(RateLimit::new(5_000.0), now);
    assert_eq!(fast.reserve_batch(1_000, span), 100);
    assert_eq!(fast.time_until_next(now), Duration::from_micros(20_200));
    let mut slow = RatePacer::new(RateLimit::new(10.0), now);
    assert_eq!(slow.reserve_batch(1_000, span), 0);
}
