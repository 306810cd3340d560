use linnet_directory::TargetState;

use super::*;

pub(crate) const SERVICE: &str = "desk";

pub(crate) fn record(id: &str, port: u16) -> TargetRecord {
    TargetRecord {
        version: String::new(),
        id: id.to_owned(),
        born: 0,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        hall: "hall-0".to_owned(),
        slots: 6,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    }
}

/// Creates a store with targets `t-0`, `t-1` and so on.
pub(crate) fn store_with(count: u16) -> TargetStore {
    let records: Vec<TargetRecord> = (0..count)
        .map(|number| record(&format!("t-{number}"), 1_000 + number))
        .collect();
    let mut store = TargetStore::default();
    store.replace(&records, Instant::now());
    store
}

fn usable(store: &TargetStore, now: Instant) -> Vec<String> {
    let usable = store.usable(SERVICE, now).into_iter();
    usable.map(|target| target.id.clone()).collect()
}

#[test]
fn two_failures_in_a_row_eject_a_target_and_a_success_between_them_does_not() {
    let (mut store, now) = (store_with(3), Instant::now());
    assert!(!store.record_failure(SERVICE, "t-0", now));
    store.record_success(SERVICE, "t-0");
    assert!(!store.record_failure(SERVICE, "t-0", now));
    assert_eq!(usable(&store, now), ["t-0", "t-1", "t-2"]);
    assert!(store.record_failure(SERVICE, "t-0", now));
    assert_eq!(usable(&store, now), ["t-1", "t-2"]);
}

#[test]
fn an_ejected_target_returns_after_a_time_that_grows_with_each_ejection() {
    let (mut store, start) = (store_with(3), Instant::now());
    let mut now = start;
    let mut spans = Vec::new();
    for _ in 0..6 {
        while !store.record_failure(SERVICE, "t-0", now) {}
        let left = now;
        while usable(&store, now).len() < 3 {
            now += Duration::from_millis(100);
        }
        spans.push(now - left);
    }
    assert_eq!(spans[0], BASE_EJECTION_TIME);
    assert!(spans.is_sorted(), "{spans:?}");
    assert_eq!(spans[5], MAX_EJECTION_TIME);
    store.record_success(SERVICE, "t-0");
    while !store.record_failure(SERVICE, "t-0", now) {}
    assert_eq!(usable(&store, now + BASE_EJECTION_TIME).len(), 3);
}

#[test]
fn failures_eject_at_most_a_fixed_fraction_of_a_service() {
    let (mut store, now) = (store_with(5), Instant::now());
    for number in 0..5 {
        let id = format!("t-{number}");
        store.record_failure(SERVICE, &id, now);
        store.record_failure(SERVICE, &id, now);
    }
    assert_eq!(usable(&store, now), ["t-3", "t-4"]);
}

#[test]
fn unreachable_targets_are_ejected_at_once_without_a_cap_and_all_are_used_if_none_remains() {
    let (mut store, now) = (store_with(3), Instant::now());
    store.record_unreachable(SERVICE, "t-0", now);
    store.record_unreachable(SERVICE, "t-1", now);
    assert_eq!(usable(&store, now), ["t-2"]);
    store.record_unreachable(SERVICE, "t-2", now);
    assert_eq!(usable(&store, now), ["t-0", "t-1", "t-2"]);
}

#[test]
fn a_new_list_keeps_the_state_of_listed_targets_and_drops_the_rest() {
    let (mut store, now) = (store_with(2), Instant::now());
    store.record_unreachable(SERVICE, "t-0", now);
    store.find_mut(SERVICE, "t-0").unwrap().in_flight = 3;
    store.replace(
        &[record("t-0", 1_000), record("t-2", 1_002)],
        Instant::now(),
    );
    assert_eq!(usable(&store, now), ["t-2"]);
    assert_eq!(store.find_mut(SERVICE, "t-0").unwrap().in_flight, 3);
    assert!(store.find(SERVICE, "t-1").is_none());
    // A target that was removed and came back is a new incarnation: it has no state.
    store.replace(&[record("t-2", 1_002)], Instant::now());
    store.replace(
        &[record("t-0", 1_000), record("t-2", 1_002)],
        Instant::now(),
    );
    assert_eq!(usable(&store, now), ["t-0", "t-2"]);
}

#[test]
fn a_target_found_to_be_another_incarnation_is_removed() {
    let mut store = store_with(2);
    assert_eq!(
        store.hall_at(SERVICE, "127.0.0.1:1001").as_deref(),
        Some("hall-0")
    );
    store.remove(SERVICE, "t-1");
    assert!(store.find(SERVICE, "t-1").is_none());
    assert_eq!(store.hall_at(SERVICE, "127.0.0.1:1001"), None);
}

#[test]
fn a_target_unreachable_from_another_host_is_avoided_briefly() {
    let (mut store, now) = (store_with(3), Instant::now());
    let ejected = |store: &TargetStore, now| -> Vec<String> {
        let ejected = store.avoided(SERVICE, now);
        ejected.map(|target| target.id.clone()).collect()
    };
    for _ in 0..20 {
        store.apply_peer_unreachable(SERVICE, "t-1", now);
    }
    assert_eq!(ejected(&store, now), ["t-1"]);
    assert_eq!(store.usable(SERVICE, now).len(), 2);
    let later = now + BASE_EJECTION_TIME;
    assert!(
        ejected(&store, later).is_empty(),
        "however often it was reported"
    );
    store.record_unreachable(SERVICE, "t-2", later);
    assert_eq!(ejected(&store, later), ["t-2"]);
}

#[test]
fn the_cooldown_of_a_refusing_target_doubles_until_it_accepts_a_request() {
    let (mut store, start) = (store_with(3), Instant::now());
    let mut now = start;
    let mut spans = Vec::new();
    for _ in 0..7 {
        store.record_refusal(SERVICE, "t-0", now);
        let refused = now;
        while usable(&store, now).len() < 3 {
            now += Duration::from_millis(10);
        }
        spans.push(now - refused);
    }
    assert_eq!(spans[0], REFUSAL_COOLDOWN);
    assert!(spans.is_sorted(), "{spans:?}");
    assert_eq!(
        spans[6],
        REFUSAL_COOLDOWN * 2_u32.pow(MAX_COOLDOWN_DOUBLINGS)
    );
    store.record_success(SERVICE, "t-0");
    store.record_refusal(SERVICE, "t-0", now);
    assert_eq!(usable(&store, now + REFUSAL_COOLDOWN).len(), 3);
}

#[test]
fn reachable_targets_are_used_if_all_refuse() {
    let (mut store, now) = (store_with(3), Instant::now());
    store.record_unreachable(SERVICE, "t-0", now);
    store.record_refusal(SERVICE, "t-1", now);
    assert_eq!(usable(&store, now), ["t-2"]);
    store.record_refusal(SERVICE, "t-2", now);
    assert_eq!(usable(&store, now), ["t-1", "t-2"]);
    store.record_unreachable(SERVICE, "t-1", now);
    store.record_unreachable(SERVICE, "t-2", now);
    assert_eq!(usable(&store, now), ["t-0", "t-1", "t-2"]);
}
