//! Telling control hosts what a process holds against requests.

use linnet_quarantine::{ChangedSuspects, SuspectRecord};
use tokio::sync::watch;

use crate::serve::SUSPECTS_AT_ONCE;

/// Where a process that follows keeps what it holds against requests.
pub struct SuspectSource {
    /// Changes with each change of it.
    pub changes: watch::Receiver<u64>,
    /// Returns the first records that changed after a change number, so many at most.
    pub changed_after: Box<dyn Fn(u64, usize) -> ChangedSuspects>,
}

/// What one control host was told of what is held against requests.
pub(crate) struct SuspectReports<'a> {
    source: Option<(&'a SuspectSource, watch::Receiver<u64>)>,
    /// The number of the last change that was told. A control host that comes back is told everything, so
    /// that it knows again what it lost.
    told: u64,
}

impl<'a> SuspectReports<'a> {
    pub(crate) fn new(source: Option<&'a SuspectSource>) -> Self {
        Self {
            source: source.map(|source| (source, source.changes.clone())),
            told: 0,
        }
    }

    /// Returns what the control host has to be told next.
    pub(crate) fn next(&mut self) -> Vec<SuspectRecord> {
        let Some((source, changes)) = &mut self.source else {
            return Vec::new();
        };
        changes.mark_unchanged();
        let changed = (source.changed_after)(self.told, SUSPECTS_AT_ONCE);
        self.told = changed.number;
        changed.records
    }

    /// Resolves when there is more to tell.
    pub(crate) async fn changed(&mut self) {
        if let Some((_, changes)) = &mut self.source
            && changes.changed().await.is_ok()
        {
            return;
        }
        std::future::pending().await
    }
}
