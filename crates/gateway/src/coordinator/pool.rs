//! One stage pool: the pieces that wait, the targets, and which go together.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_quarantine::RequestKey;
use linnet_routing::StagePool;

use super::batch::PieceKey;
use super::due_call::DueCall;
use super::stage_target::StageTarget;
use crate::caller_request::Rank;
use crate::home_halls::HomeHalls;
use crate::piece::{PieceBatch, PoolLoad, StageWork, TargetUse};
use crate::pool_key::PoolKey;
use crate::version_split::{CallSplit, VersionSplit};

/// Results smaller than this may lie in any data hall.
pub(crate) const HALL_BYTES: u64 = 256 * 1024;

/// Part of its spare time, and the longest time, that a piece waits for a target of its hall.
const HALL_PATIENCE_PART: f64 = 0.3;
const HALL_PATIENCE: Duration = Duration::from_millis(200);

/// A wait shorter than this is no reason to refuse a request, in milliseconds.
pub(crate) const LEAST_REFUSED_WAIT_MS: f64 = 80.0;

/// Sizes of results are told about; this much room is kept beside them.
const ROOM_MARGIN: f64 = 1.05;

/// A piece that waits or is in a call.
#[derive(Clone)]
pub(crate) struct Waiting {
    pub(crate) piece: PieceKey,
    pub(super) rank: Rank,
    pub(crate) deadline: Instant,
    /// When the piece has to be done for its request to meet its objective.
    pub(super) wanted: Instant,
    pub(super) hall: Option<String>,
    pub(super) homes: HomeHalls,
    pub(super) result_bytes: u64,
    pub(crate) work: Rc<StageWork>,
    pub(super) tries: u32,
    /// By what its request is known when it comes again.
    pub(crate) key: RequestKey,
    /// Targets that ended while they worked on it.
    pub(super) ends: u32,
    /// Whether no other's pieces may go with it, since it may have been the cause.
    pub(super) apart: bool,
}

pub(super) struct PoolQueue {
    pub(super) spec: StagePool,
    pub(super) targets: BTreeMap<String, StageTarget>,
    /// In the order in which they are served.
    pub(super) waiting: Vec<Waiting>,
    /// How calls are split while a version is rolled out.
    split: Option<CallSplit>,
}

