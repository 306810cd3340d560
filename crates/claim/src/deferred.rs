//! Deferred requests: accepted durably, run later, retained until fetched and acknowledged.

use serde::{Deserialize, Serialize};

use crate::command::short_digest;

/// The largest input of a deferred request.
pub const MAX_INPUT_BYTES: usize = 256 * 1024;

/// The largest response body that is stored.
pub const MAX_RESULT_BYTES: usize = 1024 * 1024;

/// A deferred request as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredJob {
    /// Identifies the job to its account.
    pub handle: String,
    /// The account.
    pub account: String,
    /// The pipeline.
    pub route: String,
    /// Whether another host may run it again after the host that runs it is lost.
    pub repeatable: bool,
    /// The deadline of one run, in milliseconds from its start.
    pub run_ms: u64,
    /// The JSON body.
    pub input: Vec<u8>,
}

impl DeferredJob {
    /// Returns the handle of a request with a request key. The same key yields the same handle.
    pub fn handle_from_key(account: &str, request_key: &str) -> String {
        let mut name = (account.len() as u64).to_le_bytes().to_vec();
        name.extend_from_slice(account.as_bytes());
        name.extend_from_slice(request_key.as_bytes());
        format!("k-{:032x}", u128::from_le_bytes(short_digest(&name)))
    }

    /// Returns the handle of a request without a request key.
    pub fn handle_from_number(number: u128) -> String {
        format!("d-{number:032x}")
    }
}

/// The outcome of a deferred request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredOutcome {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body of the response.
    pub body: Vec<u8>,
}

/// The exclusive right of an entry host to run a job until the lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLease {
    /// The entry host.
    pub runner: String,
    /// A random id of the lease.
    pub number: u64,
    /// When the lease ends unless it is renewed, in milliseconds since the Unix epoch.
    pub until_ms: u64,
}

/// A command on the table of deferred requests. Times are milliseconds since the Unix epoch by the
/// entry host's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredCommand {
    /// Accepts a job; the accepting host runs it.
    Accept {
        /// The job.
        job: DeferredJob,
        /// The lease of the accepting host.
        lease: JobLease,
        /// When acceptance was requested.
        now_ms: u64,
    },
    /// Takes over a job whose lease has ended.
    TakeOver {
        /// The handle of the job.
        handle: String,
        /// The requested lease.
        lease: JobLease,
        /// When the takeover was requested.
        now_ms: u64,
    },
    /// Extends a lease.
    Renew {
        /// The handle of the job.
        handle: String,
        /// The lease with its new end.
        lease: JobLease,
    },
    /// Records the outcome of the run under a lease.
    Finish {
        /// The handle of the job.
        handle: String,
        /// The id of the lease that ran it.
        number: u64,
        /// The outcome.
        outcome: DeferredOutcome,
    },
    /// Ends the lease of a job of which no target received any part. Any host may run the job
    /// afterwards, even if it may run only once.
    Release {
        /// The handle of the job.
        handle: String,
        /// The id of the lease.
        number: u64,
    },
    /// Confirms that the account has received the response, and removes the job.
    Acknowledge {
        /// The account.
        account: String,
        /// The handle of the job.
        handle: String,
    },
}

/// The reply to a [`DeferredCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredCommandReply {
    /// The job is accepted, and the requesting host runs it.
    Accepted,
    /// The job was accepted earlier, under another lease.
    Known,
    /// The handle belongs to a request with other content.
    OtherContent,
    /// The table is full; nothing was accepted.
    Full,
    /// The requesting host now has the lease and runs the job.
    Taken(DeferredJob),
    /// The command is recorded.
    Recorded,
    /// There is no such job, the lease does not match, or the job is not in a state that permits
    /// the command.
    NoSuchJob,
}

/// A read of the table of deferred requests, served by the leader without a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredQuery {
    /// Fetches the state of a job of an account.
    Fetch {
        /// The account.
        account: String,
        /// The handle of the job.
        handle: String,
    },
    /// Lists jobs without an outcome whose lease has ended at the given time.
    Expired {
        /// The time.
        now_ms: u64,
    },
}

/// The reply to a [`DeferredQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredQueryReply {
    /// The job is queued or running.
    Pending,
    /// The job has ended with this outcome.
    Done(DeferredOutcome),
    /// The account has no such job.
    NoSuchJob,
    /// Handles of jobs whose lease has ended, at most 16 in one reply.
    Expired(Vec<String>),
}
