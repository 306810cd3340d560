//! A configuration document as the cluster agrees on it: opaque bytes with a version that the
//! operator assigns.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bytes of a content hash. It need not resist deliberate collisions, since peers are
/// authenticated.
const HASH_BYTES: usize = 16;

/// The hash of a document or payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentHash([u8; HASH_BYTES]);

impl ContentHash {
    /// Hashes bytes.
    pub fn new(content: &[u8]) -> Self {
        let mut short = [0; HASH_BYTES];
        short.copy_from_slice(&blake3::hash(content).as_bytes()[..HASH_BYTES]);
        Self(short)
    }
}

/// A configuration, byte for byte as the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version that the operator assigned; the highest version is in force.
    pub version: u64,
    /// Document body, byte for byte as the operator sent it.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Identifies a configuration by version and content.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("version {version}")]
pub struct DocumentKey {
    /// Version that the operator assigned.
    pub version: u64,
    /// Hash of the document body.
    pub hash: ContentHash,
}

/// A configuration that a process has, with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredDocument {
    key: DocumentKey,
    document: Document,
}

impl StoredDocument {
    /// Computes the key of a configuration.
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

    /// Returns the version that the operator assigned.
    pub fn version(&self) -> u64 {
        self.key.version
    }

    /// Returns the document body, byte for byte as the operator sent it.
    pub fn body(&self) -> &[u8] {
        &self.document.body
    }

    /// Returns the configuration without its key.
    pub fn document(&self) -> &Document {
        &self.document
    }
}
