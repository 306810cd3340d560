use super::*;

fn begin(book: &mut RolloutBook, version: &str, duration_ms: u64, now_ms: u64) -> RolloutOutcome {
    book.apply(&RolloutCommand::Begin {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: version.to_owned(),
            duration_ms,
        },
        former: vec!["v1".to_owned(), String::new()],
        now_ms,
    })
}

fn end(book: &mut RolloutBook, revision: u64, completed: bool) {
    book.apply(&RolloutCommand::End {
        service: "desk".to_owned(),
        revision,
        completed,
        cause: RolloutCause::Evidence,
    });
}

fn newest(book: &RolloutBook) -> RolloutRecord {
    book.newest("desk").unwrap().clone()
}

#[test]
fn a_repeated_order_is_answered_as_the_first_and_another_one_is_under_way() {
    let mut book = RolloutBook::default();
    let first = begin(&mut book, "v2", 9_000, 1_000);
    assert_eq!(begin(&mut book, "v2", 9_000, 4_000), first);
    let other = begin(&mut book, "v3", 9_000, 4_000);
    assert!(matches!(other, RolloutOutcome::UnderWay(_)), "{other:?}");
    let longer = begin(&mut book, "v2", 60_000, 4_000);
    assert!(matches!(longer, RolloutOutcome::UnderWay(_)), "{longer:?}");
    assert_eq!(newest(&book).version, "v2");
}

/// The acknowledgement of an order may be lost, and the version given up before the order comes again.
#[test]
fn a_repeat_after_the_end_begins_nothing_and_a_later_order_does() {
    let mut book = RolloutBook::default();
    begin(&mut book, "v2", 9_000, 1_000);
    end(&mut book, 1, false);
    begin(&mut book, "v2", 9_000, 6_000);
    assert_eq!(newest(&book).state, RolloutState::Reverted);
    begin(&mut book, "v2", 9_000, 60_000);
    assert_eq!(newest(&book).state, RolloutState::InProgress);
    assert_eq!(newest(&book).revision, 2);
}

#[test]
fn a_late_command_of_another_roll_out_changes_nothing() {
    let mut book = RolloutBook::default();
    begin(&mut book, "v2", 9_000, 1_000);
    end(&mut book, 1, false);
    begin(&mut book, "v3", 9_000, 60_000);
    end(&mut book, 1, true);
    book.apply(&RolloutCommand::Move {
        service: "desk".to_owned(),
        seen: (1, 0),
        permille: 900,
        cause: RolloutCause::Evidence,
    });
    let newest = newest(&book);
    assert_eq!((newest.revision, newest.permille), (2, 0));
    assert!(newest.is_in_progress());
}

#[test]
fn what_targets_get_depends_on_their_version_and_the_end() {
    let mut book = RolloutBook::default();
    let standings = |book: &RolloutBook| {
        ["v1", "v2", "v3", ""].map(|version| book.standing_of("desk", version))
    };
    use VersionStanding::{Closed, Open, UnderTest};
    assert_eq!(standings(&book), [Open, Open, Open, Open]);
    begin(&mut book, "v2", 9_000, 1_000);
    assert_eq!(standings(&book), [Open, UnderTest, Open, Open]);
    let mut reverted = book.clone();
    end(&mut reverted, 1, false);
    assert_eq!(standings(&reverted), [Open, Closed, Open, Open]);
    end(&mut book, 1, true);
    // A third version came later, by itself.
    assert_eq!(standings(&book), [Closed, Open, Open, Closed]);
}

#[test]
fn of_two_beliefs_the_later_holds_and_few_past_ones_are_kept() {
    let mut book = RolloutBook::default();
    begin(&mut book, "v2", 9_000, 1_000);
    let early = book.clone();
    end(&mut book, 1, false);
    assert!(!book.merge(&early));
    let mut other = early;
    assert!(other.merge(&book));
    assert_eq!(other, book);
    for round in 0..20 {
        begin(&mut book, "v2", 1, 1_000_000 * (round + 1));
        let revision = newest(&book).revision;
        end(&mut book, revision, false);
    }
    assert_eq!(book.history("desk").len(), MAX_KEPT);
    assert_eq!(newest(&book).revision, 21);
}

#[test]
fn orders_that_make_no_sense_are_refused() {
    let check = |version: &str, duration_ms| {
        let order = RolloutOrder {
            service: "desk".to_owned(),
            version: version.to_owned(),
            duration_ms,
        };
        order.check()
    };
    use crate::OrderFault::{BadDuration, BadVersion, LongVersion, NoVersion};
    assert_eq!(check("v2", 12_000), Ok(()));
    assert_eq!(check("", 12_000), Err(NoVersion));
    assert_eq!(check("v 2", 12_000), Err(BadVersion));
    assert_eq!(check("v\u{e9}", 12_000), Err(BadVersion));
    assert_eq!(check(&"v".repeat(10_240), 12_000), Err(LongVersion(10_240)));
    assert_eq!(check("v2", 0), Err(BadDuration(0)));
    let year = 365 * 24 * 60 * 60 * 1_000;
    assert_eq!(check("v2", year), Err(BadDuration(year)));
}
