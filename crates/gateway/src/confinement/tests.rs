use super::*;
use crate::target::tests::{SERVICE, record, store_with};

fn closed_targets(store: &TargetStore, service: &str, confined: bool) -> Vec<String> {
    RecentTargets::default().closed_targets(store, service, confined)
}

#[test]
fn confined_and_other_accounts_share_no_target() {
    for targets in 2..40 {
        let store = store_with(targets);
        let mut closed = closed_targets(&store, SERVICE, true);
        let for_others = closed_targets(&store, SERVICE, false);
        // Each target is open either to confined accounts or to the others.
        assert_eq!(for_others.len(), (usize::from(targets) / 6).max(1));
        closed.extend(for_others);
        closed.sort_unstable();
        closed.dedup();
        assert_eq!(closed.len(), usize::from(targets));
    }
    assert!(closed_targets(&store_with(1), SERVICE, true).is_empty());
    assert!(closed_targets(&store_with(1), SERVICE, false).is_empty());
}

/// A target that crashes repeatedly is missing from the list for moments.
#[test]
fn the_share_of_confined_accounts_is_stable_while_its_target_is_not_listed() {
    let now = Instant::now();
    let mut recent = RecentTargets::default();
    let whole = store_with(6);
    recent.record(&whole, now);
    let within = recent.closed_targets(&whole, SERVICE, false);
    let mut rest = TargetStore::default();
    let ports = (0..6).map(|number| record(&format!("t-{number}"), number));
    let records: Vec<_> = ports.filter(|one| !within.contains(&one.id)).collect();
    assert_eq!(records.len(), 5);
    rest.replace(&records, now);
    recent.record(&rest, now + Duration::from_secs(1));
    assert_eq!(recent.closed_targets(&rest, SERVICE, false), within);
    assert_eq!(recent.closed_targets(&rest, SERVICE, true).len(), 5);
    recent.record(&rest, now + TARGET_RETENTION);
    assert_ne!(recent.closed_targets(&rest, SERVICE, false), within);
}
