//! A configuration as it is agreed on: opaque bytes under an outside version.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bytes of a hash that names a content. Nobody chooses contents against it: peers are proved.
const HASH_BYTES: usize = 16;

/// The hash of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentHash([u8; HASH_BYTES]);

impl ContentHash {
    /// Hashes a content.
    pub fn new(content: &[u8]) -> Self {
        let mut short = [0; HASH_BYTES];
        short.copy_from_slice(&blake3::hash(content).as_bytes()[..HASH_BYTES]);
        Self(short)
    }
}

/// A configuration in the form in which the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operator gave it; the highest holds.
    pub version: u64,
    /// The bytes, as they were sent.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Names a configuration and its content.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("version {version}")]
pub struct DocumentKey {
    /// The version that the operator gave it.
    pub version: u64,
    /// The hash of its bytes.
    pub hash: ContentHash,
}

/// A configuration that a process has, with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    key: DocumentKey,
    document: Document,
}

impl StoredDocument {
    /// Takes a configuration and hashes its bytes.
    pub fn new(document: Document) -> Self {
        let key = DocumentKey {
            version: document.version,
            hash: ContentHash::new(&document.body),
        };
        Self { key, document }
    }

    /// Returns the key.
    pub fn key(&self) -> DocumentKey {
        self.key
    }

    /// Returns the version that the operator gave it.
    pub fn version(&self) -> u64 {
        self.key.version
    }

    /// Returns the bytes, as the operator sent them.
    pub fn body(&self) -> &[u8] {
        &self.document.body
    }

    /// Returns the configuration without its key.
    pub fn document(&self) -> &Document {
        &self.document
    }
}
