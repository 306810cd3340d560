//! Decides when a control host pushes the list of entry hosts to a subscriber.
//!
//! The list is always pushed completely. When many entry hosts connect and disconnect at once, as
//! after a power cut, one push per change would fill the subscriber's link with lists that are
//! outdated on arrival.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{EntryHostRecord, LocalEntryHosts};

/// Minimum time between two lists, per entry host in the list.
const PUSH_SPACING_PER_ENTRY_HOST: Duration = Duration::from_millis(1);

/// A list of entry hosts that is always pushed completely.
pub(crate) trait PushedList: PartialEq {
    /// Returns the number of entry hosts in the list.
    fn hosts(&self) -> usize;
}

impl PushedList for [EntryHostRecord] {
    fn hosts(&self) -> usize {
        self.len()
    }
}

impl PushedList for LocalEntryHosts {
    fn hosts(&self) -> usize {
        self.connected.len() + self.disconnected.len()
    }
}

/// The last list sent to one subscriber.
#[derive(Debug)]
pub(crate) struct EntryHostPush<L: ?Sized> {
    sent: Option<(Arc<L>, Instant)>,
}

impl<L: ?Sized> Default for EntryHostPush<L> {
    fn default() -> Self {
        Self { sent: None }
    }
}

/// Whether a list has to be pushed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PushDue<L: ?Sized> {
    /// The subscriber already has the list.
    UpToDate,
    /// The list is due, and is recorded as sent.
    Now(Arc<L>),
    /// The list is due after this time if nothing changes until then.
    After(Duration),
}

impl<L: PushedList + ?Sized> EntryHostPush<L> {
    /// Returns whether a list is due.
    pub(crate) fn due(&mut self, list: Arc<L>, now: Instant) -> PushDue<L> {
        if let Some((sent, at)) = &self.sent {
            if Arc::ptr_eq(sent, &list) || *sent == list {
                return PushDue::UpToDate;
            }
            let span = PUSH_SPACING_PER_ENTRY_HOST * sent.hosts().max(list.hosts()) as u32;
            let since = now.saturating_duration_since(*at);
            if since < span {
                return PushDue::After(span - since);
            }
        }
        self.sent = Some((list.clone(), now));
        PushDue::Now(list)
    }
}

#[cfg(test)]
mod tests;
