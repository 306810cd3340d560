//! How a subscriber gets a newer configuration: from one control host at a time, and from another
//! one, going on where the first ended, when no part comes.
//!
//! One source keeps the cost at one copy: all of six control hosts sending theirs at once took a
//! link of 10 Mbit/s for seconds after a power cut, in which nothing else passed. A transfer that
//! was begun is brought to its end though newer configurations are announced meanwhile; the next
//! one then tells only what changed since. Otherwise a series of changes that is quicker than the
//! transfer would keep a subscriber at its old configuration for as long as the series lasts.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::document_sender::PART_BYTES;
use crate::{DocumentKey, DocumentPart, DocumentPayload, DocumentRequest, PayloadKey};

/// How long no part may come before another control host is asked. It is doubled with each such
/// turn up to the last figure, so that a link on which a part takes longer is not filled with parts
/// from all of them.
const MIN_PART_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_PART_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Bytes that are asked for beyond those that came. A round trip between data halls of 4 ms at
/// 10 Mbit/s takes 5 KB.
const WINDOW_BYTES: u32 = 4 * PART_BYTES;

/// The transfers of one subscriber.
pub(crate) struct DocumentFetch {
    own_address: SocketAddr,
    stored: Option<DocumentKey>,
    offers: BTreeMap<SocketAddr, DocumentKey>,
    current: Option<CurrentFetch>,
    /// Counts the turns to a source, over all transfers.
    attempt: u32,
    part_timeout: Duration,
    /// Sources whose payload could not be used; the whole is asked for while there are any.
    faulty: BTreeSet<SocketAddr>,
    /// Nothing is asked for before, since no source had a payload that could be used.
    paused_until: Option<Instant>,
}

struct CurrentFetch {
    wanted: DocumentKey,
    base: Option<DocumentKey>,
    /// The control host that is asked; nothing while there is none, and what came is kept.
    source: Option<SocketAddr>,
    /// Sources that were asked since all had their turn.
    tried: BTreeSet<SocketAddr>,
    partial: Option<PayloadKey>,
    bytes: Vec<u8>,
    started: Instant,
    progress_at: Instant,
    requests: u32,
}

/// A payload that is whole.
#[derive(Debug)]
pub(crate) struct FetchedPayload {
    pub(crate) payload: DocumentPayload,
    /// From the first request for it.
    pub(crate) duration: Duration,
    /// How many times a source was asked.
    pub(crate) requests: u32,
}

/// A turn to another source.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct SourceSwitch {
    /// The source that brought nothing for too long.
    pub(crate) from: Option<SocketAddr>,
    /// The one that is asked now.
    pub(crate) to: Option<SocketAddr>,
    /// Bytes that had come.
    pub(crate) offset: usize,
}

/// What is asked of which source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FetchProgress {
    pub(crate) source: SocketAddr,
    /// Number of the turn.
    attempt: u32,
    /// Up to which byte.
    limit: u32,
}

impl DocumentFetch {
    /// Creates the transfers of the subscriber at `me`, which has `held`.
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

    /// Hears what a control host holds.
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

    /// Hears that a control host was lost.
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

    /// Takes a part; the payload once it is whole.
    pub(crate) fn receive_part(
        &mut self,
        source: SocketAddr,
        part: DocumentPart,
        now: Instant,
    ) -> Option<FetchedPayload> {
        let current = self.current.as_mut()?;
        if current.partial != Some(part.payload) {
            // The one that is asked may have other bytes than the one before.
            let may_restart = current.partial.is_none() || current.source == Some(source);
            if part.offset != 0 || !may_restart {
                return None;
            }
            current.partial = Some(part.payload);
            current.bytes.clear();
        }
        // The same part may come from two sources.
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

    /// Hears that a configuration is held from now on; the next newer one is asked for.
    pub(crate) fn set_stored(&mut self, stored: DocumentKey, now: Instant) {
        self.stored = Some(stored);
        self.part_timeout = MIN_PART_TIMEOUT;
        self.faulty.clear();
        self.paused_until = None;
        let current = self.current.take();
        self.current = current.filter(|current| current.wanted.version > stored.version);
        self.start_transfer(now);
    }

    /// Hears that the payload from `source` brought nothing: what it offered is asked for whole, of
    /// another source. When all were tried in vain they rest for a while, so that a fault that all
    /// of them share does not fill the link.
    pub(crate) fn reject_payload(&mut self, source: SocketAddr, now: Instant) {
        self.faulty.insert(source);
        if self.best_source(&self.faulty).is_none() {
            self.faulty = BTreeSet::from([source]);
            self.paused_until = Some(now + self.part_timeout);
            self.double_timeout();
        }
        self.start_transfer(now);
    }

    /// Asks another control host where no part came for too long.
    pub(crate) fn check_timeout(&mut self, now: Instant) -> Option<SourceSwitch> {
        self.start_transfer(now);
        let current = self.current.as_ref()?;
        if now.saturating_duration_since(current.progress_at) < self.part_timeout {
            return None;
        }
        self.double_timeout();
        self.switch_source(now)
    }

    /// Returns what is wanted of a control host now.
    pub(crate) fn request_for(&self, source: SocketAddr) -> Option<DocumentRequest> {
        let current = self.current.as_ref()?;
        if current.source != Some(source) {
            return None;
        }
        let offset = current.bytes.len() as u32;
        // In steps, so that not every part is answered by a report.
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

    /// Returns what is asked now; it changes when there is something to tell.
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

    /// Returns the source with the newest offer that is newer than what is held. Among equal ones
    /// each subscriber has another order, so that the work is spread.
    fn best_source(&self, excluded: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let stored = self.stored.map_or(0, |stored| stored.version);
        let newer = self.offers.iter().filter(|(source, key)| {
            let holds_none = self.stored.is_none();
            (holds_none || key.version > stored) && !excluded.contains(source)
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
