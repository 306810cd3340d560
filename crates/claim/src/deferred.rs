//! Deferred requests: accepted durably, run later, kept until fetched and acknowledged.

use serde::{Deserialize, Serialize};

use crate::command::short_digest;

/// The largest input of a deferred request, in bytes.
pub const MAX_INPUT_BYTES: usize = 256 * 1024;

/// The largest answer that is kept, in bytes.
pub const MAX_RESULT_BYTES: usize = 1024 * 1024;

/// A deferred request as it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredJob {
    /// Names it towards its account.
    pub handle: String,
    /// The account.
    pub account: String,
    /// The pipeline.
    pub route: String,
    /// Whether another host may run it again when the one that runs it is lost.
    pub repeatable: bool,
    /// The time of one run, in milliseconds.
    pub run_ms: u64,
    /// The JSON body.
    pub input: Vec<u8>,
}

impl DeferredJob {
    /// Returns the handle of a request with a request key; the same key gives the same handle.
    pub fn handle_of_key(account: &str, request_key: &str) -> String {
        let mut name = (account.len() as u64).to_le_bytes().to_vec();
        name.extend_from_slice(account.as_bytes());
        name.extend_from_slice(request_key.as_bytes());
        format!("k-{:032x}", u128::from_le_bytes(short_digest(&name)))
    }

    /// Returns the handle of a request without a key.
    pub fn handle_of_number(number: u128) -> String {
        format!("d-{number:032x}")
    }
}

/// The end of a deferred request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredOutcome {
    /// The status of the answer.
    pub status: u16,
    /// The body of the answer.
    pub body: Vec<u8>,
}

/// The right of one host to run a job for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLease {
    /// The entry host.
    pub runner: String,
    /// A random number that names the lease.
    pub number: u64,
    /// When it ends unless it is renewed, in milliseconds since 1970.
    pub until_ms: u64,
}

/// A step of a deferred request. Times are milliseconds since 1970, by the entry host's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredCommand {
    /// Accepts a job; the accepting host runs it.
    Accept {
        /// The job.
        job: DeferredJob,
        /// The lease of the accepting host.
        lease: JobLease,
        /// When it was asked.
        now_ms: u64,
    },
    /// Takes a job over whose lease has ended.
    Take {
        /// The job.
        handle: String,
        /// The lease that is asked for.
        lease: JobLease,
        /// When it was asked.
        now_ms: u64,
    },
    /// Makes a lease last longer.
    Renew {
        /// The job.
        handle: String,
        /// The lease, with its new end.
        lease: JobLease,
    },
    /// Records the end of the run under a lease.
    Finish {
        /// The job.
        handle: String,
        /// The number of the lease that ran it.
        number: u64,
        /// How it ended.
        outcome: DeferredOutcome,
    },
    /// Gives a job back that no target took any of; any host may run it, even one that may run
    /// only once.
    GiveBack {
        /// The job.
        handle: String,
        /// The number of the lease.
        number: u64,
    },
    /// Says that the account has the answer; it is forgotten.
    Acknowledge {
        /// The account.
        account: String,
        /// The job.
        handle: String,
    },
}

/// The answer to a [`DeferredCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredAnswer {
    /// The job is accepted, and the asker runs it.
    Accepted,
    /// The job was accepted before.
    Known,
    /// The handle stands for another request.
    OtherContent,
    /// There is no room for more jobs; nothing was accepted.
    Full,
    /// The asker holds the lease now and runs the job.
    Taken(DeferredJob),
    /// The step is recorded.
    Recorded,
    /// There is no such job, or not under this lease.
    NoSuchJob,
}

/// A question about deferred requests, answered by the leader without a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredQuery {
    /// What became of a job of an account.
    Fetch {
        /// The account.
        account: String,
        /// The job.
        handle: String,
    },
    /// Jobs whose lease has ended by this time.
    Expired {
        /// The time.
        now_ms: u64,
    },
}

/// The answer to a [`DeferredQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeferredReply {
    /// It waits or runs.
    Pending,
    /// It has ended.
    Done(DeferredOutcome),
    /// The account has no such job.
    NoSuchJob,
    /// Handles of jobs whose lease has ended.
    Expired(Vec<String>),
}
