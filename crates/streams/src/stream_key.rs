//! Identifies a stream across callers' attempts and entry hosts.

use serde::{Deserialize, Serialize};

/// Identifies a stream by its client account and the id of the attempt that began it, so that no
/// account can learn about the streams of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Returns the key of the stream that the attempt `id` of an account began.
    pub fn new(account: &str, id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(id.as_bytes());
        let mut key = [0; 16];
        key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(key)
    }

    /// Returns which of `shards` groups of streams this one belongs to.
    pub fn shard(self, shards: u8) -> u8 {
        self.0[0] % shards
    }
}
