//! Where the streams began that callers take up again, at this host or through another one.

mod current_lists;

use std::cell::RefCell;
use std::time::{Duration, Instant};

use http::HeaderMap;
use linnet_clock::BootInstant;
use linnet_directory::{TargetRecord, TargetState};
use linnet_streams::{OriginTable, StreamKey, StreamOrigin, VersionHistory};
use linnet_telemetry::EventCode;
use tokio::sync::watch;

use crate::caller_request::{CallerRequest, is_resumable};
use crate::incarnation::ProvedIncarnation;
use crate::protocol::HeaderNames;
use crate::stage_client::OriginLookup;
use crate::stream_trace::{LogText, OriginSource};
use crate::takeup_trace::OriginTrace;
use crate::target::TargetStore;
use crate::{Gateway, Refusal, RefusalReason};

/// Maximum length of the id by which a caller names a stream.
const MAX_ID_BYTES: usize = 256;

/// How much longer than its request an origin is kept, for a caller whose clock starts later.
const LIFETIME_SLACK: Duration = Duration::from_secs(2);

/// Longest time for which the holders of an origin are asked. A connection that was lost is opened again
/// after 400 ms.
const MAX_FIND_TIME: Duration = Duration::from_secs(1);

/// Fraction of the remaining time of a request that may be spent on asking them.
const FIND_TIME_FRACTION: f64 = 0.5;

/// The origins of streams, and the versions that services have had lately.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    table: RefCell<OriginTable>,
    versions: RefCell<VersionHistory>,
    /// Changes with each update of the lists.
    updates: watch::Sender<()>,
}

/// How the caller of a request names the stream that it takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamName {
    Named(StreamKey),
    /// No header names it, or the header is empty.
    Missing,
    /// The header occurs twice, is too long or not text.
    Malformed,
}

impl StreamOrigins {
    /// Stores the origin of a stream.
    pub(crate) fn bind(&self, stream: StreamKey, origin: &StreamOrigin, lifetime: Duration) {
        let now = BootInstant::now();
        self.table.borrow_mut().bind(stream, origin, lifetime, now);
    }

    /// Returns the origin of a stream if this host holds it.
    pub(crate) fn find(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.table
            .borrow()
            .find(stream, BootInstant::now())
            .cloned()
    }

    /// Records the versions of an update, also of targets that leave before the list is recomputed.
    pub(crate) fn record_listed(&self, targets: &[TargetRecord]) {
        let now = BootInstant::now();
        let mut versions = self.versions.borrow_mut();
        let ready = targets.iter().filter(|one| one.state == TargetState::Ready);
        ready.for_each(|one| versions.record_listed(&one.service, &one.version, now));
    }

    /// Records that an update was applied; `has_gap` says whether targets listed before may have been missed.
    pub(crate) fn record_update(&self, has_gap: bool) {
        if has_gap {
            self.versions.borrow_mut().record_gap(BootInstant::now());
        }
        self.updates.send_replace(());
    }

    /// Records which versions are listed.
    pub(crate) fn record_versions(&self, store: &TargetStore) {
        let now = BootInstant::now();
        let mut versions = self.versions.borrow_mut();
        for (service, version) in store.service_versions() {
            versions.record_listed(service, version, now);
        }
        versions.expire(now);
    }

    /// Returns the version of a service if it has had no other one lately, as far as the records of its
    /// targets are not known to be outdated.
    fn sole_version(
        &self,
        store: &TargetStore,
        service: &str,
        lifetime: Duration,
    ) -> Option<String> {
        if store.has_outdated_record(service) {
            return None;
        }
        let now = BootInstant::now();
        let mut versions = self.versions.borrow_mut();
        for target in store.of_service(service) {
            versions.record_listed(service, &target.version, now);
        }
        let sole = versions.sole_version(service, lifetime, now);
        sole.map(str::to_owned)
    }

    /// Removes streams whose time is over.
    pub(crate) fn expire(&self) {
        self.table.borrow_mut().expire(BootInstant::now());
    }

    /// Returns the number of streams whose origin this host holds.
    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }
}

fn stream_key(request: &CallerRequest, id: &str) -> StreamKey {
    StreamKey::new(request.account.as_deref().unwrap_or_default(), id)
}

fn stream_name(request: &CallerRequest, names: &HeaderNames) -> StreamName {
    let headers: &HeaderMap = &request.headers;
    let mut values = headers.get_all(&names.resumes).iter();
    let Some(value) = values.next() else {
        return StreamName::Missing;
    };
    if values.next().is_some() || value.len() > MAX_ID_BYTES {
        return StreamName::Malformed;
    }
    match value.to_str().map(str::trim) {
        Ok("") => StreamName::Missing,
        Ok(id) => StreamName::Named(stream_key(request, id)),
        Err(_) => StreamName::Malformed,
    }
}

