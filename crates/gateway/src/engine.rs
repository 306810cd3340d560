//! Chooses a model engine for each prompt: one that has the prompt's shared parts cached, unless
//! the queue there is too long.

mod hall_weights;
mod placement_request;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RatePacer;

use crate::cold::{ColdRate, SendWindow};
use crate::pool_key::placement_pool_key;
use crate::prompt::PromptPart;
use crate::rendezvous::ScoreKey;
use crate::target::{ChosenTarget, Target, TargetStore};

use hall_weights::HallWeights;
pub(crate) use placement_request::{PlacementFacts, PlacementRequest};

/// Initial estimate of the prefill speed of an engine, in prompt tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Weight of a new sample of the prefill speed.
const SPEED_GAIN: f64 = 0.05;

/// Cost of an engine with all slots in use relative to an idle one, in milliseconds: the prefill
/// time of a prompt of some thousand tokens. Each request adds its share.
const FULL_ENGINE_COST_MS: f64 = 100.0;

/// Additional cost of computing a shared part again that another engine has cached, as a factor of
/// the prefill time and as a maximum. Computing it again delays other prompts at the engine and
/// takes cache memory from other parts. With the maximum, prompts still move away from a slow
/// engine or a long queue.
const RECOMPUTE_FACTOR: f64 = 4.0;
const MAX_RECOMPUTE_COST_MS: f64 = 250.0;

/// Fraction of the prefill time that counts if no engine is known to have the part cached: the
/// engine that every host ranks first for the part may have it cached nevertheless, since this host
/// may have started to place prompts only a moment ago.
const UNKNOWN_CACHE_FACTOR: f64 = 0.5;

/// Cost of each megabyte of results that crosses data halls, in milliseconds.
const CROSSING_COST_MS_PER_MB: f64 = 14.0;

/// Cost of placing a request beside one that may crash the engine, in milliseconds: about the wait
/// that is preferable to being interrupted and sent again.
const ISOLATED_COST_MS: f64 = 300.0;

const MEGABYTE: f64 = 1_000_000.0;

/// How long a part is assumed to stay in an engine's cache after its last use.
const PART_TTL: Duration = Duration::from_secs(60);

/// Maximum number of parts that are tracked.
const MAX_PARTS: usize = 50_000;

/// Time constant by which a learned slowness decays.
const SLOWNESS_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Weight of a new sample of an engine's slowness, and the maximum of a sample.
const SLOWNESS_GAIN: f64 = 0.4;
const MAX_SLOWNESS: f64 = 10.0;

/// Added to expected and actual times so that short ones have little effect, in milliseconds.
const SLOWNESS_BASE_MS: f64 = 120.0;

/// Maximum time between the placement of a prompt on an engine with a rate limit and the time at
/// which the rate allows it to be sent.
const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Prompts with fewer tokens than this are not used to measure the prefill speed.
const MIN_MEASURED_TOKENS: u64 = 2_000;

/// Identifies a placement at its placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PlacementKey(u64);

/// The prompts that were placed on one engine and have not ended.
#[derive(Debug, Default)]
struct EngineLoad {
    /// Prompt tokens whose prefill is not known to be done.
    pending_tokens: u64,
    running: u32,
    /// The number of these requests that may crash the engine.
    isolated: u32,
}

struct PlacedPrompt {
    engine: String,
    isolated: bool,
    pending_tokens: u64,
    placed_at: Instant,
    /// Expected time until the prefill is done, in milliseconds.
    expected_ms: f64,
}

/// Ratio of the actual to the expected prefill time of an engine, from recent prompts.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    ratio: f64,
    updated: Instant,
}

impl Slowness {
    /// Returns the ratio at `now`. It decays over time so that an engine that recovered is used
    /// again.
    fn ratio_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-age / SLOWNESS_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// A candidate engine for a prompt.
struct RankedEngine<'a> {
    target: &'a Target,
    /// Its rendezvous score for the prompt's last shared part, by which all hosts order the engines
    /// alike.
    score: f64,
    /// Tokens of shared parts that it is not known to have cached.
    missing_tokens: u64,
    /// Cost of placing the prompt there, in milliseconds.
    cost_ms: f64,
}

/// The engines that are assumed to have a part cached.
struct PartHolders<'a> {
    tokens: u64,
    engines: &'a [(String, Instant)],
}

