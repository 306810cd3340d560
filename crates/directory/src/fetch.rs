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

use crate::sending::PART_BYTES;
use crate::{DocumentKey, DocumentPart, DocumentPayload, DocumentWant, PayloadKey};

/// How long no part may come before another control host is asked. It is doubled with each such
/// turn up to the last figure, so that a link on which a part takes longer is not filled with parts
/// from all of them.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);
const LAST_PATIENCE: Duration = Duration::from_millis(3_200);

/// Bytes that are asked for beyond those that came. A round trip between data halls of 4 ms at
/// 10 Mbit/s takes 5 KB.
const WINDOW_BYTES: u32 = 4 * PART_BYTES;

/// The transfers of one subscriber.
pub(crate) struct DocumentFetch {
    me: SocketAddr,
    held: Option<DocumentKey>,
    offers: BTreeMap<SocketAddr, DocumentKey>,
    current: Option<CurrentFetch>,
    /// Counts the turns to a source, over all transfers.
    attempt: u32,
    patience: Duration,
    /// Sources whose payload could not be used; the whole is asked for while there are any.
    faulty: BTreeSet<SocketAddr>,
    /// Nothing is asked for before, since no source had a payload that could be used.
    rests_until: Option<Instant>,
}

struct CurrentFetch {
    wanted: DocumentKey,
    base: Option<DocumentKey>,
    /// The control host that is asked; nothing while there is none, and what came is kept.
    source: Option<SocketAddr>,
    /// Sources that were asked since all had their turn.
    asked: BTreeSet<SocketAddr>,
    begun: Option<PayloadKey>,
    bytes: Vec<u8>,
    started: Instant,
    progress_at: Instant,
    turns: u32,
}

/// A payload that is whole.
#[derive(Debug)]
pub(crate) struct FetchedPayload {
    pub(crate) payload: DocumentPayload,
    /// From the first request for it.
    pub(crate) took: Duration,
    /// How many times a source was asked.
    pub(crate) turns: u32,
}

/// A turn to another source.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct FetchTurn {
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
    until: u32,
}

impl DocumentFetch {
    /// Creates the transfers of the subscriber at `me`, which has `held`.
    pub(crate) fn new(me: SocketAddr, held: Option<DocumentKey>) -> Self {
        Self {
            me,
            held,
            offers: BTreeMap::new(),
            current: None,
            attempt: 0,
            patience: FIRST_PATIENCE,
            faulty: BTreeSet::new(),
            rests_until: None,
        }
    }

    /// Hears what a control host holds.
    pub(crate) fn take_offer(&mut self, source: SocketAddr, key: DocumentKey, now: Instant) {
        self.offers.insert(source, key);
        match &self.current {
            None => self.begin(now),
            Some(current) if current.source.is_none() => {
                self.turn(now);
            }
            Some(_) => {}
        }
    }

    /// Hears that a control host was lost.
    pub(crate) fn lose_source(&mut self, source: SocketAddr, now: Instant) -> Option<FetchTurn> {
        self.offers.remove(&source);
        let current = self.current.as_ref()?;
        if current.source == Some(source) {
            return self.turn(now);
        }
        None
    }

