use std::time::Instant;

use linnet_directory::TargetRecord;
use linnet_telemetry::HybridClock;

use super::*;
use crate::notice::RateNotice;
use crate::target::tests::record;
use crate::target_ask::{DOUBT_KEPT, LEAVING_KEPT, TRIAL_PATIENCE, UNTRIED_KEPT, unix_ms};

const WAIT: Duration = Duration::from_secs(3);

/// The longest time for which a target that asked for [`WAIT`] is left alone.
const LONGEST: Duration = Duration::from_millis(3_250);

fn book() -> NoticeBook {
    let recorder = EventRecorder::new("host", Arc::new(HybridClock::new()));
    NoticeBook::new(Arc::new(recorder), Rc::default())
}

/// Gives the book a list of targets that take work.
fn list(book: &NoticeBook, records: &[TargetRecord], now: BootInstant) {
    book.targets.borrow_mut().replace(records, Instant::now());
    book.take_list(now);
}

fn wants_nothing(wait: Duration) -> TargetNotice {
    TargetNotice {
        back_off: Some(wait),
        leaving: false,
        rate: RateNotice::Unsaid,
    }
}

const LEAVES: TargetNotice = TargetNotice {
    back_off: None,
    leaving: true,
    rate: RateNotice::Unsaid,
};

fn is_open(book: &NoticeBook, now: BootInstant) -> bool {
    book.standing("t-0", now) == TargetStanding::Open
}

#[test]
fn a_target_is_left_alone_for_as_long_as_it_asked_and_little_longer() {
    let (book, now) = (book(), BootInstant::now());
    book.note_ask("t-0", wants_nothing(WAIT), now);
    assert!(!is_open(&book, now));
    assert!(!is_open(&book, now + (WAIT - Duration::from_millis(1))));
    assert!(is_open(&book, now + LONGEST));
    assert_eq!(book.standing("t-1", now), TargetStanding::Open);
}

#[test]
fn the_latest_end_counts_and_no_answer_within_the_time_shortens_it() {
    let (book, now) = (book(), BootInstant::now());
    book.note_ask("t-0", wants_nothing(WAIT), now);
    book.note_ask("t-0", wants_nothing(WAIT / 30), now);
    book.note_ask("t-0", TargetNotice::default(), now + WAIT / 2);
    assert!(!is_open(&book, now + (WAIT - Duration::from_millis(1))));
    book.note_ask("t-0", wants_nothing(WAIT), now + WAIT / 2);
    assert!(!is_open(&book, now + LONGEST));
    assert!(is_open(&book, now + WAIT / 2 + LONGEST));
}

