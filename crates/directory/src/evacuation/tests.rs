use super::*;

fn order(evacuated: bool, seen: u64) -> EvacuationOrder {
    EvacuationOrder {
        hall: "north".to_owned(),
        evacuated,
        seen,
    }
}

#[test]
fn an_order_that_comes_again_changes_nothing() {
    let mut book = EvacuationBook::default();
    let first = book.apply(&order(true, 0));
    assert_eq!(book.apply(&order(true, 0)), first);
    assert_eq!(book.apply(&order(true, 1)), first);
    assert!(book.is_evacuated("north"));
    assert!(!book.is_evacuated("south"));
}

/// A copy of the order that lay in a connection behind a cut, or in the log of a former leader.
#[test]
fn a_late_copy_does_not_undo_what_was_ordered_after_it() {
    let mut book = EvacuationBook::default();
    let evacuate = order(true, 0);
    book.apply(&evacuate);
    book.apply(&order(false, 1));
    let late = book.apply(&evacuate);
    assert!(matches!(late, EvacuationOutcome::Outdated(_)), "{late:?}");
    assert!(!book.is_evacuated("north"));
    // The same order given anew, by an operator who means it now.
    book.apply(&order(true, 2));
    assert!(book.is_evacuated("north"));
}

#[test]
fn of_two_beliefs_the_newer_one_holds_in_whatever_order_they_come() {
    let mut book = EvacuationBook::default();
    let blank = book.clone();
    book.apply(&order(true, 0));
    let evacuated = book.clone();
    book.apply(&order(false, 1));
    let taken_back = book.clone();
    let orders = [
        [&blank, &evacuated, &taken_back],
        [&taken_back, &evacuated, &blank],
        [&evacuated, &taken_back, &evacuated],
    ];
    for told in orders {
        let mut view = EvacuationBook::default();
        told.iter().for_each(|one| {
            view.merge(one);
        });
        assert!(!view.is_evacuated("north"), "{told:?}");
    }
    let mut view = EvacuationBook::default();
    assert!(view.merge(&evacuated).is_empty());
    assert_eq!(view.merge(&taken_back), ["north"]);
}
