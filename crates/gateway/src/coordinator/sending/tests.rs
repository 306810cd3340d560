use super::*;

#[test]
fn sharing_begins_above_the_bound_and_ends_well_below_it() {
    let start = Instant::now();
    let mut rate = SendingRate::new(100_000.0, start);
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(rate.note(60_000, at(0)), None);
    assert_eq!(rate.note(60_000, at(10)), Some(SharingChange::Begun));
    assert!(rate.is_shared());
    // Between half of the bound and the bound nothing changes.
    assert_eq!(rate.note(1, at(500)), None);
    assert!(rate.is_shared());
    assert_eq!(rate.note(1, at(1_500)), Some(SharingChange::Ended));
    assert!(!rate.is_shared());
}

#[test]
fn a_bound_of_nothing_shares_every_call() {
    let now = Instant::now();
    let mut rate = SendingRate::new(0.0, now);
    assert_eq!(rate.note(1, now), Some(SharingChange::Begun));
}
