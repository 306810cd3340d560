use super::*;
use crate::{RolloutCommand, RolloutOrder};

fn store() -> RolloutStore {
    let mut store = RolloutStore::default();
    store.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: 10_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 0,
    });
    store
}

#[test]
fn responses_are_counted_by_side_and_route_and_only_during_a_rollout() {
    let mut tracker = ResponseTracker::default();
    tracker.record_response(&RolloutStore::default(), "desk", ("quote", "v1"), None);
    let store = store();
    tracker.record_response(&store, "desk", ("quote", "v2"), None);
    tracker.record_response(&store, "desk", ("quote", "v1"), Some(Some(20.0)));
    tracker.record_response(&store, "desk", ("order", "v9"), Some(None));
    tracker.record_response(&store, "stage", ("quote", "v2"), None);
    let counts = tracker.counts(&store, |_, version| u32::from(version == "v2") * 3);
    assert_eq!(counts.len(), 1);
    assert_eq!(counts[0].former_in_flight, 3);
    let quote = &counts[0].routes[1].1;
    assert_eq!((quote.tested.responses, quote.tested.failures), (1, 1));
    assert_eq!((quote.former.responses, quote.former.times.total()), (1, 1));
    let order = &counts[0].routes[0].1;
    assert_eq!((order.former.responses, order.former.times.total()), (1, 0));
}

#[test]
fn routes_beyond_the_maximum_are_counted_together() {
    let (mut tracker, store) = (ResponseTracker::default(), store());
    for route in 0..1_000 {
        tracker.record_response(&store, "desk", (&route.to_string(), "v1"), Some(None));
    }
    let counts = tracker.counts(&store, |_, _| 0);
    assert!(counts[0].routes.len() <= MAX_ROUTES + 1);
    let responses = counts[0].routes.iter().map(|(_, one)| one.former.responses);
    assert_eq!(responses.sum::<u64>(), 1_000);
}
