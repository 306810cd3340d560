//! How a configuration travels: whole, or as what changed since another one, compressed.

use std::io::{self, Read, Write};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use zstd::stream::{Decoder, Encoder};

use crate::{ContentHash, Document, DocumentKey, StoredDocument};

/// Level of compression: the library's usual one. A configuration of 0.8 MB is packed to 120 KB.
const COMPRESSION_LEVEL: i32 = 3;

/// Bounds of the window of the compression, as powers of two: it has to reach back over the whole
/// base, and a window of more than 128 MB would be refused on reading.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// The largest configuration that is unpacked, in bytes; operators cannot send one as large.
const MAX_DOCUMENT_BYTES: u64 = 32 * 1024 * 1024;

/// Names the bytes of a payload: two sources with the same key send the same bytes, so that one can
/// go on where the other ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PayloadKey {
    /// The configuration that it brings.
    pub document: DocumentKey,
    /// The configuration against which it tells changes; nothing where it is whole.
    pub base: Option<DocumentKey>,
    /// How many bytes it has.
    pub length: u32,
    /// The hash of its bytes.
    pub hash: ContentHash,
}

/// The bytes that bring a configuration to a subscriber.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentPayload {
    key: PayloadKey,
    bytes: Vec<u8>,
}

/// Why a payload brought no configuration.
#[derive(Debug, Display, derive_more::Error)]
pub enum PayloadError {
    /// The bytes are not those that the key names.
    #[display("the bytes differ from their hash")]
    HashMismatch,
    /// It tells changes against a configuration that is not here.
    #[display("it is based on {_0}, which is not held")]
    #[error(ignore)]
    MissingBase(DocumentKey),
    /// The bytes cannot be unpacked.
    #[display("unpacking: {_0}")]
    Decompression(io::Error),
    /// What was unpacked is not the configuration that the key names.
    #[display("it brought other content than {_0}")]
    #[error(ignore)]
    ContentMismatch(DocumentKey),
}

impl DocumentPayload {
    /// Packs a configuration: as changes against `base`, or whole.
    ///
    /// # Errors
    ///
    /// The error of the compression.
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

    /// Takes bytes that came under a key.
    pub fn from_parts(key: PayloadKey, bytes: Vec<u8>) -> Self {
        Self { key, bytes }
    }

    /// Returns the key.
    pub fn key(&self) -> PayloadKey {
        self.key
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Unpacks the configuration. `base` is what is held here.
    ///
    /// # Errors
    ///
    /// [`PayloadFault`]; nothing of it may be used then.
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
    // Finds what both have in common also where it lies far apart.
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
