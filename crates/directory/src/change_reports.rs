//! Reports to control hosts of records that changed in a process.

use linnet_quarantine::{PartRecord, SuspectRecord};
use linnet_rate::RateObservation;
use tokio::sync::watch;

/// A store of records in a following process whose changes are reported to control hosts.
pub struct ChangeSource<R> {
    /// Wakes with each change of the store.
    pub changes: watch::Receiver<u64>,
    /// Returns the records to report next, and the number of the last change that they cover.
    pub changed_after: Box<dyn Fn(ChangeQuery) -> (Vec<R>, u64)>,
}

/// Requests the first records that changed after a change number, and the number of the last change
/// that these records cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeQuery {
    /// Change number up to which the reader is up to date.
    pub after: u64,
    /// Maximum number of records.
    pub limit: usize,
    /// Whether the reader may have no records yet, including those that it usually receives from
    /// other processes.
    pub catches_up: bool,
}

/// The suspected requests that a process knows of.
pub type SuspectSource = ChangeSource<SuspectRecord>;

/// The suspected parts of prompts that a process knows of.
pub type PartSource = ChangeSource<PartRecord>;

/// The rate limits that targets announced to a process.
pub type RateLimitSource = ChangeSource<RateObservation>;

/// Which changes of a source were reported to one control host.
pub(crate) struct ChangeReports<'a, R> {
    source: Option<(&'a ChangeSource<R>, watch::Receiver<u64>)>,
    /// Maximum number of records in one report.
    limit: usize,
    /// Number of the last change that was reported. It starts at 0 for each connection, so a
    /// control host that reconnects receives all records again and recovers what it lost.
    reported: u64,
    catches_up: bool,
}

impl<'a, R> ChangeReports<'a, R> {
    pub(crate) fn new(source: Option<&'a ChangeSource<R>>, limit: usize) -> Self {
        Self {
            source: source.map(|source| (source, source.changes.clone())),
            limit,
            reported: 0,
            catches_up: true,
        }
    }

    /// Returns the records to report next.
    pub(crate) fn next(&mut self) -> Vec<R> {
        let Some((source, receiver)) = &mut self.source else {
            return Vec::new();
        };
        receiver.mark_unchanged();
        let (records, last) = (source.changed_after)(ChangeQuery {
            after: self.reported,
            limit: self.limit,
            catches_up: self.catches_up,
        });
        self.reported = last;
        self.catches_up &= records.len() == self.limit;
        records
    }

    /// Resolves when there are more changes to report.
    pub(crate) async fn changed(&mut self) {
        if let Some((_, receiver)) = &mut self.source
            && receiver.changed().await.is_ok()
        {
            return;
        }
        std::future::pending().await
    }
}
