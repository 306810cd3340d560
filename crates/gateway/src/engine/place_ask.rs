//! What hosts ask the one that places prompts, and what decided a placement.

use serde::{Deserialize, Serialize};

use crate::caller_request::Prompt;
use crate::hall_bytes::HallBytes;

/// What is asked of the host that places prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlaceAsk {
    /// The service whose engines are meant.
    pub(crate) service: String,
    /// The prompt.
    pub(crate) prompt: Prompt,
    /// The stage pool with large results that requests of its route use.
    pub(crate) heavy_stage: Option<String>,
    /// Where the results of its stages lie.
    pub(crate) results: HallBytes,
    /// Engines that were tried already; used again only where there is no other.
    pub(crate) avoid: Vec<String>,
    /// Engines that must not be used.
    pub(crate) closed: Vec<String>,
    /// Halls in which the prompt may run; nothing where it may in all.
    pub(crate) homes: Option<Vec<String>>,
    /// Whether it may end its engine, and so goes where the fewest others run.
    pub(crate) apart: bool,
}

/// What decided a placement, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlaceFacts {
    /// Tokens of shared parts that the engine was taken to hold.
    pub(crate) held: u64,
    /// Prompt tokens that it still had to read before.
    pub(crate) ahead: u64,
    /// How long it was expected to take until it has read the prompt, in milliseconds.
    pub(crate) expected_ms: u32,
}
