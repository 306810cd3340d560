#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_directory::TargetRecord;

use super::*;
use crate::target::tests::{SERVICE, record};

fn listed(records: &[TargetRecord]) -> TargetBook {
    let mut book = TargetBook::default();
    book.replace(records, Instant::now());
    book
}

fn born(born: u64, id: &str, port: u16) -> TargetRecord {
    TargetRecord {
        born,
        ..record(id, port)
    }
}

/// A target that broke its connections and did not answer when it was called.
fn silent_ends(since: Instant) -> TargetEnds {
    let chosen = listed(&[born(5, "t", 1_000)]).find(SERVICE, "t").unwrap();
    let ends = TargetEnds::default();
    ends.silent.borrow_mut().push(SilentTarget {
        service: SERVICE.to_owned(),
        chosen,
        cut: Vec::new(),
        since,
    });
    ends
}

#[test]
fn the_next_start_of_a_target_that_did_not_answer_tells_that_it_ended() {
    let now = Instant::now();
    // Its next start, under its identity or another one at its address.
    for next in [born(6, "t", 1_000), born(6, "u", 1_000)] {
        let ends = silent_ends(now);
        assert_eq!(ends.started_anew(&listed(&[next])).len(), 1);
        assert!(ends.silent.borrow().is_empty());
    }
    // The same start, behind a cut that has healed; one elsewhere; nobody any more.
    for other in [
        vec![born(5, "t", 1_000)],
        vec![born(6, "u", 1_001)],
        Vec::new(),
    ] {
        let ends = silent_ends(now);
        assert!(ends.started_anew(&listed(&other)).is_empty());
        assert_eq!(ends.silent.borrow().len(), 1);
    }
}

#[test]
fn a_start_that_comes_much_later_says_nothing_of_an_end() {
    let now = Instant::now();
    let ends = silent_ends(now);
    ends.expire(now + START_AWAITED);
    assert!(
        ends.started_anew(&listed(&[born(6, "t", 1_000)]))
            .is_empty()
    );
}
