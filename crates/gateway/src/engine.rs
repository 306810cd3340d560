//! Choosing a model engine: where the prompt is cached, unless others wait there too long.

mod hall_weights;
mod place_ask;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RatePacer;

use crate::ask::PromptPart;
use crate::cold::{ColdRate, SendWindow};
use crate::pool_key::place_key;
use crate::rendezvous::ScoreKey;
use crate::target::{ChosenTarget, Target, TargetStore};

use hall_weights::HallWeights;
pub(crate) use place_ask::{PlaceAsk, PlaceFacts};

/// Prompt tokens that an engine is first taken to read in a millisecond.
const FIRST_TOKENS_PER_MS: f64 = 40.0;

/// Weight of a new measurement of the reading speed.
const SPEED_GAIN: f64 = 0.05;

/// What an engine of which all slots are taken costs against an empty one, in milliseconds: as long as a
/// prompt of some thousand tokens is read. Each request adds its share.
const FULL_COST_MS: f64 = 100.0;

/// What reading a shared part again costs beside the time that it takes: it keeps the engine from other
/// prompts, and takes memory that other parts lose. As a part of that time, and the most of it, so
/// that a slow or long queue is left all the same.
const AGAIN_PART: f64 = 4.0;
const AGAIN_MOST_MS: f64 = 250.0;

/// Part of the time of reading that counts where no engine is known to hold the part: the one that
/// every host ranks first for it may hold it all the same, since this host may have begun to place
/// prompts a moment ago.
const UNKNOWN_PART: f64 = 0.5;

/// What a megabyte of results that crosses halls adds to the cost of an engine, in milliseconds.
const CROSSING_COST_MS: f64 = 14.0;

/// What a request costs beside one that may end the engine, in milliseconds: about the wait that is worth not
/// being cut off and sent anew.
const APART_COST_MS: f64 = 300.0;

const MEGABYTE: f64 = 1_000_000.0;

/// How long a part is taken to stay at an engine after its last use.
const PART_KEPT: Duration = Duration::from_secs(60);

/// Parts that are remembered.
const MAX_PARTS: usize = 50_000;

/// How long it takes until most of a learned slowness is forgotten.
const SLOWNESS_KEPT: Duration = Duration::from_secs(4);

/// Weight of a new observation of an engine's slowness, and the most that one says.
const SLOWNESS_GAIN: f64 = 0.4;
const MOST_SLOWNESS: f64 = 10.0;

/// Added to expected and real times, so that short ones say little, in milliseconds.
const SLOWNESS_BASE_MS: f64 = 120.0;

/// How long before it can be sent a prompt is placed on an engine that names a rate.
const PLACED_AHEAD: Duration = Duration::from_millis(250);

/// Prompts shorter than this say nothing about the reading speed.
const MEASURED_TOKENS: u64 = 2_000;

/// Names one placement at its placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PlacementKey(u64);

/// What was placed on one engine and has not ended.
#[derive(Debug, Default)]
struct EngineLoad {
    /// Prompt tokens that are not known to be read yet.
    unread: u64,
    running: u32,
    /// Of these, requests that may end the engine.
    apart: u32,
}

struct Placed {
    engine: String,
    apart: bool,
    unread: u64,
    at: Instant,
    /// How long the engine was to take until it has read the prompt, in milliseconds.
    expected_ms: f64,
}

/// How much longer than expected an engine took of late.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    ratio: f64,
    learned: Instant,
}

impl Slowness {
    /// Returns the ratio, which is forgotten over time so that an engine that recovered is used
    /// again.
    fn now(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.learned).as_secs_f64();
        1.0 + (self.ratio - 1.0) * (-age / SLOWNESS_KEPT.as_secs_f64()).exp()
    }
}

/// An engine that a prompt may go to.
struct RankedEngine<'a> {
    target: &'a Target,
    /// Its score for the prompt's last shared part, by which all hosts order the engines alike.
    rank: f64,
    /// Tokens of shared parts that it is not known to hold.
    missing: u64,
    /// What it costs to place the prompt there, in milliseconds.
    cost: f64,
}

