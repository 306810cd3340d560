use super::*;
use crate::sending::DocumentSending;
use crate::{Document, HeldDocument};
use std::sync::Arc;

fn address(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 1).into()
}

fn document(version: u64) -> HeldDocument {
    let mut random = fastrand::Rng::with_seed(1);
    let mut body = format!("version {version}").into_bytes();
    body.extend((0..100_000).map(|_| random.u8(..)));
    HeldDocument::new(Document { version, body })
}

/// A control host that holds one configuration, and what it sent so far.
struct Source {
    address: SocketAddr,
    payload: Arc<DocumentPayload>,
    sending: DocumentSending,
}

impl Source {
    fn new(number: u8, version: u64, base: Option<&HeldDocument>) -> Self {
        Self {
            address: address(number),
            payload: Arc::new(DocumentPayload::new(&document(version), base).unwrap()),
            sending: DocumentSending::default(),
        }
    }

    /// Sends at most `most` parts of what is wanted of it.
    fn send(
        &mut self,
        fetch: &mut DocumentFetch,
        most: usize,
        now: Instant,
    ) -> Option<FetchedPayload> {
        for _ in 0..most {
            let want = fetch.want_of(self.address);
            let payload = self.payload.clone();
            self.sending.take_want(want.as_ref(), |_| Some(payload));
            let part = self.sending.next_part()?;
            if let Some(whole) = fetch.take_part(self.address, part, now) {
                return Some(whole);
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
fn one_source_is_asked_however_many_offer() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    (1..=6).for_each(|number| fetch.take_offer(address(number), key(5), now));
    let wanted = (1..=6).filter(|number| fetch.want_of(address(*number)).is_some());
    assert_eq!(wanted.collect::<Vec<_>>(), [1]);
    let mut source = Source::new(1, 5, None);
    let whole = source.send(&mut fetch, 1_000, now).unwrap();
    assert_eq!(whole.payload.unpack(None).unwrap(), document(5));
    fetch.take_held(key(5), now);
    assert!((1..=6).all(|number| fetch.want_of(address(number)).is_none()));
}

#[test]
fn a_source_that_falls_silent_midway_is_replaced_where_it_ended() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.take_offer(address(1), key(5), now);
    fetch.take_offer(address(2), key(5), now);
    let mut first = Source::new(1, 5, None);
    assert!(first.send(&mut fetch, 3, now).is_none());
    assert_eq!(fetch.check(after(now, 399)), None);
    let turn = fetch.check(after(now, 400)).unwrap();
    assert_eq!((turn.to, turn.offset), (Some(address(2)), 3 * 8_192));
    let mut second = Source::new(2, 5, None);
    let whole = second.send(&mut fetch, 1_000, after(now, 410)).unwrap();
    assert_eq!(whole.payload.unpack(None).unwrap(), document(5));
    let sent = second.payload.bytes().len() as u32 - 3 * PART_BYTES;
    assert!(
        sent < second.payload.bytes().len() as u32,
        "it sent only the rest"
    );
}

#[test]
fn what_came_is_kept_while_there_is_no_source_at_all() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.take_offer(address(1), key(5), now);
    Source::new(1, 5, None).send(&mut fetch, 4, now);
    let turn = fetch.lose_source(address(1), now).unwrap();
    assert_eq!((turn.to, turn.offset), (None, 4 * 8_192));
    fetch.take_offer(address(1), key(5), after(now, 2_000));
    assert_eq!(fetch.want_of(address(1)).unwrap().offset, 4 * PART_BYTES);
}

#[test]
fn a_transfer_ends_though_newer_configurations_come_faster_than_it() {
    let base = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(base.key()));
    let now = Instant::now();
    fetch.take_offer(address(1), key(2), now);
    let mut source = Source::new(1, 2, None);
    for version in 3..20 {
        if let Some(whole) = source.send(&mut fetch, 1, now) {
            assert_eq!(whole.payload.key().document.version, 2);
            fetch.take_held(key(2), now);
            let next = fetch.want_of(address(1)).unwrap();
            assert_eq!((next.base, next.key), (Some(key(2)), key(version - 1)));
            return;
        }
        fetch.take_offer(address(1), key(version), now);
    }
    panic!("the transfer did not end");
}

