use linnet_quarantine::{CrashKey, RequestSubject};

use super::*;
use crate::held_records::MAX_HELD_RECORDS;

fn record(path: &str, round: u32, ends: u64) -> SuspectRecord {
    let subject = RequestSubject::new("a", "GET", ["h", path], b"");
    let mut record = SuspectRecord::new(subject);
    record.round = round;
    record.crashes = (0..ends).map(|born| CrashKey::new("t", born)).collect();
    record.held = ends >= 3;
    record
}

#[test]
fn only_missing_records_are_written_to_the_log() {
    let mut held = HeldRequests::default();
    let (suspect, crashing) = (record("/suspect", 0, 2), record("/guilty", 0, 3));
    let known = vec![suspect, crashing.clone()];
    assert_eq!(held.missing(known.clone()), std::slice::from_ref(&crashing));
    held.apply(&held.missing(known.clone()));
    assert!(held.missing(known).is_empty());
    let mut tried = crashing;
    tried.trials = 1;
    tried.age_ms = 70;
    let missing = held.missing(vec![tried]);
    assert_eq!((missing.len(), missing[0].age_ms), (1, 0));
}

#[test]
fn released_request_is_removed_from_the_log() {
    let mut held = HeldRequests::default();
    held.apply(&[record("/guilty", 0, 3)]);
    let released = record("/guilty", 1, 0);
    let missing = held.missing(vec![released]);
    held.apply(&missing);
    assert!(held.records().is_empty());
}

#[test]
fn stored_records_are_bounded_on_every_replica() {
    let records: Vec<SuspectRecord> = (0..2_000)
        .map(|number| record(&format!("/{number}"), 0, 3 + number % 4))
        .collect();
    let (mut first, mut second) = (HeldRequests::default(), HeldRequests::default());
    first.apply(&records);
    records.chunks(10).for_each(|some| second.apply(some));
    assert_eq!(first.records().len(), MAX_HELD_RECORDS);
    assert_eq!(second.records().len(), MAX_HELD_RECORDS);
}
