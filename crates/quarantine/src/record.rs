//! The evidence against one request.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{CrashKey, HOLD_CRASHES, RequestKey};

/// Maximum length of the path that is stored for a request, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// Minimum number of crashes that makes a request of interest to every host.
const SHARED_CRASHES: usize = 2;

/// Maximum number of crashes that are stored for one request. Decisions need far fewer, and a
/// record stays below a kilobyte.
const MAX_CRASHES: usize = 32;

/// Description of a request for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSubject {
    /// Request key.
    pub key: RequestKey,
    /// Client account; empty if the route requires none.
    pub account: String,
    /// Request method.
    pub method: String,
    /// Host and path, truncated to `MAX_PATH_BYTES` bytes.
    pub path: String,
}

impl RequestSubject {
    /// Creates the subject of a request.
    pub fn new(account: &str, method: &str, host_and_path: [&str; 2], body: &[u8]) -> Self {
        let mut path = host_and_path.concat();
        let mut length = path.len().min(MAX_PATH_BYTES);
        while !path.is_char_boundary(length) {
            length -= 1;
        }
        path.truncate(length);
        Self {
            key: RequestKey::new(account, method, host_and_path, body),
            account: account.to_owned(),
            method: method.to_owned(),
            path,
        }
    }
}

impl RequestSubject {
    /// Creates the subject of a request of which only the key is known here. Merging with the
    /// record of a host that knows the rest completes it.
    pub fn unnamed(key: RequestKey) -> Self {
        Self {
            key,
            account: String::new(),
            method: String::new(),
            path: String::new(),
        }
    }

    /// Completes a subject of which only the key was known; returns whether it did.
    pub(crate) fn fill_in(&mut self, other: &Self) -> bool {
        let unnamed = self.method.is_empty() && !other.method.is_empty();
        if unnamed {
            self.clone_from(other);
        }
        unnamed
    }
}

/// The evidence against one request.
///
/// Records of two hosts merge into the same one in any order: the later round takes precedence, and
/// within a round the union of the crashes and the greater counts apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub subject: RequestSubject,
    /// Increases when the previous evidence is discarded: the request completed, a crash was
    /// retracted, or an operator released the request.
    pub round: u32,
    /// Crashes of targets while the request ran there.
    pub crashes: BTreeSet<CrashKey>,
    /// Whether the request was found to be the cause of crashes. Does not change back within a
    /// round.
    pub held: bool,
    /// Number of trials since the request became held.
    pub trials: u32,
    /// Whether two crashes were recorded at any time, so that the request is of interest to every
    /// host. Most requests with a single crash did not cause it, and only hosts that look for a
    /// second crash need them.
    pub shared: bool,
    /// Time from the last crash, trial or refusal until the record was sent, in milliseconds.
    pub age_ms: u64,
}

impl SuspectRecord {
    /// Creates a record without any evidence.
    pub fn new(subject: RequestSubject) -> Self {
        Self {
            subject,
            round: 0,
            crashes: BTreeSet::new(),
            held: false,
            trials: 0,
            shared: false,
            age_ms: 0,
        }
    }

    /// Returns whether the request is held, or has enough crashes to be found the cause.
    pub(crate) fn is_candidate(&self) -> bool {
        self.held || self.crashes.len() >= HOLD_CRASHES
    }

    /// Adds a crash; returns whether it was new.
    pub(crate) fn add_crash(&mut self, crash: CrashKey) -> bool {
        let is_new = self.crashes.len() < MAX_CRASHES && self.crashes.insert(crash);
        self.shared |= self.crashes.len() >= SHARED_CRASHES;
        is_new
    }

    /// Begins a round in which only the given crashes count.
    pub(crate) fn begin_round(&mut self, crashes: BTreeSet<CrashKey>) {
        self.round += 1;
        self.crashes = crashes;
        self.held = false;
        self.trials = 0;
    }

    /// Merges the record of another host for the same request; returns whether that changed
    /// anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = self.subject.fill_in(&other.subject);
        changed |= other.shared && !self.shared;
        self.shared |= other.shared;
        if other.round < self.round {
            return changed;
        }
        if other.round > self.round {
            self.round = other.round;
            self.crashes.clone_from(&other.crashes);
            self.held = other.held;
            self.trials = other.trials;
            return true;
        }
        let (crashes, held, trials) = (self.crashes.len(), self.held, self.trials);
        for crash in &other.crashes {
            self.add_crash(*crash);
        }
        self.held |= other.held;
        self.trials = self.trials.max(other.trials);
        changed || (crashes, held, trials) != (self.crashes.len(), self.held, self.trials)
    }
}
