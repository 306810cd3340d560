//! Joins the events of many processes into one time line.

use crate::{Event, HybridClock};

/// Merges the rings of many processes into one list in causal order.
///
/// Stamps carry the order of cause and effect; the host name only makes ties stable.
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
