use super::*;
use crate::Document;

fn held(version: u64, bytes: usize) -> Arc<HeldDocument> {
    let body = vec![version as u8; bytes];
    Arc::new(HeldDocument::new(Document { version, body }))
}

fn history(versions: std::ops::RangeInclusive<u64>, bytes: usize) -> DocumentHistory {
    let mut history = DocumentHistory::default();
    versions.for_each(|version| history.push(held(version, bytes)));
    history
}

#[test]
fn a_subscriber_gets_changes_against_what_it_has_and_the_whole_where_that_is_unknown() {
    let mut history = history(1..=5, 100);
    let (old, new) = (held(3, 100), held(5, 100));
    let payload = history.payload(new.key(), Some(old.key())).unwrap();
    assert_eq!(payload.key().base, Some(old.key()));
    let unknown = [held(9, 100), held(3, 99)];
    for base in unknown {
        let payload = history.payload(new.key(), Some(base.key())).unwrap();
        assert_eq!(payload.key().base, None);
    }
}

#[test]
fn a_transfer_that_was_begun_elsewhere_goes_on_though_a_newer_one_is_held() {
    let mut history = history(1..=5, 100);
    let begun = history.payload(held(4, 100).key(), None).unwrap();
    assert_eq!(begun.key().document.version, 4);
    history.push(held(6, 100));
    let again = history.payload(held(4, 100).key(), None).unwrap();
    assert_eq!(again.key(), begun.key());
    let never_held = history.payload(held(99, 1).key(), None).unwrap();
    assert_eq!(never_held.key().document.version, 6);
}

#[test]
fn what_is_kept_is_bounded_by_count_and_bytes_but_the_newest_stays() {
    assert_eq!(history(1..=100, 10).kept.len(), MOST_KEPT);
    let large = history(1..=3, KEPT_BYTES + 1);
    assert_eq!(large.kept.len(), 1);
    assert_eq!(large.newest().unwrap().version(), 3);
}
