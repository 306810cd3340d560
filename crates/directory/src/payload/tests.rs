use super::*;

fn document(version: u64, rows: usize, changed: usize) -> StoredDocument {
    let mut random = fastrand::Rng::with_seed(3);
    let mut body = format!("{{\"version\":{version},\"routes\":[");
    for row in 0..rows {
        let name: String = (0..40).map(|_| random.alphanumeric()).collect();
        let service = if row == changed { "other" } else { "desk" };
        body += &format!("{{\"name\":\"{name}\",\"service\":\"{service}\"}},");
    }
    StoredDocument::new(Document {
        version,
        body: body.into_bytes(),
    })
}

#[test]
fn complete_payload_is_unpacked_without_a_base() {
    let stored = document(7, 500, 0);
    let payload = DocumentPayload::new(&stored, None).unwrap();
    assert_eq!(payload.unpack(None).unwrap(), stored);
    let other = document(3, 1, 0);
    assert_eq!(payload.unpack(Some(&other)).unwrap(), stored);
}

#[test]
fn one_changed_row_of_many_costs_a_few_hundred_bytes() {
    let base = document(7, 12_000, 0);
    for changed in [1, 600, 6_000, 11_999] {
        let newer = document(8, 12_000, changed);
        let payload = DocumentPayload::new(&newer, Some(&base)).unwrap();
        let bytes = payload.bytes().len();
        assert!(bytes < 700, "{bytes} bytes for row {changed}");
        assert_eq!(payload.unpack(Some(&base)).unwrap(), newer);
    }
}

#[test]
fn rows_that_were_added_cost_about_what_they_take_alone() {
    let (base, newer) = (document(7, 1_000, 0), document(8, 1_100, 0));
    let complete = DocumentPayload::new(&newer, None).unwrap().bytes().len();
    let changes = DocumentPayload::new(&newer, Some(&base)).unwrap();
    assert!(
        changes.bytes().len() < complete / 5,
        "{}",
        changes.bytes().len()
    );
}

#[test]
fn payload_bytes_are_deterministic() {
    let (base, newer) = (document(7, 300, 0), document(8, 300, 9));
    let one = DocumentPayload::new(&newer, Some(&base)).unwrap();
    let other = DocumentPayload::new(&newer.clone(), Some(&base.clone())).unwrap();
    assert_eq!(one, other);
}

#[test]
fn damaged_or_mismatched_payloads_are_rejected() {
    let (base, newer) = (document(7, 300, 0), document(8, 300, 9));
    let payload = DocumentPayload::new(&newer, Some(&base)).unwrap();
    // Same version, other content.
    let lookalike = document(7, 300, 5);
    for wrong in [None, Some(&lookalike), Some(&newer)] {
        let error = payload.unpack(wrong).unwrap_err();
        assert!(matches!(error, PayloadError::MissingBase(_)), "{error}");
    }
    let mut bytes = payload.bytes().to_vec();
    bytes[5] ^= 1;
    let damaged = DocumentPayload::from_parts(payload.key(), bytes.clone());
    assert!(matches!(
        damaged.unpack(Some(&base)),
        Err(PayloadError::HashMismatch)
    ));
    // The hash matches the bytes, but the content is not the one that the key names.
    let other = DocumentPayload::new(&lookalike, None).unwrap();
    let mut key = other.key();
    key.document = newer.key();
    let mislabelled = DocumentPayload::from_parts(key, other.bytes().to_vec());
    assert!(matches!(
        mislabelled.unpack(None),
        Err(PayloadError::ContentMismatch(_))
    ));
    let mut key = payload.key();
    key.hash = ContentHash::new(b"no payload");
    let garbage = DocumentPayload::from_parts(key, b"no payload".to_vec());
    assert!(matches!(
        garbage.unpack(Some(&base)),
        Err(PayloadError::Decompression(_))
    ));
}
