//! Payloads of configurations: the complete document, or its changes against another one,
//! compressed.

use std::io::{self, Read, Write};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use zstd::stream::{Decoder, Encoder};

use crate::{ContentHash, Document, DocumentKey, StoredDocument};

/// Compression level: the default of the library. It packs a configuration of 0.8 MB to 120 KB.
const COMPRESSION_LEVEL: i32 = 3;

/// Bounds of the compression window, as powers of two: the window has to cover the entire base, and
/// the decoder refuses a window of more than 128 MB.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// Maximum size of an unpacked configuration. Operators cannot send one as large.
const MAX_DOCUMENT_BYTES: u64 = 32 * 1024 * 1024;

/// Identifies the bytes of a payload. Two sources with the same key send the same bytes, so a
/// transfer can resume at another source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PayloadKey {
    /// The configuration that the payload carries.
    pub document: DocumentKey,
    /// The configuration against which the payload encodes changes; `None` if it is complete.
    pub base: Option<DocumentKey>,
    /// Number of bytes of the payload.
    pub length: u32,
    /// Hash of the payload bytes.
    pub hash: ContentHash,
}

/// The bytes that carry a configuration to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentPayload {
    key: PayloadKey,
    bytes: Vec<u8>,
}

/// Why a payload could not be unpacked.
#[derive(Debug, Display, derive_more::Error)]
pub enum PayloadError {
    /// The bytes do not match the hash in the key.
    #[display("payload bytes do not match their hash")]
    HashMismatch,
    /// The payload encodes changes against a configuration that this process does not have.
    #[display("payload is based on {_0}, which is not stored here")]
    #[error(ignore)]
    MissingBase(DocumentKey),
    /// Decompression failed.
    #[display("decompression failed: {_0}")]
    Decompression(io::Error),
    /// The unpacked document is not the configuration that the key names.
    #[display("unpacked content is not that of {_0}")]
    #[error(ignore)]
    ContentMismatch(DocumentKey),
}

impl DocumentPayload {
    /// Packs a configuration: as changes against `base`, or completely.
    ///
    /// # Errors
    ///
    /// Returns the error of the compression.
    pub fn new(document: &StoredDocument, base: Option<&StoredDocument>) -> io::Result<Self> {
        let bytes = pack(document.body(), base.map_or(&[], |base| base.body()))?;
        let key = PayloadKey {
            document: document.key(),
            base: base.map(StoredDocument::key),
            length: bytes.len() as u32,
            hash: ContentHash::new(&bytes),
        };
        Ok(Self { key, bytes })
    }

    /// Creates a payload from received bytes and their key.
    pub fn from_parts(key: PayloadKey, bytes: Vec<u8>) -> Self {
        Self { key, bytes }
    }

    /// Returns the key.
    pub fn key(&self) -> PayloadKey {
        self.key
    }

    /// Returns the payload bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Unpacks the configuration. `base` is the current configuration here.
    ///
    /// # Errors
    ///
    /// Returns a [`PayloadError`]; no part of the payload may be used then.
    pub fn unpack(&self, base: Option<&StoredDocument>) -> Result<StoredDocument, PayloadError> {
        if ContentHash::new(&self.bytes) != self.key.hash {
            return Err(PayloadError::HashMismatch);
        }
        let base_body = match self.key.base {
            None => &[][..],
            Some(wanted) => match base.filter(|base| base.key() == wanted) {
                Some(base) => base.body(),
                None => return Err(PayloadError::MissingBase(wanted)),
            },
        };
        let body = unpack(&self.bytes, base_body).map_err(PayloadError::Decompression)?;
        let stored = StoredDocument::new(Document {
            version: self.key.document.version,
            body,
        });
        if stored.key() != self.key.document {
            return Err(PayloadError::ContentMismatch(self.key.document));
        }
        Ok(stored)
    }
}

fn pack(body: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    let window_log = (body.len() + base.len()).max(1).ilog2() + 1;
    encoder.window_log(window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    // Finds matches that lie far apart as well.
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.set_pledged_src_size(Some(body.len() as u64))?;
    encoder.write_all(body)?;
    encoder.finish()
}

fn unpack(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(bytes, base)?;
    let mut body = Vec::new();
    decoder.take(MAX_DOCUMENT_BYTES).read_to_end(&mut body)?;
    Ok(body)
}

#[cfg(test)]
mod tests;
