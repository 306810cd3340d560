//! When a control host pushes the list of entry hosts to one subscriber.
//!
//! The list is pushed whole. When many entry hosts come and go at once, as after a power cut, a push
//! for each would fill the subscriber's link with lists that are out of date on arrival.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{GatewayRecord, OwnGateways};

/// Time between two lists for each entry host in them.
const SPAN_PER_GATEWAY: Duration = Duration::from_millis(1);

/// A list of entry hosts that is pushed whole.
pub(crate) trait PushedList: PartialEq {
    /// Returns how many entry hosts it has.
    fn hosts(&self) -> usize;
}

impl PushedList for [GatewayRecord] {
    fn hosts(&self) -> usize {
        self.len()
    }
}

impl PushedList for OwnGateways {
    fn hosts(&self) -> usize {
        self.heard.len() + self.lost.len()
    }
}

/// What one subscriber was sent.
#[derive(Debug)]
pub(crate) struct GatewayPush<L: ?Sized> {
    sent: Option<(Arc<L>, Instant)>,
}

impl<L: ?Sized> Default for GatewayPush<L> {
    fn default() -> Self {
        Self { sent: None }
    }
}

/// Whether the list is to be pushed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum GatewayDue<L: ?Sized> {
    /// The subscriber has it.
    Never,
    /// Now; this counts as done.
    Now(Arc<L>),
    /// After this span, if nothing changes until then.
    After(Duration),
}

impl<L: PushedList + ?Sized> GatewayPush<L> {
    /// Says whether a list is due.
    pub(crate) fn due(&mut self, list: Arc<L>, now: Instant) -> GatewayDue<L> {
        if let Some((sent, at)) = &self.sent {
            if Arc::ptr_eq(sent, &list) || *sent == list {
                return GatewayDue::Never;
            }
            let span = SPAN_PER_GATEWAY * sent.hosts().max(list.hosts()) as u32;
            let since = now.saturating_duration_since(*at);
            if since < span {
                return GatewayDue::After(span - since);
            }
        }
        self.sent = Some((list.clone(), now));
        GatewayDue::Now(list)
    }
}

#[cfg(test)]
mod tests;
