//! Accounts for the memory that results take at one stage target.

use std::collections::HashMap;
use std::time::Instant;

/// Identifies what occupies memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum MemoryKey {
    /// A result that this host coordinated, by its handle.
    Result(String),
    /// Results of a call whose response was lost, so that their handles are unknown.
    Lost(u64),
    /// The usage that the host with this name reported.
    Peer(String),
    /// Results of other hosts that none of them has reported.
    Unreported,
}

impl MemoryKey {
    /// Returns whether this host reports the memory to others.
    fn is_own(&self) -> bool {
        matches!(self, Self::Result(_) | Self::Lost(_))
    }
}

#[derive(Debug, Clone, Copy)]
struct Allocation {
    bytes: u64,
    until: Instant,
}

/// The known results at one target.
#[derive(Debug, Default)]
pub(super) struct ResultMemory {
    allocations: HashMap<MemoryKey, Allocation>,
    /// Sum over all allocations.
    bytes: u64,
    /// A time not later than the first expiry; `None` if there are no allocations.
    first_expiry: Option<Instant>,
}

impl ResultMemory {
    /// Returns the number of bytes in use.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records bytes as in use until they are removed or `until` has passed. Replaces the previous
    /// allocation of the key.
    pub(super) fn insert(&mut self, key: MemoryKey, bytes: u64, until: Instant) {
        self.remove(&key);
        self.bytes += bytes;
        self.first_expiry = Some(self.first_expiry.map_or(until, |first| first.min(until)));
        self.allocations.insert(key, Allocation { bytes, until });
    }

    /// Removes the allocation of a key; returns whether there was one.
    pub(super) fn remove(&mut self, key: &MemoryKey) -> bool {
        let removed = self.allocations.remove(key);
        self.bytes -= removed.map_or(0, |allocation| allocation.bytes);
        removed.is_some()
    }

    /// Subtracts bytes from the usage that another host reported, since one of its results was
    /// released here.
    pub(super) fn subtract_from_peer(&mut self, bytes: u64) {
        let mut all = self.allocations.iter_mut();
        let peer = all.find(|(key, _)| matches!(key, MemoryKey::Peer(_)));
        if let Some((_, peer)) = peer {
            let subtracted = bytes.min(peer.bytes);
            peer.bytes -= subtracted;
            self.bytes -= subtracted;
        }
    }

    /// Removes expired allocations: a target that was lost never reports that its results are gone.
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

    /// Returns the bytes of this host's own results and the time at which the last of them expires.
    pub(super) fn own_usage(&self) -> (u64, Option<Instant>) {
        let own = self.allocations.iter().filter(|(key, _)| key.is_own());
        own.fold((0, None), |(bytes, last), (_, allocation)| {
            (bytes + allocation.bytes, last.max(Some(allocation.until)))
        })
    }
}

#[cfg(test)]
mod tests;
