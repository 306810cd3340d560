//! Keys that identify a request, and the crash of a target, across hosts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a request key; collisions are negligible at this size.
pub(crate) const KEY_BYTES: usize = 16;

/// Identifies a request across its retries: a hash of account, method, host, path and body. The
/// request ID of a single sending and other headers are not included, since retries by the caller
/// carry different ones. Requests of two accounts never have the same key.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey([u8; KEY_BYTES]);

impl RequestKey {
    /// Creates the key of a request from its account, method, host and path as the caller sent
    /// them, and body.
    pub fn new(account: &str, method: &str, host_and_path: [&str; 2], body: &[u8]) -> Self {
        let mut hasher = hash_texts(&[account, method, host_and_path[0], host_and_path[1]]);
        hasher.update(body);
        Self(first_bytes(&hasher))
    }

    pub(crate) fn from_bytes(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    pub(crate) fn bytes(self) -> [u8; KEY_BYTES] {
        self.0
    }

    /// Parses a key in the format of its [`fmt::Display`]; returns `None` if it is malformed.
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

/// Identifies the crash of one incarnation of a target. All hosts derive the same key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashKey([u8; 8]);

impl CrashKey {
    /// Creates the key of the crash of a target incarnation that started at `born`, in Unix
    /// milliseconds; 0 for targets whose incarnations have different IDs.
    pub fn new(target: &str, born: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.to_le_bytes());
        hasher.update(target.as_bytes());
        Self(first_bytes(&hasher))
    }
}

impl CrashKey {
    /// Maximum number of crashes that are told apart while one incarnation of a target is listed.
    pub const MAX_CRASHES: usize = 4;

    /// Returns the key of a further crash of the target while the same incarnation is listed; the
    /// first one has number 0.
    pub fn nth(self, number: usize) -> Self {
        if number == 0 {
            return self;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&(number as u64).to_le_bytes());
        Self(first_bytes(&hasher))
    }
}

impl fmt::Debug for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Hashes a list of texts.
pub(crate) fn hash_texts(texts: &[&str]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    for text in texts {
        // The length prefix keeps different lists distinct.
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher
}

pub(crate) fn first_bytes<const N: usize>(hasher: &blake3::Hasher) -> [u8; N] {
    let mut bytes = [0; N];
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}
