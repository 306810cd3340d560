//! Errors of the files in a data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::Display;

/// The operation on the data folder at which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum JournalStep {
    /// Locking the folder.
    #[display("lock")]
    Lock,
    /// Reading files at start.
    #[display("recover")]
    Recover,
    /// Writing records.
    #[display("write")]
    Write,
    /// Syncing a file or the folder.
    #[display("sync")]
    Sync,
    /// Writing a snapshot and truncating the journal.
    #[display("compact")]
    Compact,
}

/// An error of the data folder, with its step and file.
#[derive(Debug, Display, derive_more::Error)]
pub enum JournalError {
    /// Another process has locked the folder.
    #[display("{step}: {} is held by another process", path.display())]
    Locked {
        /// Always [`JournalStep::Lock`].
        step: JournalStep,
        /// The lock file.
        path: PathBuf,
    },
    /// Bytes that had been synced do not read back as written.
    #[display("{step}: {} is corrupt at byte {offset}: {reason}", path.display())]
    Corrupt {
        /// The step that found the corruption.
        step: JournalStep,
        /// The file.
        path: PathBuf,
        /// The offset of the first bad frame.
        offset: u64,
        /// What is wrong with the frame.
        reason: String,
    },
    /// The disk was full; the write was undone and the journal stays usable.
    #[display("{step}: disk full, {} was not written: {source}", path.display())]
    DiskFull {
        /// The step that failed.
        step: JournalStep,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file operation failed and left the state of the disk unknown; the process must end.
    #[display("{step}: {} failed permanently: {source}", path.display())]
    Fatal {
        /// The step that failed.
        step: JournalStep,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl JournalError {
    /// Returns whether the process must end, because the data folder is unusable or in an unknown
    /// state.
    pub fn is_fatal(&self) -> bool {
        !matches!(self, JournalError::DiskFull { .. })
    }

    pub(crate) fn fatal(step: JournalStep, path: &Path, source: io::Error) -> Self {
        JournalError::Fatal {
            step,
            path: path.to_owned(),
            source,
        }
    }
}
