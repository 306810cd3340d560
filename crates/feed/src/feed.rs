//! The table in force in one process.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, Weak};

use linnet_table::{ChangeRefusal, RowKey, TableChange, TableStore, VersionedRow};
use tokio::sync::watch;

/// Changes that are retained for followers which are a little behind.
const MAX_RETAINED_CHANGES: usize = 1_024;

/// Rows that the retained changes may have together; more are dropped from the oldest on.
const MAX_RETAINED_ROWS: usize = 20_000;

/// What a follower at some version needs next.
#[derive(Debug)]
pub enum FeedStep {
    /// Nothing; it has the newest.
    Current,
    /// These changes, in order.
    Deltas(Vec<(u64, Arc<TableChange>)>),
    /// The whole table, because it is too far behind.
    Image,
}

/// A change with the version that it made and its number of rows.
struct RetainedChange {
    version: u64,
    rows: usize,
    change: Arc<TableChange>,
}

/// The whole table of one version, in parts, as it is sent to followers.
#[derive(Debug)]
pub struct TableImage {
    /// The version.
    pub version: u64,
    /// The rows, in parts of one message each.
    pub parts: Vec<Vec<VersionedRow>>,
    /// Deletions that are remembered.
    pub tombstones: Vec<(RowKey, u64)>,
}

/// Rows of an image that one message carries.
const MAX_ROWS_PER_PART: usize = 2_000;

/// The table in force, the newest changes, and a signal for those who wait for the next.
///
/// Invariant: the version seen by any reader never falls, but for [`TableFeed::restore`].
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
    /// Creates a feed that has no table yet.
    pub fn new() -> Self {
        Self {
            table: RwLock::new(TableStore::new()),
            retained: Mutex::new(VecDeque::new()),
            image: Mutex::new(Weak::new()),
            version: watch::Sender::new(0),
            entry_host_count: AtomicU32::new(0),
        }
    }

    /// Returns the table in force. Held only for a moment, never over an await.
    pub fn read(&self) -> RwLockReadGuard<'_, TableStore> {
        self.table.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns how many entry hosts live in the whole fleet; 0 for unknown.
    pub fn entry_host_count(&self) -> u32 {
        self.entry_host_count.load(Ordering::Relaxed)
    }

    /// Sets how many entry hosts live in the whole fleet.
    pub fn set_entry_host_count(&self, hosts: u32) {
        self.entry_host_count.store(hosts, Ordering::Relaxed);
    }

    /// Returns a receiver that wakes with each version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Checks a change and takes it as the next version; for the process that decides.
    ///
    /// # Errors
    ///
    /// [`ChangeRefusal`]; the table is as it was.
    pub fn apply_change(&self, change: &TableChange) -> Result<u64, ChangeRefusal> {
        let version = self.write().apply(change)?;
        self.retain_change(version, change.clone());
        Ok(version)
    }

    /// Takes a change that another process has checked; false when it is not the next one.
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

    /// Puts a whole table in force; false when it is not newer.
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

    /// Sets the table whatever its version; only for the start of a replica and its snapshots.
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

    /// Returns the whole table in parts. Followers that are served at one time share one image, so
    /// that a hall that starts at once does not take its memory many times over.
    pub fn image(&self) -> Arc<TableImage> {
        let mut cached = self.image.lock().unwrap_or_else(PoisonError::into_inner);
        let table = self.read();
        if let Some(image) = cached.upgrade()
            && image.version == table.version()
        {
            return image;
        }
        let rows = table.image_rows();
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
