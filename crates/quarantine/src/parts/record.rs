//! The evidence about one part of prompts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{OriginTag, PartKey, PartScope, RunTag};
use crate::CrashKey;
use crate::instant::CrashInstants;

/// Crashes after which a part is held that explains all known crashes of its service. Fewer are a
/// coincidence too often: of the many parts in flight, a few are present at each of the first crashes.
pub(super) const HOLD_PART_CRASHES: usize = 4;

/// The same for a part that was held before.
pub(super) const HOLD_AGAIN_CRASHES: usize = 3;

/// Maximum length of the identifier that is stored for a part, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Minimum number of crashes that makes a part of interest to every host.
const SHARED_CRASHES: usize = 2;

/// Maximum number of crashes of a record, and of origins of one crash. Decisions need far fewer.
const MAX_CRASHES: usize = 32;
const MAX_ORIGINS: usize = 8;

/// Completed runs that weigh as much as one crash: a part may crash targets in most of its runs only.
const RUNS_PER_CRASH: usize = 2;

/// Maximum evidence, in crashes, that a part keeps at a process that learned of its crashes at once.
const MAX_HELD_EVIDENCE: usize = 8;

/// Number of instants with crashes of a part from which runs that they interrupted no longer speak in full for it:
/// one instant has one cause, which interrupts what happens to run.
const LATE_CRASH_INSTANTS: usize = 3;

/// Weight of such a run from then on, in completed runs. It speaks against a crash at the first events, and
/// not against one late in the answer.
const INTERRUPTED_RUN_WEIGHT: f64 = 0.5;

/// Number of completed runs from which no more are added: they outweigh `MAX_CRASHES` crashes, so that a
/// part with many runs is not held when many targets crash at once.
const MAX_RUNS: usize = MAX_CRASHES * RUNS_PER_CRASH;

/// Maximum number of tags of runs in a record, also of those that were retracted.
const MAX_RUN_TAGS: usize = 2 * MAX_RUNS;

/// Description of a part for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSubject {
    /// Part key.
    pub key: PartKey,
    /// Service whose targets answer on the part.
    pub service: String,
    /// Account whose requests are counted; `None` for those of all accounts.
    pub account: Option<String>,
    /// Identifier that callers give the part, truncated to `MAX_ID_BYTES` bytes.
    pub id: String,
}

impl PartSubject {
    /// Creates the subject of a part.
    pub fn new(service: &str, scope: PartScope<'_>, id: &str) -> Self {
        let account = match scope {
            PartScope::Account(account) => Some(account.to_owned()),
            PartScope::AllAccounts => None,
        };
        let mut length = id.len().min(MAX_ID_BYTES);
        while !id.is_char_boundary(length) {
            length -= 1;
        }
        Self {
            key: PartKey::new(service, scope, id),
            service: service.to_owned(),
            account,
            id: id[..length].to_owned(),
        }
    }
}

/// The evidence about one part.
///
/// Records of two hosts merge into the same one in any order: the later round takes precedence, and
/// within a round the unions and the greater counts apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    /// The part.
    pub subject: PartSubject,
    /// Increases when the previous evidence is discarded: a crash was retracted, or an operator
    /// released the part.
    pub round: u32,
    /// Crashes of targets while requests with the part were in flight there, with the origins of
    /// these requests.
    pub crashes: BTreeMap<CrashKey, BTreeSet<OriginTag>>,
    /// Tags of the completed runs of requests with the part, and of their retractions.
    pub runs: BTreeSet<RunTag>,
    /// Whether the part was held before in this round. It then needs no more crashes than at first,
    /// however many targets crash for other reasons later.
    pub was_held: bool,
    /// Number of trials since the part was held.
    pub trials: u32,
    /// Number of these trials that completed.
    pub passed_trials: u32,
    /// Time from the last crash, trial or refusal until the record was sent, in milliseconds.
    pub age_ms: u64,
}

impl PartRecord {
    /// Creates a record without any evidence.
    pub fn new(subject: PartSubject) -> Self {
        Self {
            subject,
            round: 0,
            crashes: BTreeMap::new(),
            runs: BTreeSet::new(),
            was_held: false,
            trials: 0,
            passed_trials: 0,
            age_ms: 0,
        }
    }

    /// Returns whether the part is of interest to every host. Most parts with a single crash did not
    /// cause it, and only hosts that look for a second crash need them.
    pub fn is_shared(&self) -> bool {
        self.crashes.len() >= SHARED_CRASHES || self.round > 0
    }

    /// Returns whether the part may have enough crashes to be found the cause.
    pub(crate) fn is_candidate(&self, instants: &CrashInstants) -> bool {
        let needed = match self.was_held {
            true => HOLD_AGAIN_CRASHES,
            false => HOLD_PART_CRASHES,
        };
        let evidence = self.retained_evidence(
            instants.max_evidence(self.crashes.keys()),
            self.crashes.len(),
        );
        self.outweighs_runs(instants, evidence, needed)
    }

