//! What names a request across hosts, and the end of a target.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a request key: two requests of a fleet have one by chance in no time that matters.
const KEY_BYTES: usize = 16;

/// What all sendings of a request have in common: its account, method, host, path and body. The identity
/// that a caller gives to one sending is not among them, nor are other headers, since the same request comes
/// again with other ones. Requests of two accounts never have the same key.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey([u8; KEY_BYTES]);

impl RequestKey {
    /// Creates the key of a request. `host_and_path` is its host and path as the caller sent them.
    pub fn new(account: &str, method: &str, host_and_path: [&str; 2], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [account, method, host_and_path[0], host_and_path[1]] {
            // With its length, so that no two lists of parts read alike.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(first_bytes(&hasher))
    }

    /// Reads a key as [`fmt::Display`] writes it; nothing where it is none.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != KEY_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; KEY_BYTES];
        for (number, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[number * 2..number * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// One end of one start of a target. Hosts that see the same end name it alike.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashKey([u8; 8]);

impl CrashKey {
    /// Creates the key of the end of a target that started at `born`, in Unix milliseconds; 0 where a target
    /// has another identity at each start.
    pub fn new(target: &str, born: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.to_le_bytes());
        hasher.update(target.as_bytes());
        Self(first_bytes(&hasher))
    }
}

impl fmt::Debug for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

fn first_bytes<const N: usize>(hasher: &blake3::Hasher) -> [u8; N] {
    let mut bytes = [0; N];
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}
