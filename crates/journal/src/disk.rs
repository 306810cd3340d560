//! Replaceable file operations of the journal.

use std::fs::File;
use std::io::{self, Write};

/// A file operation that writes bytes at the end of a file.
type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// A file operation that makes written bytes durable.
type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// The write and sync operations of the journal; tests replace them to simulate disk failures.
pub struct DiskOps {
    pub(crate) write: WriteFn,
    pub(crate) sync: SyncFn,
}

impl DiskOps {
    /// Creates the operations of the real disk.
    pub fn new() -> Self {
        Self {
            write: Box::new(|file, bytes| file.write_all(bytes)),
            sync: Box::new(|file| file.sync_data()),
        }
    }

    /// Replaces the write operation.
    pub fn with_write(
        mut self,
        write: impl FnMut(&mut File, &[u8]) -> io::Result<()> + Send + 'static,
    ) -> Self {
        self.write = Box::new(write);
        self
    }

    /// Replaces the sync operation.
    pub fn with_sync(mut self, sync: impl FnMut(&File) -> io::Result<()> + Send + 'static) -> Self {
        self.sync = Box::new(sync);
        self
    }
}

impl Default for DiskOps {
    fn default() -> Self {
        Self::new()
    }
}
