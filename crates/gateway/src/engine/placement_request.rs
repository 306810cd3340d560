//! Requests to the host that places prompts, and the facts on which a placement is based.

use serde::{Deserialize, Serialize};

use crate::hall_bytes::HallBytes;
use crate::prompt::Prompt;

/// A request to the host that places prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementRequest {
    /// The service of the engines.
    pub(crate) service: String,
    pub(crate) prompt: Prompt,
    /// The stage pool with large results that requests of its route use.
    pub(crate) large_result_stage: Option<String>,
    /// Bytes of stage results by data hall.
    pub(crate) results: HallBytes,
    /// Engines that were tried already; used again only if there is no other.
    pub(crate) tried: Vec<String>,
    /// Engines that must not be used.
    pub(crate) excluded: Vec<String>,
    /// Data halls in which the prompt may run; `None` allows all.
    pub(crate) allowed_halls: Option<Vec<String>>,
    /// Whether it may crash its engine, and is therefore placed beside the fewest others.
    pub(crate) isolated: bool,
}

/// The facts on which a placement was based, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementFacts {
    /// Tokens of shared parts that the engine was assumed to have cached.
    pub(crate) cached_tokens: u64,
    /// Prompt tokens whose prefill was pending there before this prompt.
    pub(crate) queued_tokens: u64,
    /// Expected time until the prefill of the prompt is done, in milliseconds.
    pub(crate) expected_ms: u32,
}