    /// Takes a part; the payload once it is whole.
    pub(crate) fn take_part(
        &mut self,
        source: SocketAddr,
        part: DocumentPart,
        now: Instant,
    ) -> Option<FetchedPayload> {
        let current = self.current.as_mut()?;
        if current.begun != Some(part.payload) {
            // The one that is asked may have other bytes than the one before.
            let may_begin = current.begun.is_none() || current.source == Some(source);
            if part.offset != 0 || !may_begin {
                return None;
            }
            current.begun = Some(part.payload);
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
        let whole = self.current.take()?;
        Some(FetchedPayload {
            payload: DocumentPayload::from_parts(part.payload, whole.bytes),
            took: now.saturating_duration_since(whole.started),
            turns: whole.turns,
        })
    }

    /// Hears that a configuration is held from now on; the next newer one is asked for.
    pub(crate) fn take_held(&mut self, held: DocumentKey, now: Instant) {
        self.held = Some(held);
        self.patience = FIRST_PATIENCE;
        self.faulty.clear();
        self.rests_until = None;
        let current = self.current.take();
        self.current = current.filter(|current| current.wanted.version > held.version);
        self.begin(now);
    }

    /// Hears that the payload from `source` brought nothing: what it offered is asked for whole, of
    /// another source. When all were tried in vain they rest for a while, so that a fault that all
    /// of them share does not fill the link.
    pub(crate) fn take_fault(&mut self, source: SocketAddr, now: Instant) {
        self.faulty.insert(source);
        if self.best_source(&self.faulty).is_none() {
            self.faulty = BTreeSet::from([source]);
            self.rests_until = Some(now + self.patience);
            self.lengthen_patience();
        }
        self.begin(now);
    }

    /// Asks another control host where no part came for too long.
    pub(crate) fn check(&mut self, now: Instant) -> Option<FetchTurn> {
        self.begin(now);
        let current = self.current.as_ref()?;
        if now.saturating_duration_since(current.progress_at) < self.patience {
            return None;
        }
        self.lengthen_patience();
        self.turn(now)
    }

    /// Returns what is wanted of a control host now.
    pub(crate) fn want_of(&self, source: SocketAddr) -> Option<DocumentWant> {
        let current = self.current.as_ref()?;
        if current.source != Some(source) {
            return None;
        }
        let offset = current.bytes.len() as u32;
        // In steps, so that not every part is answered by a report.
        let step = offset - offset % (2 * PART_BYTES);
        Some(DocumentWant {
            key: current.wanted,
            base: current.base,
            begun: current.begun,
            attempt: self.attempt,
            offset,
            until: step + WINDOW_BYTES,
        })
    }

    /// Returns what is asked now; it changes when there is something to tell.
    pub(crate) fn progress(&self) -> Option<FetchProgress> {
        let source = self.current.as_ref()?.source?;
        let want = self.want_of(source)?;
        Some(FetchProgress {
            source,
            attempt: want.attempt,
            until: want.until,
        })
    }

    fn lengthen_patience(&mut self) {
        self.patience = (self.patience * 2).min(LAST_PATIENCE);
    }

    fn begin(&mut self, now: Instant) {
        let rests = self.rests_until.is_some_and(|until| now < until);
        if rests || self.current.is_some() {
            return;
        }
        let sound = self.best_source(&self.faulty);
        let Some(source) = sound.or_else(|| self.best_source(&BTreeSet::new())) else {
            return;
        };
        self.attempt = self.attempt.wrapping_add(1);
        self.current = Some(CurrentFetch {
            wanted: self.offers[&source],
            base: self.held.filter(|_| self.faulty.is_empty()),
            source: Some(source),
            asked: BTreeSet::from([source]),
            begun: None,
            bytes: Vec::new(),
            started: now,
            progress_at: now,
            turns: 1,
        });
    }

    fn turn(&mut self, now: Instant) -> Option<FetchTurn> {
        let mut asked = std::mem::take(&mut self.current.as_mut()?.asked);
        let next = self.best_source(&asked).or_else(|| {
            asked.clear();
            self.best_source(&asked)
        });
        asked.extend(next);
        let current = self.current.as_mut()?;
        let former = std::mem::replace(&mut current.source, next);
        current.asked = asked;
        current.progress_at = now;
        current.turns += 1;
        self.attempt = self.attempt.wrapping_add(1);
        Some(FetchTurn {
            from: former,
            to: next,
            offset: current.bytes.len(),
        })
    }

    /// Returns the source with the newest offer that is newer than what is held. Among equal ones
    /// each subscriber has another order, so that the work is spread.
    fn best_source(&self, passed_over: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        let held = self.held.map_or(0, |held| held.version);
        let newer = self.offers.iter().filter(|(source, key)| {
            let first = self.held.is_none();
            (first || key.version > held) && !passed_over.contains(source)
        });
        let best = newer.max_by_key(|(source, key)| (key.version, self.order_of(**source)));
        best.map(|(source, _)| *source)
    }

    fn order_of(&self, source: SocketAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.me, source).hash(&mut hasher);
        hasher.finish()
    }
}

#[cfg(test)]
mod tests;
