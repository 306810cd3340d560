//! What is held against one request.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{CrashKey, HOLD_CRASHES, RequestKey};

/// The longest path that is kept of a request, in bytes.
const MAX_PATH_BYTES: usize = 256;

/// Ends from which on a request concerns every host.
const SHARED_CRASHES: usize = 2;

/// The crashes that are kept of one request. Far fewer decide; a record stays below a kilobyte.
const MAX_CRASHES: usize = 32;

/// How a request reads to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSubject {
    /// Its key.
    pub key: RequestKey,
    /// The client account; empty where the route asks for none.
    pub account: String,
    /// Its method.
    pub method: String,
    /// Host and path, cut where they are long.
    pub path: String,
}

impl RequestSubject {
    /// Creates the subject of a request at a host and path.
    pub fn new(account: &str, method: &str, host_and_path: [&str; 2], body: &[u8]) -> Self {
        let mut path = host_and_path.concat();
        let mut crash = path.len().min(MAX_PATH_BYTES);
        while !path.is_char_boundary(crash) {
            crash -= 1;
        }
        path.truncate(crash);
        Self {
            key: RequestKey::new(account, method, host_and_path, body),
            account: account.to_owned(),
            method: method.to_owned(),
            path,
        }
    }
}

impl RequestSubject {
    /// Creates the subject of a request of which only the key is known here. A record takes the rest from
    /// whoever knows it.
    pub fn unnamed(key: RequestKey) -> Self {
        Self {
            key,
            account: String::new(),
            method: String::new(),
            path: String::new(),
        }
    }

    /// Takes the rest where only the key was known; says whether that was so.
    pub(crate) fn fill_in(&mut self, other: &Self) -> bool {
        let unnamed = self.method.is_empty() && !other.method.is_empty();
        if unnamed {
            self.clone_from(other);
        }
        unnamed
    }
}

/// What is held against one request.
///
/// Records of two hosts merge into the same one whatever the order: a later round wins, and within a round
/// the crashes are united and the counts are the greater ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub subject: RequestSubject,
    /// Rises when what was held against it before does not count any more: it ran whole, an crash proved to be
    /// none, or an operator released it.
    pub round: u32,
    /// Ends of targets while it ran there.
    pub crashes: BTreeSet<CrashKey>,
    /// Whether it was found to be the cause. Stays within a round.
    pub held: bool,
    /// Trials that were begun since.
    pub trials: u32,
    /// Whether two crashes stood against it at any time, so that it concerns every host. What ran at one target that
    /// ended is mostly innocent, and only those that look for a second crash need to know of it.
    pub shared: bool,
    /// How long ago the last crash, trial or refusal was, in milliseconds, when the record was told.
    pub age_ms: u64,
}

impl SuspectRecord {
    /// Creates a record that holds nothing against a request.
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

    /// Says whether it may have been found, or may be found now, to be the cause of crashes.
    pub(crate) fn is_candidate(&self) -> bool {
        self.held || self.crashes.len() >= HOLD_CRASHES
    }

    /// Adds an crash; says whether it was new.
    pub(crate) fn add_crash(&mut self, crash: CrashKey) -> bool {
        let is_new = self.crashes.len() < MAX_CRASHES && self.crashes.insert(crash);
        self.shared |= self.crashes.len() >= SHARED_CRASHES;
        is_new
    }

    /// Begins a round in which only these crashes count.
    pub(crate) fn begin_round(&mut self, crashes: BTreeSet<CrashKey>) {
        self.round += 1;
        self.crashes = crashes;
        self.held = false;
        self.trials = 0;
    }

    /// Takes what another host holds against the same request; says whether that changed anything.
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
