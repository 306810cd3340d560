//! The table of claims.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome};

/// How long the end of a claim is kept, in milliseconds. A resend after that may run again, so
/// callers must not resend later than this.
pub const CLAIM_KEEP_MS: u64 = 24 * 3_600 * 1_000;

/// Bytes of answers that are kept with claims; past it the oldest answers go, not the claims.
pub const MAX_CLAIM_BYTES: usize = 64 * 1024 * 1024;

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
    /// The place of the outcome in the order of all outcomes; 0 while there is none.
    ended: u64,
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

/// Every claim that is kept. Equal commands in equal order give equal tables and answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, ClaimEntry>,
    /// Claims in order of opening, for forgetting the oldest; may name claims already gone.
    order: VecDeque<(u64, ClaimKey, u64)>,
    /// Outcomes with a body in order of ending, as place and key; may name some already gone.
    bodies: VecDeque<(u64, ClaimKey)>,
    /// Bytes of all bodies.
    body_bytes: usize,
    /// Outcomes recorded so far.
    ended: u64,
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
                    ended: 0,
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
            ended: self.ended,
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

    fn finish(&mut self, key: ClaimKey, claim: u64, outcome: ClaimOutcome) -> ClaimAnswer {
        let Some(entry) = self
            .claims
            .get_mut(&key)
            .filter(|entry| entry.claim == claim)
        else {
            return ClaimAnswer::NoSuchClaim;
        };
        // The first end counts; a repeated step changes nothing.
        if entry.outcome.is_none() {
            self.ended += 1;
            entry.ended = self.ended;
            entry.outcome = Some(outcome);
            self.body_bytes += entry.body_bytes();
            self.bodies.push_back((self.ended, key));
            self.drop_old_bodies();
        }
        ClaimAnswer::Recorded
    }

    // A claim whose answer is gone still says that the request has run.
    fn drop_old_bodies(&mut self) {
        while self.body_bytes > MAX_CLAIM_BYTES {
            let Some((ended, key)) = self.bodies.pop_front() else {
                return;
            };
            let entry = self
                .claims
                .get_mut(&key)
                .filter(|entry| entry.ended == ended);
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

    fn release(&mut self, key: &ClaimKey, claim: u64) -> ClaimAnswer {
        match self.claims.get(key) {
            Some(entry) if entry.claim == claim && entry.outcome.is_none() => {
                self.remove(key);
                ClaimAnswer::Recorded
            }
            _ => ClaimAnswer::NoSuchClaim,
        }
    }

    fn forget_old(&mut self) {
        while let Some((opened_ms, ..)) = self.order.front() {
            if opened_ms + CLAIM_KEEP_MS > self.now_ms {
                return;
            }
            let Some((_, key, claim)) = self.order.pop_front() else {
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
    ended: u64,
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
        let with_body = image
            .rows
            .iter()
            .filter(|(_, entry)| entry.body_bytes() > 0);
        let mut bodies: Vec<_> = with_body
            .map(|(key, entry)| (entry.ended, key.clone()))
            .collect();
        bodies.sort();
        let body_bytes = image.rows.iter().map(|(_, entry)| entry.body_bytes()).sum();
        Ok(Self {
            claims: image.rows.into_iter().collect(),
            order: order.into(),
            bodies: bodies.into(),
            body_bytes,
            ended: image.ended,
            now_ms: image.now_ms,
        })
    }
}

impl Serialize for ClaimTable {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.image().serialize(serializer)
    }
}
