use std::net::SocketAddr;
use std::time::Instant;

use linnet_directory::{TargetRecord, TargetState};

use super::*;

fn book(targets: u16) -> TargetBook {
    let record = |number: u16| TargetRecord {
        id: format!("t-{number}"),
        born: 0,
        service: "desk".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        hall: "hall".to_owned(),
        slots: 1,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    };
    let records: Vec<TargetRecord> = (0..targets).map(record).collect();
    let mut book = TargetBook::default();
    book.replace(&records, Instant::now());
    book
}

#[test]
fn confined_accounts_and_the_others_share_no_target() {
    for targets in 2..40 {
        let book = book(targets);
        let mut closed = closed_targets(&book, "desk", true);
        let for_others = closed_targets(&book, "desk", false);
        // Each target is open for the ones or the others.
        assert_eq!(for_others.len(), (usize::from(targets) / 6).max(1));
        closed.extend(for_others);
        closed.sort_unstable();
        closed.dedup();
        assert_eq!(closed.len(), usize::from(targets));
    }
    assert!(closed_targets(&book(1), "desk", true).is_empty());
    assert!(closed_targets(&book(1), "desk", false).is_empty());
}
