//! Telling control hosts what changes of what a process holds.

use linnet_quarantine::SuspectRecord;
use linnet_rate::RateWord;
use tokio::sync::watch;

/// Where a process that follows keeps something of which it tells the changes.
pub struct ChangeSource<R> {
    /// Changes with each change of it.
    pub changes: watch::Receiver<u64>,
    /// Returns what is to be told next.
    pub changed_after: Box<dyn Fn(ChangeQuery) -> (Vec<R>, u64)>,
}

/// Asks for the first records that changed after a change number, and the number of the last change that they bring
/// their reader to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeQuery {
    /// The change number.
    pub after: u64,
    /// The most records.
    pub limit: usize,
    /// Whether the reader may know nothing yet, also not what it usually hears from others.
    pub catches_up: bool,
}

/// Where a process keeps what it holds against requests.
pub type SuspectSource = ChangeSource<SuspectRecord>;

/// Where a process keeps the rates that targets named.
pub type RateLimitSource = ChangeSource<RateWord>;

/// What one control host was told of the changes of a source.
pub(crate) struct ChangeReports<'a, R> {
    source: Option<(&'a ChangeSource<R>, watch::Receiver<u64>)>,
    /// The most records in one report.
    limit: usize,
    /// The number of the last change that was told. A control host that comes back is told everything, so
    /// that it knows again what it lost.
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

    /// Returns what the control host has to be told next.
    pub(crate) fn next(&mut self) -> Vec<R> {
        let Some((source, changes)) = &mut self.source else {
            return Vec::new();
        };
        changes.mark_unchanged();
        let (records, last) = (source.changed_after)(ChangeQuery {
            after: self.reported,
            limit: self.limit,
            catches_up: self.catches_up,
        });
        self.reported = last;
        self.catches_up &= records.len() == self.limit;
        records
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
