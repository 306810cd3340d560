//! Durable records and snapshots in one data folder.
//!
//! - [`DataFolder`] locks the folder and stores the identity of the replica that owns it.
//! - [`Journal`] appends checksummed frames, syncs them and recovers them at start.
//! - [`JournalWriter`] runs a journal on its own thread with group commit.
//! - [`DiskOps`] are the file operations; tests replace them to simulate disk failures.

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
