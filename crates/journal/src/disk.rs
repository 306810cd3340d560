//! The file operations that the journal depends on.

use std::fs::File;
use std::io::{self, Write};

/// A file operation that writes bytes at the end of a file.
type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// A file operation that makes what was written durable.
type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// Write and sync as the journal calls them; a test replaces them by failing ones.
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
