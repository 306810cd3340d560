//! The table in force in one process, and its newest changes.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, Weak};

use linnet_table::{ChangeRefusal, RowKey, TableChange, TableStore, VersionedRow};
use tokio::sync::watch;

/// Maximum number of changes retained for followers that lag behind.
const MAX_RETAINED_CHANGES: usize = 1_024;

/// Maximum number of rows in all retained changes together; the oldest changes are dropped first.
const MAX_RETAINED_ROWS: usize = 20_000;

/// What a follower at a given version needs next.
#[derive(Debug)]
pub enum FeedStep {
    /// Nothing; it has the newest version.
    Current,
    /// These changes, in order of their versions.
    Deltas(Vec<(u64, Arc<TableChange>)>),
    /// The complete table, because the changes that it needs are no longer retained.
    Image,
}

/// A change with the version that it created and its number of rows.
struct RetainedChange {
    version: u64,
    rows: usize,
    change: Arc<TableChange>,
}

/// The complete table of one version, split into parts as it is sent to followers.
#[derive(Debug)]
pub struct TableImage {
    /// Version of the table.
    pub version: u64,
    /// The rows, in parts of one message each.
    pub parts: Vec<Vec<VersionedRow>>,
    /// Retained tombstones of deleted rows.
    pub tombstones: Vec<(RowKey, u64)>,
}

/// Maximum number of rows in one part of an image.
const MAX_ROWS_PER_PART: usize = 2_000;

/// The table in force, the newest changes, and a notification of each new version.
///
/// Invariant: the version seen by any reader never decreases, except by [`TableFeed::restore`].
pub struct TableFeed {
    table: RwLock<TableStore>,
    retained: Mutex<VecDeque<RetainedChange>>,
    image: Mutex<Weak<TableImage>>,
    version: watch::Sender<u64>,
    entry_host_count: AtomicU32,
}

impl Default for TableFeed {
    fn default() -> Self {
        Self::new()
    }
}

impl TableFeed {
    /// Creates a feed without a table.
    pub fn new() -> Self {
        Self {
            table: RwLock::new(TableStore::new()),
            retained: Mutex::new(VecDeque::new()),
            image: Mutex::new(Weak::new()),
            version: watch::Sender::new(0),
            entry_host_count: AtomicU32::new(0),
        }
    }

    /// Locks the table in force for reading. The guard must be dropped soon and not be held across
    /// an await.
    pub fn read(&self) -> RwLockReadGuard<'_, TableStore> {
        self.table.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns the number of live entry hosts in the complete deployment; 0 for unknown.
    pub fn entry_host_count(&self) -> u32 {
        self.entry_host_count.load(Ordering::Relaxed)
    }

    /// Sets the number of live entry hosts in the complete deployment.
    pub fn set_entry_host_count(&self, hosts: u32) {
        self.entry_host_count.store(hosts, Ordering::Relaxed);
    }

    /// Returns a receiver that is notified of each new version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Validates a change and applies it as the next version; for the process that accepts changes.
    ///
    /// # Errors
    ///
    /// [`ChangeRefusal`]; the table is unchanged.
    pub fn apply_change(&self, change: &TableChange) -> Result<u64, ChangeRefusal> {
        let version = self.write().apply(change)?;
        self.retain_change(version, change.clone());
        Ok(version)
    }

    /// Applies a change that another process has validated; returns false if it is not the next
    /// version.
    pub fn apply_checked_change(&self, version: u64, change: TableChange) -> bool {
        {
            let mut table = self.write();
            if version != table.version() + 1 {
                return false;
            }
            table.apply_checked(&change, version);
        }
        self.retain_change(version, change);
        true
    }

    /// Replaces the table by a complete one; returns false if that is not newer.
    pub fn apply_image(&self, image: TableStore) -> bool {
        let version = image.version();
        {
            let mut table = self.write();
            if version <= table.version() {
                return false;
            }
            *table = image;
        }
        self.lock_retained().clear();
        self.version.send_replace(version);
        true
    }

    /// Replaces the table regardless of its version; only for a replica that starts or installs a
    /// snapshot.
    pub fn restore(&self, image: TableStore) {
        let version = image.version();
        *self.write() = image;
        self.lock_retained().clear();
        self.version.send_replace(version);
    }

    /// Returns what a follower at a version needs next.
    pub fn next_step(&self, version: u64) -> FeedStep {
        if version >= self.version() {
            return FeedStep::Current;
        }
        let retained = self.lock_retained();
        let deltas: Vec<_> = retained
            .iter()
            .filter(|entry| entry.version > version)
            .map(|entry| (entry.version, entry.change.clone()))
            .collect();
        match deltas.first() {
            Some((first, _)) if *first == version + 1 => FeedStep::Deltas(deltas),
            _ => FeedStep::Image,
        }
    }

    /// Returns the complete table in parts. Followers that are served at the same time share one
    /// image, so that a data hall whose hosts all start at once does not multiply its memory.
    pub fn image(&self) -> Arc<TableImage> {
        let mut cached = self.image.lock().unwrap_or_else(PoisonError::into_inner);
        let table = self.read();
        if let Some(image) = cached.upgrade()
            && image.version == table.version()
        {
            return image;
        }
        let rows = table.snapshot_rows();
        let image = Arc::new(TableImage {
            version: table.version(),
            parts: rows
                .chunks(MAX_ROWS_PER_PART)
                .map(<[VersionedRow]>::to_vec)
                .collect(),
            tombstones: table.tombstones(),
        });
        *cached = Arc::downgrade(&image);
        image
    }

    /// Retains an applied change and publishes its version.
    fn retain_change(&self, version: u64, change: TableChange) {
        let rows = change.upserts.len() + change.deletes.len();
        let change = Arc::new(change);
        let mut retained = self.lock_retained();
        retained.push_back(RetainedChange {
            version,
            rows,
            change,
        });
        let mut total: usize = retained.iter().map(|entry| entry.rows).sum();
        while retained.len() > MAX_RETAINED_CHANGES || total > MAX_RETAINED_ROWS {
            match retained.pop_front() {
                Some(oldest) => total -= oldest.rows,
                None => break,
            }
        }
        drop(retained);
        self.version.send_replace(version);
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, TableStore> {
        self.table.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_retained(&self) -> std::sync::MutexGuard<'_, VecDeque<RetainedChange>> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
