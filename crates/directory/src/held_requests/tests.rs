use linnet_quarantine::{CrashKey, RequestSubject};

use super::*;

fn record(path: &str, round: u32, ends: u64) -> SuspectRecord {
    let subject = RequestSubject::new("a", "GET", ["h", path], b"");
    let mut record = SuspectRecord::new(subject);
    record.round = round;
    record.crashes = (0..ends).map(|born| CrashKey::new("t", born)).collect();
    record.held = ends >= 3;
    record
}

#[test]
fn the_log_gets_what_it_lacks_and_no_more() {
    let mut held = HeldRequests::default();
    let (suspect, guilty) = (record("/suspect", 0, 2), record("/guilty", 0, 3));
    let known = vec![suspect, guilty.clone()];
    assert_eq!(held.lacking(known.clone()), std::slice::from_ref(&guilty));
    held.apply(&held.lacking(known.clone()));
    assert!(held.lacking(known).is_empty());
    let mut tried = guilty;
    tried.trials = 1;
    tried.age_ms = 70;
    let news = held.lacking(vec![tried]);
    assert_eq!((news.len(), news[0].age_ms), (1, 0));
}

#[test]
fn a_released_request_leaves_the_log() {
    let mut held = HeldRequests::default();
    held.apply(&[record("/guilty", 0, 3)]);
    let released = record("/guilty", 1, 0);
    let news = held.lacking(vec![released]);
    held.apply(&news);
    assert!(held.records().is_empty());
}

#[test]
fn what_is_kept_on_disk_is_bounded_alike_at_every_replica() {
    let records: Vec<SuspectRecord> = (0..2_000)
        .map(|number| record(&format!("/{number}"), 0, 3 + number % 4))
        .collect();
    let (mut first, mut second) = (HeldRequests::default(), HeldRequests::default());
    first.apply(&records);
    records.chunks(10).for_each(|some| second.apply(some));
    assert_eq!(first.records().len(), MAX_HELD);
    assert_eq!(second.records().len(), MAX_HELD);
}
