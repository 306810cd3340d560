use super::*;
use crate::{Document, StoredDocument};

fn payload(version: u64) -> Arc<DocumentPayload> {
    let mut random = fastrand::Rng::with_seed(version);
    let body = (0..50_000).map(|_| random.u8(..)).collect();
    let stored = StoredDocument::new(Document { version, body });
    Arc::new(DocumentPayload::new(&stored, None).unwrap())
}

fn request(payload: &DocumentPayload, attempt: u32, offset: u32, limit: u32) -> DocumentRequest {
    DocumentRequest {
        key: payload.key().document,
        base: None,
        partial: (offset > 0).then_some(payload.key()),
        attempt,
        offset,
        limit,
    }
}

fn parts(sender: &mut DocumentSender) -> Vec<(u32, usize)> {
    let parts = std::iter::from_fn(|| sender.next_part());
    parts.map(|part| (part.offset, part.bytes.len())).collect()
}

#[test]
fn parts_are_sent_up_to_the_requested_limit() {
    let (mut sender, payload) = (DocumentSender::default(), payload(1));
    assert_eq!(parts(&mut sender), []);
    sender.set_request(Some(&request(&payload, 1, 0, 10_000)), |_| {
        Some(payload.clone())
    });
    assert_eq!(parts(&mut sender), [(0, 8_192), (8_192, 8_192)]);
    sender.set_request(Some(&request(&payload, 1, 8_192, 20_000)), |_| {
        panic!("the attempt is the same")
    });
    assert_eq!(parts(&mut sender), [(16_384, 8_192)]);
    sender.set_request(Some(&request(&payload, 1, 24_576, 1_000_000)), |_| {
        panic!("the attempt is the same")
    });
    let rest = parts(&mut sender);
    let bytes: usize = rest.iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(24_576 + bytes, payload.bytes().len());
    assert_eq!(parts(&mut sender), []);
}

#[test]
fn another_source_resumes_at_the_offset() {
    let (mut sender, payload) = (DocumentSender::default(), payload(1));
    let wanted = request(&payload, 2, 16_384, 24_576);
    sender.set_request(Some(&wanted), |_| Some(payload.clone()));
    assert_eq!(parts(&mut sender), [(16_384, 8_192)]);
}

#[test]
fn another_payload_restarts_the_transfer() {
    let (mut sender, partial, stored) = (DocumentSender::default(), payload(1), payload(2));
    let wanted = request(&partial, 2, 16_384, 24_576);
    sender.set_request(Some(&wanted), |_| Some(stored.clone()));
    assert_eq!(parts(&mut sender)[0], (0, 8_192));
}

#[test]
fn nothing_is_sent_after_cancellation_or_beyond_the_end() {
    let (mut sender, payload) = (DocumentSender::default(), payload(1));
    sender.set_request(Some(&request(&payload, 1, 0, 10_000)), |_| {
        Some(payload.clone())
    });
    sender.set_request(None, |_| None);
    assert_eq!(parts(&mut sender), []);
    let beyond = request(&payload, 2, u32::MAX, u32::MAX);
    sender.set_request(Some(&beyond), |_| Some(payload.clone()));
    assert_eq!(parts(&mut sender), []);
}
