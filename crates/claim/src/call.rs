//! Calls of entry hosts to the leading control host, multiplexed over one connection.

use serde::{Deserialize, Serialize};

use crate::command::{ClaimCommand, ClaimReply};
use crate::deferred::{DeferredCommand, DeferredCommandReply, DeferredQuery, DeferredQueryReply};

/// A call of an entry host to the leading control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCall {
    /// A command on the claim table, committed to the replicated log.
    Claim(ClaimCommand),
    /// A command on the table of deferred requests, committed to the replicated log.
    Deferred(DeferredCommand),
    /// A read of the table of deferred requests, served under the leader's lease.
    Query(DeferredQuery),
}

/// The reply to a [`ControlCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Replies to [`ControlCall::Claim`].
    Claim(ClaimReply),
    /// Replies to [`ControlCall::Deferred`].
    Deferred(DeferredCommandReply),
    /// Replies to [`ControlCall::Query`].
    Query(DeferredQueryReply),
}

/// A call with its id, as sent over a connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRequest {
    /// Identifies the call on its connection.
    pub id: u64,
    /// The id of the caller's request that the call is made for, recorded in the time line.
    pub request: String,
    /// The call.
    pub call: ControlCall,
}

/// The reply to a [`CallRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallReply {
    /// The id of the call.
    pub id: u64,
    /// The reply, or `None` if the voter did not apply the command or does not know whether it
    /// was applied.
    pub result: Option<ControlReply>,
    /// Whether the command is known not to have been applied. Only meaningful without a result.
    pub not_applied: bool,
}
