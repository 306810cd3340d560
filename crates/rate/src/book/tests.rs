use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn rate(per_second: f64) -> Option<NamedRate> {
    Some(NamedRate::new(per_second))
}

fn word(rate: Option<NamedRate>, asked_ms: u64, heard_ms: u64) -> RateWord {
    RateWord {
        target: "t-0".to_owned(),
        rate,
        asked_ms,
        heard_ms,
    }
}

#[test]
fn the_word_that_was_said_last_holds_whatever_order_they_come_in() {
    let now = BootInstant::now();
    let words = [
        word(rate(1.0), 9_000, 8_900),
        word(rate(4.0), 5_000, 4_900),
        word(None, 3_000, 2_900),
        word(rate(2.0), 1_000, 900),
    ];
    let mut book = RateBook::new();
    let mut other = RateBook::new();
    for one in &words {
        book.take_heard(one, now);
    }
    for one in words.iter().rev() {
        other.take_heard(one, now);
    }
    assert_eq!(book.rate("t-0"), rate(2.0));
    assert_eq!(other.rate("t-0"), rate(2.0));
}

#[test]
fn of_answers_that_crossed_the_lower_rate_holds() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    book.take_heard(&word(rate(4.0), 500, 100), now);
    book.take_heard(&word(rate(1.0), 600, 90), now);
    book.take_heard(&word(rate(8.0), 700, 80), now);
    book.take_heard(&word(None, 700, 0), now);
    assert_eq!(book.rate("t-0"), rate(1.0));
    book.take_heard(&word(None, 50, 0), now);
    assert_eq!(book.rate("t-0"), None);
}

#[test]
fn an_end_that_is_older_than_the_rate_is_contradicted() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    book.take_heard(&word(rate(1.0), 100, 50), now);
    let told = book.number();
    book.take_told(&word(None, 3_000, 2_000), now);
    assert_eq!(book.rate("t-0"), rate(1.0));
    let again = book.changed_after(told, 10, false, now).words;
    assert_eq!(again, [word(rate(1.0), 100, 50)]);
}

#[test]
fn what_was_told_is_not_told_back() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    book.take_told(&word(rate(1.0), 100, 50), now);
    assert_eq!(book.rate("t-0"), rate(1.0));
    assert!(book.changed_after(0, 10, false, now).words.is_empty());
}

#[test]
fn a_rate_that_goes_on_to_be_named_is_told_now_and_then_and_holds() {
    let begin = BootInstant::now();
    let mut book = RateBook::new();
    let mut told = 0;
    for second in 0..1_000 {
        let now = begin + SECOND * second;
        let number = book.number();
        book.take_heard(&word(rate(1.0), 10, 0), now);
        told += book.number() - number;
        assert!(book.expire(now).is_empty());
    }
    assert!((5..20).contains(&told), "{told}");
}

#[test]
fn a_rate_of_which_nothing_is_heard_ends_after_a_while() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    book.take_heard(&word(rate(1.0), 10, 0), now);
    assert!(book.expire(now + NAMED_KEPT / 2).is_empty());
    let ended = book.expire(now + NAMED_KEPT);
    assert_eq!(ended, [("t-0".to_owned(), NamedRate::new(1.0))]);
    assert!(book.is_empty());
}

#[test]
fn changes_are_told_in_parts() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    for number in 0..10 {
        let mut one = word(rate(1.0), 10, 0);
        one.target = format!("t-{number}");
        book.take_heard(&one, now);
    }
    let (mut number, mut words) = (0, Vec::new());
    loop {
        let part = book.changed_after(number, 4, false, now);
        number = part.number;
        if part.words.is_empty() {
            break;
        }
        words.extend(part.words);
    }
    assert_eq!((words.len(), number), (10, 10));
}

#[test]
fn a_word_is_passed_on_once() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    let named = word(rate(1.0), 100, 50);
    assert!(book.relay(&named, now));
    assert!(!book.relay(&named, now));
    assert!(book.relay(&word(None, 40, 10), now));
    assert!(book.relay(&named, now), "an older word is contradicted");
    assert_eq!(book.rate("t-0"), None);
}

/// Processes that get the same words in any order, and tell each other, come to the same.
#[test]
fn books_that_tell_each_other_agree() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let now = BootInstant::now();
        let mut books = [RateBook::new(), RateBook::new(), RateBook::new()];
        let mut told = [0; 3];
        for _ in 0..20 {
            let heard = random.u64(0..2_000);
            let asked = heard + random.u64(0..500);
            let named = random
                .bool()
                .then(|| NamedRate::new(f64::from(random.u8(1..4))));
            books[random.usize(0..3)].relay(&word(named, asked, heard), now);
        }
        for _ in 0..20 {
            for from in 0..3 {
                let changed = books[from].changed_after(told[from], 100, false, now);
                told[from] = changed.number;
                for to in (0..3).filter(|to| *to != from) {
                    for one in &changed.words {
                        books[to].relay(one, now);
                    }
                }
            }
        }
        let rates: Vec<_> = books.iter().map(|book| book.rate("t-0")).collect();
        assert!(
            rates.iter().all(|one| *one == rates[0]),
            "seed {seed}: {rates:?}"
        );
    }
}

/// `cargo test --release -p linnet-rate measure -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_ten_thousand_targets_that_change_their_rate_at_once() {
    const TARGETS: usize = 10_000;
    let now = BootInstant::now();
    let words = |per_second: f64| -> Vec<RateWord> {
        let word = |number| RateWord {
            target: format!("i-{number:010x}"),
            rate: rate(per_second),
            asked_ms: 1_200,
            heard_ms: 40,
        };
        (0..TARGETS).map(word).collect()
    };
    let mut book = RateBook::new();
    for per_second in [5.0, 2.0] {
        let words = words(per_second);
        let began = std::time::Instant::now();
        for word in &words {
            book.relay(word, now);
        }
        let taken = began.elapsed();
        let (mut number, mut told, mut parts) = (0, 0, 0);
        let began = std::time::Instant::now();
        loop {
            let part = book.changed_after(number, 256, false, now);
            number = part.number;
            told += part.words.len();
            parts += 1;
            if part.words.len() < 256 {
                break;
            }
        }
        println!(
            "taken in {taken:?}; {told} told in {parts} parts in {:?}",
            began.elapsed()
        );
    }
}

#[test]
fn one_that_lost_everything_is_told_also_what_was_told() {
    let now = BootInstant::now();
    let mut book = RateBook::new();
    let named = word(rate(1.0), 100, 50);
    book.take_told(&named, now);
    assert!(book.changed_after(0, 10, false, now).words.is_empty());
    assert_eq!(book.changed_after(0, 10, true, now).words, [named]);
}

#[test]
fn a_start_that_followed_owes_nothing_of_what_the_one_before_named() {
    const UNIX_MS: u64 = 1_000_000;
    let now = BootInstant::now();
    let mut book = RateBook::new();
    book.take_heard(&word(rate(1.0), 100, 50), now);
    let spoken = book.note_start("t-0", UNIX_MS - 60, UNIX_MS, now);
    assert_eq!(spoken, StartChange::Spoken);
    let known = book.note_start("t-0", UNIX_MS - 60, UNIX_MS, now);
    assert_eq!(known, StartChange::Known);
    let silent = book.note_start("t-0", UNIX_MS - 40, UNIX_MS, now);
    assert_eq!(silent, StartChange::Silent(rate(1.0)));
    assert_eq!(book.rate("t-0"), None);
}
