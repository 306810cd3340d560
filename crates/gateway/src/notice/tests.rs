use http::Response;

use super::*;
use crate::gateway::tests::protocol;

/// 6 November 1994, 8:49:37, as in the standard of the dates.
const SENT: &str = "Sun, 06 Nov 1994 08:49:37 GMT";

fn head(status: u16, headers: &[(&str, &str)]) -> Parts {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    answer.body(()).unwrap().into_parts().0
}

fn back_off(headers: &[(&str, &str)]) -> Option<Duration> {
    read_notice(&protocol(), &head(503, headers), Some("r")).back_off
}

fn named(value: &str) -> Option<Duration> {
    back_off(&[("date", SENT), ("retry-after", value)])
}

#[test]
fn a_time_to_come_back_is_read_in_all_its_forms() {
    assert_eq!(named("3"), Some(Duration::from_secs(3)));
    assert_eq!(named(" 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(named("1."), Some(Duration::from_secs(1)));
    assert_eq!(
        named("Sun, 06 Nov 1994 08:49:41 GMT"),
        Some(Duration::from_secs(4))
    );
    assert_eq!(
        named("Sunday, 06-Nov-94 08:49:41 GMT"),
        Some(Duration::from_secs(4))
    );
}

#[test]
fn what_names_no_time_to_wait_asks_for_nothing() {
    for value in [
        "0", "0.0", "-3", "", "soon", "inf", "NaN", "1e3", "3 s", "1,5", "+", ".",
    ] {
        assert_eq!(named(value), None, "{value:?}");
    }
    assert_eq!(named("Sun, 06 Nov 1994 08:49:30 GMT"), None, "in the past");
    assert_eq!(back_off(&[]), None);
}

#[test]
fn a_time_without_end_is_bounded() {
    let digits = "9".repeat(400);
    for value in [
        "1000000000",
        digits.as_str(),
        "Fri, 31 Dec 9999 23:59:59 GMT",
    ] {
        assert_eq!(named(value), Some(MOST_BACK_OFF), "{value:?}");
    }
}

#[test]
fn the_longest_of_several_times_counts_and_bad_ones_hide_no_good_one() {
    let times = [
        ("retry-after", "1"),
        ("retry-after", "x"),
        ("retry-after", "2"),
    ];
    assert_eq!(back_off(&times), Some(Duration::from_secs(2)));
}

#[test]
fn only_a_target_that_turns_a_request_away_asks_whether_or_not_it_says_not_run() {
    let wait = ("retry-after", "2");
    assert!(back_off(&[wait]).is_some());
    assert!(back_off(&[wait, ("x-not-run", "1")]).is_some());
    for status in [200, 301, 409, 421, 429, 500, 502] {
        let notice = read_notice(&protocol(), &head(status, &[wait]), Some("r"));
        assert!(!notice.closes(), "{status}");
    }
}

#[test]
fn a_surplus_answer_says_nothing_of_the_target() {
    let said = [("retry-after", "2"), ("x-leaving", "1")];
    let read = |id: &[(&str, &str)], asked| {
        let headers = [&said[..], id].concat();
        read_notice(&protocol(), &head(503, &headers), asked)
    };
    let all = TargetNotice {
        back_off: Some(Duration::from_secs(2)),
        leaving: true,
        rate: RateNotice::Any,
    };
    assert_eq!(read(&[("x-request", "r")], Some("r")), all);
    assert_eq!(read(&[], Some("r")), all);
    assert_eq!(read(&[], None), all);
    assert_eq!(read(&[("x-request", "")], None), all);
    assert_eq!(
        read(&[("x-request", "other")], Some("r")),
        TargetNotice::default()
    );
    assert_eq!(
        read(&[("x-request", "other")], None),
        TargetNotice::default()
    );
}

#[test]
fn any_answer_may_say_that_its_target_leaves() {
    for status in [200, 409, 500, 503] {
        let notice = read_notice(&protocol(), &head(status, &[("x-leaving", "1")]), Some("r"));
        assert!(notice.leaving, "{status}");
        let notice = read_notice(&protocol(), &head(status, &[("x-leaving", "0")]), Some("r"));
        assert!(!notice.leaving, "{status}");
    }
    let other = read_notice(&protocol(), &head(421, &[("x-leaving", "1")]), Some("r"));
    assert!(
        !other.leaving,
        "another start at the address speaks for itself"
    );
}

fn rate(status: u16, headers: &[(&str, &str)]) -> RateNotice {
    read_notice(&protocol(), &head(status, headers), Some("r")).rate
}

#[test]
fn every_answer_of_a_target_tells_its_rate_and_the_lowest_of_several_counts() {
    let named = |per_second| RateNotice::Named(NamedRate::new(per_second));
    for status in [200, 400, 409, 429, 500, 503] {
        assert_eq!(rate(status, &[("x-rate", "2.5")]), named(2.5), "{status}");
        assert_eq!(rate(status, &[]), RateNotice::Any, "{status}");
    }
    let several = [("x-rate", "3"), ("x-rate", "bad"), ("x-rate", "1")];
    assert_eq!(rate(200, &several), named(1.0));
    assert_eq!(rate(421, &[("x-rate", "1")]), RateNotice::Unsaid);
    let surplus = [("x-rate", "1"), ("x-request", "other")];
    assert_eq!(rate(200, &surplus), RateNotice::Unsaid);
}

#[test]
fn a_rate_that_cannot_be_read_changes_nothing() {
    for value in ["", "-1", "nan", "inf", "1e300", "soon"] {
        assert_eq!(
            rate(200, &[("x-rate", value)]),
            RateNotice::Unreadable,
            "{value:?}"
        );
    }
}
