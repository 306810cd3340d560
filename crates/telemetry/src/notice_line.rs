//! Report of an entry host to operators on the back-offs, rate limits and departures announced by
//! targets.

use serde::{Deserialize, Serialize};

/// Path, on the metrics port of an entry host, of the list of [`NoticeLine`]s as JSON.
pub const NOTICES_PATH: &str = "/target-notices";

/// Whether the reporting host sends requests to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeState {
    /// The back-off is over and a trial request is next, or no back-off is in force.
    Reopening,
    /// The target is backed off.
    BackedOff,
    /// The target is leaving and gets no new work.
    Leaving,
}

/// What one target requested of the reporting host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeLine {
    /// Identity of the target.
    pub target: String,
    /// Service of the target; empty if it is in no target list.
    pub service: String,
    /// Whether the host sends requests to it.
    #[serde(rename = "standing")]
    pub state: NoticeState,
    /// Remaining time of the back-off, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Number of sends that were withheld.
    pub withheld: u64,
    /// Rate limit of the target for all hosts together, in requests per second as a decimal number;
    /// `None` if it has none.
    #[serde(default)]
    pub per_second: Option<String>,
    /// Number of requests that this host has sent since the target has had a rate limit.
    #[serde(default)]
    pub sent: u64,
}
