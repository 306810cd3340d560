//! What a host knows of the hosts that rank before it as coordinator of a pool.

use std::time::{Duration, Instant};

/// Time for which a connection that is being opened counts as usable. Connections within a site
/// open in a few milliseconds, so a longer time would only delay batches whose host is down.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Silence with pending requests after which a coordinator is suspected of being lost. It sends
/// heartbeats every 150 ms, so one of them is late by then.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(250);

/// The state of the connection to another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkView {
    /// No connection has been opened yet.
    Unknown,
    /// The first attempt to open a connection has been running since this time.
    Opening {
        /// When the attempt began.
        since: Instant,
    },
    /// The connection is up.
    Up {
        /// When the last message came from the host, or the first pending request was sent to it
        /// if that is later; `None` without pending requests.
        waiting_since: Option<Instant>,
    },
    /// The connection was lost or could not be opened.
    Lost,
}

impl LinkView {
    /// Returns whether the connection is up, and the host has answered recently or has nothing to
    /// answer.
    pub fn is_responsive(self, now: Instant) -> bool {
        match self {
            Self::Up { waiting_since } => waiting_since
                .is_none_or(|since| now.saturating_duration_since(since) < SUSPICION_TIMEOUT),
            _ => false,
        }
    }

    /// Returns whether the connection is being opened and may still come up in time.
    pub(crate) fn is_opening_in_time(self, now: Instant) -> bool {
        match self {
            Self::Opening { since } => now.saturating_duration_since(since) < CONNECT_TIMEOUT,
            _ => false,
        }
    }
}

/// A host that ranks before this one as coordinator of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<H> {
    /// The host.
    pub host: H,
    /// The state of the connection to it.
    pub link: LinkView,
}
