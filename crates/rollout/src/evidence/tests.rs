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

/// A host reports to every control host that it is connected to, and these forward the counts to
/// each other.
#[test]
fn a_host_is_counted_once_for_any_reporting_path_and_order() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2)]);
    let (reported, revision) = store.changed_after(0);
    assert_eq!(reported.len(), 1);
    store.merge_forwarded(&reported);
    store.record_report("entry-0/7", &[counts(1, 3, 0)]);
    assert_eq!(store.changed_after(revision), (Vec::new(), revision));
    store.record_report("entry-1/9", &[counts(1, 4, 1)]);
    assert_eq!(store.changed_after(revision).0.len(), 1);
    let totals = store.totals("desk", &record(1));
    assert_eq!(totals.responses(), (9, 90));
    assert_eq!(totals.former_in_flight, 3);
}

/// Each control host forwards only what entry hosts reported to it, so that counts do not
/// circulate.
#[test]
fn counts_from_another_control_host_are_not_forwarded() {
    let mut first = EvidenceStore::default();
    first.record_report("entry-0/7", &[counts(1, 5, 2)]);
    let mut second = EvidenceStore::default();
    second.merge_forwarded(&first.changed_after(0).0);
    assert!(second.changed_after(0).0.is_empty());
    assert_eq!(second.totals("desk", &record(1)).responses(), (5, 50));
}

/// The counts of a new incarnation begin at 0; those of the earlier one remain.
#[test]
fn counts_of_a_new_incarnation_are_added() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2)]);
    store.record_report("entry-0/8", &[counts(1, 1, 0)]);
    assert_eq!(store.totals("desk", &record(1)).responses(), (6, 60));
}

#[test]
fn a_host_that_has_not_reported_the_newest_phase_is_lagging() {
    let mut store = EvidenceStore::default();
    store.record_report("entry-0/7", &[counts(1, 5, 2), counts(2, 1, 1)]);
    store.record_report("entry-1/9", &[counts(1, 4, 4)]);
    let totals = store.totals("desk", &record(2));
    assert_eq!((totals.lagging_hosts, totals.former_in_flight), (1, 1));
    assert_eq!(totals.responses(), (10, 100));
    store.retain_in_progress(&RolloutStore::default());
    assert!(store.is_empty());
}

#[test]
fn the_number_of_reporters_is_bounded() {
    let mut store = EvidenceStore::default();
    for name in 0..MAX_REPORTERS + 10 {
        store.record_report(&name.to_string(), &[counts(1, 1, 0)]);
    }
    assert_eq!(store.changed_after(0).0.len(), MAX_REPORTERS);
}