impl Gateway {
    /// Records the incarnation that has begun the stream of a request, for callers that take it up at any
    /// host; if it is not proved, they are refused.
    pub(crate) fn record_stream_origin(
        &self,
        request: &CallerRequest,
        service: &str,
        proved: Option<&ProvedIncarnation>,
    ) {
        if !is_resumable(request) || request.id.is_empty() {
            return;
        }
        let origin = match proved {
            Some(incarnation) => StreamOrigin {
                service: service.to_owned(),
                version: incarnation.version().to_owned(),
            },
            None => StreamOrigin::unknown(),
        };
        self.tell_stream_origin(request, &origin);
    }

    /// Tells the hosts that hold origins of streams where that of a request began.
    fn tell_stream_origin(&self, request: &CallerRequest, origin: &StreamOrigin) {
        let stream = stream_key(request, &request.id);
        let lifetime = request.time_left() + LIFETIME_SLACK;
        self.stream_origins.bind(stream, origin, lifetime);
        self.stage_client
            .send_stream_origin(stream, origin, lifetime);
    }

    /// Binds a request that takes up a stream to the service and the version that began it. Returns
    /// the service; `None` for a request that takes up no stream.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoTarget`] if the version is not known and the service has had several.
    pub(crate) async fn bind_taken_up_stream(
        &self,
        request: &CallerRequest,
    ) -> Result<Option<String>, Refusal> {
        if !request.takes_up_stream {
            return Ok(None);
        }
        let names = &self.config.protocol.headers;
        let mut lookup = OriginLookup::default();
        let (source, origin) = self.find_stream_origin(request, &mut lookup).await;
        self.metrics.count_taken_up(source);
        let version = origin.as_ref().map_or("-", |origin| &origin.version);
        let header = |name| {
            let value = request.headers.get(name);
            value.map_or("", |value| value.to_str().unwrap_or("?"))
        };
        let detail = format!(
            "route={} origin={source} unknown_holders={} unreached_holders={} version={version} resumes={} last_event={}",
            request.route.name,
            lookup.unknown,
            lookup.unreached,
            LogText(header(&names.resumes)),
            LogText(header(&names.last_event)),
        );
        self.record_request_event(EventCode::StreamTakenUp, &request.id, "", detail);
        if let Some(takeup) = request.takeup.get() {
            takeup.set_origin(OriginTrace {
                source,
                version: version.to_owned(),
                resumes: header(&names.resumes).to_owned(),
            });
        }
        let Some(origin) = origin else {
            // The same words for all causes: they tell nothing about the streams of others.
            let detail = "the software version that began the stream is not known";
            return Err(Refusal::new(RefusalReason::NoTarget, detail));
        };
        request.bind_origin(&origin);
        // The next attempt of its caller may name this one, even if no event arrives before.
        if !request.id.is_empty() {
            self.tell_stream_origin(request, &origin);
        }
        Ok(Some(origin.service))
    }

    async fn find_stream_origin(
        &self,
        request: &CallerRequest,
        lookup: &mut OriginLookup,
    ) -> (OriginSource, Option<StreamOrigin>) {
        let names = &self.config.protocol.headers;
        let (source, found) = match stream_name(request, names) {
            StreamName::Missing => (OriginSource::MissingName, None),
            StreamName::Malformed => (OriginSource::MalformedName, None),
            StreamName::Named(stream) => match self.stream_origins.find(stream) {
                Some(origin) => (OriginSource::Local, Some(origin)),
                None => {
                    let longest = request.time_left().mul_f64(FIND_TIME_FRACTION);
                    let give_up_at = Instant::now() + longest.min(MAX_FIND_TIME);
                    let found = self.stage_client.request_stream_origin(stream, give_up_at);
                    *lookup = found.await;
                    match lookup.origin.take() {
                        Some(origin) => (OriginSource::Peer, Some(origin)),
                        None => (OriginSource::NotFound, None),
                    }
                }
            },
        };
        let services = || request.route.split.iter().map(|part| &part.service);
        match found {
            Some(origin) if services().any(|service| *service == origin.service) => {
                (source, Some(origin))
            }
            Some(origin) if origin == StreamOrigin::unknown() => (OriginSource::Unproved, None),
            Some(_) => (OriginSource::OtherService, None),
            None if self.sole_origin(request).is_none() => (source, None),
            None if !self.await_current_lists(request).await => (OriginSource::OutdatedLists, None),
            None => match self.sole_origin(request) {
                Some(origin) => (OriginSource::SoleVersion, Some(origin)),
                None => (source, None),
            },
        }
    }

    /// Returns the only service and version to which the route of a request has led lately, as far as the
    /// lists of this host tell.
    fn sole_origin(&self, request: &CallerRequest) -> Option<StreamOrigin> {
        let [part] = request.route.split.as_slice() else {
            return None;
        };
        if !self.directory.borrow().is_connected() {
            return None;
        }
        let store = self.targets.borrow();
        let lifetime = Duration::from_millis(request.route.timeout_ms);
        let origins = &self.stream_origins;
        let version = origins.sole_version(&store, &part.service, lifetime)?;
        Some(StreamOrigin {
            service: part.service.clone(),
            version,
        })
    }
}

#[cfg(test)]
mod tests;
