//! The configuration as a subscriber takes it from the control hosts that it follows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use linnet_telemetry::{EventCode, EventRecorder};
use tokio::sync::watch;

use crate::fetch::{DocumentFetch, FetchProgress, FetchTurn, FetchedPayload};
use crate::{DocumentKey, DocumentPart, DocumentWant, HeldDocument};

/// Where a subscriber keeps its configuration.
pub struct DocumentSink {
    /// Returns the one that it holds.
    pub held: Box<dyn Fn() -> Option<Arc<HeldDocument>>>,
    /// Takes a newer one.
    pub take: Box<dyn Fn(HeldDocument)>,
}

/// Takes offers and parts from all control hosts, and says what is wanted of each.
pub(crate) struct DocumentFollower {
    sink: DocumentSink,
    recorder: Arc<EventRecorder>,
    fetch: RefCell<DocumentFetch>,
    progress: watch::Sender<Option<FetchProgress>>,
}

impl DocumentFollower {
    pub(crate) fn new(me: SocketAddr, sink: DocumentSink, recorder: Arc<EventRecorder>) -> Self {
        let held = (sink.held)().map(|held| held.key());
        Self {
            sink,
            recorder,
            fetch: RefCell::new(DocumentFetch::new(me, held)),
            progress: watch::Sender::new(None),
        }
    }

    /// Returns the version that is held; 0 for none.
    pub(crate) fn held_version(&self) -> u64 {
        (self.sink.held)().map_or(0, |held| held.version())
    }

    /// Returns a receiver that wakes when something else is wanted than before.
    pub(crate) fn changes(&self) -> watch::Receiver<Option<FetchProgress>> {
        self.progress.subscribe()
    }

    /// Returns what is wanted of a control host.
    pub(crate) fn want_of(&self, source: SocketAddr) -> Option<DocumentWant> {
        self.fetch.borrow().want_of(source)
    }

    pub(crate) fn take_offer(&self, source: SocketAddr, key: DocumentKey) {
        self.fetch
            .borrow_mut()
            .take_offer(source, key, Instant::now());
        self.tell_progress();
    }

    pub(crate) fn take_part(&self, source: SocketAddr, part: DocumentPart) {
        let now = Instant::now();
        let fetched = self.fetch.borrow_mut().take_part(source, part, now);
        if let Some(fetched) = fetched {
            self.finish(source, &fetched);
        }
        self.tell_progress();
    }

    pub(crate) fn lose_source(&self, source: SocketAddr) {
        let turn = self.fetch.borrow_mut().lose_source(source, Instant::now());
        self.note_turn(turn, "the control host was lost");
    }

    /// Asks another control host where no part came for too long; to be called now and then.
    pub(crate) fn check(&self) {
        let turn = self.fetch.borrow_mut().check(Instant::now());
        self.note_turn(turn, "no part came in time");
    }

    fn finish(&self, source: SocketAddr, fetched: &FetchedPayload) {
        let key = fetched.payload.key();
        let base = (self.sink.held)();
        let document = match fetched.payload.unpack(base.as_deref()) {
            Ok(document) => document,
            Err(fault) => {
                let detail = format!("{} cause={fault}", key.document);
                self.record(EventCode::RoutingFetchFailed, Some(source), detail);
                self.fetch.borrow_mut().take_fault(source, Instant::now());
                return;
            }
        };
        let detail = format!(
            "version={} base={} bytes={} of={} turns={} took_ms={}",
            key.document.version,
            key.base.map_or(0, |base| base.version),
            key.length,
            document.body().len(),
            fetched.turns,
            fetched.took.as_millis()
        );
        self.record(EventCode::RoutingFetched, Some(source), detail);
        (self.sink.take)(document);
        self.fetch
            .borrow_mut()
            .take_held(key.document, Instant::now());
    }

    fn note_turn(&self, turn: Option<FetchTurn>, cause: &str) {
        if let Some(turn) = turn {
            let next = turn.to.map_or("none".to_owned(), |to| to.to_string());
            let detail = format!("next={next} offset={} cause={cause}", turn.offset);
            self.record(EventCode::RoutingFetchTurned, turn.from, detail);
        }
        self.tell_progress();
    }

    fn record(&self, code: EventCode, source: Option<SocketAddr>, detail: String) {
        let peer = source.map_or(String::new(), |source| source.to_string());
        self.recorder.record(code, &peer, detail);
    }

    fn tell_progress(&self) {
        let now = self.fetch.borrow().progress();
        self.progress
            .send_if_modified(|told| std::mem::replace(told, now) != now);
    }
}
