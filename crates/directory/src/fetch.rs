//! How a subscriber fetches a newer configuration: from one control host at a time, and from
//! another one, resuming at the same offset, when no part arrives.
//!
//! A single source limits the traffic to one copy. With all six control hosts sending theirs at
//! once, a link of 10 Mbit/s was saturated for seconds after a power cut, and nothing else got
//! through. A transfer that has begun runs to its end even if newer configurations are announced
//! meanwhile; the next transfer then carries only the changes since. Otherwise a series of changes
//! that is faster than the transfer would keep a subscriber on its old configuration for as long as
//! the series lasts.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::document_sender::PART_BYTES;
use crate::{DocumentKey, DocumentPart, DocumentPayload, DocumentRequest, PayloadKey};

/// Time without a part after which the subscriber switches to another control host. It doubles with
/// each such switch up to the maximum, so that a link on which one part takes longer is not filled
/// with parts from all control hosts.
const MIN_PART_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_PART_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Bytes requested beyond those received. The bandwidth-delay product between data halls, with a
/// round trip of 4 ms at 10 Mbit/s, is 5 KB.
const WINDOW_BYTES: u32 = 4 * PART_BYTES;

/// The configuration transfers of one subscriber.
pub(crate) struct DocumentFetch {
    own_address: SocketAddr,
    stored: Option<DocumentKey>,
    offers: BTreeMap<SocketAddr, DocumentKey>,
    current: Option<CurrentFetch>,
    /// Counts the requests to a new source, over all transfers.
    attempt: u32,
    part_timeout: Duration,
    /// Sources whose payload could not be used. While there are any, complete configurations are
    /// requested.
    faulty: BTreeSet<SocketAddr>,
    /// No request is made before this time, because no source had a usable payload.
    paused_until: Option<Instant>,
}

struct CurrentFetch {
    wanted: DocumentKey,
    base: Option<DocumentKey>,
    /// The control host in use. While there is none, the received bytes are retained.
    source: Option<SocketAddr>,
    /// Sources tried since the last time all of them were tried.
    tried: BTreeSet<SocketAddr>,
    partial: Option<PayloadKey>,
    bytes: Vec<u8>,
    started: Instant,
    progress_at: Instant,
    requests: u32,
}

/// A complete payload.
#[derive(Debug)]
pub(crate) struct FetchedPayload {
    pub(crate) payload: DocumentPayload,
    /// Time since the first request for the payload.
    pub(crate) duration: Duration,
    /// Number of requests to sources.
    pub(crate) requests: u32,
}

/// A switch to another source.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SourceSwitch {
    /// The source that sent nothing within the timeout.
    pub(crate) from: Option<SocketAddr>,
    /// The source in use now.
    pub(crate) to: Option<SocketAddr>,
    /// Bytes received so far.
    pub(crate) offset: usize,
}

/// The current request and its source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FetchProgress {
    pub(crate) source: SocketAddr,
    /// Number of the request; see [`DocumentRequest::attempt`].
    attempt: u32,
    /// End of the requested bytes.
    limit: u32,
}

impl DocumentFetch {
    /// Creates the state of a subscriber at `own_address` that has `stored`.
    pub(crate) fn new(own_address: SocketAddr, stored: Option<DocumentKey>) -> Self {
        Self {
            own_address,
            stored,
            offers: BTreeMap::new(),
            current: None,
            attempt: 0,
            part_timeout: MIN_PART_TIMEOUT,
            faulty: BTreeSet::new(),
            paused_until: None,
        }
    }

    /// Records which configuration a control host has.
    pub(crate) fn record_offer(&mut self, source: SocketAddr, key: DocumentKey, now: Instant) {
        self.offers.insert(source, key);
        match &self.current {
            None => self.start_transfer(now),
            Some(current) if current.source.is_none() => {
                self.switch_source(now);
            }
            Some(_) => {}
        }
    }

    /// Removes a control host whose connection was lost.
    pub(crate) fn mark_source_lost(
        &mut self,
        source: SocketAddr,
        now: Instant,
    ) -> Option<SourceSwitch> {
        self.offers.remove(&source);
        let current = self.current.as_ref()?;
        if current.source == Some(source) {
            return self.switch_source(now);
        }
        None
    }

    /// Adds a part; returns the payload once it is complete.
    pub(crate) fn receive_part(
        &mut self,
        source: SocketAddr,
        part: DocumentPart,
        now: Instant,
    ) -> Option<FetchedPayload> {
        let current = self.current.as_mut()?;
        if current.partial != Some(part.payload) {
            // A new source may have other bytes than the previous one.
            let may_restart = current.partial.is_none() || current.source == Some(source);
            if part.offset != 0 || !may_restart {
                return None;
            }
            current.partial = Some(part.payload);
            current.bytes.clear();
        }
        // The same part may arrive from two sources.
        if part.offset as usize != current.bytes.len() {
            return None;
        }
        current.bytes.extend(part.bytes);
        current.progress_at = now;
        if current.bytes.len() < part.payload.length as usize {
            return None;
        }
        let complete = self.current.take()?;
        Some(FetchedPayload {
            payload: DocumentPayload::from_parts(part.payload, complete.bytes),
            duration: now.saturating_duration_since(complete.started),
            requests: complete.requests,
        })
    }

