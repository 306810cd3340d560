use std::time::Duration;

use super::*;

fn result(name: &str) -> HeldKey {
    HeldKey::Result(name.to_owned())
}

#[test]
fn bytes_follow_what_is_noted_replaced_removed_and_expired() {
    let (mut held, now) = (HeldResults::default(), Instant::now());
    let after = |seconds| now + Duration::from_secs(seconds);
    held.insert(result("a"), 100, after(4));
    held.insert(result("b"), 50, after(2));
    held.insert(HeldKey::Others, 30, after(1));
    assert_eq!(held.bytes(), 180);
    held.insert(result("a"), 70, after(5));
    assert_eq!(held.bytes(), 150);
    assert!(held.remove(&result("b")));
    assert!(!held.remove(&result("b")));
    assert_eq!(held.bytes(), 100);
    held.expire(now);
    assert_eq!(held.bytes(), 100);
    held.expire(after(1));
    assert_eq!(held.bytes(), 70);
    held.expire(after(5));
    assert_eq!(held.bytes(), 0);
}

#[test]
fn what_others_told_is_taken_off_and_is_not_told_on() {
    let (mut held, now) = (HeldResults::default(), Instant::now());
    let until = now + Duration::from_secs(4);
    held.insert(HeldKey::Told("host".to_owned()), 100, until);
    held.take_off_told(40);
    assert_eq!(held.bytes(), 60);
    held.take_off_told(100);
    assert_eq!(held.bytes(), 0);
    assert_eq!(held.own(), (0, None));
    held.insert(result("a"), 10, now);
    held.insert(HeldKey::Lost(1), 5, until);
    assert_eq!(held.own(), (15, Some(until)));
}
