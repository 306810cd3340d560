//! The data folder: its lock and the mark of the replica that owns it.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::{JournalError, JournalStep};

const LOCK_NAME: &str = "lock";
const MARK_NAME: &str = "mark";

/// Who owns a data folder. A wiped folder gets a new mark, so its replica is a new replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderMetadata {
    /// Random number of the replica, made when the folder was blank.
    pub identity: u64,
    /// The cluster that the replica belongs to, once it was formed or joined.
    pub cluster: Option<u64>,
    /// How often a process has opened the folder.
    pub incarnation: u64,
}

/// A data folder held by this process alone.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    mark: FolderMetadata,
    _lock: File,
}

impl DataFolder {
    /// Opens a folder, making it with `fresh_identity` when it is blank.
    ///
    /// # Errors
    ///
    /// [`JournalError::Locked`] when another process has it, [`JournalError::Corrupt`] when its mark
    /// cannot be read or records stand in a folder without a mark.
    pub fn open(path: &Path, fresh_identity: u64) -> Result<Self, JournalError> {
        fs::create_dir_all(path)
            .map_err(|error| JournalError::fatal(JournalStep::Lock, path, error))?;
        let lock = take_lock(&path.join(LOCK_NAME))?;
        let mut mark = match read_mark(path)? {
            Some(mark) => mark,
            None => blank_mark(path, fresh_identity)?,
        };
        mark.incarnation += 1;
        write_mark(path, &mark)?;
        Ok(Self {
            path: path.to_owned(),
            mark,
            _lock: lock,
        })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the mark as it is on the disk.
    pub fn metadata(&self) -> FolderMetadata {
        self.mark
    }

    /// Writes the cluster into the mark; done once, when the replica is formed or joins.
    ///
    /// # Errors
    ///
    /// A fatal error when the mark cannot be written and synced.
    pub fn set_cluster(&mut self, cluster: u64) -> Result<(), JournalError> {
        let mark = FolderMetadata {
            cluster: Some(cluster),
            ..self.mark
        };
        write_mark(&self.path, &mark)?;
        self.mark = mark;
        Ok(())
    }
}

fn take_lock(path: &Path) -> Result<File, JournalError> {
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

fn read_mark(folder: &Path) -> Result<Option<FolderMetadata>, JournalError> {
    let path = folder.join(MARK_NAME);
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
        .ok_or_else(|| corrupt("the mark is too short"))?;
    if crc32fast::hash(body).to_le_bytes() != sum {
        return Err(corrupt("the checksum of the mark is wrong"));
    }
    postcard::from_bytes(body)
        .map(Some)
        .map_err(|error| corrupt(&error.to_string()))
}

// Records without a mark mean that the mark was lost. Making a new identity over the records of
// another would let a replica vote twice in one term, so the folder is refused.
fn blank_mark(folder: &Path, identity: u64) -> Result<FolderMetadata, JournalError> {
    let holds_records = fs::read_dir(folder)
        .map_err(|error| JournalError::fatal(JournalStep::Recover, folder, error))?
        .filter_map(Result::ok)
        .any(|entry| entry.file_name().to_string_lossy().starts_with("journal-"));
    if holds_records {
        return Err(JournalError::Corrupt {
            step: JournalStep::Recover,
            path: folder.join(MARK_NAME),
            offset: 0,
            reason: "records stand in the folder but its mark is gone".to_owned(),
        });
    }
    Ok(FolderMetadata {
        identity,
        cluster: None,
        incarnation: 0,
    })
}

fn write_mark(folder: &Path, mark: &FolderMetadata) -> Result<(), JournalError> {
    let path = folder.join(MARK_NAME);
    let body = postcard::to_stdvec(mark).map_err(|error| {
        JournalError::fatal(JournalStep::Write, &path, std::io::Error::other(error))
    })?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    replace_file(folder, MARK_NAME, &bytes)
        .map_err(|error| JournalError::fatal(JournalStep::Write, &path, error))
}

/// Replaces a file so that after a crash either the old or the new one is there, whole.
pub(crate) fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> std::io::Result<()> {
    let draft = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&draft)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(name))?;
    // Without this sync the rename itself may be lost.
    File::open(folder)?.sync_all()
}
