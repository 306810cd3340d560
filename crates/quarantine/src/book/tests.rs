#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use super::*;

/// After the last wait before a trial.
const HOUR: Duration = Duration::from_secs(3_600);

fn subject(account: &str, path: &str) -> RequestSubject {
    RequestSubject::new(account, "POST", ["shop.example", path], b"body")
}

fn end(number: u64) -> EndKey {
    EndKey::new("target", number)
}

fn accuse_at(book: &mut SuspectBook, subject: &RequestSubject, ends: &[u64], now: Instant) {
    for number in ends {
        book.accuse(subject, end(*number), now);
    }
}

/// Returns what holds of a request once that is decided.
fn decided(book: &mut SuspectBook, subject: &RequestSubject, now: Instant) -> RequestStanding {
    book.settle(now + SETTLING);
    book.standing(subject.key, now + SETTLING)
}

const REFUSED: RequestStanding = RequestStanding::Held { trial_due: false };

#[test]
fn a_request_is_known_by_account_place_and_body_alone() {
    let known = subject("a", "/x");
    assert_eq!(known.key, subject("a", "/x").key);
    let others = [
        subject("b", "/x"),
        subject("a", "/y"),
        RequestSubject::new("a", "GET", ["shop.example", "/x"], b"body"),
        RequestSubject::new("a", "POST", ["else.example", "/x"], b"body"),
        RequestSubject::new("a", "POST", ["shop.example", "/x"], b"other"),
        // The same letters in other parts.
        RequestSubject::new("aPOST", "", ["shop.example", "/x"], b"body"),
    ];
    for other in others {
        assert_ne!(known.key, other.key, "{other:?}");
    }
    assert_eq!(RequestKey::parse(&known.key.to_string()), Some(known.key));
    assert_eq!(RequestKey::parse("no key"), None);
}

