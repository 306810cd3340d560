//! What entry hosts ask about claims, and what they are answered.

use serde::{Deserialize, Serialize};

/// The largest answer body that is kept with a claim, in bytes.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// Names a request: one account's request key. No account can meet another's key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The account.
    pub account: String,
    /// A digest of the request key.
    pub digest: [u8; 16],
}

impl ClaimKey {
    /// Creates the name of a request from an account and its request key.
    pub fn new(account: impl Into<String>, request_key: &str) -> Self {
        Self {
            account: account.into(),
            digest: short_digest(request_key.as_bytes()),
        }
    }
}

/// Returns the first half of a digest; for names, not for secrets.
pub(crate) fn short_digest(bytes: &[u8]) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    short
}

/// The recorded end of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// The status of the answer.
    pub status: u16,
    /// The body of the answer, or nothing where it was larger than [`MAX_OUTCOME_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// A step of a claim. Times are milliseconds since 1970, by the entry host's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Asks for the right to run a request, once.
    Open {
        /// The request.
        key: ClaimKey,
        /// The entry host that will run it.
        runner: String,
        /// A random number that names this asking.
        claim: u64,
        /// A digest of route and body, to tell a resend from another request.
        content: [u8; 16],
        /// When it was asked.
        now_ms: u64,
        /// When the run will have ended one way or the other.
        until_ms: u64,
    },
    /// Records the end of the run.
    Finish {
        /// The request.
        key: ClaimKey,
        /// The number of the claim that ran it.
        claim: u64,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Gives the right back; said only when no target took any of the request.
    Release {
        /// The request.
        key: ClaimKey,
        /// The number of the claim.
        claim: u64,
    },
}

impl ClaimCommand {
    /// Returns a digest of what a request asks for.
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

/// What the claim table answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asker, and nobody else, may run the request.
    Granted,
    /// The request has run; this is its end.
    Finished(ClaimOutcome),
    /// Another asking holds the claim.
    Held {
        /// The entry host that runs it.
        runner: String,
        /// When the run will have ended one way or the other.
        until_ms: u64,
    },
    /// The key was used for another request.
    OtherContent,
    /// There are too many open claims; nothing was claimed.
    Full,
    /// The step is recorded, or was before.
    Recorded,
    /// There is no such claim any more.
    NoSuchClaim,
}
