use super::*;

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

#[test]
fn the_hosts_that_were_asked_push_each_version_once_and_at_once() {
    let (mut push, now) = (DocumentPush::new(3), Instant::now());
    assert!(!push.is_due(3, 3, true, now));
    assert!(push.is_due(5, 3, true, now));
    assert!(!push.is_due(5, 3, true, after(now, 5_000)));
    assert!(push.is_due(6, 3, true, after(now, 5_000)));
}

#[test]
fn the_others_push_only_to_a_subscriber_that_stays_behind() {
    // Milliseconds, version held, version reported, whether it is pushed.
    let steps = [
        (0, 4, 3, false),
        (400, 4, 4, false),
        (450, 5, 4, false),
        (900, 6, 4, false),
        (951, 7, 4, true),
        (960, 7, 4, false),
        (970, 8, 4, false),
        (1_400, 8, 8, false),
        (9_000, 8, 8, false),
    ];
    let (mut push, now) = (DocumentPush::new(3), Instant::now());
    for (at, held, reported, due) in steps {
        let found = push.is_due(held, reported, false, after(now, at));
        assert_eq!(found, due, "at {at} ms");
    }
}

#[test]
fn a_subscriber_that_has_none_gets_it_from_the_first_that_it_reaches() {
    let (mut push, now) = (DocumentPush::new(0), Instant::now());
    assert!(!push.is_due(0, 0, false, now));
    assert!(push.is_due(1, 0, false, now));
    assert!(!push.is_due(1, 0, false, now));
}

#[test]
fn a_subscriber_that_keeps_up_with_a_storm_is_left_to_those_that_it_asked() {
    let (mut push, now) = (DocumentPush::new(1), Instant::now());
    for version in 2..100 {
        let at = after(now, version * 60);
        // It reports every 400 ms what it has.
        let reported = version - version % 7;
        assert!(!push.is_due(version, reported, false, at), "{version}");
    }
}
