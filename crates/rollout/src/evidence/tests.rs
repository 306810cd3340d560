use super::*;
use crate::{RolloutCause, RolloutState, VersionCounts};

fn counts(step: u64, tested: u64, former_in_flight: u32) -> PhaseCounts {
    let side = |responses| VersionCounts {
        responses,
        ..VersionCounts::default()
    };
    let route = RouteCounts {
        tested: side(tested),
        former: side(10 * tested),
    };
    PhaseCounts {
        service: "desk".to_owned(),
        phase: (1, step),
        routes: vec![("quote".to_owned(), route)],
        former_in_flight,
    }
}

fn record(step: u64) -> RolloutRecord {
    RolloutRecord {
        revision: 1,
        step,
        version: "v2".to_owned(),
        former: Vec::new(),
        started_ms: 0,
        duration_ms: 10_000,
        permille: 40,
        state: RolloutState::InProgress,
        cause: RolloutCause::Ordered,
    }
}

/// A host tells every control host that it follows, and these tell each other.
#[test]
fn a_host_is_counted_once_whoever_tells_its_counts_and_in_whatever_order() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2)]);
    let (reported, number) = store.changed_after(0);
    assert_eq!(reported.len(), 1);
    store.merge_forwarded(&reported);
    store.record_report("entry-0/7", &[counts(1, 3, 0)]);
    assert_eq!(store.changed_after(number), (Vec::new(), number));
    store.record_report("entry-1/9", &[counts(1, 4, 1)]);
    assert_eq!(store.changed_after(number).0.len(), 1);
    let sums = store.totals("desk", &record(1));
    assert_eq!(sums.responses(), (9, 90));
    assert_eq!(sums.former_in_flight, 3);
}

/// Each control host tells only what entry hosts told it, so that nothing goes round.
#[test]
fn what_another_control_host_told_is_not_told_on() {
    let mut first = EvidenceStore::default();
    first.record_report("entry-0/7", &[counts(1, 5, 2)]);
    let mut second = EvidenceStore::default();
    second.merge_forwarded(&first.changed_after(0).0);
    assert!(second.changed_after(0).0.is_empty());
    assert_eq!(second.totals("desk", &record(1)).responses(), (5, 50));
}

/// Another start of a host begins at 0; what the first one counted stays.
#[test]
fn counts_of_a_host_that_started_anew_are_added() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2)]);
    store.record_report("entry-0/8", &[counts(1, 1, 0)]);
    assert_eq!(store.totals("desk", &record(1)).responses(), (6, 60));
}

#[test]
fn a_host_that_has_not_reported_the_newest_phase_is_behind() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2), counts(2, 1, 1)]);
    store.record_report("entry-1/9", &[counts(1, 4, 4)]);
    let sums = store.totals("desk", &record(2));
    assert_eq!((sums.lagging_hosts, sums.former_in_flight), (1, 1));
    assert_eq!(sums.responses(), (10, 100));
    store.retain_in_progress(&RolloutStore::default());
    assert!(store.is_empty());
}

#[test]
fn so_many_names_of_hosts_are_kept_and_no_more() {
    let mut store = EvidenceStore::default();
    for name in 0..MAX_REPORTERS + 10 {
        store.record_report(&name.to_string(), &[counts(1, 1, 0)]);
    }
    assert_eq!(store.changed_after(0).0.len(), MAX_REPORTERS);
}
