//! The origins of streams that callers may take up again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};

use crate::StreamKey;

/// Maximum number of streams. Each takes some 70 bytes.
const MAX_STREAMS: usize = 200_000;

/// Number of origins beyond those in use after which the others are removed.
const UNUSED_ORIGINS: usize = 1_024;

/// Longest time for which an origin is kept.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// The service and the software version of the target that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: String,
    /// Software version of the target; empty if it names none.
    pub version: String,
}

impl StreamOrigin {
    /// Returns the origin of a stream of which nobody knows what began it. No route leads to its service,
    /// so that hosts of earlier builds refuse to go on as well.
    pub fn unknown() -> Self {
        Self {
            service: String::new(),
            version: String::new(),
        }
    }
}

/// An origin of an [`OriginTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OriginKey(u32);

#[derive(Debug, Clone, Copy)]
struct StreamEntry {
    origin: OriginKey,
    until: BootInstant,
}

/// The origins of streams, each for as long as a caller may take the stream up. When the table is
/// full, the oldest streams are forgotten.
#[derive(Default)]
pub struct OriginTable {
    origins: Vec<StreamOrigin>,
    keys: HashMap<StreamOrigin, OriginKey>,
    /// Number of origins at which unused ones are removed.
    max_origins: usize,
    streams: HashMap<StreamKey, StreamEntry>,
    /// In the order in which the streams were bound; a stream may be in it several times.
    bound: VecDeque<StreamKey>,
}

impl OriginTable {
    /// Binds a stream to its origin for `lifetime`; a former origin is replaced.
    pub fn bind(
        &mut self,
        stream: StreamKey,
        origin: &StreamOrigin,
        lifetime: Duration,
        now: BootInstant,
    ) {
        if self.origins.len() > self.max_origins {
            self.remove_unused_origins();
            self.max_origins = 2 * self.origins.len() + UNUSED_ORIGINS;
        }
        let entry = StreamEntry {
            origin: self.origin_key(origin),
            until: now + lifetime.min(MAX_LIFETIME),
        };
        self.streams.insert(stream, entry);
        self.bound.push_back(stream);
        while self.bound.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    /// Returns the origin of a stream; `None` if it is not known or its time is over.
    pub fn find(&self, stream: StreamKey, now: BootInstant) -> Option<&StreamOrigin> {
        let entry = self.streams.get(&stream).filter(|one| one.until > now)?;
        self.origins.get(entry.origin.0 as usize)
    }

    /// Removes streams whose time is over, as far as no older one is left.
    pub fn expire(&mut self, now: BootInstant) {
        while let Some(oldest) = self.bound.front() {
            if self.streams.get(oldest).is_some_and(|one| one.until > now) {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.bound.pop_front() {
            self.streams.remove(&oldest);
        }
    }

    fn origin_key(&mut self, origin: &StreamOrigin) -> OriginKey {
        if let Some(key) = self.keys.get(origin) {
            return *key;
        }
        let key = OriginKey(self.origins.len() as u32);
        self.origins.push(origin.clone());
        self.keys.insert(origin.clone(), key);
        key
    }

    fn remove_unused_origins(&mut self) {
        let former = std::mem::take(&mut self.origins);
        self.keys.clear();
        let streams = std::mem::take(&mut self.streams);
        for (stream, entry) in streams {
            let origin = self.origin_key(&former[entry.origin.0 as usize]);
            self.streams.insert(stream, StreamEntry { origin, ..entry });
        }
    }
}
