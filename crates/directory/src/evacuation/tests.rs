use super::*;

fn order(evacuated: bool, seen_revision: u64) -> EvacuationOrder {
    EvacuationOrder {
        hall: "north".to_owned(),
        evacuated,
        seen_revision,
    }
}

#[test]
fn repeated_order_changes_nothing() {
    let mut store = EvacuationStore::default();
    let first = store.apply(&order(true, 0));
    assert_eq!(store.apply(&order(true, 0)), first);
    assert_eq!(store.apply(&order(true, 1)), first);
    assert!(store.is_evacuated("north"));
    assert!(!store.is_evacuated("south"));
}

/// A duplicate of an order can arrive late from a connection that was interrupted, or from the log
/// of a former leader.
#[test]
fn late_duplicate_does_not_undo_later_orders() {
    let mut store = EvacuationStore::default();
    let evacuate = order(true, 0);
    store.apply(&evacuate);
    store.apply(&order(false, 1));
    let late = store.apply(&evacuate);
    assert!(matches!(late, EvacuationOutcome::Outdated(_)), "{late:?}");
    assert!(!store.is_evacuated("north"));
    // An operator issues the same order again, with the current revision.
    store.apply(&order(true, 2));
    assert!(store.is_evacuated("north"));
}

#[test]
fn merge_keeps_the_highest_revision_in_any_order() {
    let mut store = EvacuationStore::default();
    let blank = store.clone();
    store.apply(&order(true, 0));
    let evacuated = store.clone();
    store.apply(&order(false, 1));
    let returned = store.clone();
    let orders = [
        [&blank, &evacuated, &returned],
        [&returned, &evacuated, &blank],
        [&evacuated, &returned, &evacuated],
    ];
    for states in orders {
        let mut view = EvacuationStore::default();
        states.iter().for_each(|one| {
            view.merge(one);
        });
        assert!(!view.is_evacuated("north"), "{states:?}");
    }
    let mut view = EvacuationStore::default();
    assert!(view.merge(&evacuated).is_empty());
    assert_eq!(view.merge(&returned), ["north"]);
}