/// Returns the tokens of the leading parts that an engine is assumed to have cached. A part is
/// usable only if all parts before it are cached as well.
fn cached_tokens(parts: &[PartHolders<'_>], engine: &str) -> u64 {
    let has_cached = |part: &&PartHolders<'_>| part.engines.iter().any(|(id, _)| id == engine);
    let cached = parts.iter().take_while(has_cached);
    cached.map(|part| part.tokens).sum()
}

/// Places prompts on engines, based on its own earlier placements.
pub(crate) struct EnginePlacer {
    tokens_per_ms: f64,
    loads: HashMap<String, EngineLoad>,
    /// Engines that have a part cached, with the time of its last use there.
    holders: HashMap<String, Vec<(String, Instant)>>,
    placed: HashMap<PlacementKey, PlacedPrompt>,
    slowness: HashMap<String, Slowness>,
    /// Recent placements on engines that are cold.
    cold_windows: HashMap<String, SendWindow>,
    /// Pacers of the engines with a rate limit.
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
    /// Chooses an engine. Engines in `tried` are used only if there is no other.
    ///
    /// A shared part is assumed to be cached at the engines where it was used recently, or, if none
    /// is known, at the engine that every host ranks first for it. On any other engine its prefill
    /// has to be done again, which counts like a wait.
    pub(crate) fn choose(
        &self,
        store: &TargetStore,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<ChosenTarget> {
        let mut usable = store.usable(&request.service, now);
        usable.retain(|engine| !request.excluded.contains(&engine.id));
        if let Some(halls) = &request.allowed_halls {
            usable.retain(|engine| halls.contains(&engine.hall));
        }
        if let Some(rate) = store.cold_rate(&request.service) {
            usable
                .retain(|engine| !engine.is_cold(now) || self.cold_rate_allows(engine, rate, now));
        }
        usable.retain(|engine| self.rate_limit_allows(store, &engine.id));
        usable = self.within_partition(store, request, usable);
        let fresh = usable.iter().filter(|one| !request.tried.contains(&one.id));
        let mut candidates: Vec<&Target> = fresh.copied().collect();
        if candidates.is_empty() {
            candidates = usable;
        }
        if request.isolated {
            return self.fewest_isolated(candidates).map(ChosenTarget::new);
        }
        let weights = request
            .large_result_stage
            .as_ref()
            .map_or_else(HallWeights::default, |stage| {
                HallWeights::new(store, &request.service, stage)
            });
        let shared = request.prompt.shared_tokens();
        let key = ScoreKey::new(request.prompt.last_shared_id());
        let holders = self.holders_of(&request.prompt.shared_parts);
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
        Some(ChosenTarget::new(best))
    }

    /// Returns the engines of the prompt's partition, or all of `usable` if none of that partition
    /// is left to try.
    fn within_partition<'a>(
        &self,
        store: &TargetStore,
        request: &PlacementRequest,
        usable: Vec<&'a Target>,
    ) -> Vec<&'a Target> {
        let partition = placement_pool_key(
            &request.service,
            store.hall_counts(&request.service),
            &request.prompt,
        );
        let is_fresh = |one: &&Target| !request.tried.contains(&one.id);
        let all = usable.iter().copied();
        let in_partition: Vec<&Target> = all
            .filter(|one| partition.contains_target(&one.hall, &one.id))
            .collect();
        match in_partition.iter().any(is_fresh) {
            true => in_partition,
            false => usable,
        }
    }

    /// Returns the engine with the fewest requests that may crash it, and of these the one with the
    /// fewest others. Two such requests on separate engines show which of them is the cause, and
    /// fewer other requests are interrupted.
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

    /// Returns whether the rate limit of an engine allows a prompt that is placed now to be sent
    /// soon.
    fn rate_limit_allows(&self, store: &TargetStore, engine: &str) -> bool {
        let pacer = self
            .pacers
            .get(engine)
            .filter(|_| store.rate_limit(engine).is_some());
        pacer.is_none_or(|pacer| pacer.time_until_next(BootInstant::now()) <= MAX_RATE_WAIT)
    }

    /// Counts a prompt against the rate limit of its engine, if it has one.
    fn count_against_rate_limit(&mut self, store: &TargetStore, engine: &str) {
        let Some(rate) = store.rate_limit(engine) else {
            self.pacers.remove(engine);
            return;
        };
        let now = BootInstant::now();
        let pacer = self.pacers.entry(engine.to_owned());
        let pacer = pacer.or_insert_with(|| RatePacer::new(rate, now));
        pacer.set_rate(rate, now);
        // The rate allows the prompt, or the requesting host knows no other engine.
        let _ = pacer.reserve(now, Duration::MAX);
    }

    /// Counts a prompt against the cold rate of its engine, if the engine is cold.
    fn count_against_cold_rate(
        &mut self,
        store: &TargetStore,
        service: &str,
        engine: &str,
        now: Instant,
    ) {
        let Some(rate) = store.cold_rate(service) else {
            return;
        };
        if store.is_cold(service, engine, now) {
            let window = self.cold_windows.entry(engine.to_owned()).or_default();
            window.record_send(rate, now);
        } else {
            self.cold_windows.remove(engine);
        }
    }

    /// Returns the engines that have each part cached, looked up once per prompt. A placement among
    /// 140 engines takes 17 to 25 us this way and one among 500 takes 56 us; with a look-up for
    /// each engine they took 31 and 105 us (`measure_a_placement`, release build).
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

    /// Updates the slowness of an engine with the time that it took for a prompt.
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

    /// Returns the cost of placing a prompt on an engine, as a wait in milliseconds. `missing_ms`
    /// is the cost of the shared parts that are not cached there.
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
        // On a slow engine the prefill of the prompt's own tokens is slow as well.
        let slowness = self.slowness_of(&engine.id, now);
        let own_ms = self.prefill_ms(request.prompt.unshared_tokens()) + SLOWNESS_BASE_MS;
        let running_ms = f64::from(running) / f64::from(engine.slots) * FULL_ENGINE_COST_MS;
        (self.prefill_ms(pending_tokens) + missing_ms) * slowness
            + own_ms * (slowness - 1.0)
            + crossing_ms
            + running_ms
            + f64::from(isolated) * ISOLATED_COST_MS
    }

    /// Returns where a prompt would be placed now.
    pub(crate) fn plan(
        &self,
        store: &TargetStore,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<(ChosenTarget, PlacementFacts)> {
        let chosen = self.choose(store, request, now)?;
        let cached_tokens =
            cached_tokens(&self.holders_of(&request.prompt.shared_parts), &chosen.id);
        let queued_tokens = self
            .loads
            .get(&chosen.id)
            .map_or(0, |load| load.pending_tokens);
        let expected_ms =
            (queued_tokens + request.prompt.input_tokens.saturating_sub(cached_tokens)) as f64
                / self.tokens_per_ms;
        let facts = PlacementFacts {
            cached_tokens,
            queued_tokens,
            expected_ms: expected_ms as u32,
        };
        Some((chosen, facts))
    }

    /// Chooses an engine and counts the prompt there until [`EnginePlacer::end_placement`].
    pub(crate) fn place(
        &mut self,
        store: &TargetStore,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<(PlacementKey, ChosenTarget, PlacementFacts)> {
        let (chosen, facts) = self.plan(store, request, now)?;
        self.count_against_cold_rate(store, &request.service, &chosen.id, now);
        self.count_against_rate_limit(store, &chosen.id);
        let pending_tokens = request
            .prompt
            .input_tokens
            .saturating_sub(facts.cached_tokens);
        let load = self.loads.entry(chosen.id.clone()).or_default();
        load.pending_tokens += pending_tokens;
        load.running += 1;
        load.isolated += u32::from(request.isolated);
        for part in &request.prompt.shared_parts {
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

    /// Records that an engine has done the prefill of a prompt.
    pub(crate) fn record_prefill(&mut self, key: PlacementKey, now: Instant) {
        let Some(placed) = self.placed.get(&key) else {
            return;
        };
        let took = now.saturating_duration_since(placed.placed_at);
        let (engine, expected_ms) = (placed.engine.clone(), placed.expected_ms);
        self.update_slowness(&engine, expected_ms, took, now);
        self.clear_pending(key);
    }

    /// Removes a prompt from the pending prefill of its engine.
    fn clear_pending(&mut self, key: PlacementKey) {
        if let Some(placed) = self.placed.get_mut(&key) {
            let pending_tokens = std::mem::take(&mut placed.pending_tokens);
            if let Some(load) = self.loads.get_mut(&placed.engine) {
                load.pending_tokens = load.pending_tokens.saturating_sub(pending_tokens);
            }
        }
    }

    /// Ends the placement of a request that has ended or whose host was lost.
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

    /// Removes the record of what an engine has cached, since it failed or was restarted.
    pub(crate) fn forget_engine(&mut self, engine: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|(id, _)| id != engine);
        }
    }

    /// Returns the estimated prefill time of a prompt of which nothing is cached.
    pub(crate) fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1_000.0)
    }

    /// Updates the prefill speed with the time from sending a prompt to its first event. Waits make
    /// engines look slower, so a fast prompt has a larger weight.
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
