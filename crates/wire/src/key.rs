//! Shared keys of linnetdale's processes and their rotation.

use std::fmt;
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};

use derive_more::Display;

const KEY_BYTES: usize = 32;

/// A shared key and the identifier by which peers refer to it.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey {
    /// Identifier of the key; not secret.
    pub id: String,
    secret: [u8; KEY_BYTES],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PeerKey({})", self.id)
    }
}

impl PeerKey {
    /// Creates a key from its identifier and secret.
    pub fn new(id: impl Into<String>, secret: [u8; KEY_BYTES]) -> Self {
        Self {
            id: id.into(),
            secret,
        }
    }

    /// Computes the keyed hash of the parts of a message; each part is preceded by its length.
    pub(crate) fn hash(&self, parts: &[&[u8]]) -> blake3::Hash {
        keyed_hash(&self.secret, parts)
    }
}

pub(crate) fn keyed_hash(secret: &[u8; KEY_BYTES], parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

/// Why a key file was rejected.
#[derive(Debug, Display, derive_more::Error)]
pub enum KeyError {
    /// The file could not be read.
    #[display("key file {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is not `ID HEX`, with 64 hexadecimal digits.
    #[display("key file {path}, line {line}: expected `ID` and 64 hexadecimal digits")]
    Line {
        /// The file.
        path: String,
        /// The line, counted from 1.
        line: usize,
    },
    /// The file contains no key.
    #[display("key file {path} holds no key")]
    Empty {
        /// The file.
        #[error(not(source))]
        path: String,
    },
}

/// The keys in use: the first one is offered to peers, all are accepted.
///
/// A key is rotated in three rounds over all processes: the new key is added as the last line of
/// the file, then moved to the first line, then the old key is removed. No round needs a restart.
#[derive(Debug, Clone)]
pub struct PeerKeyRing {
    keys: Arc<RwLock<Arc<Vec<PeerKey>>>>,
}

impl PeerKeyRing {
    /// Creates a key ring; the first key is the one offered to peers.
    pub fn new(keys: Vec<PeerKey>) -> Self {
        Self {
            keys: Arc::new(RwLock::new(Arc::new(keys))),
        }
    }

    /// Reads a key ring from a file of lines `ID HEX`; empty lines and `#` comments are ignored.
    ///
    /// # Errors
    ///
    /// [`KeyError`] with the file and line; a key ring is never loaded in part.
    pub fn load(path: &Path) -> Result<Self, KeyError> {
        Ok(Self::new(read_keys(path)?))
    }

    /// Reloads the keys from the file; keeps the current keys if the file is invalid.
    ///
    /// # Errors
    ///
    /// As [`PeerKeyRing::load`].
    pub fn reload(&self, path: &Path) -> Result<(), KeyError> {
        let keys = read_keys(path)?;
        *self.keys.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(keys);
        Ok(())
    }

    /// Returns the key that is offered to peers, the first one.
    pub fn offered(&self) -> Option<PeerKey> {
        self.current().first().cloned()
    }

    /// Returns the key with this identifier.
    pub fn find(&self, id: &str) -> Option<PeerKey> {
        self.current().iter().find(|key| key.id == id).cloned()
    }

    fn current(&self) -> Arc<Vec<PeerKey>> {
        self.keys
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn read_keys(path: &Path) -> Result<Vec<PeerKey>, KeyError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| KeyError::Read {
        path: path_text.clone(),
        source,
    })?;
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let key = parse_key(line).ok_or_else(|| KeyError::Line {
            path: path_text.clone(),
            line: index + 1,
        })?;
        keys.push(key);
    }
    if keys.is_empty() {
        return Err(KeyError::Empty { path: path_text });
    }
    Ok(keys)
}

fn parse_key(line: &str) -> Option<PeerKey> {
    let (id, hex) = line.split_once(char::is_whitespace)?;
    let hash = blake3::Hash::from_hex(hex.trim()).ok()?;
    Some(PeerKey::new(id, *hash.as_bytes()))
}
