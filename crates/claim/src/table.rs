//! The table of claims.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimReply};

/// How long a claim is retained after it was opened. A resend after that may run again, so callers
/// must not resend later than this.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// The size limit for response bodies of all claims. Beyond it the oldest bodies are dropped; their
/// claims stay.
pub const MAX_CLAIM_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The maximum number of stored claims.
pub const MAX_CLAIMS: usize = 200_000;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry {
    runner: String,
    claim: u64,
    content: [u8; 16],
    opened_ms: u64,
    until_ms: u64,
    outcome: Option<ClaimOutcome>,
    /// The sequence number of the outcome among all outcomes; 0 if there is none.
    outcome_number: u64,
}

impl ClaimEntry {
    fn body_bytes(&self) -> usize {
        let body = self
            .outcome
            .as_ref()
            .and_then(|outcome| outcome.body.as_ref());
        body.map_or(0, Vec::len)
    }
}

/// All stored claims. Deterministic: the same commands in the same order produce the same table and
/// replies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, ClaimEntry>,
    /// Claims in order of opening, for the removal of the oldest. May contain removed claims.
    open_order: VecDeque<(u64, ClaimKey, u64)>,
    /// Outcomes with a body as sequence number and key, oldest first. May contain removed claims.
    body_order: VecDeque<(u64, ClaimKey)>,
    /// The total size of all bodies.
    body_bytes: usize,
    /// The number of outcomes recorded so far.
    outcome_count: u64,
    /// The latest time carried by any command.
    now_ms: u64,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a command and returns its reply.
    pub fn apply(&mut self, command: ClaimCommand) -> ClaimReply {
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
                self.remove_expired();
                let entry = ClaimEntry {
                    runner,
                    claim,
                    content,
                    opened_ms: self.now_ms,
                    until_ms,
                    outcome: None,
                    outcome_number: 0,
                };
                self.open(key, entry)
            }
            ClaimCommand::Finish {
                key,
                claim,
                outcome,
            } => self.finish(key, claim, outcome),
            ClaimCommand::Release { key, claim } => self.release(&key, claim),
        }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there is no claim.
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
            outcome_count: self.outcome_count,
            rows: rows.into_iter().collect(),
        }
    }

    fn open(&mut self, key: ClaimKey, entry: ClaimEntry) -> ClaimReply {
        if let Some(existing) = self.claims.get(&key) {
            return reply_from_entry(existing, &entry);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimReply::Full;
        }
        self.open_order
            .push_back((entry.opened_ms, key.clone(), entry.claim));
        self.claims.insert(key, entry);
        ClaimReply::Granted
    }

    fn finish(&mut self, key: ClaimKey, claim: u64, outcome: ClaimOutcome) -> ClaimReply {
        let Some(entry) = self
            .claims
            .get_mut(&key)
            .filter(|entry| entry.claim == claim)
        else {
            return ClaimReply::NoSuchClaim;
        };
        // The first outcome is final; a repeated command has no effect.
        if entry.outcome.is_none() {
            self.outcome_count += 1;
            entry.outcome_number = self.outcome_count;
            entry.outcome = Some(outcome);
            self.body_bytes += entry.body_bytes();
            self.body_order.push_back((self.outcome_count, key));
            self.drop_oldest_bodies();
        }
        ClaimReply::Recorded
    }

    // A claim without its body still records that the request has run.
    fn drop_oldest_bodies(&mut self) {
        while self.body_bytes > MAX_CLAIM_BODY_BYTES {
            let Some((number, key)) = self.body_order.pop_front() else {
                return;
            };
            let entry = self
                .claims
                .get_mut(&key)
                .filter(|entry| entry.outcome_number == number);
            if let Some(entry) = entry {
                self.body_bytes -= entry.body_bytes();
                if let Some(outcome) = &mut entry.outcome {
                    outcome.body = None;
                }
            }
        }
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.claims.remove(key) {
            self.body_bytes -= entry.body_bytes();
        }
    }

    fn release(&mut self, key: &ClaimKey, claim: u64) -> ClaimReply {
        match self.claims.get(key) {
            Some(entry) if entry.claim == claim && entry.outcome.is_none() => {
                self.remove(key);
                ClaimReply::Recorded
            }
            _ => ClaimReply::NoSuchClaim,
        }
    }

    fn remove_expired(&mut self) {
        while let Some((opened_ms, ..)) = self.open_order.front() {
            if opened_ms + CLAIM_RETENTION_MS > self.now_ms {
                return;
            }
            let Some((_, key, claim)) = self.open_order.pop_front() else {
                return;
            };
            let same = self
                .claims
                .get(&key)
                .is_some_and(|entry| entry.claim == claim);
            if same {
                self.remove(&key);
            }
        }
    }
}

fn reply_from_entry(existing: &ClaimEntry, requested: &ClaimEntry) -> ClaimReply {
    if existing.content != requested.content {
        return ClaimReply::OtherContent;
    }
    match &existing.outcome {
        Some(outcome) => ClaimReply::Finished(outcome.clone()),
        // A resend of the same command whose first reply was lost. Two hosts may draw the same number.
        None if existing.claim == requested.claim && existing.runner == requested.runner => {
            ClaimReply::Granted
        }
        None => ClaimReply::Held {
            runner: existing.runner.clone(),
            until_ms: existing.until_ms,
        },
    }
}

#[derive(Serialize, Deserialize)]
struct ClaimImage {
    now_ms: u64,
    outcome_count: u64,
    rows: Vec<(ClaimKey, ClaimEntry)>,
}

impl<'de> Deserialize<'de> for ClaimTable {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let image = ClaimImage::deserialize(deserializer)?;
        let mut open_order: Vec<_> = image
            .rows
            .iter()
            .map(|(key, entry)| (entry.opened_ms, key.clone(), entry.claim))
            .collect();
        open_order.sort();
        let with_body = image
            .rows
            .iter()
            .filter(|(_, entry)| entry.body_bytes() > 0);
        let mut body_order: Vec<_> = with_body
            .map(|(key, entry)| (entry.outcome_number, key.clone()))
            .collect();
        body_order.sort();
        let body_bytes = image.rows.iter().map(|(_, entry)| entry.body_bytes()).sum();
        Ok(Self {
            claims: image.rows.into_iter().collect(),
            open_order: open_order.into(),
            body_order: body_order.into(),
            body_bytes,
            outcome_count: image.outcome_count,
            now_ms: image.now_ms,
        })
    }
}

impl Serialize for ClaimTable {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.image().serialize(serializer)
    }
}
