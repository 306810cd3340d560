use super::*;
use crate::document_sender::DocumentSender;
use crate::{Document, StoredDocument};
use std::sync::Arc;

fn address(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 1).into()
}

fn document(version: u64) -> StoredDocument {
    let mut random = fastrand::Rng::with_seed(1);
    let mut body = format!("version {version}").into_bytes();
    body.extend((0..100_000).map(|_| random.u8(..)));
    StoredDocument::new(Document { version, body })
}

/// A control host that has one configuration, and its transfer to the subscriber.
struct Source {
    address: SocketAddr,
    payload: Arc<DocumentPayload>,
    sending: DocumentSender,
}

impl Source {
    fn new(number: u8, version: u64, base: Option<&StoredDocument>) -> Self {
        Self {
            address: address(number),
            payload: Arc::new(DocumentPayload::new(&document(version), base).unwrap()),
            sending: DocumentSender::default(),
        }
    }

    /// Sends at most `limit` parts of what the subscriber requests.
    fn send(
        &mut self,
        fetch: &mut DocumentFetch,
        limit: usize,
        now: Instant,
    ) -> Option<FetchedPayload> {
        for _ in 0..limit {
            let request = fetch.request_for(self.address);
            let payload = self.payload.clone();
            self.sending
                .set_request(request.as_ref(), |_| Some(payload));
            let part = self.sending.next_part()?;
            if let Some(complete) = fetch.receive_part(self.address, part, now) {
                return Some(complete);
            }
        }
        None
    }
}

fn key(version: u64) -> DocumentKey {
    document(version).key()
}

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

#[test]
fn one_source_is_requested_at_a_time() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    (1..=6).for_each(|number| fetch.record_offer(address(number), key(5), now));
    let wanted = (1..=6).filter(|number| fetch.request_for(address(*number)).is_some());
    assert_eq!(wanted.collect::<Vec<_>>(), [1]);
    let mut source = Source::new(1, 5, None);
    let complete = source.send(&mut fetch, 1_000, now).unwrap();
    assert_eq!(complete.payload.unpack(None).unwrap(), document(5));
    fetch.set_stored(key(5), now);
    assert!((1..=6).all(|number| fetch.request_for(address(number)).is_none()));
}

#[test]
fn silent_source_is_replaced_at_the_same_offset() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.record_offer(address(1), key(5), now);
    fetch.record_offer(address(2), key(5), now);
    let mut first = Source::new(1, 5, None);
    assert!(first.send(&mut fetch, 3, now).is_none());
    assert_eq!(fetch.check_timeout(after(now, 399)), None);
    let switch = fetch.check_timeout(after(now, 400)).unwrap();
    assert_eq!((switch.to, switch.offset), (Some(address(2)), 3 * 8_192));
    let mut second = Source::new(2, 5, None);
    let complete = second.send(&mut fetch, 1_000, after(now, 410)).unwrap();
    assert_eq!(complete.payload.unpack(None).unwrap(), document(5));
    let sent = second.payload.bytes().len() as u32 - 3 * PART_BYTES;
    assert!(
        sent < second.payload.bytes().len() as u32,
        "it sent only the rest"
    );
}

#[test]
fn received_bytes_are_kept_without_a_source() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.record_offer(address(1), key(5), now);
    Source::new(1, 5, None).send(&mut fetch, 4, now);
    let switch = fetch.mark_source_lost(address(1), now).unwrap();
    assert_eq!((switch.to, switch.offset), (None, 4 * 8_192));
    fetch.record_offer(address(1), key(5), after(now, 2_000));
    assert_eq!(
        fetch.request_for(address(1)).unwrap().offset,
        4 * PART_BYTES
    );
}

#[test]
fn transfer_completes_although_newer_configurations_arrive_faster() {
    let base = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(base.key()));
    let now = Instant::now();
    fetch.record_offer(address(1), key(2), now);
    let mut source = Source::new(1, 2, None);
    for version in 3..20 {
        if let Some(complete) = source.send(&mut fetch, 1, now) {
            assert_eq!(complete.payload.key().document.version, 2);
            fetch.set_stored(key(2), now);
            let next = fetch.request_for(address(1)).unwrap();
            assert_eq!((next.base, next.key), (Some(key(2)), key(version - 1)));
            return;
        }
        fetch.record_offer(address(1), key(version), now);
    }
    panic!("the transfer did not end");
}

