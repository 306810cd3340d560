use super::*;
use crate::Document;

fn stored(version: u64, bytes: usize) -> Arc<StoredDocument> {
    let body = vec![version as u8; bytes];
    Arc::new(StoredDocument::new(Document { version, body }))
}

fn history(versions: std::ops::RangeInclusive<u64>, bytes: usize) -> DocumentHistory {
    let mut history = DocumentHistory::default();
    versions.for_each(|version| history.push(stored(version, bytes)));
    history
}

#[test]
fn payload_has_changes_for_a_known_base_and_is_complete_otherwise() {
    let mut history = history(1..=5, 100);
    let (old, new) = (stored(3, 100), stored(5, 100));
    let payload = history.payload(new.key(), Some(old.key())).unwrap();
    assert_eq!(payload.key().base, Some(old.key()));
    let unknown = [stored(9, 100), stored(3, 99)];
    for base in unknown {
        let payload = history.payload(new.key(), Some(base.key())).unwrap();
        assert_eq!(payload.key().base, None);
    }
}

#[test]
fn payload_of_an_older_version_stays_available() {
    let mut history = history(1..=5, 100);
    let first = history.payload(stored(4, 100).key(), None).unwrap();
    assert_eq!(first.key().document.version, 4);
    history.push(stored(6, 100));
    let again = history.payload(stored(4, 100).key(), None).unwrap();
    assert_eq!(again.key(), first.key());
    let never_stored = history.payload(stored(99, 1).key(), None).unwrap();
    assert_eq!(never_stored.key().document.version, 6);
}

#[test]
fn history_is_bounded_but_retains_the_newest() {
    assert_eq!(history(1..=100, 10).documents.len(), MAX_DOCUMENTS);
    let large = history(1..=3, MAX_OLDER_BYTES + 1);
    assert_eq!(large.documents.len(), 1);
    assert_eq!(large.newest().unwrap().version(), 3);
}
