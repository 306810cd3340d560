use super::*;

/// Guards against a stop that begins requests which take longer than is left, since the longest ones
/// were forgotten or belong to another route.
#[test]
fn the_longest_of_the_last_two_windows_counts() {
    let (mut times, start) = (RunTimes::default(), Instant::now());
    let seconds = Duration::from_secs;
    let cases = [
        (0, "slow", 5, 5),
        (10, "slow", 1, 5),
        (11, "quick", 2, 2),
        (61, "slow", 3, 5),
        (122, "slow", 1, 3),
        (500, "slow", 2, 2),
    ];
    for (at, route, took, longest) in cases {
        for _ in 0..MIN_REQUESTS {
            times.record(route, seconds(took), start + seconds(at));
        }
        let max_time = seconds(longest).mul_f64(MARGIN);
        assert_eq!(times.max_time(route), Some(max_time), "at {at} s");
    }
    assert_eq!(times.max_time("quick"), Some(seconds(2).mul_f64(MARGIN)));
}

/// Guards against a host that takes the first requests of a route for the longest ones.
#[test]
fn a_few_requests_do_not_tell_how_long_others_take() {
    let (mut times, now) = (RunTimes::default(), Instant::now());
    for _ in 1..MIN_REQUESTS {
        times.record("new", Duration::from_millis(5), now);
        assert_eq!(times.max_time("new"), None);
    }
    times.record("new", Duration::from_millis(5), now);
    assert!(times.max_time("new").is_some());
}
