//! How old the routing configuration is that decisions of this host follow.

use std::cell::Cell;
use std::time::Instant;

/// When the routing configuration came into force and when a control host was last heard.
#[derive(Debug, Default)]
pub(crate) struct ConfigAge {
    applied_at: Cell<Option<Instant>>,
    heard_at: Cell<Option<Instant>>,
}

impl ConfigAge {
    /// Records that a configuration came into force.
    pub(crate) fn record_applied(&self, now: Instant) {
        self.applied_at.set(Some(now));
    }

    /// Records a message of a control host. Connected control hosts send them regularly, also
    /// without changes.
    pub(crate) fn record_heard(&self, now: Instant) {
        self.heard_at.set(Some(now));
    }

    /// Returns the keys of a log line that state both ages in milliseconds; `-` for never.
    pub(crate) fn log_keys(&self, now: Instant) -> String {
        let age_ms = |at: &Cell<Option<Instant>>| {
            at.get().map_or_else(
                || "-".to_owned(),
                |at| now.saturating_duration_since(at).as_millis().to_string(),
            )
        };
        format!(
            "config_age_ms={} control_age_ms={}",
            age_ms(&self.applied_at),
            age_ms(&self.heard_at)
        )
    }
}

#[cfg(test)]
mod tests;
