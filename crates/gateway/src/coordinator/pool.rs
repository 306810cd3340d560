//! One stage pool: its queued pieces and its targets.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_forecast::MIN_REFUSED_WAIT_MS;
use linnet_quarantine::RequestKey;
use linnet_routing::StagePool;

use super::batch::PieceKey;
use super::due_call::DueCall;
use super::pool_overload::PoolOverload;
use super::queue_order::QueueOrder;
use super::stage_target::StageTarget;
use crate::allowed_halls::AllowedHalls;
use crate::piece::{PieceBatch, PoolLoad, StageWork, TargetUsage};
use crate::pool_key::PoolKey;
use crate::rank::Rank;
use crate::version_split::{CallSplit, VersionSplit};

/// Results smaller than this may be stored in any data hall.
pub(crate) const LARGE_RESULT_BYTES: u64 = 256 * 1024;

/// Result sizes are estimates, so this margin is kept free beside them.
const MEMORY_MARGIN: f64 = 1.05;

/// A piece that is queued or in a call.
#[derive(Clone)]
pub(crate) struct QueuedPiece {
    pub(crate) key: PieceKey,
    pub(super) rank: Rank,
    pub(super) order: QueueOrder,
    pub(crate) deadline: Instant,
    /// When the piece has to be done for its request to meet its objective.
    pub(super) objective_at: Instant,
    pub(super) hall: Option<String>,
    pub(super) allowed_halls: AllowedHalls,
    pub(super) result_bytes: u64,
    pub(crate) work: Rc<StageWork>,
    pub(super) failures: u32,
    /// Identifies the request across retries.
    pub(crate) request_key: RequestKey,
    /// Number of targets that crashed while running the piece.
    pub(super) target_crashes: u32,
    /// Whether the piece must not share a call with pieces of other requests, since it may have
    /// crashed a target.
    pub(super) isolated: bool,
}

pub(super) struct PoolQueue {
    pub(super) spec: StagePool,
    pub(super) targets: BTreeMap<String, StageTarget>,
    /// Queued pieces in the order in which they are served.
    pub(super) queue: Vec<QueuedPiece>,
    /// How calls are split between versions during a roll-out.
    pub(super) split: Option<CallSplit>,
    /// Number of times that a target was examined for a queued piece.
    pub(super) examined_targets: Cell<u64>,
    pub(super) overload: PoolOverload,
}

impl PoolQueue {
    pub(super) fn new(spec: StagePool) -> Self {
        Self {
            spec,
            targets: BTreeMap::new(),
            queue: Vec::new(),
            split: None,
            examined_targets: Cell::default(),
            overload: PoolOverload::default(),
        }
    }

    /// Sets how calls are split between versions during a roll-out.
    pub(super) fn set_split(&mut self, split: Option<&VersionSplit>) {
        match (split, &mut self.split) {
            (Some(split), Some(known)) => known.update(split),
            (split, known) => *known = split.cloned().map(CallSplit::new),
        }
    }

    /// Returns whether a target may get a new call during a roll-out: it runs the version that the
    /// split selects next, or no target runs that version.
    pub(super) fn split_allows(&self, target: &StageTarget) -> bool {
        let Some(split) = &self.split else {
            return true;
        };
        let mut accepting = self.targets.values().filter(|one| one.accepts_calls());
        split.allows(&target.version) || !accepting.any(|one| split.allows(&one.version))
    }

