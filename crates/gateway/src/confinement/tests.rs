use super::*;
use crate::target::tests::{SERVICE, book, record};

fn closed_targets(book: &TargetBook, service: &str, confined: bool) -> Vec<String> {
    RememberedTargets::default().closed_targets(book, service, confined)
}

#[test]
fn confined_accounts_and_the_others_share_no_target() {
    for targets in 2..40 {
        let book = book(targets);
        let mut closed = closed_targets(&book, SERVICE, true);
        let for_others = closed_targets(&book, SERVICE, false);
        // Each target is open for the ones or the others.
        assert_eq!(for_others.len(), (usize::from(targets) / 6).max(1));
        closed.extend(for_others);
        closed.sort_unstable();
        closed.dedup();
        assert_eq!(closed.len(), usize::from(targets));
    }
    assert!(closed_targets(&book(1), SERVICE, true).is_empty());
    assert!(closed_targets(&book(1), SERVICE, false).is_empty());
}

/// A target that ends time and again is not listed for moments.
#[test]
fn the_share_of_confined_accounts_stays_while_its_target_is_not_listed() {
    let now = Instant::now();
    let mut remembered = RememberedTargets::default();
    let whole = book(6);
    remembered.note(&whole, now);
    let within = remembered.closed_targets(&whole, SERVICE, false);
    let mut rest = TargetBook::default();
    let ports = (0..6).map(|number| record(&format!("t-{number}"), number));
    let records: Vec<_> = ports.filter(|one| !within.contains(&one.id)).collect();
    assert_eq!(records.len(), 5);
    rest.replace(&records, now);
    remembered.note(&rest, now + Duration::from_secs(1));
    assert_eq!(remembered.closed_targets(&rest, SERVICE, false), within);
    assert_eq!(remembered.closed_targets(&rest, SERVICE, true).len(), 5);
    remembered.note(&rest, now + REMEMBERED);
    assert_ne!(remembered.closed_targets(&rest, SERVICE, false), within);
}
