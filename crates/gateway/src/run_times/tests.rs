use super::*;

/// Guards against a stop that begins requests which take longer than is left, since the longest ones
/// were forgotten or belong to another route.
#[test]
fn the_longest_of_the_last_two_windows_counts() {
    let (mut times, start) = (RunTimes::default(), Instant::now());
    let seconds = Duration::from_secs;
    assert_eq!(times.longest("slow"), None);
    let cases = [
        (0, "slow", 5, 5),
        (10, "slow", 1, 5),
        (11, "quick", 2, 2),
        (61, "slow", 3, 5),
        (122, "slow", 1, 3),
        (500, "slow", 2, 2),
    ];
    for (at, route, took, longest) in cases {
        times.record(route, seconds(took), start + seconds(at));
        assert_eq!(times.longest(route), Some(seconds(longest)), "at {at} s");
    }
    assert_eq!(times.longest("quick"), Some(seconds(2)));
}