#[test]
fn on_a_slow_link_the_sources_are_not_asked_all_at_once() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    (1..=6).for_each(|number| fetch.take_offer(address(number), key(5), now));
    // A part takes three seconds to come.
    let turns = (0..30).filter(|step| fetch.check(after(now, step * 100)).is_some());
    assert!(turns.count() <= 3);
}

#[test]
fn parts_of_a_source_that_was_left_still_count_and_doubled_ones_do_not() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.take_offer(address(1), key(5), now);
    fetch.take_offer(address(2), key(5), now);
    let mut first = Source::new(1, 5, None);
    let want = fetch.want_of(address(1));
    first
        .sending
        .take_want(want.as_ref(), |_| Some(first.payload.clone()));
    let late: Vec<DocumentPart> = std::iter::from_fn(|| first.sending.next_part()).collect();
    fetch.check(after(now, 400)).unwrap();
    for part in late.iter().chain(&late) {
        assert!(fetch.take_part(address(1), part.clone(), now).is_none());
    }
    let have = late.len() as u32 * PART_BYTES;
    assert_eq!(fetch.want_of(address(2)).unwrap().offset, have);
    // Out of order: nothing is taken.
    let mut beyond = late[0].clone();
    beyond.offset = have + 1;
    fetch.take_part(address(2), beyond, now);
    assert_eq!(fetch.want_of(address(2)).unwrap().offset, have);
}

#[test]
fn a_source_with_other_bytes_begins_anew() {
    let (mut fetch, now) = (DocumentFetch::new(address(100), None), Instant::now());
    fetch.take_offer(address(1), key(5), now);
    fetch.take_offer(address(2), key(5), now);
    Source::new(1, 5, None).send(&mut fetch, 3, now);
    fetch.check(after(now, 400)).unwrap();
    let mut other = Source::new(2, 6, None);
    let whole = other.send(&mut fetch, 1_000, now).unwrap();
    assert_eq!(whole.payload.unpack(None).unwrap(), document(6));
}

#[test]
fn after_a_payload_that_cannot_be_used_the_whole_is_asked_of_another_source() {
    let held = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(held.key()));
    let now = Instant::now();
    fetch.take_offer(address(1), key(5), now);
    fetch.take_offer(address(2), key(5), now);
    let mut source = Source::new(1, 5, Some(&document(4)));
    let whole = source.send(&mut fetch, 1_000, now).unwrap();
    assert!(whole.payload.unpack(Some(&held)).is_err());
    fetch.take_fault(address(1), now);
    assert_eq!(fetch.want_of(address(1)), None);
    let want = fetch.want_of(address(2)).unwrap();
    assert_eq!((want.base, want.begun, want.offset), (None, None, 0));
}

#[test]
fn what_is_not_newer_is_never_asked_for() {
    let mut fetch = DocumentFetch::new(address(100), Some(key(5)));
    let now = Instant::now();
    fetch.take_offer(address(1), key(4), now);
    fetch.take_offer(address(2), key(5), now);
    assert!((1..=2).all(|number| fetch.want_of(address(number)).is_none()));
}

#[test]
fn sources_that_all_have_a_payload_of_no_use_are_not_asked_in_a_tight_loop() {
    let held = document(1);
    let mut fetch = DocumentFetch::new(address(100), Some(held.key()));
    let now = Instant::now();
    fetch.take_offer(address(1), key(5), now);
    fetch.take_offer(address(2), key(5), now);
    let mut asked = 0;
    for step in 0..100 {
        let now = after(now, step * 50);
        fetch.check(now);
        for number in 1..=2 {
            if fetch.want_of(address(number)).is_none() {
                continue;
            }
            let mut source = Source::new(number, 5, None);
            if source.send(&mut fetch, 1_000, now).is_some() {
                asked += 1;
                fetch.take_fault(address(number), now);
            }
        }
    }
    assert!((4..12).contains(&asked), "asked {asked} times in 5 s");
    // One that is in order ends it.
    let later = after(now, 20_000);
    fetch.check(later);
    let source = (1..=2)
        .find(|number| fetch.want_of(address(*number)).is_some())
        .unwrap();
    assert_eq!(fetch.want_of(address(source)).unwrap().base, None);
    fetch.take_held(key(5), later);
    fetch.take_offer(address(1), key(6), later);
    assert_eq!(fetch.want_of(address(1)).unwrap().base, Some(key(5)));
}
