use super::*;

#[test]
fn delegation_begins_above_the_limit_and_ends_well_below_it() {
    let start = Instant::now();
    let mut rate = SendRate::new(100_000.0, start);
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(rate.record(60_000, at(0)), None);
    assert_eq!(rate.record(60_000, at(10)), Some(DelegationChange::Begun));
    assert!(rate.is_delegating());
    // Between half of the limit and the limit nothing changes.
    assert_eq!(rate.record(1, at(500)), None);
    assert!(rate.is_delegating());
    assert_eq!(rate.record(1, at(1_500)), Some(DelegationChange::Ended));
    assert!(!rate.is_delegating());
}

#[test]
fn a_limit_of_zero_delegates_every_call() {
    let now = Instant::now();
    let mut rate = SendRate::new(0.0, now);
    assert_eq!(rate.record(1, now), Some(DelegationChange::Begun));
}
