//! The table of deferred requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::deferred::{
    DeferredCommand, DeferredCommandReply, DeferredJob, DeferredOutcome, DeferredQuery,
    DeferredQueryReply, JobLease,
};

/// The maximum number of stored jobs.
pub const MAX_JOBS: usize = 20_000;

/// The size limit for inputs and response bodies of all jobs. A new job that would exceed it is
/// refused.
pub const MAX_JOB_BYTES: usize = 64 * 1024 * 1024;

/// How long a job is retained after its acceptance if it is not acknowledged.
pub const JOB_RETENTION_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// The maximum number of handles in one reply.
const MAX_EXPIRED_HANDLES: usize = 16;

/// The outcome of a job that may run only once after the host that ran it is lost.
const HOST_LOST_BODY: &str = r#"{"error":{"code":"may_have_run","step":"run","peer":"","ran":"unknown","earlier_sendings":"none","retry_after_ms":null,"message":"the host that ran it was lost","request":""}}"#;
const HOST_LOST_STATUS: u16 = 409;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct JobEntry {
    job: DeferredJob,
    lease: JobLease,
    accepted_ms: u64,
    /// Whether the last lease was released because no target received any part of the job.
    released: bool,
    outcome: Option<DeferredOutcome>,
}

impl JobEntry {
    fn bytes(&self) -> usize {
        let body_bytes = self
            .outcome
            .as_ref()
            .map_or(0, |outcome| outcome.body.len());
        self.job.input.len() + body_bytes
    }
}

/// All stored deferred requests. Deterministic: the same commands in the same order produce the
/// same table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredTable {
    jobs: BTreeMap<String, JobEntry>,
    bytes: usize,
    now_ms: u64,
}

impl DeferredTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a command and returns its reply.
    pub fn apply(&mut self, command: DeferredCommand) -> DeferredCommandReply {
        match command {
            DeferredCommand::Accept { job, lease, now_ms } => self.accept(job, lease, now_ms),
            DeferredCommand::TakeOver {
                handle,
                lease,
                now_ms,
            } => self.take_over(&handle, lease, now_ms),
            DeferredCommand::Renew { handle, lease } => self.renew(&handle, lease),
            DeferredCommand::Finish {
                handle,
                number,
                outcome,
            } => self.finish(&handle, number, outcome),
            DeferredCommand::Release { handle, number } => self.release(&handle, number),
            DeferredCommand::Acknowledge { account, handle } => self.acknowledge(&account, &handle),
        }
    }

    /// Returns the reply to a query.
    pub fn query(&self, query: &DeferredQuery) -> DeferredQueryReply {
        match query {
            DeferredQuery::Fetch { account, handle } => match self.jobs.get(handle) {
                Some(entry) if entry.job.account == *account => match &entry.outcome {
                    Some(outcome) => DeferredQueryReply::Done(outcome.clone()),
                    None => DeferredQueryReply::Pending,
                },
                _ => DeferredQueryReply::NoSuchJob,
            },
            DeferredQuery::Expired { now_ms } => {
                let expired = self
                    .jobs
                    .iter()
                    .filter(|(_, entry)| entry.outcome.is_none() && entry.lease.until_ms <= *now_ms)
                    .map(|(handle, _)| handle.clone());
                DeferredQueryReply::Expired(expired.take(MAX_EXPIRED_HANDLES).collect())
            }
        }
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn accept(&mut self, job: DeferredJob, lease: JobLease, now_ms: u64) -> DeferredCommandReply {
        self.now_ms = self.now_ms.max(now_ms);
        self.remove_expired();
        if let Some(entry) = self.jobs.get(&job.handle) {
            if entry.job != job {
                return DeferredCommandReply::OtherContent;
            }
            // A resend of the same command whose first reply was lost.
            return if entry.lease.number == lease.number {
                DeferredCommandReply::Accepted
            } else {
                DeferredCommandReply::Known
            };
        }
        if self.jobs.len() >= MAX_JOBS || self.bytes + job.input.len() > MAX_JOB_BYTES {
            return DeferredCommandReply::Full;
        }
        self.bytes += job.input.len();
        let entry = JobEntry {
            lease,
            accepted_ms: self.now_ms,
            released: false,
            outcome: None,
            job,
        };
        self.jobs.insert(entry.job.handle.clone(), entry);
        DeferredCommandReply::Accepted
    }

    // A job that may run only once is not given to a second host unless it was released: the first
    // host may have run it.
    fn take_over(&mut self, handle: &str, lease: JobLease, now_ms: u64) -> DeferredCommandReply {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(entry) = self.jobs.get_mut(handle) else {
            return DeferredCommandReply::NoSuchJob;
        };
        let same = entry.lease.number == lease.number;
        if entry.outcome.is_some() || (entry.lease.until_ms > now_ms && !same) {
            return DeferredCommandReply::NoSuchJob;
        }
        if !entry.job.repeatable && !same && !entry.released {
            let outcome = DeferredOutcome {
                status: HOST_LOST_STATUS,
                body: HOST_LOST_BODY.as_bytes().to_vec(),
            };
            self.bytes += outcome.body.len();
            entry.outcome = Some(outcome);
            return DeferredCommandReply::Recorded;
        }
        entry.lease = lease;
        entry.released = false;
        DeferredCommandReply::Taken(entry.job.clone())
    }

    fn renew(&mut self, handle: &str, lease: JobLease) -> DeferredCommandReply {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == lease.number && entry.outcome.is_none() => {
                entry.lease.until_ms = entry.lease.until_ms.max(lease.until_ms);
                DeferredCommandReply::Recorded
            }
            _ => DeferredCommandReply::NoSuchJob,
        }
    }

    fn release(&mut self, handle: &str, number: u64) -> DeferredCommandReply {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == number && entry.outcome.is_none() => {
                entry.lease.until_ms = 0;
                entry.released = true;
                DeferredCommandReply::Recorded
            }
            _ => DeferredCommandReply::NoSuchJob,
        }
    }

    // Accepts an outcome only from the current lease. A host that lost its lease may still run the
    // job concurrently with its successor, and the account must get a single response.
    fn finish(
        &mut self,
        handle: &str,
        number: u64,
        outcome: DeferredOutcome,
    ) -> DeferredCommandReply {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == number => {
                if entry.outcome.is_none() {
                    self.bytes += outcome.body.len();
                    entry.outcome = Some(outcome);
                }
                DeferredCommandReply::Recorded
            }
            _ => DeferredCommandReply::NoSuchJob,
        }
    }

    fn acknowledge(&mut self, account: &str, handle: &str) -> DeferredCommandReply {
        let ended = self
            .jobs
            .get(handle)
            .is_some_and(|entry| entry.job.account == account && entry.outcome.is_some());
        if !ended {
            return DeferredCommandReply::NoSuchJob;
        }
        self.remove(handle);
        DeferredCommandReply::Recorded
    }

    fn remove(&mut self, handle: &str) {
        if let Some(entry) = self.jobs.remove(handle) {
            self.bytes = self.bytes.saturating_sub(entry.bytes());
        }
    }

    fn remove_expired(&mut self) {
        let old: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.accepted_ms + JOB_RETENTION_MS <= self.now_ms)
            .map(|(handle, _)| handle.clone())
            .collect();
        for handle in old {
            self.remove(&handle);
        }
    }
}
