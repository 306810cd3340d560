//! The table of claims.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome};

/// How long the end of a claim is kept, in milliseconds. A resend after that may run again, so
/// callers must not resend later than this.
pub const CLAIM_KEEP_MS: u64 = 24 * 3_600 * 1_000;

/// Claims that are kept at one time.
pub const MAX_CLAIMS: usize = 200_000;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry {
    runner: String,
    claim: u64,
    content: [u8; 16],
    opened_ms: u64,
    until_ms: u64,
    outcome: Option<ClaimOutcome>,
}

/// Every claim that is kept. Equal commands in equal order give equal tables and answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, ClaimEntry>,
    /// Claims in order of opening, for forgetting the oldest; may name claims already gone.
    order: VecDeque<(u64, ClaimKey, u64)>,
    /// The latest time that any command carried.
    now_ms: u64,
}

impl ClaimTable {
    /// Creates a table without claims.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a step and returns its answer.
    pub fn apply(&mut self, command: ClaimCommand) -> ClaimAnswer {
        match command {
            ClaimCommand::Open {
                key,
                runner,
                claim,
                content,
                now_ms,
                until_ms,
            } => {
                self.now_ms = self.now_ms.max(now_ms);
                self.forget_old();
                let entry = ClaimEntry {
                    runner,
                    claim,
                    content,
                    opened_ms: self.now_ms,
                    until_ms,
                    outcome: None,
                };
                self.open(key, entry)
            }
            ClaimCommand::Finish {
                key,
                claim,
                outcome,
            } => self.finish(&key, claim, outcome),
            ClaimCommand::Release { key, claim } => self.release(&key, claim),
        }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Says whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn image(&self) -> ClaimImage {
        let rows: BTreeMap<ClaimKey, ClaimEntry> = self
            .claims
            .iter()
            .map(|(key, entry)| (key.clone(), entry.clone()))
            .collect();
        ClaimImage {
            now_ms: self.now_ms,
            rows: rows.into_iter().collect(),
        }
    }

    fn open(&mut self, key: ClaimKey, entry: ClaimEntry) -> ClaimAnswer {
        if let Some(held) = self.claims.get(&key) {
            return answer_holder(held, &entry);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        self.order
            .push_back((entry.opened_ms, key.clone(), entry.claim));
        self.claims.insert(key, entry);
        ClaimAnswer::Granted
    }

    fn finish(&mut self, key: &ClaimKey, claim: u64, outcome: ClaimOutcome) -> ClaimAnswer {
        match self.claims.get_mut(key) {
            Some(entry) if entry.claim == claim => {
                // The first end counts; a repeated step changes nothing.
                entry.outcome.get_or_insert(outcome);
                ClaimAnswer::Recorded
            }
            _ => ClaimAnswer::NoSuchClaim,
        }
    }

    fn release(&mut self, key: &ClaimKey, claim: u64) -> ClaimAnswer {
        match self.claims.get(key) {
            Some(entry) if entry.claim == claim && entry.outcome.is_none() => {
                self.claims.remove(key);
                ClaimAnswer::Recorded
            }
            _ => ClaimAnswer::NoSuchClaim,
        }
    }

    fn forget_old(&mut self) {
        while let Some((opened_ms, key, claim)) = self.order.front() {
            if opened_ms + CLAIM_KEEP_MS > self.now_ms {
                return;
            }
            let same = self
                .claims
                .get(key)
                .is_some_and(|entry| entry.claim == *claim);
            if same {
                self.claims.remove(key);
            }
            self.order.pop_front();
        }
    }
}

fn answer_holder(held: &ClaimEntry, asked: &ClaimEntry) -> ClaimAnswer {
    if held.content != asked.content {
        return ClaimAnswer::OtherContent;
    }
    match &held.outcome {
        Some(outcome) => ClaimAnswer::Finished(outcome.clone()),
        // The same asking again: its first answer was lost on the way.
        None if held.claim == asked.claim => ClaimAnswer::Granted,
        None => ClaimAnswer::Held {
            runner: held.runner.clone(),
            until_ms: held.until_ms,
        },
    }
}

#[derive(Serialize, Deserialize)]
struct ClaimImage {
    now_ms: u64,
    rows: Vec<(ClaimKey, ClaimEntry)>,
}

impl<'de> Deserialize<'de> for ClaimTable {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let image = ClaimImage::deserialize(deserializer)?;
        let mut order: Vec<_> = image
            .rows
            .iter()
            .map(|(key, entry)| (entry.opened_ms, key.clone(), entry.claim))
            .collect();
        order.sort();
        Ok(Self {
            claims: image.rows.into_iter().collect(),
            order: order.into(),
            now_ms: image.now_ms,
        })
    }
}

impl Serialize for ClaimTable {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.image().serialize(serializer)
    }
}
