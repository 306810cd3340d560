//! What entry hosts ask of the leading control host over one connection.

use serde::{Deserialize, Serialize};

use crate::command::{ClaimAnswer, ClaimCommand};
use crate::deferred::{DeferredAnswer, DeferredCommand, DeferredQuery, DeferredReply};

/// One thing that an entry host asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// A step of a claim; committed.
    Claim(ClaimCommand),
    /// A step of a deferred request; committed.
    Deferred(DeferredCommand),
    /// A question about deferred requests; answered under the leader's lease.
    Query(DeferredQuery),
}

/// The answer to a [`ControlCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallAnswer {
    /// To a step of a claim.
    Claim(ClaimAnswer),
    /// To a step of a deferred request.
    Deferred(DeferredAnswer),
    /// To a question.
    Query(DeferredReply),
}

/// A call with a number, over one connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRequest {
    /// Names the call on its connection.
    pub number: u64,
    /// The caller's request that the call is for, for the time line.
    pub request: String,
    /// The call.
    pub call: ControlCall,
}

/// The answer to a [`CallRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallReply {
    /// The number of the call.
    pub number: u64,
    /// The answer, or nothing where the voter cannot tell whether the step was taken.
    pub answer: Option<CallAnswer>,
    /// Whether the step was certainly not taken, where there is no answer.
    pub not_taken: bool,
}
