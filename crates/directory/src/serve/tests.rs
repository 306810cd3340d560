use super::*;

#[test]
fn updates_to_entry_hosts_are_spread_by_their_number_and_control_hosts_hear_at_once() {
    assert_eq!(push_span(true, 300), Duration::ZERO);
    assert!(push_span(false, 10) < Duration::from_millis(5));
    let span = push_span(false, 300);
    assert!(
        span > Duration::from_millis(100) && span < UPDATE_PERIOD / 3,
        "{span:?}"
    );
}
