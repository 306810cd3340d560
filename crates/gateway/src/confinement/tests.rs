use super::*;
use crate::target::tests::{SERVICE, book};

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
