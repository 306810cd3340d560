//! Counts the bytes that this process sends to and receives from its peers.

use std::sync::atomic::{AtomicU64, Ordering};

/// The traffic of this process with its peers, TCP and UDP payloads together.
pub static PEER_TRAFFIC: PeerTraffic = PeerTraffic {
    sent: AtomicU64::new(0),
    received: AtomicU64::new(0),
    messages: AtomicU64::new(0),
};

/// Monotonic counters of bytes and messages.
#[derive(Debug)]
pub struct PeerTraffic {
    sent: AtomicU64,
    received: AtomicU64,
    messages: AtomicU64,
}

impl PeerTraffic {
    /// Returns the number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of messages sent.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    /// Counts a sent message of this size.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the bytes of a received message.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
