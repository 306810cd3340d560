use super::*;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

#[test]
fn orders_that_may_have_waited_in_a_suspended_host_are_refused() {
    let mut meter = SuspensionMeter::default();
    let start = meter.checked_at;
    assert!(meter.admit(start + seconds(0.4)).is_some());
    // The first thing that a host does when it goes on may be to read an order.
    let resumed_at = start + seconds(3.0);
    assert!(meter.admit(resumed_at).is_none());
    for check in 1..20 {
        let now = resumed_at + CHECK_INTERVAL * check;
        assert_eq!(meter.check(now), None);
        assert_eq!(meter.admit(now).is_some(), now - resumed_at >= READ_DELAY);
    }
    assert!(meter.admit(resumed_at + READ_DELAY).is_some());
}

#[test]
fn an_order_is_not_proposed_again_once_its_operator_asks_another_host() {
    let mut meter = SuspensionMeter::default();
    let now = meter.checked_at;
    let order = meter.admit(now).expect("admitted");
    assert!(order.is_current(now + seconds(0.1)));
    assert!(!order.is_current(now + ORDER_LIFETIME));
    assert!(ORDER_LIFETIME + MIN_SUSPENSION <= seconds(1.0));
}
