//! One stage pool: the pieces that wait, the targets, and which go together.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::queue::BatchKey;
use crate::ask::Rank;
use crate::piece::{PieceBatch, PoolLoad, StageWork, TargetUse};
use crate::pool_key::PoolKey;

/// Results smaller than this may lie in any data hall.
pub(crate) const HALL_BYTES: u64 = 256 * 1024;

/// Part of its spare time, and the longest time, that a piece waits for a target of its hall.
const HALL_PATIENCE_PART: f64 = 0.3;
const HALL_PATIENCE: Duration = Duration::from_millis(200);

/// A wait shorter than this is no reason to refuse a request, in milliseconds.
pub(crate) const LEAST_REFUSED_WAIT_MS: f64 = 80.0;

/// How long bytes that results of others take are taken into account.
const OTHERS_SPAN: Duration = Duration::from_millis(400);

/// The place of the results of others among those of a target; no handle is like it.
pub(super) const OTHERS: &str = "of others";

/// Begins the places of what hosts told that they use.
const TOLD: &str = "told by ";

/// Begins the place of results whose handles were lost with the answer.
pub(super) const LOST: &str = "lost ";

fn is_handle(name: &str) -> bool {
    name != OTHERS && !name.starts_with(TOLD)
}

/// Sizes of results are told about; this much room is kept beside them.
const ROOM_MARGIN: f64 = 1.05;

/// A piece that waits or is in a call.
#[derive(Clone)]
pub(crate) struct Waiting {
    pub(crate) batch: BatchKey,
    /// The piece of the batch, from 0.
    pub(crate) place: usize,
    pub(super) rank: Rank,
    pub(crate) deadline: Instant,
    /// When the piece has to be done for its request to meet its objective.
    pub(super) wanted: Instant,
    pub(super) hall: Option<String>,
    pub(super) result_bytes: u64,
    pub(crate) work: Rc<StageWork>,
    pub(super) tries: u32,
}

pub(super) struct HeldResult {
    pub(super) bytes: u64,
    pub(super) until: Instant,
}

/// A target of a stage pool.
pub(super) struct StageTarget {
    pub(super) address: SocketAddr,
    pub(super) hall: String,
    /// Calls of this host that are at work there.
    pub(super) busy: u32,
    /// Bytes that the results of those calls will take.
    pub(super) reserved: u64,
    pub(super) results: HashMap<String, HeldResult>,
    pub(super) rest_until: Option<Instant>,
    /// When its call is expected to end.
    pub(super) busy_until: Instant,
    /// When the call of another host that gathers for the pool is expected to end.
    pub(super) taken_until: Option<Instant>,
    /// Calls in a row that failed.
    pub(super) failures: u32,
    /// Calls in a row for which it was too busy.
    pub(super) refusals: u32,
    /// Whether it gets no more calls; it stays until those at work have ended.
    pub(super) leaving: bool,
}

impl StageTarget {
    fn new(record: &TargetRecord) -> Self {
        Self {
            address: record.address,
            hall: record.hall.clone(),
            busy: 0,
            reserved: 0,
            results: HashMap::new(),
            rest_until: None,
            busy_until: Instant::now(),
            taken_until: None,
            failures: 0,
            refusals: 0,
            leaving: false,
        }
    }

    pub(super) fn used_bytes(&self) -> u64 {
        let held: u64 = self.results.values().map(|result| result.bytes).sum();
        held + self.reserved
    }

    /// Notes bytes that results of others take. They go at a time that is not known, so what is
    /// noted lasts a short while only.
    pub(super) fn set_others(&mut self, bytes: u64, now: Instant) {
        let others = HeldResult {
            bytes,
            until: now + OTHERS_SPAN,
        };
        self.results.insert(OTHERS.to_owned(), others);
    }

    pub(super) fn is_free(&self, slots: u32, now: Instant) -> bool {
        let resting = self.rest_until.is_some_and(|until| until > now);
        let taken = self.taken_until.is_some_and(|until| until > now);
        !self.leaving && !resting && !taken && self.busy < slots
    }

    /// Returns what this host uses here. What it was told of others is theirs to tell.
    fn own_use(&self, id: &str, ttl: Duration, now: Instant) -> TargetUse {
        let own = self.results.iter().filter(|(name, _)| is_handle(name));
        let (mut bytes, mut until) = (self.reserved, now);
        for (_, result) in own {
            bytes += result.bytes;
            until = until.max(result.until);
        }
        if self.reserved > 0 {
            until = until.max(now + ttl);
        }
        let busy = if self.busy > 0 {
            self.busy_until.saturating_duration_since(now)
        } else {
            Duration::ZERO
        };
        TargetUse {
            target: id.to_owned(),
            bytes,
            lasts_ms: until.saturating_duration_since(now).as_millis() as u32,
            busy_ms: busy.as_millis() as u32,
        }
    }

