//! When a control host pushes the configuration to one subscriber.
//!
//! Every control host learns of a new configuration, and a subscriber follows all of them. It asks a
//! few of them to push it at once; the others do so only where it stays behind, since the copies of
//! all would fill its link.

use std::time::{Duration, Instant};

/// How long a subscriber stays behind before a control host that it did not ask pushes all the same.
pub(crate) const BEHIND_PATIENCE: Duration = Duration::from_millis(500);

/// What one subscriber has, as far as a control host knows.
#[derive(Debug)]
pub(crate) struct DocumentPush {
    /// The newest version that it has or was sent.
    version: u64,
    /// Since when it has been behind.
    behind_since: Option<Instant>,
}

impl DocumentPush {
    /// Begins with the version that the subscriber has; 0 for none.
    pub(crate) fn new(version: u64) -> Self {
        Self {
            version,
            behind_since: None,
        }
    }

    /// Says whether version `held` is to be pushed now, which counts as done then. `reported` is the
    /// version that the subscriber told last, `asked` whether it asked this control host.
    pub(crate) fn is_due(&mut self, held: u64, reported: u64, asked: bool, now: Instant) -> bool {
        if reported > self.version {
            self.version = reported;
            self.behind_since = None;
        }
        if held <= self.version {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let has_nothing = self.version == 0;
        let behind = now.saturating_duration_since(since) >= BEHIND_PATIENCE;
        if asked || has_nothing || behind {
            self.version = held;
            self.behind_since = None;
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests;
