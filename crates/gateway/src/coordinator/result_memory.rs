//! What results take of the memory of one stage target.

use std::collections::HashMap;
use std::time::Instant;

/// Names what takes memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum MemoryKey {
    /// A result that this host gathered, by its handle.
    Result(String),
    /// Results of a call whose answer was lost, so that nobody knows their handles.
    Lost(u64),
    /// What the host with this name told that it uses.
    Peer(String),
    /// Results of others that nobody told of.
    Unreported,
}

impl MemoryKey {
    /// Says whether this host is the one to tell others of it.
    fn is_own(&self) -> bool {
        matches!(self, Self::Result(_) | Self::Lost(_))
    }
}

#[derive(Debug, Clone, Copy)]
struct Allocation {
    bytes: u64,
    until: Instant,
}

/// The results at one target, as far as they are known.
#[derive(Debug, Default)]
pub(super) struct ResultMemory {
    allocations: HashMap<MemoryKey, Allocation>,
    /// Sum over all of them.
    bytes: u64,
    /// Not after the first of them expires; nothing where there are none.
    first_expiry: Option<Instant>,
}

impl ResultMemory {
    /// Returns how many bytes they take.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Notes bytes that are taken until they are removed, at the latest until `until`; they take the
    /// place of what the key stood for.
    pub(super) fn insert(&mut self, key: MemoryKey, bytes: u64, until: Instant) {
        self.remove(&key);
        self.bytes += bytes;
        self.first_expiry = Some(self.first_expiry.map_or(until, |first| first.min(until)));
        self.allocations.insert(key, Allocation { bytes, until });
    }

    /// Removes what a key stands for; says whether there was any.
    pub(super) fn remove(&mut self, key: &MemoryKey) -> bool {
        let removed = self.allocations.remove(key);
        self.bytes -= removed.map_or(0, |allocation| allocation.bytes);
        removed.is_some()
    }

    /// Takes bytes off what another host told, since one of its results was released here.
    pub(super) fn subtract_from_peer(&mut self, bytes: u64) {
        let mut all = self.allocations.iter_mut();
        let peer = all.find(|(key, _)| matches!(key, MemoryKey::Peer(_)));
        if let Some((_, peer)) = peer {
            let subtracted = bytes.min(peer.bytes);
            peer.bytes -= subtracted;
            self.bytes -= subtracted;
        }
    }

    /// Forgets what has expired: a target that was lost never says that its results are gone.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.first_expiry.is_none_or(|first| first > now) {
            return;
        }
        self.allocations
            .retain(|_, allocation| allocation.until > now);
        self.bytes = self
            .allocations
            .values()
            .map(|allocation| allocation.bytes)
            .sum();
        self.first_expiry = self
            .allocations
            .values()
            .map(|allocation| allocation.until)
            .min();
    }

    /// Returns the bytes of this host's own results and when the last of them expires.
    pub(super) fn own_usage(&self) -> (u64, Option<Instant>) {
        let own = self.allocations.iter().filter(|(key, _)| key.is_own());
        own.fold((0, None), |(bytes, last), (_, allocation)| {
            (bytes + allocation.bytes, last.max(Some(allocation.until)))
        })
    }
}

#[cfg(test)]
mod tests;