    /// Takes what another host uses here, in place of what it told before.
    fn set_use(&mut self, teller: &str, told: Option<&TargetUse>, now: Instant) {
        let name = format!("{TOLD}{teller}");
        self.results.remove(&name);
        self.taken_until = None;
        let Some(told) = told else {
            return;
        };
        self.taken_until = Some(now + Duration::from_millis(u64::from(told.busy_ms)));
        if told.bytes > 0 {
            let held = HeldResult {
                bytes: told.bytes,
                until: now + Duration::from_millis(u64::from(told.lasts_ms)),
            };
            self.results.insert(name, held);
        }
    }

    /// Takes bytes off what others told, since one of their results was released here.
    pub(super) fn take_off_told(&mut self, bytes: u64) {
        let told = self
            .results
            .iter_mut()
            .find(|(name, _)| name.starts_with(TOLD));
        if let Some((_, told)) = told {
            told.bytes = told.bytes.saturating_sub(bytes);
        }
    }
}

pub(super) struct PoolQueue {
    pub(super) spec: StagePool,
    pub(super) targets: BTreeMap<String, StageTarget>,
    /// In the order in which they are served.
    pub(super) waiting: Vec<Waiting>,
}

/// A call that is due.
pub(crate) struct DueCall {
    pub(crate) pool: PoolKey,
    pub(crate) target: String,
    pub(crate) address: SocketAddr,
    pub(crate) expected: Duration,
    pub(crate) pieces: Vec<Waiting>,
    pub(super) reserved: u64,
}

impl PoolQueue {
    pub(super) fn new(spec: StagePool) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Takes the targets that `key` holds of those that take work.
    pub(super) fn set_targets(&mut self, key: &PoolKey, records: &[TargetRecord]) {
        let held = records.iter().filter(|record| key.holds(record));
        let wanted: BTreeMap<&str, &TargetRecord> =
            held.map(|record| (record.id.as_str(), record)).collect();
        // A target that is leaving keeps what it holds until its call has ended.
        self.targets
            .retain(|id, target| wanted.contains_key(id.as_str()) || target.busy > 0);
        for (id, target) in &mut self.targets {
            target.leaving = target.leaving || !wanted.contains_key(id.as_str());
        }
        for (id, record) in wanted {
            let targets = self.targets.entry(id.to_owned());
            targets.or_insert_with(|| StageTarget::new(record));
        }
    }

    pub(super) fn has_work(&self) -> bool {
        !self.waiting.is_empty() || self.targets.values().any(|target| target.busy > 0)
    }

    /// Returns what this host uses of the targets.
    pub(super) fn uses(&self, now: Instant) -> Vec<TargetUse> {
        let ttl = Duration::from_millis(self.spec.result_ttl_ms);
        let uses = self.targets.iter();
        let uses = uses.map(|(id, target)| target.own_use(id, ttl, now));
        uses.filter(|one| one.bytes > 0 || one.busy_ms > 0)
            .collect()
    }

    /// Takes what another host uses of the targets.
    pub(super) fn set_uses(&mut self, teller: &str, uses: &[TargetUse], now: Instant) {
        for (id, target) in &mut self.targets {
            let told = uses.iter().find(|one| one.target == *id);
            target.set_use(teller, told, now);
        }
    }

    pub(super) fn load(&self, now: Instant) -> PoolLoad {
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        for one in &self.waiting {
            *waiting.entry(one.rank).or_default() += 1;
        }
        let soon = now + Duration::from_secs(2);
        let targets = self.targets.values();
        let usable = targets
            .filter(|target| !target.leaving && target.rest_until.is_none_or(|until| until < soon));
        let (mut targets, mut free) = (0, 0);
        for target in usable {
            targets += 1;
            free += u32::from(target.is_free(self.spec.slots, now));
        }
        PoolLoad {
            waiting: waiting.into_iter().collect(),
            targets,
            free,
        }
    }