    /// Records the configuration that the subscriber now has, and starts to fetch a newer one.
    pub(crate) fn set_stored(&mut self, stored: DocumentKey, now: Instant) {
        self.stored = Some(stored);
        self.part_timeout = MIN_PART_TIMEOUT;
        self.faulty.clear();
        self.paused_until = None;
        let current = self.current.take();
        self.current = current.filter(|current| current.wanted.version > stored.version);
        self.start_transfer(now);
    }

    /// Records that the payload from `source` could not be used, and requests the complete
    /// configuration from another source. Once all sources have failed, requests pause for a while,
    /// so that a fault common to all of them does not fill the link.
    pub(crate) fn reject_payload(&mut self, source: SocketAddr, now: Instant) {
        self.faulty.insert(source);
        if self.best_source(&self.faulty).is_none() {
            self.faulty = BTreeSet::from([source]);
            self.paused_until = Some(now + self.part_timeout);
            self.double_timeout();
        }
        self.start_transfer(now);
    }

    /// Switches to another control host if no part arrived within the timeout.
    pub(crate) fn check_timeout(&mut self, now: Instant) -> Option<SourceSwitch> {
        self.start_transfer(now);
        let current = self.current.as_ref()?;
        if now.saturating_duration_since(current.progress_at) < self.part_timeout {
            return None;
        }
        self.double_timeout();
        self.switch_source(now)
    }

    /// Returns the current request to a control host.
    pub(crate) fn request_for(&self, source: SocketAddr) -> Option<DocumentRequest> {
        let current = self.current.as_ref()?;
        if current.source != Some(source) {
            return None;
        }
        let offset = current.bytes.len() as u32;
        // The limit advances in steps, so that not every part triggers a report.
        let step = offset - offset % (2 * PART_BYTES);
        Some(DocumentRequest {
            key: current.wanted,
            base: current.base,
            partial: current.partial,
            attempt: self.attempt,
            offset,
            limit: step + WINDOW_BYTES,
        })
    }

    /// Returns the current request; it changes when there is something to report.
    pub(crate) fn progress(&self) -> Option<FetchProgress> {
        let source = self.current.as_ref()?.source?;
        let request = self.request_for(source)?;
        Some(FetchProgress {
            source,
            attempt: request.attempt,
            limit: request.limit,
        })
    }

    fn double_timeout(&mut self) {
        self.part_timeout = (self.part_timeout * 2).min(MAX_PART_TIMEOUT);
    }

    fn start_transfer(&mut self, now: Instant) {
        let is_paused = self.paused_until.is_some_and(|resume| now < resume);
        if is_paused || self.current.is_some() {
            return;
        }
        let usable = self.best_source(&self.faulty);
        let Some(source) = usable.or_else(|| self.best_source(&BTreeSet::new())) else {
            return;
        };
        self.attempt = self.attempt.wrapping_add(1);
        self.current = Some(CurrentFetch {
            wanted: self.offers[&source],
            base: self.stored.filter(|_| self.faulty.is_empty()),
            source: Some(source),
            tried: BTreeSet::from([source]),
            partial: None,
            bytes: Vec::new(),
            started: now,
            progress_at: now,
            requests: 1,
        });
    }

    fn switch_source(&mut self, now: Instant) -> Option<SourceSwitch> {
        let mut tried = std::mem::take(&mut self.current.as_mut()?.tried);
        let next = self.best_source(&tried).or_else(|| {
            tried.clear();
            self.best_source(&tried)
        });
        tried.extend(next);
        let current = self.current.as_mut()?;
        let former = std::mem::replace(&mut current.source, next);
        current.tried = tried;
        current.progress_at = now;
        current.requests += 1;
        self.attempt = self.attempt.wrapping_add(1);
        Some(SourceSwitch {
            from: former,
            to: next,
            offset: current.bytes.len(),
        })
    }

    /// Returns the source with the newest offer that is newer than the stored one. Among equal
    /// offers each subscriber prefers another source, which spreads the load.
    fn best_source(&self, excluded: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let stored = self.stored.map_or(0, |stored| stored.version);
        let newer = self.offers.iter().filter(|(source, key)| {
            let has_none = self.stored.is_none();
            (has_none || key.version > stored) && !excluded.contains(source)
        });
        let best = newer.max_by_key(|(source, key)| (key.version, self.preference_of(**source)));
        best.map(|(source, _)| *source)
    }

    fn preference_of(&self, source: SocketAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.own_address, source).hash(&mut hasher);
        hasher.finish()
    }
}

#[cfg(test)]
mod tests;
