//! The data folder: its lock and the metadata of the replica that owns it, in the file `mark`.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{JournalError, JournalStep};

const LOCK_NAME: &str = "lock";
const METADATA_NAME: &str = "mark";

/// Metadata of the replica that owns a data folder. A wiped folder gets a new identity, so that its
/// replica is a new replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderMetadata {
    /// Random identity of the replica, set when the folder was first opened.
    pub identity: u64,
    /// The cluster that the replica belongs to; `None` until it forms or joins one.
    pub cluster: Option<u64>,
    /// Number of times that a process has opened the folder.
    pub incarnation: u64,
}

/// A data folder locked by this process.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    metadata: FolderMetadata,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks a folder; a folder without metadata and records gets `fresh_identity`.
    ///
    /// # Errors
    ///
    /// [`JournalError::Locked`] if another process has locked it, [`JournalError::Corrupt`] if its
    /// metadata cannot be decoded, or is missing while the folder contains records.
    pub fn open(path: &Path, fresh_identity: u64) -> Result<Self, JournalError> {
        fs::create_dir_all(path)
            .map_err(|error| JournalError::fatal(JournalStep::Lock, path, error))?;
        let lock = acquire_lock(&path.join(LOCK_NAME))?;
        let mut metadata = match read_metadata(path)? {
            Some(metadata) => metadata,
            None => new_metadata(path, fresh_identity)?,
        };
        metadata.incarnation += 1;
        write_metadata(path, &metadata)?;
        Ok(Self {
            path: path.to_owned(),
            metadata,
            _lock: lock,
        })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the metadata as stored on the disk.
    pub fn metadata(&self) -> FolderMetadata {
        self.metadata
    }

    /// Stores the cluster in the metadata; done once, when the replica forms or joins a cluster.
    ///
    /// # Errors
    ///
    /// A fatal error if the metadata cannot be written and synced.
    pub fn set_cluster(&mut self, cluster: u64) -> Result<(), JournalError> {
        let metadata = FolderMetadata {
            cluster: Some(cluster),
            ..self.metadata
        };
        write_metadata(&self.path, &metadata)?;
        self.metadata = metadata;
        Ok(())
    }
}

fn acquire_lock(path: &Path) -> Result<File, JournalError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .map_err(|error| JournalError::fatal(JournalStep::Lock, path, error))?;
    lock.try_lock().map_err(|_| JournalError::Locked {
        step: JournalStep::Lock,
        path: path.to_owned(),
    })?;
    Ok(lock)
}

fn read_metadata(folder: &Path) -> Result<Option<FolderMetadata>, JournalError> {
    let path = folder.join(METADATA_NAME);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(JournalError::fatal(JournalStep::Recover, &path, error)),
    };
    let corrupt = |reason: &str| JournalError::Corrupt {
        step: JournalStep::Recover,
        path: path.clone(),
        offset: 0,
        reason: reason.to_owned(),
    };
    let (sum, body) = bytes
        .split_at_checked(4)
        .ok_or_else(|| corrupt("the file is shorter than its checksum"))?;
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(corrupt("the checksum does not match"));
    }
    postcard::from_bytes(body)
        .map(Some)
        .map_err(|error| corrupt(&error.to_string()))
}

// Records without metadata mean that the metadata was lost. A new identity for the records of
// another replica could let it vote twice in one term, so the folder is rejected.
fn new_metadata(folder: &Path, identity: u64) -> Result<FolderMetadata, JournalError> {
    let has_records = fs::read_dir(folder)
        .map_err(|error| JournalError::fatal(JournalStep::Recover, folder, error))?
        .filter_map(Result::ok)
        .any(|entry| entry.file_name().to_string_lossy().starts_with("journal-"));
    if has_records {
        return Err(JournalError::Corrupt {
            step: JournalStep::Recover,
            path: folder.join(METADATA_NAME),
            offset: 0,
            reason: "the file is missing but the folder contains records".to_owned(),
        });
    }
    Ok(FolderMetadata {
        identity,
        cluster: None,
        incarnation: 0,
    })
}

fn write_metadata(folder: &Path, metadata: &FolderMetadata) -> Result<(), JournalError> {
    let path = folder.join(METADATA_NAME);
    let body = postcard::to_stdvec(metadata).map_err(|error| {
        JournalError::fatal(JournalStep::Write, &path, std::io::Error::other(error))
    })?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    replace_file(folder, METADATA_NAME, &bytes)
        .map_err(|error| JournalError::fatal(JournalStep::Write, &path, error))
}

/// Replaces a file atomically: after a crash it has either the complete old or the complete new
/// content.
pub(crate) fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    // Without this sync the rename itself may be lost.
    File::open(folder)?.sync_all()
}
