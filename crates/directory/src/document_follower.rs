//! Transfer of configurations from the followed control hosts to a subscriber.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use linnet_telemetry::{EventCode, EventRecorder};
use tokio::sync::watch;

use crate::fetch::{DocumentFetch, FetchProgress, FetchedPayload, SourceSwitch};
use crate::{DocumentKey, DocumentPart, DocumentRequest, StoredDocument};

/// Where a subscriber stores its configuration.
pub struct DocumentSink {
    /// Returns the current configuration.
    pub current: Box<dyn Fn() -> Option<Arc<StoredDocument>>>,
    /// Stores a newer configuration.
    pub store: Box<dyn Fn(StoredDocument)>,
}

/// Processes offers and parts from all control hosts, and decides what to request from each.
pub(crate) struct DocumentFollower {
    sink: DocumentSink,
    recorder: Arc<EventRecorder>,
    fetch: RefCell<DocumentFetch>,
    progress: watch::Sender<Option<FetchProgress>>,
}

impl DocumentFollower {
    pub(crate) fn new(
        own_address: SocketAddr,
        sink: DocumentSink,
        recorder: Arc<EventRecorder>,
    ) -> Self {
        let current = (sink.current)().map(|current| current.key());
        Self {
            sink,
            recorder,
            fetch: RefCell::new(DocumentFetch::new(own_address, current)),
            progress: watch::Sender::new(None),
        }
    }

    /// Returns the version of the current configuration; 0 for none.
    pub(crate) fn current_version(&self) -> u64 {
        (self.sink.current)().map_or(0, |current| current.version())
    }

    /// Returns a receiver that wakes when the requests to control hosts change.
    pub(crate) fn changes(&self) -> watch::Receiver<Option<FetchProgress>> {
        self.progress.subscribe()
    }

    /// Returns what to request from a control host.
    pub(crate) fn request_for(&self, source: SocketAddr) -> Option<DocumentRequest> {
        self.fetch.borrow().request_for(source)
    }

    pub(crate) fn record_offer(&self, source: SocketAddr, key: DocumentKey) {
        self.fetch
            .borrow_mut()
            .record_offer(source, key, Instant::now());
        self.publish_progress();
    }

    pub(crate) fn receive_part(&self, source: SocketAddr, part: DocumentPart) {
        let now = Instant::now();
        let fetched = self.fetch.borrow_mut().receive_part(source, part, now);
        if let Some(fetched) = fetched {
            self.unpack_and_store(source, &fetched);
        }
        self.publish_progress();
    }

    pub(crate) fn mark_source_lost(&self, source: SocketAddr) {
        let switch = self
            .fetch
            .borrow_mut()
            .mark_source_lost(source, Instant::now());
        self.record_switch(switch, "connection to the control host lost");
    }

    /// Switches to another control host if no part arrived within the timeout. To be called
    /// periodically.
    pub(crate) fn check_timeout(&self) {
        let switch = self.fetch.borrow_mut().check_timeout(Instant::now());
        self.record_switch(switch, "no part received in time");
    }

    fn unpack_and_store(&self, source: SocketAddr, fetched: &FetchedPayload) {
        let key = fetched.payload.key();
        let base = (self.sink.current)();
        let document = match fetched.payload.unpack(base.as_deref()) {
            Ok(document) => document,
            Err(error) => {
                let detail = format!("{} cause={error}", key.document);
                self.record(EventCode::RoutingFetchFailed, Some(source), detail);
                self.fetch
                    .borrow_mut()
                    .reject_payload(source, Instant::now());
                return;
            }
        };
        let detail = format!(
            "version={} base={} bytes={} of={} turns={} took_ms={}",
            key.document.version,
            key.base.map_or(0, |base| base.version),
            key.length,
            document.body().len(),
            fetched.requests,
            fetched.duration.as_millis()
        );
        self.record(EventCode::RoutingFetched, Some(source), detail);
        (self.sink.store)(document);
        self.fetch
            .borrow_mut()
            .set_stored(key.document, Instant::now());
    }

    fn record_switch(&self, switch: Option<SourceSwitch>, cause: &str) {
        if let Some(switch) = switch {
            let next = switch.to.map_or("none".to_owned(), |to| to.to_string());
            let detail = format!("next={next} offset={} cause={cause}", switch.offset);
            self.record(EventCode::RoutingFetchTurned, switch.from, detail);
        }
        self.publish_progress();
    }

    fn record(&self, code: EventCode, source: Option<SocketAddr>, detail: String) {
        let peer = source.map_or(String::new(), |source| source.to_string());
        self.recorder.record(code, &peer, detail);
    }

    fn publish_progress(&self) {
        let current = self.fetch.borrow().progress();
        self.progress
            .send_if_modified(|published| std::mem::replace(published, current) != current);
    }
}
