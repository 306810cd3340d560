//! Choosing a model engine: where the prompt is cached, unless others wait there too long.

mod hall_weights;
mod placement_request;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RatePacer;

use crate::ask::PromptPart;
use crate::cold::{ColdRate, SendWindow};
use crate::pool_key::place_key;
use crate::rendezvous::ScoreKey;
use crate::target::{Chosen, Target, TargetBook};

use hall_weights::HallWeights;
pub(crate) use placement_request::{PlacementFacts, PlacementRequest};

/// Prompt tokens that an engine is first taken to read in a millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Weight of a new measurement of the reading speed.
const SPEED_GAIN: f64 = 0.05;

/// What an engine of which all slots are taken costs against an empty one, in milliseconds: as long as a
/// prompt of some thousand tokens is read. Each request adds its share.
const FULL_ENGINE_COST_MS: f64 = 100.0;

/// What reading a shared part again costs beside the time that it takes: it keeps the engine from other
/// prompts, and takes memory that other parts lose. As a part of that time, and the most of it, so
/// that a slow or long queue is left all the same.
const RECOMPUTE_FACTOR: f64 = 4.0;
const MAX_RECOMPUTE_COST_MS: f64 = 250.0;

/// Part of the time of reading that counts where no engine is known to hold the part: the one that
/// every host ranks first for it may hold it all the same, since this host may have begun to place
/// prompts a moment ago.
const UNKNOWN_CACHE_FACTOR: f64 = 0.5;

/// What a megabyte of results that crosses halls adds to the cost of an engine, in milliseconds.
const CROSSING_COST_MS_PER_MB: f64 = 14.0;

/// What a request costs beside one that may end the engine, in milliseconds: about the wait that is worth not
/// being cut off and sent anew.
const ISOLATED_COST_MS: f64 = 300.0;

const MEGABYTE: f64 = 1_000_000.0;

/// How long a part is taken to stay at an engine after its last use.
const PART_TTL: Duration = Duration::from_secs(60);

/// Parts that are remembered.
const MAX_PARTS: usize = 50_000;

/// How long it takes until most of a learned slowness is forgotten.
const SLOWNESS_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Weight of a new observation of an engine's slowness, and the most that one says.
const SLOWNESS_GAIN: f64 = 0.4;
const MAX_SLOWNESS: f64 = 10.0;

/// Added to expected and real times, so that short ones say little, in milliseconds.
const SLOWNESS_BASE_MS: f64 = 120.0;

/// How long before it can be sent a prompt is placed on an engine that names a rate.
const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Prompts shorter than this say nothing about the reading speed.
const MIN_MEASURED_TOKENS: u64 = 2_000;

/// Names one placement at its placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PlacementKey(u64);

/// What was placed on one engine and has not ended.
#[derive(Debug, Default)]
struct EngineLoad {
    /// Prompt tokens that are not known to be read yet.
    pending_tokens: u64,
    running: u32,
    /// Of these, requests that may end the engine.
    isolated: u32,
}

struct PlacedPrompt {
    engine: String,
    isolated: bool,
    pending_tokens: u64,
    placed_at: Instant,
    /// How long the engine was to take until it has read the prompt, in milliseconds.
    expected_ms: f64,
}

/// How much longer than expected an engine took of late.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    ratio: f64,
    updated: Instant,
}

impl Slowness {
    /// Returns the ratio, which is forgotten over time so that an engine that recovered is used
    /// again.
    fn ratio_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-age / SLOWNESS_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// An engine that a prompt may go to.
struct RankedEngine<'a> {
    target: &'a Target,
    /// Its score for the prompt's last shared part, by which all hosts order the engines alike.
    score: f64,
    /// Tokens of shared parts that it is not known to hold.
    missing_tokens: u64,
    /// What it costs to place the prompt there, in milliseconds.
    cost_ms: f64,
}

/// The engines that are taken to hold a part.
struct PartHolders<'a> {
    tokens: u64,
    engines: &'a [(String, Instant)],
}