    /// Says whether a new batch would be done too late for its request. Later stages are not
    /// refused: what their request has had done already would be wasted.
    pub(super) fn is_too_late(&self, batch: &PieceBatch, now: Instant) -> bool {
        if !batch.first {
            return false;
        }
        let count = batch.count.min(self.spec.batch);
        let load = self.load(now);
        let wait = load.wait_ms(&self.spec, batch.rank, batch.count);
        let own = self.spec.call_time_ms(count as usize);
        wait > LEAST_REFUSED_WAIT_MS && wait + own > batch.wanted_ms as f64
    }

    // A target that was lost never says that its results are gone.
    pub(super) fn forget_expired(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.results.retain(|_, result| result.until > now);
        }
    }

    /// Gives waiting pieces, in their order, to free targets. One call is filled before another is
    /// begun, so that a target stays free for the next request; a piece whose results are large
    /// goes to its data hall where a target is free there.
    pub(super) fn due_calls(&mut self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        let slots = self.spec.slots;
        let mut open: BTreeMap<String, DueCall> = BTreeMap::new();
        let mut kept = Vec::new();
        let mut kept_by_hall: HashMap<String, usize> = HashMap::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let ahead = waiting
                .hall
                .as_ref()
                .and_then(|hall| kept_by_hall.get(hall));
            let ahead = ahead.copied().unwrap_or(0);
            match self.place(&waiting, &open, slots, ahead, now) {
                Some(id) => self.add_to_call(pool, id, waiting, &mut open),
                None => {
                    if let Some(hall) = &waiting.hall {
                        *kept_by_hall.entry(hall.clone()).or_default() += 1;
                    }
                    kept.push(waiting);
                }
            }
        }
        self.waiting = kept;
        for (id, call) in &mut open {
            let time = self.spec.call_time_ms(call.pieces.len());
            call.expected = Duration::from_secs_f64(time / 1_000.0);
            if let Some(target) = self.targets.get_mut(id) {
                target.busy += 1;
                target.busy_until = now + call.expected;
            }
        }
        open.into_values().collect()
    }

    fn place(
        &self,
        waiting: &Waiting,
        open: &BTreeMap<String, DueCall>,
        slots: u32,
        ahead: usize,
        now: Instant,
    ) -> Option<String> {
        let fits = |id: &str, target: &StageTarget| {
            let in_call = open.get(id).map_or(0, |call| call.pieces.len());
            let used = target.used_bytes();
            let after = (used + waiting.result_bytes) as f64 * ROOM_MARGIN;
            let room = used == 0 || after <= self.spec.result_memory_bytes as f64;
            in_call < self.spec.batch as usize && room && target.is_free(slots, now)
        };
        let elsewhere = |target: &StageTarget| {
            waiting
                .hall
                .as_ref()
                .is_some_and(|hall| *hall != target.hall)
        };
        let candidates = self.targets.iter().filter(|(id, target)| fits(id, target));
        let (id, target) = candidates.min_by_key(|(id, target)| {
            (
                elsewhere(target),
                !open.contains_key(*id),
                target.used_bytes(),
            )
        })?;
        if elsewhere(target) && self.hall_is_soon_free(waiting, ahead, now) {
            return None;
        }
        Some(id.clone())
    }

    /// Says whether a piece whose results are large should rather wait for a target of its hall:
    /// one is free soon enough, and takes what waits for it `ahead` of the piece as well.
    fn hall_is_soon_free(&self, waiting: &Waiting, ahead: usize, now: Instant) -> bool {
        let own = Duration::from_secs_f64(self.spec.call_time_ms(1) / 1_000.0);
        let spare = waiting.wanted.saturating_duration_since(now + own);
        let patience = spare.mul_f64(HALL_PATIENCE_PART).min(HALL_PATIENCE);
        let of_hall = self.targets.values().filter(|target| {
            waiting.hall.as_ref() == Some(&target.hall)
                && !target.leaving
                && target.rest_until.is_none_or(|until| until <= now)
                && target.busy_until <= now + patience
        });
        ahead < of_hall.count() * self.spec.batch as usize
    }

    fn add_to_call(
        &mut self,
        pool: &PoolKey,
        id: String,
        waiting: Waiting,
        open: &mut BTreeMap<String, DueCall>,
    ) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.reserved += waiting.result_bytes;
        let call = open.entry(id.clone()).or_insert_with(|| DueCall {
            pool: pool.clone(),
            target: id,
            address: target.address,
            expected: Duration::ZERO,
            pieces: Vec::new(),
            reserved: 0,
        });
        call.reserved += waiting.result_bytes;
        call.pieces.push(waiting);
    }
}

#[cfg(test)]
mod tests;