    /// Returns the evidence of a number of crashes. A process that learns at once of all crashes of a part
    /// that is held elsewhere cannot tell their instants apart.
    pub(crate) fn retained_evidence(&self, evidence: f64, crashes: usize) -> f64 {
        match self.was_held {
            true => evidence.max(crashes.min(MAX_HELD_EVIDENCE) as f64),
            false => evidence,
        }
    }

    /// Returns whether evidence of at least `needed` crashes remains if the completed runs are weighed
    /// against it.
    pub(crate) fn outweighs_runs(
        &self,
        instants: &CrashInstants,
        evidence: f64,
        needed: usize,
    ) -> bool {
        self.suspicion(instants, evidence) >= needed as f64
    }

    /// Returns the evidence that remains if the completed runs are weighed against it.
    pub(crate) fn suspicion(&self, instants: &CrashInstants, evidence: f64) -> f64 {
        let is_one_cause = instants.count(self.crashes.keys()) < LATE_CRASH_INSTANTS;
        let interrupted_weight = match is_one_cause && !self.was_held {
            true => 1.0,
            false => INTERRUPTED_RUN_WEIGHT,
        };
        let runs = self.run_count() as f64 + self.interrupted_count() as f64 * interrupted_weight;
        evidence - runs / RUNS_PER_CRASH as f64
    }

    /// Returns whether completed runs outweigh the crashes.
    pub(crate) fn is_sound(&self) -> bool {
        self.run_count() > self.crashes.len() * RUNS_PER_CRASH
    }

    /// Returns the number of completed runs, at most [`MAX_RUNS`].
    pub fn run_count(&self) -> usize {
        (self.runs.len() - 2 * self.interrupted_count()).min(MAX_RUNS)
    }

    /// Returns the number of runs that were counted and that a crash interrupted later.
    fn interrupted_count(&self) -> usize {
        let retracted = self.runs.iter().filter_map(|tag| tag.retracted_run());
        retracted.filter(|run| self.runs.contains(run)).count()
    }

    /// Returns whether more completed runs are to be added.
    pub fn needs_runs(&self) -> bool {
        !self.crashes.is_empty() && self.run_count() < MAX_RUNS
    }

    /// Returns how many of some crashes remain if the requests of one origin are left out, for the
    /// origin with which fewest remain; and the number of origins.
    pub(crate) fn independent_crashes<'a>(
        &self,
        crashes: impl Iterator<Item = &'a CrashKey>,
    ) -> (usize, usize) {
        let mut counts: BTreeMap<OriginTag, usize> = BTreeMap::new();
        let mut total = 0;
        for crash in crashes {
            total += 1;
            for origin in self.crashes.get(crash).into_iter().flatten() {
                *counts.entry(*origin).or_default() += 1;
            }
        }
        let origins = counts.len();
        let remaining = total - counts.into_values().max().unwrap_or_default();
        (remaining, origins)
    }

    /// Adds a crash; returns whether it or its origin was new.
    pub(crate) fn add_crash(&mut self, crash: CrashKey, origin: OriginTag) -> bool {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash) {
            return false;
        }
        let origins = self.crashes.entry(crash).or_default();
        origins.len() < MAX_ORIGINS && origins.insert(origin)
    }

    /// Adds a completed run; returns whether it was needed.
    pub(crate) fn add_run(&mut self, run: RunTag) -> bool {
        self.needs_runs() && self.runs.len() < MAX_RUN_TAGS && self.runs.insert(run)
    }

    /// Takes back a run whose target crashed after it counted; returns whether it was counted.
    pub(crate) fn retract_run(&mut self, run: RunTag) -> bool {
        self.runs.contains(&run) && self.runs.insert(run.retraction())
    }

    /// Begins a round in which only the given crashes count.
    pub(crate) fn begin_round(&mut self, crashes: BTreeMap<CrashKey, BTreeSet<OriginTag>>) {
        self.round += 1;
        self.crashes = crashes;
        self.was_held = false;
        self.trials = 0;
        self.passed_trials = 0;
    }

    /// Merges the record of another process for the same part; returns whether that changed
    /// anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.round < self.round {
            return false;
        }
        let before = (self.crashes.clone(), self.runs.clone(), self.trials);
        let flags_before = (self.round, self.passed_trials, self.was_held);
        if other.round > self.round {
            self.begin_round(BTreeMap::new());
            self.round = other.round;
        }
        for (crash, origins) in &other.crashes {
            for origin in origins {
                self.add_crash(*crash, *origin);
            }
        }
        self.runs.extend(&other.runs);
        while self.runs.len() > MAX_RUN_TAGS {
            self.runs.pop_last();
        }
        self.trials = self.trials.max(other.trials);
        self.passed_trials = self.passed_trials.max(other.passed_trials);
        self.was_held |= other.was_held;
        let flags = (self.round, self.passed_trials, self.was_held);
        flags_before != flags || before != (self.crashes.clone(), self.runs.clone(), self.trials)
    }
}
