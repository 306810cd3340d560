use super::*;

fn document(version: u64, rows: usize, changed: usize) -> HeldDocument {
    let mut random = fastrand::Rng::with_seed(3);
    let mut body = format!("{{\"version\":{version},\"routes\":[");
    for row in 0..rows {
        let name: String = (0..40).map(|_| random.alphanumeric()).collect();
        let service = if row == changed { "other" } else { "desk" };
        body += &format!("{{\"name\":\"{name}\",\"service\":\"{service}\"}},");
    }
    HeldDocument::new(Document {
        version,
        body: body.into_bytes(),
    })
}

#[test]
fn a_whole_payload_brings_the_configuration_to_whoever_has_none() {
    let held = document(7, 500, 0);
    let payload = DocumentPayload::new(&held, None).unwrap();
    assert_eq!(payload.unpack(None).unwrap(), held);
    let other = document(3, 1, 0);
    assert_eq!(payload.unpack(Some(&other)).unwrap(), held);
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
    let whole = DocumentPayload::new(&newer, None).unwrap().bytes().len();
    let changes = DocumentPayload::new(&newer, Some(&base)).unwrap();
    assert!(
        changes.bytes().len() < whole / 5,
        "{}",
        changes.bytes().len()
    );
}

#[test]
fn sources_that_hold_the_same_send_the_same_bytes() {
    let (base, newer) = (document(7, 300, 0), document(8, 300, 9));
    let one = DocumentPayload::new(&newer, Some(&base)).unwrap();
    let other = DocumentPayload::new(&newer.clone(), Some(&base.clone())).unwrap();
    assert_eq!(one, other);
}

#[test]
fn what_is_damaged_or_based_on_something_else_brings_nothing() {
    let (base, newer) = (document(7, 300, 0), document(8, 300, 9));
    let payload = DocumentPayload::new(&newer, Some(&base)).unwrap();
    // The same version with other content.
    let lookalike = document(7, 300, 5);
    for wrong in [None, Some(&lookalike), Some(&newer)] {
        let fault = payload.unpack(wrong).unwrap_err();
        assert!(matches!(fault, PayloadFault::OtherBase(_)), "{fault}");
    }
    let mut bytes = payload.bytes().to_vec();
    bytes[5] ^= 1;
    let damaged = DocumentPayload::from_parts(payload.key(), bytes.clone());
    assert!(matches!(
        damaged.unpack(Some(&base)),
        Err(PayloadFault::Damaged)
    ));
    // Bytes that hash well but bring something else than they say.
    let other = DocumentPayload::new(&lookalike, None).unwrap();
    let mut key = other.key();
    key.document = newer.key();
    let lying = DocumentPayload::from_parts(key, other.bytes().to_vec());
    assert!(matches!(
        lying.unpack(None),
        Err(PayloadFault::OtherContent(_))
    ));
    let mut key = payload.key();
    key.hash = ContentHash::new(b"no payload");
    let noise = DocumentPayload::from_parts(key, b"no payload".to_vec());
    assert!(matches!(
        noise.unpack(Some(&base)),
        Err(PayloadFault::Unpacking(_))
    ));
}
