//! Telling control hosts what changes of what a process holds.

use linnet_quarantine::SuspectRecord;
use linnet_rate::RateObservation;
use tokio::sync::watch;

/// Where a process that follows keeps something of which it tells the changes.
pub struct ChangeSource<R> {
    /// Changes with each change of it.
    pub changes: watch::Receiver<u64>,
    /// Returns what is to be told next.
    pub changed_after: Box<dyn Fn(ChangeAsk) -> (Vec<R>, u64)>,
}

/// Asks for the first records that changed after a change number, and the number of the last change that they bring
/// their reader to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeAsk {
    /// The change number.
    pub number: u64,
    /// The most records.
    pub most: usize,
    /// Whether the reader may know nothing yet, also not what it usually hears from others.
    pub catches_up: bool,
}

/// Where a process keeps what it holds against requests.
pub type SuspectSource = ChangeSource<SuspectRecord>;

/// Where a process keeps the rates that targets named.
pub type RateSource = ChangeSource<RateObservation>;

/// What one control host was told of the changes of a source.
pub(crate) struct ChangeReports<'a, R> {
    source: Option<(&'a ChangeSource<R>, watch::Receiver<u64>)>,
    /// The most records in one report.
    most: usize,
    /// The number of the last change that was told. A control host that comes back is told everything, so
    /// that it knows again what it lost.
    told: u64,
    catches_up: bool,
}

impl<'a, R> ChangeReports<'a, R> {
    pub(crate) fn new(source: Option<&'a ChangeSource<R>>, most: usize) -> Self {
        Self {
            source: source.map(|source| (source, source.changes.clone())),
            most,
            told: 0,
            catches_up: true,
        }
    }

    /// Returns what the control host has to be told next.
    pub(crate) fn next(&mut self) -> Vec<R> {
        let Some((source, changes)) = &mut self.source else {
            return Vec::new();
        };
        changes.mark_unchanged();
        let (records, number) = (source.changed_after)(ChangeAsk {
            number: self.told,
            most: self.most,
            catches_up: self.catches_up,
        });
        self.told = number;
        self.catches_up &= records.len() == self.most;
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