/// Returns the tokens of the first of some parts that an engine is taken to hold; a part serves only where
/// all before it are held as well.
fn cached_tokens(parts: &[PartHolders<'_>], engine: &str) -> u64 {
    let has_cached = |part: &&PartHolders<'_>| part.engines.iter().any(|(id, _)| id == engine);
    let cached = parts.iter().take_while(has_cached);
    cached.map(|part| part.tokens).sum()
}

/// Places prompts on engines, with what it knows of them from its own placements.
pub(crate) struct EnginePlacer {
    tokens_per_ms: f64,
    loads: HashMap<String, EngineLoad>,
    /// Engines that hold a part, with the time of its last use there.
    holders: HashMap<String, Vec<(String, Instant)>>,
    placed: HashMap<PlacementKey, PlacedPrompt>,
    slowness: HashMap<String, Slowness>,
    /// What was placed lately on engines that are cold.
    cold_windows: HashMap<String, SendWindow>,
    /// When the next prompt may be placed on engines that name rates.
    pacers: HashMap<String, RatePacer>,
    last_placement: u64,
}

impl Default for EnginePlacer {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            loads: HashMap::new(),
            holders: HashMap::new(),
            placed: HashMap::new(),
            slowness: HashMap::new(),
            cold_windows: HashMap::new(),
            pacers: HashMap::new(),
            last_placement: 0,
        }
    }
}