#[test]
fn the_third_end_holds_a_request_and_the_second_sets_it_apart() {
    let (now, guilty) = (Instant::now(), subject("a", "/x"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &guilty, &[1], now);
    assert_eq!(book.standing(guilty.key, now), RequestStanding::Free);
    // The same end, told twice.
    accuse_at(&mut book, &guilty, &[1, 2], now);
    assert_eq!(book.standing(guilty.key, now), RequestStanding::Suspect);
    accuse_at(&mut book, &guilty, &[3], now);
    assert_eq!(book.standing(guilty.key, now), RequestStanding::Undecided);
    assert_eq!(decided(&mut book, &guilty, now), REFUSED);
    assert_eq!(book.counts(), (1, 1));
}

#[test]
fn those_that_ran_beside_the_guilty_one_are_free() {
    let now = Instant::now();
    let (guilty, beside) = (subject("a", "/x"), subject("a", "/y"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &beside, &[1, 2], now);
    accuse_at(&mut book, &guilty, &[1, 2, 3], now);
    assert_eq!(decided(&mut book, &guilty, now), REFUSED);
    assert_eq!(book.standing(beside.key, now), RequestStanding::Free);
    // Also when it is cut off once more.
    accuse_at(&mut book, &beside, &[4], now);
    accuse_at(&mut book, &guilty, &[4], now);
    assert_eq!(book.standing(beside.key, now), RequestStanding::Free);
}

#[test]
fn of_two_that_were_there_each_time_the_one_that_ends_a_target_alone_is_held() {
    let now = Instant::now();
    let (guilty, twin) = (subject("a", "/x"), subject("b", "/y"));
    let mut apart = SuspectBook::new();
    for one in [&twin, &guilty] {
        accuse_at(&mut apart, one, &[1, 2, 3], now);
    }
    for one in [&guilty, &twin] {
        assert_eq!(decided(&mut apart, one, now), RequestStanding::Suspect);
    }
    let later = now + HOUR;
    apart.accuse(&guilty, end(4), later);
    assert_eq!(decided(&mut apart, &guilty, later), REFUSED);
    assert_eq!(apart.standing(twin.key, later), RequestStanding::Free);
}

#[test]
fn a_whole_run_acquits_and_older_news_does_not_accuse_again() {
    let (now, popular) = (Instant::now(), subject("a", "/x"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &popular, &[1, 2], now);
    let before = book.record(popular.key, now).unwrap();
    assert!(book.acquit(popular.key));
    assert!(!book.acquit(popular.key), "nothing is left to acquit of");
    assert!(!book.merge(&before, now), "an older round");
    assert_eq!(book.standing(popular.key, now), RequestStanding::Free);
    assert!(book.records(now).is_empty());
    // The acquittal reaches a host that has held it since.
    let mut other = SuspectBook::new();
    accuse_at(&mut other, &popular, &[1, 2, 3], now);
    assert_eq!(decided(&mut other, &popular, now), REFUSED);
    assert!(other.merge(&book.record(popular.key, now).unwrap(), now));
    assert_eq!(other.standing(popular.key, now), RequestStanding::Free);
}

#[test]
fn an_end_that_proves_to_be_none_is_taken_back_from_all() {
    let now = Instant::now();
    let (first, second) = (subject("a", "/x"), subject("b", "/y"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &first, &[1, 2, 3], now);
    accuse_at(&mut book, &second, &[3], now);
    assert_eq!(decided(&mut book, &first, now), REFUSED);
    assert!(book.known_ends().contains(&end(3)));
    assert_eq!(book.retract(end(3)).len(), 2);
    assert!(!book.known_ends().contains(&end(3)));
    assert_eq!(book.standing(first.key, now), RequestStanding::Suspect);
}

#[test]
fn a_held_request_has_few_trials_and_far_apart() {
    let (start, guilty) = (Instant::now(), subject("a", "/x"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &guilty, &[1, 2, 3], start);
    // It comes ten times a second for five minutes, and each trial ends a target.
    let mut trials = 0;
    for tick in 0..3_000 {
        let now = start + Duration::from_millis(100) * tick;
        book.settle(now);
        if book.standing(guilty.key, now) == (RequestStanding::Held { trial_due: true }) {
            trials += 1;
            book.note_trial(guilty.key, now);
            book.accuse(&guilty, end(100 + u64::from(tick)), now);
        } else {
            book.note_refused(guilty.key, now);
        }
    }
    assert_eq!(trials, 2);
    let standing = book.standing(guilty.key, start + HOUR);
    assert_eq!(standing, RequestStanding::Held { trial_due: true });
}

#[test]
fn what_is_old_is_forgotten_and_what_keeps_coming_is_not() {
    let start = Instant::now();
    let (suspect, held) = (subject("a", "/x"), subject("b", "/y"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &suspect, &[1], start);
    accuse_at(&mut book, &held, &[2, 3, 4], start);
    assert_eq!(decided(&mut book, &held, start), REFUSED);
    assert!(book.expire(start + 2 * HOUR).is_empty());
    assert_eq!(book.records(start).len(), 1);
    book.note_refused(held.key, start + 20 * HOUR);
    assert!(book.expire(start + 30 * HOUR).is_empty());
    assert_eq!(book.expire(start + 50 * HOUR).len(), 1);
    assert!(book.is_empty());
    assert!(book.changed_after(0, 10, start).records.is_empty());
}

#[test]
fn memory_stays_bounded_and_one_account_does_not_push_out_others() {
    let now = Instant::now();
    let other = subject("other", "/x");
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &other, &[1, 2], now);
    for number in 0..100_000 {
        let one = subject("flood", &format!("/{number}"));
        book.accuse(&one, end(10 + number), now);
    }
    assert!(book.records(now).len() <= MAX_SUSPECTS);
    assert_eq!(book.standing(other.key, now), RequestStanding::Suspect);
    let told = book.changed_after(0, 100_000, now).records.len();
    assert_eq!(told, book.records(now).len());
}

#[test]
fn an_account_that_sends_ever_new_such_requests_is_confined_for_a_while() {
    let start = Instant::now();
    let mut book = SuspectBook::new();
    for number in 0..CONFINING_REQUESTS as u64 {
        assert!(book.confined_accounts(start).is_empty(), "{number}");
        for (account, first) in [("flood", 0), ("", 1_000)] {
            let one = subject(account, &format!("/{number}"));
            let ends = [1, 2, 3].map(|end| first + number * 10 + end);
            accuse_at(&mut book, &one, &ends, start);
            assert_eq!(decided(&mut book, &one, start), REFUSED);
        }
    }
    let confined = book.confined_accounts(start);
    assert_eq!(confined.into_iter().collect::<Vec<_>>(), ["flood"]);
    assert!(book.confined_accounts(start + CONFINING_SPAN).is_empty());
}

#[test]
fn only_requests_with_two_ends_concern_every_host() {
    let now = Instant::now();
    let (innocent, guilty) = (subject("a", "/x"), subject("a", "/y"));
    let mut book = SuspectBook::new();
    accuse_at(&mut book, &innocent, &[1], now);
    accuse_at(&mut book, &guilty, &[1], now);
    assert!(book.shared_after(0, 10, now).records.is_empty());
    assert_eq!(book.changed_after(0, 10, now).records.len(), 2);
    accuse_at(&mut book, &guilty, &[2], now);
    let shared = book.shared_after(0, 10, now);
    assert_eq!(shared.records.len(), 1);
    assert_eq!(shared.records[0].ends.len(), 2);
    assert!(book.shared_after(shared.number, 10, now).records.is_empty());
    // That it was cleared is told as well.
    book.acquit(innocent.key);
    book.acquit(guilty.key);
    let cleared = book.shared_after(shared.number, 10, now).records;
    assert_eq!(cleared.len(), 1);
    assert!(cleared[0].subject == guilty && cleared[0].ends.is_empty());
}

/// Hosts that tell each other in any order, some of it twice, end with the same.
#[test]
fn hosts_come_to_know_the_same_in_any_order() {
    let now = Instant::now();
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let subjects: Vec<RequestSubject> =
            (0..4).map(|one| subject("a", &format!("/{one}"))).collect();
        let mut books: Vec<SuspectBook> = (0..3).map(|_| SuspectBook::new()).collect();
        for _ in 0..60 {
            let host = random.usize(0..3);
            let one = &subjects[random.usize(0..4)];
            match random.u32(0..10) {
                0 => _ = books[host].acquit(one.key),
                1 => _ = books[host].retract(end(random.u64(0..8))),
                2..=5 => _ = books[host].accuse(one, end(random.u64(0..8)), now),
                _ => tell(&mut books, host, random.usize(0..3), now),
            }
        }
        for _ in 0..3 {
            for book in &mut books {
                book.settle(now + SETTLING);
            }
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                tell(&mut books, from, to, now);
            }
        }
        for one in &subjects {
            let known: Vec<_> = books.iter().map(|book| book.record(one.key, now)).collect();
            assert_eq!(known[0], known[1], "seed {seed}");
            assert_eq!(known[1], known[2], "seed {seed}");
        }
    }
}

fn tell(books: &mut [SuspectBook], from: usize, to: usize, now: Instant) {
    for record in books[from].changed_after(0, 1_000, now).records {
        books[to].merge(&record, now);
    }
}
