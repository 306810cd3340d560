//! What can go wrong with the files of a data folder.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::Display;

/// The step of work on the data folder at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum JournalStep {
    /// Taking the lock of the folder.
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
    /// Writing a snapshot and shortening the journal.
    #[display("compact")]
    Compact,
}

/// An error of the data folder, with its step and file.
#[derive(Debug, Display, derive_more::Error)]
pub enum JournalError {
    /// Another process holds the folder.
    #[display("{step}: {} is held by another process", path.display())]
    Locked {
        /// Always [`JournalStep::Lock`].
        step: JournalStep,
        /// The lock file.
        path: PathBuf,
    },
    /// Bytes that were synced are not what was written.
    #[display("{step}: {} is corrupt at byte {offset}: {reason}", path.display())]
    Corrupt {
        /// The step that met the corruption.
        step: JournalStep,
        /// The file.
        path: PathBuf,
        /// The offset of the first bad frame.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// The disk had no room; nothing of the write was kept and the journal goes on.
    #[display("{step}: no room for {}: {source}", path.display())]
    DiskFull {
        /// The step that met the full disk.
        step: JournalStep,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A write or sync failed so that what is on the disk is unknown; the process must end.
    #[display("{step}: {} failed for good: {source}", path.display())]
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
    /// Says whether the process must end, because the state of the disk is unknown.
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
