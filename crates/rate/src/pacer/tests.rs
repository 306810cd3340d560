#![allow(clippy::unwrap_used)]

use super::*;

/// Returns how many requests go in each window of four seconds at most, where callers always want more.
fn most_in_window(per_second: f64, within: Duration) -> (usize, usize) {
    let begin = BootInstant::now();
    let mut pacer = RatePacer::new(NamedRate::new(per_second), begin);
    let span = Duration::from_secs(60).max(Duration::from_secs_f64(20.0 / per_second));
    let step = Duration::from_micros(500).max(span / 400_000);
    let mut sent: Vec<Duration> = Vec::new();
    let mut at = Duration::ZERO;
    while at < span {
        while let Ok(wait) = pacer.reserve(begin + at, within) {
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
fn no_window_has_more_than_the_rate_and_one_and_the_rate_is_used() {
    for per_second in [0.2, 1.0, 2.0, 7.5, 50.0] {
        let (most, used) = most_in_window(per_second, Duration::from_millis(150));
        let allowed = (per_second * 4.0).ceil() as usize + 1;
        assert!(most <= allowed, "{most} of {allowed} at {per_second}");
        assert!(used >= 90, "{used} of a hundred at {per_second}");
    }
}

#[test]
fn a_pacer_that_rested_saves_nothing_up() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(NamedRate::new(2.0), now);
    let later = now + Duration::from_secs(60);
    assert_eq!(pacer.reserve(later, Duration::ZERO), Ok(Duration::ZERO));
    assert_eq!(
        pacer.reserve(later, Duration::ZERO),
        Err(Duration::from_millis(500))
    );
}

#[test]
fn a_rate_of_nothing_lets_one_request_try_now_and_then() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(NamedRate::new(0.0), now);
    assert_eq!(pacer.reserve(now, Duration::ZERO), Err(MOST_INTERVAL));
    let later = now + MOST_INTERVAL;
    assert_eq!(pacer.reserve(later, Duration::ZERO), Ok(Duration::ZERO));
}

#[test]
fn a_rate_that_rises_holds_at_once() {
    let now = BootInstant::now();
    let mut pacer = RatePacer::new(NamedRate::new(0.1), now);
    pacer.set_rate(NamedRate::new(10.0), now);
    assert_eq!(pacer.wait(now), Duration::from_millis(100));
}

#[test]
fn many_requests_are_reserved_at_once_only_where_the_rate_is_high() {
    let now = BootInstant::now();
    let span = Duration::from_millis(20);
    let mut fast = RatePacer::new(NamedRate::new(5_000.0), now);
    assert_eq!(fast.reserve_more(1_000, span), 100);
    assert_eq!(fast.wait(now), Duration::from_micros(20_200));
    let mut slow = RatePacer::new(NamedRate::new(10.0), now);
    assert_eq!(slow.reserve_more(1_000, span), 0);
}