impl PoolQueue {
    pub(super) fn new(spec: StagePool) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            waiting: Vec::new(),
            split: None,
        }
    }

    /// Takes how calls are split while a version is rolled out.
    pub(super) fn set_split(&mut self, split: Option<&VersionSplit>) {
        match (split, &mut self.split) {
            (Some(split), Some(known)) => known.update(split),
            (split, known) => *known = split.cloned().map(CallSplit::new),
        }
    }

    /// Says whether a target may get a new call while a version is rolled out: one of the side whose turn it is, or
    /// any where that side has none.
    fn has_turn(&self, target: &StageTarget) -> bool {
        let Some(split) = &self.split else {
            return true;
        };
        let mut takers = self.targets.values().filter(|one| one.takes_calls());
        split.allows(&target.version) || !takers.any(|one| split.allows(&one.version))
    }

    /// Takes the targets that `key` holds of those that take work.
    pub(super) fn set_targets<'a>(
        &mut self,
        key: &PoolKey,
        records: impl IntoIterator<Item = &'a TargetRecord>,
    ) {
        let held = records.into_iter().filter(|record| key.holds(record));
        let wanted: BTreeMap<&str, &TargetRecord> =
            held.map(|record| (record.id.as_str(), record)).collect();
        // A target that is leaving keeps what it holds until its call has ended.
        self.targets
            .retain(|id, target| wanted.contains_key(id.as_str()) || target.busy > 0);
        for (id, target) in &mut self.targets {
            target.listed = wanted.contains_key(id.as_str());
        }
        // Another start under the same identity holds nothing of the one before.
        let is_same = |id: &String, target: &mut StageTarget| {
            wanted
                .get(id.as_str())
                .is_none_or(|record| record.born == target.born)
        };
        self.targets.retain(is_same);
        for record in wanted.into_values() {
            self.list_target(record);
        }
    }

    /// Takes targets of the pool that have come or changed, and those that get no more work; all others stay.
    pub(super) fn update_targets<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a TargetRecord>,
        unlisted: impl Iterator<Item = &'a TargetRecord>,
    ) {
        for record in unlisted {
            // A target that is leaving keeps what it holds until its call has ended.
            match self.targets.get_mut(&record.id) {
                Some(target) if target.busy > 0 => target.listed = false,
                _ => {
                    self.targets.remove(&record.id);
                }
            }
        }
        for record in listed {
            let known = self.targets.get(&record.id);
            // Another start under the same identity holds nothing of the one before.
            if known.is_some_and(|known| known.born != record.born) {
                self.targets.remove(&record.id);
            }
            self.list_target(record);
        }
        let listed = |target: &StageTarget| target.listed || target.busy > 0;
        self.targets.retain(|_, target| listed(target));
    }

    fn list_target(&mut self, record: &TargetRecord) {
        let targets = self.targets.entry(record.id.clone());
        let target = targets.or_insert_with(|| StageTarget::new(record));
        target.listed = true;
        target.version.clone_from(&record.version);
        target.set_cold(record.cold_ms, Instant::now());
    }

    /// Lets pieces wait, each after those of its rank that came earlier.
    pub(super) fn wait(&mut self, pieces: Vec<Waiting>) {
        if pieces.is_empty() {
            return;
        }
        self.waiting.extend(pieces);
        // Stable: among equals the earlier batch is first.
        self.waiting
            .sort_by_key(|waiting| (waiting.rank, waiting.piece.batch));
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
        let usable = self.usable(now);
        let usable = usable.filter(|(_, target)| !target.wants_nothing(now));
        let (mut targets, mut free) = (0, 0);
        for (_, target) in usable {
            targets += 1;
            free += u32::from(target.is_free(&self.spec, now));
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
        let closed_ms = self.closed_for(now).as_secs_f64() * 1_000.0;
        let wait = wait.max(closed_ms);
        let own = self.spec.call_time_ms(count as usize);
        wait > LEAST_REFUSED_WAIT_MS && wait + own > batch.wanted_ms as f64
    }

    /// Returns how long all targets want nothing from this host.
    fn closed_for(&self, now: Instant) -> Duration {
        let targets = self.targets.values().filter(|one| one.takes_calls());
        let left = targets.map(|target| target.back_off_left(now));
        left.min().unwrap_or_default()
    }

    /// Says whether some target may run pieces in these halls.
    pub(super) fn has_target_in(&self, homes: &HomeHalls) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.takes_calls() && homes.allow(&target.hall))
    }

    pub(super) fn forget_expired(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.results.expire(now);
        }
    }

    /// Says whether some target answers in time, so that suspect ones need not be relied on. One that wants
    /// nothing now does not.
    pub(super) fn has_sound_target(&self, now: Instant) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.takes_calls() && !target.suspect && !target.wants_nothing(now))
    }

    /// Returns the targets that pieces are given to: the sound ones, or all where none is.
    fn usable(&self, now: Instant) -> impl Iterator<Item = (&String, &StageTarget)> {
        let any_sound = self.has_sound_target(now);
        let targets = self.targets.iter();
        targets.filter(move |(_, target)| target.takes_calls() && !(any_sound && target.suspect))
    }

    /// Says whether a piece waits and a target takes a call.
    pub(super) fn may_call(&self, now: Instant) -> bool {
        let mut targets = self.targets.values();
        !self.waiting.is_empty() && targets.any(|one| one.is_free(&self.spec, now))
    }

    /// Returns every call that is due now: trials of suspect targets, then those of waiting pieces.
    pub(super) fn due_calls(&mut self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        if !self.may_call(now) {
            return Vec::new();
        }
        let mut due = self.trial_calls(pool, now);
        due.extend(self.piece_calls(pool, now));
        for call in &mut due {
            self.begin_call(call, now);
        }
        due
    }

    /// Returns a call for each suspect target that has rested, with a copy of the piece that costs it
    /// least; no request depends on it.
    fn trial_calls(&self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        // One that may end its target is at one target at a time.
        let harmless = self.waiting.iter().filter(|one| !one.apart);
        let lightest = harmless.min_by_key(|one| one.result_bytes);
        let Some(waiting) = lightest.filter(|_| self.has_sound_target(now)) else {
            return Vec::new();
        };
        let suspects = self.targets.iter().filter(|(_, target)| {
            target.suspect
                && self.has_turn(target)
                && waiting.homes.allow(&target.hall)
                && target.is_free(&self.spec, now)
                && self.has_room(target, waiting)
        });
        let trial = |(id, target): (&String, &StageTarget)| {
            let mut call = DueCall::new(pool, id, target, now);
            call.trial = true;
            call.push(waiting.clone());
            call
        };
        suspects.map(trial).collect()
    }

    fn begin_call(&mut self, call: &mut DueCall, now: Instant) {
        let time = self.spec.call_time_ms(call.pieces.len());
        call.expected = Duration::from_secs_f64(time / 1_000.0);
        let longest = self.spec.call_time_ms(self.spec.batch as usize);
        let longest = Duration::from_secs_f64(longest / 1_000.0);
        if let Some(target) = self.targets.get_mut(&call.target) {
            call.patience = target.patience(call.expected, longest, now);
            call.handover = target.begin_call(call.expected, &self.spec, now);
            if call.trial {
                target.reserved += call.reserved;
            }
        }
    }

    fn has_room(&self, target: &StageTarget, waiting: &Waiting) -> bool {
        let used = target.used_bytes();
        let after = (used + waiting.result_bytes) as f64 * ROOM_MARGIN;
        used == 0 || after <= self.spec.result_memory_bytes as f64
    }

    /// Gives waiting pieces, in their order, to free targets. One call is filled before another is
    /// begun, so that a target stays free for the next request; a piece whose results are large
    /// goes to its data hall where a target is free there.
    fn piece_calls(&mut self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        let mut open: BTreeMap<String, DueCall> = BTreeMap::new();
        let mut kept = Vec::new();
        let mut kept_by_hall: HashMap<String, usize> = HashMap::new();
        let mut rest = std::mem::take(&mut self.waiting).into_iter();
        for waiting in rest.by_ref() {
            let ahead = waiting
                .hall
                .as_ref()
                .and_then(|hall| kept_by_hall.get(hall));
            let ahead = ahead.copied().unwrap_or(0);
            match self.place(&waiting, &open, ahead, now) {
                Some(id) => self.add_to_call(pool, id, waiting, &mut open, now),
                None => {
                    if let Some(hall) = &waiting.hall {
                        *kept_by_hall.entry(hall.clone()).or_default() += 1;
                    }
                    kept.push(waiting);
                    if !self.has_place(&open, now) {
                        break;
                    }
                }
            }
        }
        // No place is left for any of these.
        kept.extend(rest);
        self.waiting = kept;
        open.into_values().collect()
    }

    /// Says whether a target takes one more piece, whatever room its result needs.
    fn has_place(&self, open: &BTreeMap<String, DueCall>, now: Instant) -> bool {
        self.usable(now).any(|(id, target)| {
            let in_call = open.get(id).map_or(0, |call| call.pieces.len());
            in_call < self.spec.batch as usize
                && (in_call > 0 || self.has_turn(target))
                && target.is_free(&self.spec, now)
        })
    }

    fn place(
        &self,
        waiting: &Waiting,
        open: &BTreeMap<String, DueCall>,
        ahead: usize,
        now: Instant,
    ) -> Option<String> {
        let fits = |id: &str, target: &StageTarget| {
            let in_call = open.get(id).map_or(0, |call| call.pieces.len());
            in_call < self.spec.batch as usize
                && (in_call > 0 || self.has_turn(target))
                && open.get(id).is_none_or(|call| call.takes(waiting))
                && waiting.homes.allow(&target.hall)
                && target.is_free(&self.spec, now)
                && self.has_room(target, waiting)
        };
        let elsewhere = |target: &StageTarget| {
            waiting
                .hall
                .as_ref()
                .is_some_and(|hall| *hall != target.hall)
        };
        let candidates = self.usable(now).filter(|(id, target)| fits(id, target));
        let (id, target) = candidates.min_by_key(|(id, target)| {
            (
                elsewhere(target),
                !open.contains_key(*id),
                target.busy > 0,
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
        let of_hall = self.usable(now).filter(|(_, target)| {
            waiting.hall.as_ref() == Some(&target.hall)
                && !target.rests(now)
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
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.reserved += waiting.result_bytes;
        if let Some(split) = self.split.as_mut().filter(|_| !open.contains_key(&id)) {
            split.note(&target.version);
        }
        let call = open
            .entry(id.clone())
            .or_insert_with(|| DueCall::new(pool, &id, target, now));
        call.push(waiting);
    }
}

#[cfg(test)]
mod tests;
