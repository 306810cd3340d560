//! Commands on the claim table and their replies.

use serde::{Deserialize, Serialize};

/// The largest response body that is stored with a claim.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// Identifies a request by account and request key. Equal request keys of different accounts are
/// different keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The account.
    pub account: String,
    /// A digest of the request key.
    pub digest: [u8; 16],
}

impl ClaimKey {
    /// Creates the key of a request from an account and its request key.
    pub fn new(account: impl Into<String>, request_key: &str) -> Self {
        Self {
            account: account.into(),
            digest: short_digest(request_key.as_bytes()),
        }
    }
}

/// Returns the first half of a BLAKE3 digest. Identifies values; not meant for secrets.
pub(crate) fn short_digest(bytes: &[u8]) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    short
}

/// The recorded outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body of the response, or `None` if it exceeded [`MAX_OUTCOME_BYTES`] or was evicted.
    pub body: Option<Vec<u8>>,
}

/// A command on the claim table. Times are milliseconds since the Unix epoch by the entry host's
/// clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Claims the right to run a request at most once.
    Open {
        /// The request.
        key: ClaimKey,
        /// The entry host that will run it.
        runner: String,
        /// A random id of this claim.
        claim: u64,
        /// A digest of route and body, which distinguishes a resend from another request.
        content: [u8; 16],
        /// When the claim was requested.
        now_ms: u64,
        /// The time after which the run is considered to have ended.
        until_ms: u64,
    },
    /// Records the outcome of the run.
    Finish {
        /// The request.
        key: ClaimKey,
        /// The id of the claim that ran it.
        claim: u64,
        /// The outcome.
        outcome: ClaimOutcome,
    },
    /// Releases the claim. Sent only if no target received any part of the request.
    Release {
        /// The request.
        key: ClaimKey,
        /// The id of the claim.
        claim: u64,
    },
}

impl ClaimCommand {
    /// Returns a digest of the route and body of a request.
    pub fn content_digest(route: &str, body: &[u8]) -> [u8; 16] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(route.len() as u64).to_le_bytes());
        hasher.update(route.as_bytes());
        hasher.update(body);
        let mut short = [0; 16];
        short.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        short
    }
}

/// The reply to a [`ClaimCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The requesting host, and no other, may run the request.
    Granted,
    /// The request has run, with this outcome.
    Finished(ClaimOutcome),
    /// Another claim on the request is open.
    Held {
        /// The entry host that runs it.
        runner: String,
        /// The time after which the run is considered to have ended.
        until_ms: u64,
    },
    /// The key was used for another request.
    OtherContent,
    /// The table holds [`MAX_CLAIMS`](crate::MAX_CLAIMS) claims; nothing was claimed.
    Full,
    /// The command is recorded, now or by an earlier copy.
    Recorded,
    /// No such claim is open.
    NoSuchClaim,
}
