use super::*;
use crate::{Document, HeldDocument};

fn payload(version: u64) -> Arc<DocumentPayload> {
    let mut random = fastrand::Rng::with_seed(version);
    let body = (0..50_000).map(|_| random.u8(..)).collect();
    let held = HeldDocument::new(Document { version, body });
    Arc::new(DocumentPayload::new(&held, None).unwrap())
}

fn want(payload: &DocumentPayload, attempt: u32, offset: u32, until: u32) -> DocumentWant {
    DocumentWant {
        key: payload.key().document,
        base: None,
        begun: (offset > 0).then_some(payload.key()),
        attempt,
        offset,
        until,
    }
}

fn parts(sending: &mut DocumentSending) -> Vec<(u32, usize)> {
    let parts = std::iter::from_fn(|| sending.next_part());
    parts.map(|part| (part.offset, part.bytes.len())).collect()
}

#[test]
fn parts_go_out_as_far_as_they_were_asked_for() {
    let (mut sending, payload) = (DocumentSending::default(), payload(1));
    assert_eq!(parts(&mut sending), []);
    sending.take_want(Some(&want(&payload, 1, 0, 10_000)), |_| {
        Some(payload.clone())
    });
    assert_eq!(parts(&mut sending), [(0, 8_192), (8_192, 8_192)]);
    sending.take_want(Some(&want(&payload, 1, 8_192, 20_000)), |_| {
        panic!("the same turn")
    });
    assert_eq!(parts(&mut sending), [(16_384, 8_192)]);
    sending.take_want(Some(&want(&payload, 1, 24_576, 1_000_000)), |_| {
        panic!("the same turn")
    });
    let rest = parts(&mut sending);
    let bytes: usize = rest.iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(24_576 + bytes, payload.bytes().len());
    assert_eq!(parts(&mut sending), []);
}

#[test]
fn another_source_goes_on_where_the_first_ended() {
    let (mut sending, payload) = (DocumentSending::default(), payload(1));
    let wanted = want(&payload, 2, 16_384, 24_576);
    sending.take_want(Some(&wanted), |_| Some(payload.clone()));
    assert_eq!(parts(&mut sending), [(16_384, 8_192)]);
}

#[test]
fn a_beginning_of_other_bytes_is_replaced_from_the_start() {
    let (mut sending, begun, held) = (DocumentSending::default(), payload(1), payload(2));
    let wanted = want(&begun, 2, 16_384, 24_576);
    sending.take_want(Some(&wanted), |_| Some(held.clone()));
    assert_eq!(parts(&mut sending)[0], (0, 8_192));
}

#[test]
fn nothing_goes_out_that_is_wanted_no_more_or_lies_beyond_the_end() {
    let (mut sending, payload) = (DocumentSending::default(), payload(1));
    sending.take_want(Some(&want(&payload, 1, 0, 10_000)), |_| {
        Some(payload.clone())
    });
    sending.take_want(None, |_| None);
    assert_eq!(parts(&mut sending), []);
    let beyond = want(&payload, 2, u32::MAX, u32::MAX);
    sending.take_want(Some(&beyond), |_| Some(payload.clone()));
    assert_eq!(parts(&mut sending), []);
}
