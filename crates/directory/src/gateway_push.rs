//! When a control host pushes the list of entry hosts to one subscriber.
//!
//! The list is pushed whole. When many entry hosts come and go at once, as after a power cut, a push
//! for each would fill the subscriber's link with lists that are out of date on arrival.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::GatewayRecord;

/// Time between two lists for each entry host in them.
const SPAN_PER_GATEWAY: Duration = Duration::from_millis(1);

/// What one subscriber was sent.
#[derive(Debug, Default)]
pub(crate) struct GatewayPush {
    sent: Option<(Arc<[GatewayRecord]>, Instant)>,
}

/// Whether the list is to be pushed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum GatewayDue {
    /// The subscriber has it.
    Never,
    /// Now; this counts as done.
    Now(Arc<[GatewayRecord]>),
    /// After this span, if nothing changes until then.
    After(Duration),
}

impl GatewayPush {
    /// Says whether a list is due.
    pub(crate) fn due(&mut self, list: Arc<[GatewayRecord]>, now: Instant) -> GatewayDue {
        if let Some((sent, at)) = &self.sent {
            if Arc::ptr_eq(sent, &list) || *sent == list {
                return GatewayDue::Never;
            }
            let span = SPAN_PER_GATEWAY * sent.len().max(list.len()) as u32;
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
