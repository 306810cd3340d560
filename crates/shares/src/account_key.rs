//! Keys of client accounts.

use serde::{Deserialize, Serialize};

/// Identifies a client account by a digest of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountKey(u64);

impl AccountKey {
    /// Stands for all accounts without a record of their own.
    pub const OTHERS: Self = Self(0);

    /// Creates the key of the account with a name.
    pub fn new(name: &str) -> Self {
        let digest = blake3::hash(name.as_bytes());
        let first = digest.as_bytes().first_chunk().copied();
        // Zero is reserved for `OTHERS`.
        Self(u64::from_le_bytes(first.unwrap_or_default()).max(1))
    }
}