#[test]
fn slow_link_does_not_trigger_requests_to_all_sources() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    (1..=6).for_each(|number| fetch.record_offer(address(number), key(5), now));
    // Each part takes three seconds to arrive.
    let requests = (0..30).filter(|step| fetch.check_timeout(after(now, step * 100)).is_some());
    assert!(requests.count() <= 3);
}

#[test]
fn late_parts_of_a_former_source_are_accepted_and_duplicates_ignored() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.record_offer(address(1), key(5), now);
    fetch.record_offer(address(2), key(5), now);
    let mut first = Source::new(1, 5, None);
    let request = fetch.request_for(address(1));
    first
        .sending
        .set_request(request.as_ref(), |_| Some(first.payload.clone()));
    let late: Vec<DocumentPart> = std::iter::from_fn(|| first.sending.next_part()).collect();
    fetch.check_timeout(after(now, 400)).unwrap();
    for part in late.iter().chain(&late) {
        assert!(fetch.receive_part(address(1), part.clone(), now).is_none());
    }
    let have = late.len() as u32 * PART_BYTES;
    assert_eq!(fetch.request_for(address(2)).unwrap().offset, have);
    // A part with a wrong offset is ignored.
    let mut beyond = late[0].clone();
    beyond.offset = have + 1;
    fetch.receive_part(address(2), beyond, now);
    assert_eq!(fetch.request_for(address(2)).unwrap().offset, have);
}

#[test]
fn transfer_restarts_when_the_new_source_has_other_bytes() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.record_offer(address(1), key(5), now);
    fetch.record_offer(address(2), key(5), now);
    Source::new(1, 5, None).send(&mut fetch, 3, now);
    fetch.check_timeout(after(now, 400)).unwrap();
    let mut other = Source::new(2, 6, None);
    let complete = other.send(&mut fetch, 1_000, now).unwrap();
    assert_eq!(complete.payload.unpack(None).unwrap(), document(6));
}

#[test]
fn unusable_payload_is_replaced_by_a_complete_one_from_another_source() {
    let stored = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(stored.key()));
    let now = Instant::now();
    fetch.record_offer(address(1), key(5), now);
    fetch.record_offer(address(2), key(5), now);
    let mut source = Source::new(1, 5, Some(&document(4)));
    let complete = source.send(&mut fetch, 1_000, now).unwrap();
    assert!(complete.payload.unpack(Some(&stored)).is_err());
    fetch.reject_payload(address(1), now);
    assert_eq!(fetch.request_for(address(1)), None);
    let request = fetch.request_for(address(2)).unwrap();
    assert_eq!(
        (request.base, request.partial, request.offset),
        (None, None, 0)
    );
}

#[test]
fn only_newer_configurations_are_requested() {
    let mut fetch = DocumentFetch::new(address(100), Some(key(5)));
    let now = Instant::now();
    fetch.record_offer(address(1), key(4), now);
    fetch.record_offer(address(2), key(5), now);
    assert!((1..=2).all(|number| fetch.request_for(address(number)).is_none()));
}

#[test]
fn unusable_payloads_from_all_sources_pause_requests() {
    let stored = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(stored.key()));
    let now = Instant::now();
    fetch.record_offer(address(1), key(5), now);
    fetch.record_offer(address(2), key(5), now);
    let mut tried = 0;
    for step in 0..100 {
        let now = after(now, step * 50);
        fetch.check_timeout(now);
        for number in 1..=2 {
            if fetch.request_for(address(number)).is_none() {
                continue;
            }
            let mut source = Source::new(number, 5, None);
            if source.send(&mut fetch, 1_000, now).is_some() {
                tried += 1;
                fetch.reject_payload(address(number), now);
            }
        }
    }
    assert!((4..12).contains(&tried), "{tried} requests in 5 s");
    // A usable payload ends the pauses.
    let later = after(now, 20_000);
    fetch.check_timeout(later);
    let source = (1..=2)
        .find(|number| fetch.request_for(address(*number)).is_some())
        .unwrap();
    assert_eq!(fetch.request_for(address(source)).unwrap().base, None);
    fetch.set_stored(key(5), later);
    fetch.record_offer(address(1), key(6), later);
    assert_eq!(fetch.request_for(address(1)).unwrap().base, Some(key(5)));
}