/// The engines that are taken to hold a part.
struct PartHolders<'a> {
    tokens: u64,
    engines: &'a [(String, Instant)],
}

/// Returns the tokens of the first of some parts that an engine is taken to hold; a part serves only where
/// all before it are held as well.
fn held_tokens(parts: &[PartHolders<'_>], engine: &str) -> u64 {
    let holds = |part: &&PartHolders<'_>| part.engines.iter().any(|(id, _)| id == engine);
    let held = parts.iter().take_while(holds);
    held.map(|part| part.tokens).sum()
}

/// Places prompts on engines, with what it knows of them from its own placements.
pub(crate) struct EnginePlacer {
    tokens_per_ms: f64,
    loads: HashMap<String, EngineLoad>,
    /// Engines that hold a part, with the time of its last use there.
    holders: HashMap<String, Vec<(String, Instant)>>,
    placed: HashMap<PlacementKey, Placed>,
    slowness: HashMap<String, Slowness>,
    /// What was placed lately on engines that are cold.
    cold_sent: HashMap<String, SendWindow>,
    /// When the next prompt may be placed on engines that name rates.
    paced: HashMap<String, RatePacer>,
    next: u64,
}

impl Default for EnginePlacer {
    fn default() -> Self {
        Self {
            tokens_per_ms: FIRST_TOKENS_PER_MS,
            loads: HashMap::new(),
            holders: HashMap::new(),
            placed: HashMap::new(),
            slowness: HashMap::new(),
            cold_sent: HashMap::new(),
            paced: HashMap::new(),
            next: 0,
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
        book: &TargetStore,
        ask: &PlaceAsk,
        now: Instant,
    ) -> Option<ChosenTarget> {
        let mut usable = book.usable(&ask.service, now);
        usable.retain(|engine| !ask.closed.contains(&engine.id));
        if let Some(homes) = &ask.homes {
            usable.retain(|engine| homes.contains(&engine.hall));
        }
        if let Some(rate) = book.cold_rate(&ask.service) {
            usable.retain(|engine| !engine.is_cold(now) || self.has_cold_room(engine, rate, now));
        }
        usable.retain(|engine| self.has_rate_room(book, &engine.id));
        usable = self.of_part(book, ask, usable);
        let fresh = usable.iter().filter(|one| !ask.avoid.contains(&one.id));
        let mut candidates: Vec<&Target> = fresh.copied().collect();
        if candidates.is_empty() {
            candidates = usable;
        }
        if ask.apart {
            return self.emptiest(candidates).map(ChosenTarget::new);
        }
        let weights = ask
            .heavy_stage
            .as_ref()
            .map_or_else(HallWeights::default, |stage| {
                HallWeights::new(book, &ask.service, stage)
            });
        let shared = ask.prompt.shared_tokens();
        let key = ScoreKey::new(ask.prompt.last_shared());
        let holders = self.holders_of(&ask.prompt.shared);
        let mut ranked: Vec<RankedEngine<'_>> = candidates
            .into_iter()
            .map(|target| {
                let weight = weights.of(&target.hall);
                RankedEngine {
                    target,
                    rank: key.weighted_score(&target.id, weight),
                    missing: shared - held_tokens(&holders, &target.id),
                    cost: 0.0,
                }
            })
            .collect();
        let first = ranked
            .iter()
            .max_by(|a, b| a.rank.total_cmp(&b.rank))?
            .target;
        let known = ranked.iter().any(|one| one.missing == 0);
        for one in &mut ranked {
            let reading_ms = self.reading_ms(one.missing);
            let missing_ms = match known {
                true => reading_ms + (reading_ms * AGAIN_PART).min(AGAIN_MOST_MS),
                false if std::ptr::eq(one.target, first) => 0.0,
                false => reading_ms * UNKNOWN_PART,
            };
            one.cost = self.cost_ms(one.target, ask, missing_ms, now);
        }
        let best = ranked
            .into_iter()
            .min_by(|a, b| a.cost.total_cmp(&b.cost).then(b.rank.total_cmp(&a.rank)))?
            .target;
        Some(ChosenTarget::new(best))
    }

    /// Returns those of some engines among which a prompt is placed; all where none of them may be used.
    fn of_part<'a>(
        &self,
        book: &TargetStore,
        ask: &PlaceAsk,
        usable: Vec<&'a Target>,
    ) -> Vec<&'a Target> {
        let part = place_key(&ask.service, book.hall_counts(&ask.service), &ask.prompt);
        let is_fresh = |one: &&Target| !ask.avoid.contains(&one.id);
        let held = usable.iter().copied();
        let held: Vec<&Target> = held
            .filter(|one| part.holds_target(&one.hall, &one.id))
            .collect();
        match held.iter().any(is_fresh) {
            true => held,
            false => usable,
        }
    }

    /// Returns the engine with the fewest requests that may end it, and of these the one with the fewest others.
    /// Two that are tried apart tell more than two together, and the fewer lose their work.
    fn emptiest<'a>(&self, engines: Vec<&'a Target>) -> Option<&'a Target> {
        engines.into_iter().min_by_key(|engine| {
            let load = self.loads.get(&engine.id);
            load.map_or((0, 0), |load| (load.apart, load.running))
        })
    }

    fn has_cold_room(&self, engine: &Target, rate: ColdRate, now: Instant) -> bool {
        let sent = self.cold_sent.get(&engine.id);
        sent.is_none_or(|sent| sent.has_room(rate, now))
    }

    /// Says whether a prompt that is placed now could be sent soon by the rate of its engine.
    fn has_rate_room(&self, book: &TargetStore, engine: &str) -> bool {
        let paced = self
            .paced
            .get(engine)
            .filter(|_| book.rate_limit(engine).is_some());
        paced.is_none_or(|pacer| pacer.time_until_next(BootInstant::now()) <= PLACED_AHEAD)
    }

    /// Counts a prompt where its engine names a rate.
    fn note_rate(&mut self, book: &TargetStore, engine: &str) {
        let Some(rate) = book.rate_limit(engine) else {
            self.paced.remove(engine);
            return;
        };
        let now = BootInstant::now();
        let pacer = self.paced.entry(engine.to_owned());
        let pacer = pacer.or_insert_with(|| RatePacer::new(rate, now));
        pacer.set_rate(rate, now);
        // There is room, or the host that asks knows no other engine.
        let _ = pacer.reserve(now, Duration::MAX);
    }

    /// Counts a prompt where its engine is cold.
    fn note_cold(&mut self, book: &TargetStore, service: &str, engine: &str, now: Instant) {
        let Some(rate) = book.cold_rate(service) else {
            return;
        };
        if book.is_cold(service, engine, now) {
            let sent = self.cold_sent.entry(engine.to_owned()).or_default();
            sent.note(rate, now);
        } else {
            self.cold_sent.remove(engine);
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
        known.map_or(1.0, |slowness| slowness.now(now))
    }

    /// Learns from the time that an engine took for a prompt.
    fn learn_slowness(&mut self, engine: &str, expected_ms: f64, took: Duration, now: Instant) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let ratio = ((took_ms + SLOWNESS_BASE_MS) / (expected_ms + SLOWNESS_BASE_MS))
            .clamp(1.0, MOST_SLOWNESS);
        let known = self.slowness_of(engine, now);
        let learned = Slowness {
            ratio: known + (ratio - known) * SLOWNESS_GAIN,
            learned: now,
        };
        self.slowness.insert(engine.to_owned(), learned);
    }

    fn reading_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.tokens_per_ms
    }

    /// Returns what it costs to place a prompt on an engine, as a wait; `missing_ms` is what reading
    /// shared parts there counts.
    fn cost_ms(&self, engine: &Target, ask: &PlaceAsk, missing_ms: f64, now: Instant) -> f64 {
        let crossing = ask.results.crossing_to(&engine.hall) as f64 / MEGABYTE * CROSSING_COST_MS;
        let load = self.loads.get(&engine.id);
        let (unread, running) = load.map_or((0, 0), |load| (load.unread, load.running));
        let apart = load.map_or(0, |load| load.apart);
        // On a slow engine the prompt's own reading is slow as well.
        let slowness = self.slowness_of(&engine.id, now);
        let own = self.reading_ms(ask.prompt.own_tokens()) + SLOWNESS_BASE_MS;
        let running = f64::from(running) / f64::from(engine.slots) * FULL_COST_MS;
        (self.reading_ms(unread) + missing_ms) * slowness
            + own * (slowness - 1.0)
            + crossing
            + running
            + f64::from(apart) * APART_COST_MS
    }

    /// Says where a prompt would be placed now.
    pub(crate) fn plan(
        &self,
        book: &TargetStore,
        ask: &PlaceAsk,
        now: Instant,
    ) -> Option<(ChosenTarget, PlaceFacts)> {
        let chosen = self.choose(book, ask, now)?;
        let held = held_tokens(&self.holders_of(&ask.prompt.shared), &chosen.id);
        let ahead = self.loads.get(&chosen.id).map_or(0, |load| load.unread);
        let expected_ms =
            (ahead + ask.prompt.tokens_in.saturating_sub(held)) as f64 / self.tokens_per_ms;
        let facts = PlaceFacts {
            held,
            ahead,
            expected_ms: expected_ms as u32,
        };
        Some((chosen, facts))
    }

    /// Chooses an engine and counts the prompt there until [`EnginePlacer::end`].
    pub(crate) fn place(
        &mut self,
        book: &TargetStore,
        ask: &PlaceAsk,
        now: Instant,
    ) -> Option<(PlacementKey, ChosenTarget, PlaceFacts)> {
        let (chosen, facts) = self.plan(book, ask, now)?;
        self.note_cold(book, &ask.service, &chosen.id, now);
        self.note_rate(book, &chosen.id);
        let unread = ask.prompt.tokens_in.saturating_sub(facts.held);
        let load = self.loads.entry(chosen.id.clone()).or_default();
        load.unread += unread;
        load.running += 1;
        load.apart += u32::from(ask.apart);
        for part in &ask.prompt.shared {
            self.note_holder(&chosen.id, &part.id, now);
        }
        self.next += 1;
        let key = PlacementKey(self.next);
        let placed = Placed {
            engine: chosen.id.clone(),
            apart: ask.apart,
            unread,
            at: now,
            expected_ms: f64::from(facts.expected_ms),
        };
        self.placed.insert(key, placed);
        Some((key, chosen, facts))
    }

    fn note_holder(&mut self, engine: &str, part: &str, now: Instant) {
        if part.is_empty() {
            return;
        }
        if self.holders.len() >= MAX_PARTS && !self.holders.contains_key(part) {
            self.holders.retain(|_, holders| {
                holders.retain(|(_, used)| now.saturating_duration_since(*used) < PART_KEPT);
                !holders.is_empty()
            });
        }
        if self.holders.len() >= MAX_PARTS {
            return;
        }
        let holders = self.holders.entry(part.to_owned()).or_default();
        holders
            .retain(|(id, used)| id != engine && now.saturating_duration_since(*used) < PART_KEPT);
        holders.push((engine.to_owned(), now));
    }

    /// Notes that an engine has read a prompt.
    pub(crate) fn note_read(&mut self, key: PlacementKey, now: Instant) {
        let Some(placed) = self.placed.get(&key) else {
            return;
        };
        let took = now.saturating_duration_since(placed.at);
        let (engine, expected_ms) = (placed.engine.clone(), placed.expected_ms);
        self.learn_slowness(&engine, expected_ms, took, now);
        self.take_off(key);
    }

    /// Takes a prompt off what its engine still has to read.
    fn take_off(&mut self, key: PlacementKey) {
        if let Some(placed) = self.placed.get_mut(&key) {
            let unread = std::mem::take(&mut placed.unread);
            if let Some(load) = self.loads.get_mut(&placed.engine) {
                load.unread = load.unread.saturating_sub(unread);
            }
        }
    }

    /// Notes that a request has ended, or that its host was lost.
    pub(crate) fn end(&mut self, key: PlacementKey) {
        self.take_off(key);
        let Some(placed) = self.placed.remove(&key) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&placed.engine) {
            load.running = load.running.saturating_sub(1);
            load.apart = load.apart.saturating_sub(u32::from(placed.apart));
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

#[cfg(test)]
mod tests;
