//! The table of deferred requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::deferred::{
    DeferredAnswer, DeferredCommand, DeferredJob, DeferredOutcome, DeferredQuery, DeferredReply,
    JobLease,
};

/// Jobs that are kept at one time.
pub const MAX_JOBS: usize = 20_000;

/// Bytes of inputs and answers that are kept at one time.
pub const MAX_JOB_BYTES: usize = 64 * 1024 * 1024;

/// How long an answer that nobody acknowledges is kept, in milliseconds.
pub const JOB_KEEP_MS: u64 = 7 * 24 * 3_600 * 1_000;

/// Handles that one answer names.
const MAX_EXPIRED: usize = 16;

/// What a job that may run only once ends with when the host that ran it was lost.
const LOST_BODY: &str = r#"{"error":{"code":"may_have_run","step":"run","peer":"","ran":"unknown","earlier_sendings":"none","retry_after_ms":null,"message":"the host that ran it was lost","request":""}}"#;
const LOST_STATUS: u16 = 409;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct JobEntry {
    job: DeferredJob,
    lease: JobLease,
    accepted_ms: u64,
    /// Whether the last holder said that no target took any of it.
    given_back: bool,
    outcome: Option<DeferredOutcome>,
}

impl JobEntry {
    fn bytes(&self) -> usize {
        let answer = self
            .outcome
            .as_ref()
            .map_or(0, |outcome| outcome.body.len());
        self.job.input.len() + answer
    }
}

/// Every deferred request that is kept. Equal commands in equal order give equal tables.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeferredTable {
    jobs: BTreeMap<String, JobEntry>,
    bytes: usize,
    now_ms: u64,
}

impl DeferredTable {
    /// Creates a table without jobs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a step and returns its answer.
    pub fn apply(&mut self, command: DeferredCommand) -> DeferredAnswer {
        match command {
            DeferredCommand::Accept { job, lease, now_ms } => self.accept(job, lease, now_ms),
            DeferredCommand::Take {
                handle,
                lease,
                now_ms,
            } => self.take(&handle, lease, now_ms),
            DeferredCommand::Renew { handle, lease } => self.renew(&handle, lease),
            DeferredCommand::Finish {
                handle,
                number,
                outcome,
            } => self.finish(&handle, number, outcome),
            DeferredCommand::GiveBack { handle, number } => self.give_back(&handle, number),
            DeferredCommand::Acknowledge { account, handle } => self.acknowledge(&account, &handle),
        }
    }

    /// Answers a question.
    pub fn query(&self, query: &DeferredQuery) -> DeferredReply {
        match query {
            DeferredQuery::Fetch { account, handle } => match self.jobs.get(handle) {
                Some(entry) if entry.job.account == *account => match &entry.outcome {
                    Some(outcome) => DeferredReply::Done(outcome.clone()),
                    None => DeferredReply::Pending,
                },
                _ => DeferredReply::NoSuchJob,
            },
            DeferredQuery::Expired { now_ms } => {
                let expired = self
                    .jobs
                    .iter()
                    .filter(|(_, entry)| entry.outcome.is_none() && entry.lease.until_ms <= *now_ms)
                    .map(|(handle, _)| handle.clone());
                DeferredReply::Expired(expired.take(MAX_EXPIRED).collect())
            }
        }
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Says whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn accept(&mut self, job: DeferredJob, lease: JobLease, now_ms: u64) -> DeferredAnswer {
        self.now_ms = self.now_ms.max(now_ms);
        self.forget_old();
        if let Some(entry) = self.jobs.get(&job.handle) {
            if entry.job != job {
                return DeferredAnswer::OtherContent;
            }
            // The same asking again: its first answer was lost on the way.
            return if entry.lease.number == lease.number {
                DeferredAnswer::Accepted
            } else {
                DeferredAnswer::Known
            };
        }
        if self.jobs.len() >= MAX_JOBS || self.bytes + job.input.len() > MAX_JOB_BYTES {
            return DeferredAnswer::Full;
        }
        self.bytes += job.input.len();
        let entry = JobEntry {
            lease,
            accepted_ms: self.now_ms,
            given_back: false,
            outcome: None,
            job,
        };
        self.jobs.insert(entry.job.handle.clone(), entry);
        DeferredAnswer::Accepted
    }

    // A job that may run only once is never handed to a second host: the first may have run it.
    fn take(&mut self, handle: &str, lease: JobLease, now_ms: u64) -> DeferredAnswer {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(entry) = self.jobs.get_mut(handle) else {
            return DeferredAnswer::NoSuchJob;
        };
        let same = entry.lease.number == lease.number;
        if entry.outcome.is_some() || (entry.lease.until_ms > now_ms && !same) {
            return DeferredAnswer::NoSuchJob;
        }
        if !entry.job.repeatable && !same && !entry.given_back {
            let outcome = DeferredOutcome {
                status: LOST_STATUS,
                body: LOST_BODY.as_bytes().to_vec(),
            };
            self.bytes += outcome.body.len();
            entry.outcome = Some(outcome);
            return DeferredAnswer::Recorded;
        }
        entry.lease = lease;
        entry.given_back = false;
        DeferredAnswer::Taken(entry.job.clone())
    }

    fn renew(&mut self, handle: &str, lease: JobLease) -> DeferredAnswer {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == lease.number && entry.outcome.is_none() => {
                entry.lease.until_ms = entry.lease.until_ms.max(lease.until_ms);
                DeferredAnswer::Recorded
            }
            _ => DeferredAnswer::NoSuchJob,
        }
    }

    fn give_back(&mut self, handle: &str, number: u64) -> DeferredAnswer {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == number && entry.outcome.is_none() => {
                entry.lease.until_ms = 0;
                entry.given_back = true;
                DeferredAnswer::Recorded
            }
            _ => DeferredAnswer::NoSuchJob,
        }
    }

    // Only the holder of the lease is heard: a host that lost its lease may be running the job
    // beside its successor, and the account must get one answer.
    fn finish(&mut self, handle: &str, number: u64, outcome: DeferredOutcome) -> DeferredAnswer {
        match self.jobs.get_mut(handle) {
            Some(entry) if entry.lease.number == number => {
                if entry.outcome.is_none() {
                    self.bytes += outcome.body.len();
                    entry.outcome = Some(outcome);
                }
                DeferredAnswer::Recorded
            }
            _ => DeferredAnswer::NoSuchJob,
        }
    }

    fn acknowledge(&mut self, account: &str, handle: &str) -> DeferredAnswer {
        let ended = self
            .jobs
            .get(handle)
            .is_some_and(|entry| entry.job.account == account && entry.outcome.is_some());
        if !ended {
            return DeferredAnswer::NoSuchJob;
        }
        self.remove(handle);
        DeferredAnswer::Recorded
    }

    fn remove(&mut self, handle: &str) {
        if let Some(entry) = self.jobs.remove(handle) {
            self.bytes = self.bytes.saturating_sub(entry.bytes());
        }
    }

    fn forget_old(&mut self) {
        let old: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, entry)| entry.accepted_ms + JOB_KEEP_MS <= self.now_ms)
            .map(|(handle, _)| handle.clone())
            .collect();
        for handle in old {
            self.remove(&handle);
        }
    }
}