#[test]
fn hosts_that_were_answered_in_one_moment_come_back_in_different_ones() {
    let now = BootInstant::now();
    let ends: std::collections::BTreeSet<Duration> = (0..20)
        .map(|_| {
            let book = book();
            book.note_ask("t-0", wants_nothing(WAIT), now);
            match book.standing("t-0", now) {
                TargetStanding::BackedOff(left) => left,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    assert!(ends.len() > 10, "{ends:?}");
    assert!(ends.iter().all(|left| (WAIT..=LONGEST).contains(left)));
}

/// One request tries the target; the others go only once an answer has come.
#[test]
fn after_the_time_one_request_goes_first() {
    let (book, now) = (book(), BootInstant::now());
    // Its time is over in a moment, so that the gates, which read the clock, find it over.
    book.note_ask("t-0", wants_nothing(Duration::from_nanos(1)), now);
    let mut first = book.gate("t-0", SendKind::Work);
    assert!(first.passes());
    assert!(first.passes(), "on another connection");
    assert!(!book.gate("t-0", SendKind::Work).passes());
    assert!(!book.gate("t-0", SendKind::Word).passes());
    book.note_ask("t-0", TargetNotice::default(), BootInstant::now());
    assert!(book.gate("t-0", SendKind::Work).passes());
    assert!(book.gate("t-0", SendKind::Work).passes());
    assert_eq!(book.counts(BootInstant::now()).withheld, 2);
}

#[test]
fn a_trial_that_is_not_answered_lets_the_next_one_go() {
    let (book, now) = (book(), BootInstant::now());
    book.note_ask("t-0", wants_nothing(Duration::from_nanos(1)), now);
    assert!(book.gate("t-0", SendKind::Work).passes());
    let began = BootInstant::now();
    assert!(!is_open(&book, began));
    assert!(is_open(&book, began + TRIAL_PATIENCE));
}

#[test]
fn a_trial_that_is_turned_away_begins_the_time_anew() {
    let (book, now) = (book(), BootInstant::now());
    book.note_ask("t-0", wants_nothing(Duration::from_nanos(1)), now);
    let mut trial = book.gate("t-0", SendKind::Work);
    assert!(trial.passes());
    book.note_ask("t-0", wants_nothing(WAIT), BootInstant::now());
    assert!(
        !trial.passes(),
        "what was asked meanwhile holds for it as well"
    );
    assert!(!is_open(&book, now + TRIAL_PATIENCE));
}

#[test]
fn one_that_leaves_gets_words_but_no_work_whatever_the_lists_say() {
    let (book, now) = (book(), BootInstant::now());
    let listed = [record("t-0", 1_000)];
    list(&book, &listed, now);
    book.note_ask("t-0", LEAVES, now);
    // Lists that lack it and have it again, since control hosts were lost and came back.
    list(&book, &[], now);
    book.expire(now + LEAVING_KEPT / 2);
    list(&book, &listed, now + LEAVING_KEPT / 2);
    book.expire(now + LEAVING_KEPT);
    assert_eq!(book.standing("t-0", now), TargetStanding::Leaving);
    assert!(!book.gate("t-0", SendKind::Work).passes());
    assert!(book.gate("t-0", SendKind::Word).passes());
}

#[test]
fn another_start_owes_nothing() {
    let (book, now) = (book(), BootInstant::now());
    let start = |born| {
        let mut start = record("t-0", 1_000);
        start.born = born;
        [start]
    };
    let later = |number: u64| unix_ms() + 1_000 * number;
    list(&book, &start(7), now);
    book.note_ask("t-0", LEAVES, now);
    list(&book, &start(7), now);
    assert_eq!(book.standing("t-0", now), TargetStanding::Leaving);
    let first = later(1);
    list(&book, &start(first), now);
    assert!(is_open(&book, now));
    // What is said while the target is in no list holds for the start that comes next into one.
    list(&book, &[], now);
    book.note_ask("t-0", wants_nothing(WAIT), now);
    list(&book, &start(first), now);
    assert!(!is_open(&book, now));
    list(&book, &start(later(2)), now);
    assert!(is_open(&book, now));
}

/// A start answered 90 ms before its registration reached this host, which took it for the start before.
#[test]
fn what_a_start_says_before_it_is_in_the_list_holds_for_it() {
    let (book, now) = (book(), BootInstant::now());
    let start = |born| {
        let mut start = record("t-0", 1_000);
        start.born = born;
        [start]
    };
    list(&book, &start(7), now);
    let anew = unix_ms();
    book.note_ask("t-0", LEAVES, now);
    list(&book, &start(anew), now);
    assert_eq!(book.standing("t-0", now), TargetStanding::Leaving);
    // Should the clocks have been wrong, it gets work again.
    book.expire(now + DOUBT_KEPT);
    assert!(is_open(&book, now));
    // What it says once it is in the list is not doubted.
    book.note_ask("t-0", LEAVES, now);
    book.expire(now + DOUBT_KEPT * 2);
    assert_eq!(book.standing("t-0", now), TargetStanding::Leaving);
}

/// 10,000 targets that ask for a day each, and go.
#[test]
fn what_is_remembered_is_bounded_by_what_was_listed_of_late() {
    let (book, mut now) = (book(), BootInstant::now());
    for number in 0..10_000 {
        book.note_ask(&format!("t-{number}"), LEAVES, now);
        book.note_ask(&format!("u-{number}"), wants_nothing(WAIT), now);
    }
    assert_eq!(book.counts(now).leaving, 10_000);
    now = now + LONGEST + UNTRIED_KEPT + Duration::from_millis(1);
    book.expire(now);
    assert_eq!(book.asks.borrow().len(), 10_000);
    now = now + LEAVING_KEPT;
    book.expire(now);
    assert!(book.asks.borrow().is_empty());
}
