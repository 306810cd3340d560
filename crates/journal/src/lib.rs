//! Synced records and snapshots in one data folder.
//!
//! - [`DataFolder`] locks the folder and holds the identity of the replica that owns it.
//! - [`Journal`] appends checksummed frames, syncs them and recovers them at start.
//! - [`JournalWriter`] runs a journal on a thread of its own and commits in groups.
//! - [`DiskOps`] are the file operations, replaceable where a test needs a failing disk.

mod disk;
mod error;
mod folder;
mod frame;
mod journal;
mod writer;

pub use disk::DiskOps;
pub use error::{JournalError, JournalStep};
pub use folder::{DataFolder, FolderMetadata};
pub use frame::MAX_FRAME_BYTES;
pub use journal::{Journal, RecoveredJournal};
pub use writer::{CommitReceiver, JournalWriter};
