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

/// A book with targets `t-0`, `t-1` and so on.
pub(crate) fn book(count: u16) -> TargetBook {
    let records: Vec<TargetRecord> = (0..count)
        .map(|number| record(&format!("t-{number}"), 1_000 + number))
        .collect();
    let mut book = TargetBook::default();
    book.replace(&records, Instant::now());
    book
}

fn usable(book: &TargetBook, now: Instant) -> Vec<String> {
    let usable = book.usable(SERVICE, now).into_iter();
    usable.map(|target| target.id.clone()).collect()
}

#[test]
fn two_failures_in_a_row_eject_a_target_and_a_success_between_them_does_not() {
    let (mut book, now) = (book(3), Instant::now());
    assert!(!book.note_failure(SERVICE, "t-0", now));
    book.note_success(SERVICE, "t-0");
    assert!(!book.note_failure(SERVICE, "t-0", now));
    assert_eq!(usable(&book, now), ["t-0", "t-1", "t-2"]);
    assert!(book.note_failure(SERVICE, "t-0", now));
    assert_eq!(usable(&book, now), ["t-1", "t-2"]);
}

#[test]
fn an_ejected_target_comes_back_and_stays_away_longer_each_time() {
    let (mut book, start) = (book(3), Instant::now());
    let mut now = start;
    let mut spans = Vec::new();
    for _ in 0..6 {
        while !book.note_failure(SERVICE, "t-0", now) {}
        let left = now;
        while usable(&book, now).len() < 3 {
            now += Duration::from_millis(100);
        }
        spans.push(now - left);
    }
    assert_eq!(spans[0], EJECT_FIRST);
    assert!(spans.is_sorted(), "{spans:?}");
    assert_eq!(spans[5], EJECT_MOST);
    book.note_success(SERVICE, "t-0");
    while !book.note_failure(SERVICE, "t-0", now) {}
    assert_eq!(usable(&book, now + EJECT_FIRST).len(), 3);
}

#[test]
fn failures_eject_no_more_than_the_capped_part_of_a_service() {
    let (mut book, now) = (book(5), Instant::now());
    for number in 0..5 {
        let id = format!("t-{number}");
        book.note_failure(SERVICE, &id, now);
        book.note_failure(SERVICE, &id, now);
    }
    assert_eq!(usable(&book, now), ["t-3", "t-4"]);
}

#[test]
fn unreachable_targets_are_left_at_once_whatever_their_part_and_all_are_used_where_none_is_left() {
    let (mut book, now) = (book(3), Instant::now());
    book.note_unreachable(SERVICE, "t-0", now);
    book.note_unreachable(SERVICE, "t-1", now);
    assert_eq!(usable(&book, now), ["t-2"]);
    book.note_unreachable(SERVICE, "t-2", now);
    assert_eq!(usable(&book, now), ["t-0", "t-1", "t-2"]);
}

#[test]
fn a_new_list_keeps_what_is_known_of_targets_that_stay_and_forgets_those_that_went() {
    let (mut book, now) = (book(2), Instant::now());
    book.note_unreachable(SERVICE, "t-0", now);
    book.find_mut(SERVICE, "t-0").unwrap().in_flight = 3;
    book.replace(
        &[record("t-0", 1_000), record("t-2", 1_002)],
        Instant::now(),
    );
    assert_eq!(usable(&book, now), ["t-2"]);
    assert_eq!(book.find_mut(SERVICE, "t-0").unwrap().in_flight, 3);
    assert!(book.find(SERVICE, "t-1").is_none());
    // A target that went and came back is another start: nothing is known of it.
    book.replace(&[record("t-2", 1_002)], Instant::now());
    book.replace(
        &[record("t-0", 1_000), record("t-2", 1_002)],
        Instant::now(),
    );
    assert_eq!(usable(&book, now), ["t-0", "t-2"]);
}

#[test]
fn a_target_that_proved_to_be_another_start_is_taken_out() {
    let mut book = book(2);
    assert_eq!(
        book.hall_at(SERVICE, "127.0.0.1:1001").as_deref(),
        Some("hall-0")
    );
    book.remove(SERVICE, "t-1");
    assert!(book.find(SERVICE, "t-1").is_none());
    assert_eq!(book.hall_at(SERVICE, "127.0.0.1:1001"), None);
}

#[test]
fn a_target_that_another_host_could_not_reach_is_passed_over_for_a_short_while() {
    let (mut book, now) = (book(3), Instant::now());
    let ejected = |book: &TargetBook, now| -> Vec<String> {
        let ejected = book.passed_over(SERVICE, now);
        ejected.map(|target| target.id.clone()).collect()
    };
    for _ in 0..20 {
        book.take_unreachable(SERVICE, "t-1", now);
    }
    assert_eq!(ejected(&book, now), ["t-1"]);
    assert_eq!(book.usable(SERVICE, now).len(), 2);
    let later = now + EJECT_FIRST;
    assert!(
        ejected(&book, later).is_empty(),
        "however often it was told"
    );
    book.note_unreachable(SERVICE, "t-2", later);
    assert_eq!(ejected(&book, later), ["t-2"]);
}

#[test]
fn a_target_that_turns_requests_away_is_passed_over_longer_each_time_until_it_takes_one() {
    let (mut book, start) = (book(3), Instant::now());
    let mut now = start;
    let mut spans = Vec::new();
    for _ in 0..7 {
        book.note_refused(SERVICE, "t-0", now);
        let refused = now;
        while usable(&book, now).len() < 3 {
            now += Duration::from_millis(10);
        }
        spans.push(now - refused);
    }
    assert_eq!(spans[0], REFUSED_FIRST);
    assert!(spans.is_sorted(), "{spans:?}");
    assert_eq!(spans[6], REFUSED_FIRST * 2_u32.pow(MAX_REFUSED_DOUBLINGS));
    book.note_success(SERVICE, "t-0");
    book.note_refused(SERVICE, "t-0", now);
    assert_eq!(usable(&book, now + REFUSED_FIRST).len(), 3);
}

#[test]
fn where_all_turn_requests_away_those_that_can_be_reached_are_used() {
    let (mut book, now) = (book(3), Instant::now());
    book.note_unreachable(SERVICE, "t-0", now);
    book.note_refused(SERVICE, "t-1", now);
    assert_eq!(usable(&book, now), ["t-2"]);
    book.note_refused(SERVICE, "t-2", now);
    assert_eq!(usable(&book, now), ["t-1", "t-2"]);
    book.note_unreachable(SERVICE, "t-1", now);
    book.note_unreachable(SERVICE, "t-2", now);
    assert_eq!(usable(&book, now), ["t-0", "t-1", "t-2"]);
}
