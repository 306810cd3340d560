//! Telling control hosts what changes of what a process holds.

use linnet_quarantine::SuspectRecord;
use linnet_rate::RateWord;
use tokio::sync::watch;

/// Where a process that follows keeps something of which it tells the changes.
pub struct ChangeSource<R> {
    /// Changes with each change of it.
    pub changes: watch::Receiver<u64>,
    /// Returns the first records that changed after a change number, so many at most, and the number of the last change
    /// that they bring their reader to.
    pub changed_after: Box<dyn Fn(u64, usize) -> (Vec<R>, u64)>,
}

/// Where a process keeps what it holds against requests.
pub type SuspectSource = ChangeSource<SuspectRecord>;

/// Where a process keeps the rates that targets named.
pub type RateSource = ChangeSource<RateWord>;

/// What one control host was told of the changes of a source.
pub(crate) struct ChangeReports<'a, R> {
    source: Option<(&'a ChangeSource<R>, watch::Receiver<u64>)>,
    /// The most records in one report.
    most: usize,
    /// The number of the last change that was told. A control host that comes back is told everything, so
    /// that it knows again what it lost.
    told: u64,
}

impl<'a, R> ChangeReports<'a, R> {
    pub(crate) fn new(source: Option<&'a ChangeSource<R>>, most: usize) -> Self {
        Self {
            source: source.map(|source| (source, source.changes.clone())),
            most,
            told: 0,
        }
    }

    /// Returns what the control host has to be told next.
    pub(crate) fn next(&mut self) -> Vec<R> {
        let Some((source, changes)) = &mut self.source else {
            return Vec::new();
        };
        changes.mark_unchanged();
        let (records, number) = (source.changed_after)(self.told, self.most);
        self.told = number;
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
