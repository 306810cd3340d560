//! When a control host pushes the list of entry hosts to one subscriber.
//!
//! The list is pushed whole. When many entry hosts come and go at once, as after a power cut, a push
//! for each would fill the subscriber's link with lists that are out of date on arrival.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{EntryHostRecord, LocalEntryHosts};

/// Time between two lists for each entry host in them.
const PUSH_SPACING_PER_ENTRY_HOST: Duration = Duration::from_millis(1);

/// A list of entry hosts that is pushed whole.
pub(crate) trait PushedList: PartialEq {
    /// Returns how many entry hosts it has.
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

/// What one subscriber was sent.
#[derive(Debug)]
pub(crate) struct EntryHostPush<L: ?Sized> {
    sent: Option<(Arc<L>, Instant)>,
}

impl<L: ?Sized> Default for EntryHostPush<L> {
    fn default() -> Self {
        Self { sent: None }
    }
}

/// Whether the list is to be pushed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PushDue<L: ?Sized> {
    /// The subscriber has it.
    UpToDate,
    /// Now; this counts as done.
    Now(Arc<L>),
    /// After this span, if nothing changes until then.
    After(Duration),
}

impl<L: PushedList + ?Sized> EntryHostPush<L> {
    /// Says whether a list is due.
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