impl EnginePlacer {
    /// Chooses an engine, passing over those to avoid.
    ///
    /// The shared part is taken to lie at the engines where it was used lately; where none is known,
    /// at the engine that every host ranks first for it. On any other it has to be read anew, which
    /// counts like a wait.
    pub(crate) fn choose(
        &self,
        book: &TargetBook,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<Chosen> {
        let mut usable = book.usable(&request.service, now);
        usable.retain(|engine| !request.excluded.contains(&engine.id));
        if let Some(halls) = &request.allowed_halls {
            usable.retain(|engine| halls.contains(&engine.hall));
        }
        if let Some(rate) = book.cold_rate(&request.service) {
            usable
                .retain(|engine| !engine.is_cold(now) || self.cold_rate_allows(engine, rate, now));
        }
        usable.retain(|engine| self.rate_limit_allows(book, &engine.id));
        usable = self.within_partition(book, request, usable);
        let fresh = usable.iter().filter(|one| !request.tried.contains(&one.id));
        let mut candidates: Vec<&Target> = fresh.copied().collect();
        if candidates.is_empty() {
            candidates = usable;
        }
        if request.isolated {
            return self.fewest_isolated(candidates).map(Chosen::new);
        }
        let weights = request
            .large_result_stage
            .as_ref()
            .map_or_else(HallWeights::default, |stage| {
                HallWeights::new(book, &request.service, stage)
            });
        let shared = request.prompt.shared_tokens();
        let key = ScoreKey::new(request.prompt.last_shared());
        let holders = self.holders_of(&request.prompt.shared);
        let mut ranked: Vec<RankedEngine<'_>> = candidates
            .into_iter()
            .map(|target| {
                let weight = weights.of(&target.hall);
                RankedEngine {
                    target,
                    score: key.weighted_score(&target.id, weight),
                    missing_tokens: shared - cached_tokens(&holders, &target.id),
                    cost_ms: 0.0,
                }
            })
            .collect();
        let top_ranked = ranked
            .iter()
            .max_by(|a, b| a.score.total_cmp(&b.score))?
            .target;
        let is_cached_somewhere = ranked.iter().any(|one| one.missing_tokens == 0);
        for one in &mut ranked {
            let prefill_ms = self.prefill_ms(one.missing_tokens);
            let missing_ms = match is_cached_somewhere {
                true => prefill_ms + (prefill_ms * RECOMPUTE_FACTOR).min(MAX_RECOMPUTE_COST_MS),
                false if std::ptr::eq(one.target, top_ranked) => 0.0,
                false => prefill_ms * UNKNOWN_CACHE_FACTOR,
            };
            one.cost_ms = self.cost_ms(one.target, request, missing_ms, now);
        }
        let best = ranked
            .into_iter()
            .min_by(|a, b| {
                a.cost_ms
                    .total_cmp(&b.cost_ms)
                    .then(b.score.total_cmp(&a.score))
            })?
            .target;
        Some(Chosen::new(best))
    }

    /// Returns those of some engines among which a prompt is placed; all where none of them may be used.
    fn within_partition<'a>(
        &self,
        book: &TargetBook,
        request: &PlacementRequest,
        usable: Vec<&'a Target>,
    ) -> Vec<&'a Target> {
        let partition = place_key(
            &request.service,
            book.hall_counts(&request.service),
            &request.prompt,
        );
        let is_fresh = |one: &&Target| !request.tried.contains(&one.id);
        let all = usable.iter().copied();
        let in_partition: Vec<&Target> = all
            .filter(|one| partition.holds_target(&one.hall, &one.id))
            .collect();
        match in_partition.iter().any(is_fresh) {
            true => in_partition,
            false => usable,
        }
    }

    /// Returns the engine with the fewest requests that may end it, and of these the one with the fewest others.
    /// Two that are tried apart tell more than two together, and the fewer lose their work.
    fn fewest_isolated<'a>(&self, engines: Vec<&'a Target>) -> Option<&'a Target> {
        engines.into_iter().min_by_key(|engine| {
            let load = self.loads.get(&engine.id);
            load.map_or((0, 0), |load| (load.isolated, load.running))
        })
    }

    fn cold_rate_allows(&self, engine: &Target, rate: ColdRate, now: Instant) -> bool {
        let window = self.cold_windows.get(&engine.id);
        window.is_none_or(|window| window.allows_send(rate, now))
    }

    /// Says whether a prompt that is placed now could be sent soon by the rate of its engine.
    fn rate_limit_allows(&self, book: &TargetBook, engine: &str) -> bool {
        let pacer = self
            .pacers
            .get(engine)
            .filter(|_| book.rate(engine).is_some());
        pacer.is_none_or(|pacer| pacer.wait(BootInstant::now()) <= MAX_RATE_WAIT)
    }

    /// Counts a prompt where its engine names a rate.
    fn count_against_rate_limit(&mut self, book: &TargetBook, engine: &str) {
        let Some(rate) = book.rate(engine) else {
            self.pacers.remove(engine);
            return;
        };
        let now = BootInstant::now();
        let pacer = self.pacers.entry(engine.to_owned());
        let pacer = pacer.or_insert_with(|| RatePacer::new(rate, now));
        pacer.set_rate(rate, now);
        // There is room, or the host that asks knows no other engine.
        let _ = pacer.reserve(now, Duration::MAX);
    }

    /// Counts a prompt where its engine is cold.
    fn count_against_cold_rate(
        &mut self,
        book: &TargetBook,
        service: &str,
        engine: &str,
        now: Instant,
    ) {
        let Some(rate) = book.cold_rate(service) else {
            return;
        };
        if book.is_cold(service, engine, now) {
            let window = self.cold_windows.entry(engine.to_owned()).or_default();
            window.record_send(rate, now);
        } else {
            self.cold_windows.remove(engine);
        }
    }

    /// Returns who holds each of some parts, looked up once for a prompt. With a look for each engine a
    /// placement among 140 took 31 us, among 500 105 us; so it takes 17 to 25 and 56 us
    /// (`measure_a_placement`, release build).
    fn holders_of<'a>(&'a self, parts: &'a [PromptPart]) -> Vec<PartHolders<'a>> {
        let holders = parts.iter().map(|part| PartHolders {
            tokens: part.tokens,
            engines: self.holders.get(&part.id).map_or(&[], Vec::as_slice),
        });
        holders.collect()
    }

    fn slowness_of(&self, engine: &str, now: Instant) -> f64 {
        let known = self.slowness.get(engine);
        known.map_or(1.0, |slowness| slowness.ratio_at(now))
    }

    /// Learns from the time that an engine took for a prompt.
    fn update_slowness(&mut self, engine: &str, expected_ms: f64, took: Duration, now: Instant) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let ratio = ((took_ms + SLOWNESS_BASE_MS) / (expected_ms + SLOWNESS_BASE_MS))
            .clamp(1.0, MAX_SLOWNESS);
        let known = self.slowness_of(engine, now);
        let updated = Slowness {
            ratio: known + (ratio - known) * SLOWNESS_GAIN,
            updated: now,
        };
        self.slowness.insert(engine.to_owned(), updated);
    }

    fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms
    }

    /// Returns what it costs to place a prompt on an engine, as a wait; `missing_ms` is what reading
    /// shared parts there counts.
    fn cost_ms(
        &self,
        engine: &Target,
        request: &PlacementRequest,
        missing_ms: f64,
        now: Instant,
    ) -> f64 {
        let crossing_ms = request.results.bytes_crossing_to(&engine.hall) as f64 / MEGABYTE
            * CROSSING_COST_MS_PER_MB;
        let load = self.loads.get(&engine.id);
        let (pending_tokens, running) =
            load.map_or((0, 0), |load| (load.pending_tokens, load.running));
        let isolated = load.map_or(0, |load| load.isolated);
        // On a slow engine the prompt's own reading is slow as well.
        let slowness = self.slowness_of(&engine.id, now);
        let own_ms = self.prefill_ms(request.prompt.own_tokens()) + SLOWNESS_BASE_MS;
        let running_ms = f64::from(running) / f64::from(engine.slots) * FULL_ENGINE_COST_MS;
        (self.prefill_ms(pending_tokens) + missing_ms) * slowness
            + own_ms * (slowness - 1.0)
            + crossing_ms
            + running_ms
            + f64::from(isolated) * ISOLATED_COST_MS
    }

    /// Says where a prompt would be placed now.
    pub(crate) fn plan(
        &self,
        book: &TargetBook,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<(Chosen, PlacementFacts)> {
        let chosen = self.choose(book, request, now)?;
        let cached_tokens = cached_tokens(&self.holders_of(&request.prompt.shared), &chosen.id);
        let queued_tokens = self
            .loads
            .get(&chosen.id)
            .map_or(0, |load| load.pending_tokens);
        let expected_ms = (queued_tokens + request.prompt.tokens_in.saturating_sub(cached_tokens))
            as f64
            / self.tokens_per_ms;
        let facts = PlacementFacts {
            cached_tokens,
            queued_tokens,
            expected_ms: expected_ms as u32,
        };
        Some((chosen, facts))
    }

    /// Chooses an engine and counts the prompt there until [`EnginePlacer::end`].
    pub(crate) fn place(
        &mut self,
        book: &TargetBook,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<(PlacementKey, Chosen, PlacementFacts)> {
        let (chosen, facts) = self.plan(book, request, now)?;
        self.count_against_cold_rate(book, &request.service, &chosen.id, now);
        self.count_against_rate_limit(book, &chosen.id);
        let pending_tokens = request.prompt.tokens_in.saturating_sub(facts.cached_tokens);
        let load = self.loads.entry(chosen.id.clone()).or_default();
        load.pending_tokens += pending_tokens;
        load.running += 1;
        load.isolated += u32::from(request.isolated);
        for part in &request.prompt.shared {
            self.record_holder(&chosen.id, &part.id, now);
        }
        self.last_placement += 1;
        let key = PlacementKey(self.last_placement);
        let placed = PlacedPrompt {
            engine: chosen.id.clone(),
            isolated: request.isolated,
            pending_tokens,
            placed_at: now,
            expected_ms: f64::from(facts.expected_ms),
        };
        self.placed.insert(key, placed);
        Some((key, chosen, facts))
    }

    fn record_holder(&mut self, engine: &str, part: &str, now: Instant) {
        if part.is_empty() {
            return;
        }
        if self.holders.len() >= MAX_PARTS && !self.holders.contains_key(part) {
            self.holders.retain(|_, holders| {
                holders.retain(|(_, used)| now.saturating_duration_since(*used) < PART_TTL);
                !holders.is_empty()
            });
        }
        if self.holders.len() >= MAX_PARTS {
            return;
        }
        let holders = self.holders.entry(part.to_owned()).or_default();
        holders
            .retain(|(id, used)| id != engine && now.saturating_duration_since(*used) < PART_TTL);
        holders.push((engine.to_owned(), now));
    }

    /// Notes that an engine has read a prompt.
    pub(crate) fn record_prefill(&mut self, key: PlacementKey, now: Instant) {
        let Some(placed) = self.placed.get(&key) else {
            return;
        };
        let took = now.saturating_duration_since(placed.placed_at);
        let (engine, expected_ms) = (placed.engine.clone(), placed.expected_ms);
        self.update_slowness(&engine, expected_ms, took, now);
        self.clear_pending(key);
    }

    /// Takes a prompt off what its engine still has to read.
    fn clear_pending(&mut self, key: PlacementKey) {
        if let Some(placed) = self.placed.get_mut(&key) {
            let pending_tokens = std::mem::take(&mut placed.pending_tokens);
            if let Some(load) = self.loads.get_mut(&placed.engine) {
                load.pending_tokens = load.pending_tokens.saturating_sub(pending_tokens);
            }
        }
    }

    /// Notes that a request has ended, or that its host was lost.
    pub(crate) fn end_placement(&mut self, key: PlacementKey) {
        self.clear_pending(key);
        let Some(placed) = self.placed.remove(&key) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&placed.engine) {
            load.running = load.running.saturating_sub(1);
            load.isolated = load.isolated.saturating_sub(u32::from(placed.isolated));
            if load.running == 0 {
                self.loads.remove(&placed.engine);
            }
        }
    }

    /// Forgets what an engine holds, since it failed or is another start now.
    pub(crate) fn forget_engine(&mut self, engine: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|(id, _)| id != engine);
        }
    }

    /// Returns about how long an engine reads a prompt of which it holds nothing.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1_000.0)
    }

    /// Learns from the time that a prompt took until its first event. Waits make engines look
    /// slower, so that a prompt that was fast counts more.
    pub(crate) fn learn_prefill_speed(&mut self, tokens: u64, took: Duration) {
        if tokens < MIN_MEASURED_TOKENS || took.is_zero() {
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

#[cfg(test)]
mod tests;
