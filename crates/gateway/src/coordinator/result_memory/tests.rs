use std::time::Duration;

use super::*;

fn result(name: &str) -> MemoryKey {
    MemoryKey::Result(name.to_owned())
}

#[test]
fn bytes_follow_insertion_replacement_removal_and_expiry() {
    let (mut memory, now) = (ResultMemory::default(), Instant::now());
    let after = |seconds| now + Duration::from_secs(seconds);
    memory.insert(result("a"), 100, after(4));
    memory.insert(result("b"), 50, after(2));
    memory.insert(MemoryKey::Unreported, 30, after(1));
    assert_eq!(memory.bytes(), 180);
    memory.insert(result("a"), 70, after(5));
    assert_eq!(memory.bytes(), 150);
    assert!(memory.remove(&result("b")));
    assert!(!memory.remove(&result("b")));
    assert_eq!(memory.bytes(), 100);
    memory.expire(now);
    assert_eq!(memory.bytes(), 100);
    memory.expire(after(1));
    assert_eq!(memory.bytes(), 70);
    memory.expire(after(5));
    assert_eq!(memory.bytes(), 0);
}

#[test]
fn peer_usage_is_reduced_by_releases_and_not_reported_as_own() {
    let (mut memory, now) = (ResultMemory::default(), Instant::now());
    let until = now + Duration::from_secs(4);
    memory.insert(MemoryKey::Peer("host".to_owned()), 100, until);
    memory.subtract_from_peer(40);
    assert_eq!(memory.bytes(), 60);
    memory.subtract_from_peer(100);
    assert_eq!(memory.bytes(), 0);
    assert_eq!(memory.own_usage(), (0, None));
    memory.insert(result("a"), 10, now);
    memory.insert(MemoryKey::Lost(1), 5, until);
    assert_eq!(memory.own_usage(), (15, Some(until)));
}
