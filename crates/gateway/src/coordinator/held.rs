//! What results take of the memory of one stage target.

use std::collections::HashMap;
use std::time::Instant;

/// Names what takes memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum HeldKey {
    /// A result that this host gathered, by its handle.
    Result(String),
    /// Results of a call whose answer was lost, so that nobody knows their handles.
    Lost(u64),
    /// What the host with this name told that it uses.
    Told(String),
    /// Results of others that nobody told of.
    Others,
}

impl HeldKey {
    /// Says whether this host is the one to tell others of it.
    fn is_own(&self) -> bool {
        matches!(self, Self::Result(_) | Self::Lost(_))
    }
}

#[derive(Debug, Clone, Copy)]
struct Held {
    bytes: u64,
    until: Instant,
}

/// The results at one target, as far as they are known.
#[derive(Debug, Default)]
pub(super) struct HeldResults {
    held: HashMap<HeldKey, Held>,
    /// Sum over all of them.
    bytes: u64,
    /// Not after the first of them expires; nothing where there are none.
    first_expiry: Option<Instant>,
}

impl HeldResults {
    /// Returns how many bytes they take.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Notes bytes that are taken until they are removed, at the latest until `until`; they take the
    /// place of what the key stood for.
    pub(super) fn insert(&mut self, key: HeldKey, bytes: u64, until: Instant) {
        self.remove(&key);
        self.bytes += bytes;
        self.first_expiry = Some(self.first_expiry.map_or(until, |first| first.min(until)));
        self.held.insert(key, Held { bytes, until });
    }

    /// Removes what a key stands for; says whether there was any.
    pub(super) fn remove(&mut self, key: &HeldKey) -> bool {
        let removed = self.held.remove(key);
        self.bytes -= removed.map_or(0, |held| held.bytes);
        removed.is_some()
    }

    /// Takes bytes off what another host told, since one of its results was released here.
    pub(super) fn take_off_told(&mut self, bytes: u64) {
        let mut all = self.held.iter_mut();
        let told = all.find(|(key, _)| matches!(key, HeldKey::Told(_)));
        if let Some((_, told)) = told {
            let less = bytes.min(told.bytes);
            told.bytes -= less;
            self.bytes -= less;
        }
    }

    /// Forgets what has expired: a target that was lost never says that its results are gone.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.first_expiry.is_none_or(|first| first > now) {
            return;
        }
        self.held.retain(|_, held| held.until > now);
        self.bytes = self.held.values().map(|held| held.bytes).sum();
        self.first_expiry = self.held.values().map(|held| held.until).min();
    }

    /// Returns the bytes of this host's own results and when the last of them expires.
    pub(super) fn own(&self) -> (u64, Option<Instant>) {
        let own = self.held.iter().filter(|(key, _)| key.is_own());
        own.fold((0, None), |(bytes, last), (_, held)| {
            (bytes + held.bytes, last.max(Some(held.until)))
        })
    }
}

#[cfg(test)]
mod tests;
