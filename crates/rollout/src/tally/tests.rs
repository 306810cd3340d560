use super::*;
use crate::{RolloutCommand, RolloutOrder};

fn book() -> RolloutBook {
    let mut book = RolloutBook::default();
    book.apply(&RolloutCommand::Begin {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: 10_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 0,
    });
    book
}

#[test]
fn answers_are_counted_by_side_and_route_and_only_while_a_roll_out_lasts() {
    let mut tally = RolloutTally::default();
    tally.note(&RolloutBook::default(), "desk", ("quote", "v1"), None);
    let book = book();
    tally.note(&book, "desk", ("quote", "v2"), None);
    tally.note(&book, "desk", ("quote", "v1"), Some(Some(20.0)));
    tally.note(&book, "desk", ("order", "v9"), Some(None));
    tally.note(&book, "stage", ("quote", "v2"), None);
    let counts = tally.counts(&book, |_, version| u32::from(version == "v2") * 3);
    assert_eq!(counts.len(), 1);
    assert_eq!(counts[0].open_former, 3);
    let quote = &counts[0].routes[1].1;
    assert_eq!((quote.tested.answers, quote.tested.failures), (1, 1));
    assert_eq!((quote.former.answers, quote.former.times.total()), (1, 1));
    let order = &counts[0].routes[0].1;
    assert_eq!((order.former.answers, order.former.times.total()), (1, 0));
}

#[test]
fn routes_beyond_a_bound_are_counted_together() {
    let (mut tally, book) = (RolloutTally::default(), book());
    for route in 0..1_000 {
        tally.note(&book, "desk", (&route.to_string(), "v1"), Some(None));
    }
    let counts = tally.counts(&book, |_, _| 0);
    assert!(counts[0].routes.len() <= MAX_ROUTES + 1);
    let answers = counts[0].routes.iter().map(|(_, one)| one.former.answers);
    assert_eq!(answers.sum::<u64>(), 1_000);
}
