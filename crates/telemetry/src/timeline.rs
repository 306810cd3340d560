//! Merges the events of several processes into one timeline.

use crate::{Event, HybridClock};

/// Merges the rings of several processes into one list in causal order.
///
/// Stamps define the order of cause and effect; the host name only makes the order of equal stamps
/// stable.
pub fn merge_events(rings: Vec<Vec<Event>>) -> Vec<Event> {
    let mut merged: Vec<Event> = rings.into_iter().flatten().collect();
    merged.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    merged.dedup();
    merged
}

/// Formats an event as one line of text.
pub fn format_event(event: &Event) -> String {
    let millis = HybridClock::unix_millis(event.stamp);
    let counter = event.stamp & 0xffff;
    let mut line = format!(
        "{millis}.{counter:05} {:<12} {} {}",
        event.host,
        event.code.number(),
        event.code.name()
    );
    if !event.request.is_empty() {
        line.push_str(" request=");
        line.push_str(&event.request);
    }
    if !event.peer.is_empty() {
        line.push_str(" peer=");
        line.push_str(&event.peer);
    }
    if !event.detail.is_empty() {
        line.push_str(" | ");
        line.push_str(&event.detail);
    }
    line
}
