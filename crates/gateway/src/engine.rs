//! Choosing a model engine: where the prompt is cached, unless others wait there too long.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ask::Prompt;
use crate::rendezvous;
use crate::target::{Target, TargetBook};

/// Prompt tokens that an engine is first taken to read in a millisecond.
const FIRST_TOKENS_PER_MS: f64 = 40.0;

/// Weight of a new measurement of the reading speed.
const SPEED_GAIN: f64 = 0.05;

/// What one more running request adds to the cost of an engine, in milliseconds.
const RUNNING_COST_MS: f64 = 3.0;

/// What a megabyte of results that crosses halls adds to the cost of an engine, in milliseconds.
const CROSSING_COST_MS: f64 = 6.0;

const MEGABYTE: f64 = 1_000_000.0;

/// The least weight of a hall.
const LEAST_WEIGHT: f64 = 0.02;

/// Prompts shorter than this say nothing about the reading speed.
const MEASURED_TOKENS: u64 = 2_000;

/// How much work engines of each data hall should get, against those of other halls.
#[derive(Debug, Default)]
pub(crate) struct HallWeights {
    by_hall: HashMap<String, f64>,
}

impl HallWeights {
    /// Creates weights that give each hall as many requests as it has targets for the stages with
    /// large results, so that these need not cross halls.
    pub(crate) fn new(book: &TargetBook, service: &str, stage_service: &str) -> Self {
        let count = |service: &str| {
            let mut halls: HashMap<String, f64> = HashMap::new();
            for target in book.of_service(service) {
                *halls.entry(target.hall.clone()).or_default() += 1.0;
            }
            halls
        };
        let (engines, stages) = (count(service), count(stage_service));
        let weight = |(hall, engines): (&String, &f64)| {
            let stages = stages.get(hall).copied().unwrap_or(0.0);
            // A hall without stage targets still serves prompts that need none.
            (hall.clone(), (stages / engines).max(LEAST_WEIGHT))
        };
        Self {
            by_hall: engines.iter().map(weight).collect(),
        }
    }

    fn of(&self, hall: &str) -> f64 {
        self.by_hall.get(hall).copied().unwrap_or(1.0)
    }
}

/// The choice of engines, with what was learned of them.
pub(crate) struct EngineChoice {
    tokens_per_ms: f64,
}

/// A target that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Chosen {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) hall: String,
}

impl Default for EngineChoice {
    fn default() -> Self {
        Self {
            tokens_per_ms: FIRST_TOKENS_PER_MS,
        }
    }
}

impl EngineChoice {
    /// Chooses an engine, passing over those in `avoid`.
    ///
    /// The engine that every host ranks first for the shared part is taken to hold it; on any other
    /// the shared part has to be read anew, which counts like a wait.
    pub(crate) fn choose(
        &self,
        book: &TargetBook,
        service: &str,
        prompt: &Prompt,
        weights: &HallWeights,
        results: Option<(&str, u64)>,
        avoid: &[String],
        now: Instant,
    ) -> Option<Chosen> {
        let usable = book.usable(service, now);
        let mut candidates: Vec<_> = usable
            .iter()
            .filter(|one| !avoid.contains(&one.id))
            .collect();
        if candidates.is_empty() {
            candidates = usable.iter().collect();
        }
        let rank = |one: &Target| {
            rendezvous::weighted_score(&prompt.shared_part, &one.id, weights.of(&one.hall))
        };
        let home = candidates
            .iter()
            .max_by(|a, b| rank(a).total_cmp(&rank(b)))?
            .id
            .clone();
        let reading_ms = |tokens: u64| tokens as f64 / self.tokens_per_ms;
        let cost = |one: &Target| {
            let missing = if one.id == home || prompt.shared_part.is_empty() {
                0.0
            } else {
                reading_ms(prompt.shared_tokens)
            };
            let crossing = match results {
                Some((hall, bytes)) if one.hall != hall => {
                    bytes as f64 / MEGABYTE * CROSSING_COST_MS
                }
                _ => 0.0,
            };
            let running = f64::from(one.in_flight) * RUNNING_COST_MS;
            reading_ms(one.unread_tokens) + missing + crossing + running
        };
        let best = candidates.into_iter().min_by(|a, b| {
            cost(a)
                .total_cmp(&cost(b))
                .then(rank(b).total_cmp(&rank(a)))
        })?;
        Some(Chosen {
            id: best.id.clone(),
            address: best.address,
            hall: best.hall.clone(),
        })
    }

    /// Returns about how long an engine reads a prompt of which it holds nothing.
    pub(crate) fn reading_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1_000.0)
    }

    /// Learns from the time that a prompt took until its first event. Waits make engines look
    /// slower, so that a prompt that was fast counts more.
    pub(crate) fn learn(&mut self, tokens: u64, took: Duration) {
        if tokens < MEASURED_TOKENS || took.is_zero() {
            return;
        }
        let speed = tokens as f64 / (took.as_secs_f64() * 1_000.0);
        let gain = if speed > self.tokens_per_ms {
            SPEED_GAIN
        } else {
            SPEED_GAIN / 4.0
        };
        self.tokens_per_ms += (speed.min(self.tokens_per_ms * 2.0) - self.tokens_per_ms) * gain;
    }
}
