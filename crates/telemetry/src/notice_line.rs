//! What an entry host tells operators of what targets asked of it.

use serde::{Deserialize, Serialize};

/// Path, on the metrics port of an entry host, of the list of [`NoticeLine`]s as JSON.
pub const NOTICES_PATH: &str = "/target-notices";

/// Whether a target gets requests of the host that tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeState {
    /// It does again, and is about to be tried.
    Reopening,
    /// Not for a while.
    BackedOff,
    /// No new work any more.
    Leaving,
}

/// What one target asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeLine {
    /// Its identity.
    pub target: String,
    /// Its service; empty where it is in no list of targets.
    pub service: String,
    /// Whether it gets requests.
    #[serde(rename = "standing")]
    pub state: NoticeState,
    /// Time until it gets some again, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Sendings that were held back.
    pub withheld: u64,
    /// Requests a second that it takes from all hosts together, as a decimal number; nothing where it names none.
    #[serde(default)]
    pub per_second: Option<String>,
    /// Requests of this host that went to it since it names them.
    #[serde(default)]
    pub sent: u64,
}