    /// Replaces the targets of the pool by those of `records` that belong to `key`.
    pub(super) fn set_targets<'a>(
        &mut self,
        key: &PoolKey,
        records: impl IntoIterator<Item = &'a TargetRecord>,
    ) {
        let in_pool = records.into_iter().filter(|record| key.contains(record));
        let wanted: BTreeMap<&str, &TargetRecord> =
            in_pool.map(|record| (record.id.as_str(), record)).collect();
        // A target that is no longer listed stays, with its results, until its calls have ended.
        self.targets
            .retain(|id, target| wanted.contains_key(id.as_str()) || target.running > 0);
        for (id, target) in &mut self.targets {
            target.listed = wanted.contains_key(id.as_str());
        }
        // A restarted target has none of the results of its previous incarnation.
        let is_same = |id: &String, target: &mut StageTarget| {
            wanted
                .get(id.as_str())
                .is_none_or(|record| record.born == target.born)
        };
        self.targets.retain(is_same);
        for record in wanted.into_values() {
            self.add_or_update_target(record);
        }
    }

    /// Adds or updates the `listed` targets and removes the `unlisted` ones; all others stay.
    pub(super) fn update_targets<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a TargetRecord>,
        unlisted: impl Iterator<Item = &'a TargetRecord>,
    ) {
        for record in unlisted {
            // A target that is no longer listed stays, with its results, until its calls have
            // ended.
            match self.targets.get_mut(&record.id) {
                Some(target) if target.running > 0 => target.listed = false,
                _ => {
                    self.targets.remove(&record.id);
                }
            }
        }
        for record in listed {
            let known = self.targets.get(&record.id);
            // A restarted target has none of the results of its previous incarnation.
            if known.is_some_and(|known| known.born != record.born) {
                self.targets.remove(&record.id);
            }
            self.add_or_update_target(record);
        }
        let listed = |target: &StageTarget| target.listed || target.running > 0;
        self.targets.retain(|_, target| listed(target));
    }

    fn add_or_update_target(&mut self, record: &TargetRecord) {
        let targets = self.targets.entry(record.id.clone());
        let target = targets.or_insert_with(|| StageTarget::new(record));
        target.listed = true;
        target.version.clone_from(&record.version);
        target.set_cold(record.cold_ms, Instant::now());
    }

    /// Queues pieces, each at its place among the pieces of its rank.
    pub(super) fn enqueue(&mut self, pieces: Vec<QueuedPiece>) {
        if pieces.is_empty() {
            return;
        }
        self.queue.extend(pieces);
        // The sort is stable, so pieces of a batch keep their order.
        self.queue.sort_by_key(|piece| (piece.rank, piece.order));
    }

    /// Returns how often a target was examined for a queued piece.
    pub(super) fn examined_targets(&self) -> u64 {
        self.examined_targets.get()
    }

    pub(super) fn has_work(&self) -> bool {
        !self.queue.is_empty() || self.targets.values().any(|target| target.running > 0)
    }

    /// Returns this host's usage of the targets.
    pub(super) fn usage(&self, now: Instant) -> Vec<TargetUsage> {
        let ttl = Duration::from_millis(self.spec.result_ttl_ms);
        let uses = self.targets.iter();
        let uses = uses.map(|(id, target)| target.own_usage(id, ttl, now));
        uses.filter(|one| one.result_bytes > 0 || one.busy_for_ms > 0)
            .collect()
    }

    /// Sets the usage of the targets that another host reported.
    pub(super) fn set_peer_usage(&mut self, peer: &str, uses: &[TargetUsage], now: Instant) {
        for (id, target) in &mut self.targets {
            let reported = uses.iter().find(|one| one.target == *id);
            target.set_peer_usage(peer, reported, now);
        }
    }

    pub(super) fn load(&self, now: Instant) -> PoolLoad {
        let mut waiting: BTreeMap<Rank, u32> = BTreeMap::new();
        for one in &self.queue {
            *waiting.entry(one.rank).or_default() += 1;
        }
        let (mut targets, mut free) = (0, 0);
        for target in self.working_targets(now) {
            targets += 1;
            free += u32::from(target.is_free(&self.spec, now));
        }
        PoolLoad {
            waiting: waiting.into_iter().collect(),
            targets,
            free,
        }
    }

    /// Returns the targets that a forecast counts: the usable ones that are not backed off.
    pub(super) fn working_targets(&self, now: Instant) -> impl Iterator<Item = &StageTarget> {
        let usable = self.usable(now).map(|(_, target)| target);
        usable.filter(move |target| !target.is_backed_off(now))
    }

    /// Returns whether a new batch would complete too late for its request to meet the objective.
    /// Batches of later stages are not refused: the work already done for their request would be
    /// wasted.
    pub(super) fn would_miss_objective(&self, batch: &PieceBatch, now: Instant) -> bool {
        if !batch.first_stage {
            return false;
        }
        let count = batch.piece_count.min(self.spec.batch);
        let load = self.load(now);
        let wait = self.expected_wait_ms(&load, batch.rank, batch.piece_count, now);
        let back_off_ms = self.shortest_back_off(now).as_secs_f64() * 1_000.0;
        let wait = wait.max(back_off_ms);
        let call_ms = self.spec.call_time_ms(count as usize);
        wait > MIN_REFUSED_WAIT_MS && wait + call_ms > batch.objective_ms as f64
    }

    /// Returns the time until the first target accepts calls of this host; zero if one does now or
    /// there is no target.
    fn shortest_back_off(&self, now: Instant) -> Duration {
        let targets = self.targets.values().filter(|one| one.accepts_calls());
        let left = targets.map(|target| target.remaining_back_off(now));
        left.min().unwrap_or_default()
    }

    /// Returns whether some target in the allowed data halls accepts calls.
    pub(super) fn has_target_in(&self, allowed_halls: &AllowedHalls) -> bool {
        let mut targets = self.targets.values();
        targets.any(|target| target.accepts_calls() && allowed_halls.allows(&target.hall))
    }

    pub(super) fn expire_results(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.results.expire(now);
        }
    }

    /// Returns whether a healthy target accepts calls, so that no unhealthy one is needed. A target
    /// that is backed off does not count.
    pub(super) fn has_healthy_target(&self, now: Instant) -> bool {
        let mut targets = self.targets.values();
        targets
            .any(|target| target.accepts_calls() && !target.unhealthy && !target.is_backed_off(now))
    }

    /// Returns the targets that pieces are assigned to: the healthy ones, or all if none is
    /// healthy.
    pub(super) fn usable(&self, now: Instant) -> impl Iterator<Item = (&String, &StageTarget)> {
        let any_healthy = self.has_healthy_target(now);
        let targets = self.targets.iter();
        targets
            .filter(move |(_, target)| target.accepts_calls() && !(any_healthy && target.unhealthy))
    }

    /// Returns whether a target is free and has memory for the smallest result of a queued piece.
    pub(super) fn can_call(&self, now: Instant) -> bool {
        let Some(bytes) = self.smallest_result() else {
            return false;
        };
        let mut targets = self.targets.values();
        targets.any(|one| one.is_free(&self.spec, now) && self.has_memory(one, bytes))
    }

    /// Returns the size of the smallest result of a queued piece.
    pub(super) fn smallest_result(&self) -> Option<u64> {
        self.queue.iter().map(|piece| piece.result_bytes).min()
    }

    /// Returns every call that can be sent now: trials of unhealthy targets, then calls with queued
    /// pieces.
    pub(super) fn due_calls(&mut self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        if !self.can_call(now) {
            return Vec::new();
        }
        let mut due = self.trial_calls(pool, now);
        due.extend(self.assign_pieces(pool, now));
        for call in &mut due {
            self.begin_call(call, now);
        }
        due
    }

    /// Returns a trial call for each unhealthy target whose cooldown is over, with a copy of the
    /// piece that has the smallest result; no request depends on the copy.
    fn trial_calls(&self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        // A piece that may crash its target runs at one target at a time.
        let shared = self.queue.iter().filter(|one| !one.isolated);
        let smallest = shared.min_by_key(|one| one.result_bytes);
        let Some(piece) = smallest.filter(|_| self.has_healthy_target(now)) else {
            return Vec::new();
        };
        let unhealthy = self.targets.iter().filter(|(_, target)| {
            target.unhealthy
                && self.split_allows(target)
                && piece.allowed_halls.allows(&target.hall)
                && target.is_free(&self.spec, now)
                && self.has_memory(target, piece.result_bytes)
        });
        let trial = |(id, target): (&String, &StageTarget)| {
            let mut call = DueCall::new(pool, id, target, now);
            call.trial = true;
            call.push(piece.clone());
            call
        };
        unhealthy.map(trial).collect()
    }

    fn begin_call(&mut self, call: &mut DueCall, now: Instant) {
        let time = self.spec.call_time_ms(call.pieces.len());
        call.expected = Duration::from_secs_f64(time / 1_000.0);
        let longest = self.spec.call_time_ms(self.spec.batch as usize);
        let longest = Duration::from_secs_f64(longest / 1_000.0);
        if let Some(target) = self.targets.get_mut(&call.target) {
            call.late_after = target.late_after(call.expected, longest, now);
            call.next_call_after = target.begin_call(call.expected, &self.spec, now);
            if call.trial {
                target.reserved_bytes += call.reserved_bytes;
            }
        }
    }

    pub(super) fn has_memory(&self, target: &StageTarget, result_bytes: u64) -> bool {
        let used = target.used_bytes();
        let after = (used + result_bytes) as f64 * MEMORY_MARGIN;
        used == 0 || after <= self.spec.result_memory_bytes as f64
    }
}

#[cfg(test)]
mod tests;
