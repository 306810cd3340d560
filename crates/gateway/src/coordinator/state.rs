//! The state of a coordinator: its pools, open batches and expected pieces.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::batch::{BatchKey, BatchReply, CopyEffect, OpenBatches, PieceKey, PieceOutcome};
use super::due_call::DueCall;
use super::pool::{PoolQueue, QueuedPiece};
use super::queue_order::QueueOrder;
use super::queue_return::ReturnRule;
use super::result_memory::MemoryKey;
use super::stage_target::{CallVerdict, StageTarget};
use crate::OverloadPolicy;
use crate::allowed_halls::AllowedHalls;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, target_address_of};
use crate::pool_key::PoolKey;
use crate::rank::Rank;
use crate::reported_load::ReportedLoad;
use crate::stage_call::{CallOutcome, StageRelease};
use crate::target_restriction::TargetAvailability;
use crate::version_split::VersionSplit;

/// Number of failed calls after which a piece counts as failed.
const MAX_FAILURES: u32 = 3;

/// Number of targets that may crash while running a piece. After that, the decision is made for the
/// request as a whole, on the evidence of all hosts.
const MAX_TARGET_CRASHES: u32 = 2;

/// Number of late calls in a row after which a target counts as slow, with `confirm_slow_targets`. On
/// a link that loses packets a retransmission delays single calls by 200 ms and more, at all targets
/// alike: in a lossy hall up to 10 of 18 healthy targets of a pool were out of use.
const CONFIRMING_LATE_CALLS: u32 = 2;

/// Identifies expected pieces at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExpectationKey(u64);

fn late_call_limit(policy: OverloadPolicy) -> u32 {
    match policy.confirm_slow_targets {
        true => CONFIRMING_LATE_CALLS,
        false => 1,
    }
}

/// Returns the verdict on a target that follows from the outcome of a call; `None` if the outcome
/// says nothing about the target.
fn verdict_of(end: &CallOutcome, late: bool) -> Option<CallVerdict> {
    match end {
        CallOutcome::Responded(..) if late => Some(CallVerdict::Late),
        CallOutcome::Responded(..) => Some(CallVerdict::InTime),
        CallOutcome::Busy => Some(CallVerdict::Busy),
        CallOutcome::OtherTarget => Some(CallVerdict::OtherTarget),
        CallOutcome::Failed(_)
        | CallOutcome::ConnectionBroken(_)
        | CallOutcome::TargetCrashed(_) => Some(CallVerdict::Failed),
        CallOutcome::SenderLost => None,
    }
}

/// Returns the load that the target reported with its response.
fn load_of(end: &CallOutcome) -> Option<ReportedLoad> {
    match end {
        CallOutcome::Responded(_, load) => *load,
        _ => None,
    }
}

fn reports_no_room(end: &CallOutcome) -> bool {
    match end {
        CallOutcome::Responded(outcomes, _) => outcomes.contains(&Err(PieceFault::OutOfMemory)),
        _ => false,
    }
}

/// Returns one outcome for each of the `pieces` pieces of a call.
fn outcomes_of(end: CallOutcome, pieces: usize) -> Vec<PieceOutcome> {
    match end {
        CallOutcome::Responded(outcomes, _) => outcomes,
        CallOutcome::Busy | CallOutcome::OtherTarget => vec![Err(PieceFault::CallRejected); pieces],
        CallOutcome::Failed(_) | CallOutcome::SenderLost => {
            vec![Err(PieceFault::Failed); pieces]
        }
        // It is not known yet whether a target that broke the connection has crashed.
        CallOutcome::TargetCrashed(_) | CallOutcome::ConnectionBroken(_) => {
            vec![Err(PieceFault::TargetsCrashed); pieces]
        }
    }
}

#[derive(Default)]
pub(super) struct QueueState {
    pub(super) specs: HashMap<String, StagePool>,
    pub(super) pools: HashMap<PoolKey, PoolQueue>,
    pub(super) batches: OpenBatches,
    expected: BTreeMap<ExpectationKey, ExpectedPieces>,
    /// Sums of expected pieces, by pool and rank.
    expected_by_pool: HashMap<PoolKey, BTreeMap<Rank, u32>>,
    last_expected: u64,
    last_lost: u64,
    /// The targets that accept work, by identity.
    records: HashMap<String, TargetRecord>,
    /// The services with a roll-out in progress.
    pub(super) splits: HashMap<String, VersionSplit>,
    overload: OverloadPolicy,
}

/// What has to be done after a call has ended.
#[derive(Default)]
pub(super) struct CallEffects {
    /// Time for which the target of the call gets no further calls.
    pub(super) cooldown: Option<Duration>,
    /// A target with more memory in use than this host knows of.
    pub(super) full_target: Option<(String, SocketAddr)>,
    /// Results that no batch needs any more.
    pub(super) unneeded: Vec<String>,
    /// Complete batches with their outcomes.
    pub(super) replies: Vec<(BatchReply, Vec<PieceOutcome>)>,
}

fn is_retryable(outcome: &PieceOutcome) -> bool {
    matches!(
        outcome,
        Err(PieceFault::Failed
            | PieceFault::OutOfMemory
            | PieceFault::CallRejected
            | PieceFault::TargetsCrashed)
    )
}

/// Records the memory that the results of a call take at its target. A call that failed may have
/// run nevertheless: its results take memory until they expire, and their handles are unknown.
fn record_results(
    target: &mut StageTarget,
    call: &DueCall,
    end: &CallOutcome,
    lost: MemoryKey,
    until: Instant,
) {
    match end {
        CallOutcome::Responded(outcomes, _) => {
            for (piece, outcome) in call.pieces.iter().zip(outcomes) {
                if let Ok(handle) = outcome {
                    let key = MemoryKey::Result(handle.clone());
                    target.results.insert(key, piece.result_bytes, until);
                }
            }
        }
        CallOutcome::Failed(_) | CallOutcome::ConnectionBroken(_) | CallOutcome::SenderLost => {
            target.results.insert(lost, call.reserved_bytes, until);
        }
        CallOutcome::Busy | CallOutcome::OtherTarget | CallOutcome::TargetCrashed(_) => {}
    }
}

impl QueueState {
    pub(super) fn new(overload: OverloadPolicy) -> Self {
        Self {
            overload,
            ..Self::default()
        }
    }

    /// Sets the overload policy of all pools, if it has changed.
    pub(super) fn set_overload(&mut self, policy: OverloadPolicy) {
        if policy == self.overload {
            return;
        }
        self.overload = policy;
        for pool in self.pools.values_mut() {
            pool.set_overload(policy);
        }
    }

    /// Counts pieces that an admitted request will submit later.
    pub(super) fn expect_pieces(&mut self, expected: ExpectedPieces) -> ExpectationKey {
        self.last_expected += 1;
        let key = ExpectationKey(self.last_expected);
        let ranks = self
            .expected_by_pool
            .entry(expected.pool.clone())
            .or_default();
        *ranks.entry(expected.rank).or_default() += expected.pieces;
        self.expected.insert(key, expected);
        key
    }

    /// Ends an expectation that [`QueueState::expect_pieces`] returned.
    pub(super) fn end_expected(&mut self, key: ExpectationKey) {
        let Some(expected) = self.expected.remove(&key) else {
            return;
        };
        let ranks = self.expected_by_pool.get_mut(&expected.pool);
        if let Some(sum) = ranks.and_then(|ranks| ranks.get_mut(&expected.rank)) {
            *sum -= expected.pieces;
        }
    }

    /// Returns the load of a pool, including the pieces that are expected there.
    pub(super) fn load(&self, key: &PoolKey, pool: &PoolQueue, now: Instant) -> PoolLoad {
        let mut load = pool.load(now);
        let mut waiting: BTreeMap<Rank, u32> = load.waiting.iter().copied().collect();
        let expected = self.expected_by_pool.get(key).into_iter().flatten();
        for (rank, pieces) in expected.filter(|(_, pieces)| **pieces > 0) {
            *waiting.entry(*rank).or_default() += pieces;
        }
        load.waiting = waiting.into_iter().collect();
        load
    }

    /// Replaces the list of targets that accept work.
    pub(super) fn set_targets(&mut self, records: &[TargetRecord]) {
        let by_id = records.iter().map(|one| (one.id.clone(), one.clone()));
        self.records = by_id.collect();
        for (key, pool) in &mut self.pools {
            pool.set_targets(key, self.records.values());
        }
    }

    /// Adds or updates the `listed` targets and removes the `unlisted` ones.
    pub(super) fn update_targets(&mut self, listed: &[TargetRecord], unlisted: &[TargetRecord]) {
        for record in unlisted {
            self.records.remove(&record.id);
        }
        for record in listed {
            self.records.insert(record.id.clone(), record.clone());
        }
        for (key, pool) in &mut self.pools {
            let belongs = |record: &&TargetRecord| key.contains(record);
            let mut changed = listed.iter().chain(unlisted);
            if changed.any(|record| key.contains(record)) {
                let removed = unlisted.iter().filter(belongs);
                pool.update_targets(listed.iter().filter(belongs), removed);
            }
        }
    }

    /// Returns how often a target was examined for a queued piece, in all pools.
    pub(super) fn examined_targets(&self) -> u64 {
        self.pools.values().map(PoolQueue::examined_targets).sum()
    }

    /// Returns a pool, which is created on first use.
    pub(super) fn pool_mut(&mut self, key: &PoolKey) -> Option<&mut PoolQueue> {
        if !self.pools.contains_key(key) {
            let spec = self.specs.get(&key.service)?.clone();
            let mut pool = PoolQueue::new(spec);
            pool.set_overload(self.overload);
            pool.set_targets(key, self.records.values());
            pool.set_split(self.splits.get(&key.service));
            self.pools.insert(key.clone(), pool);
        }
        self.pools.get_mut(key)
    }

    pub(super) fn enqueue(
        &mut self,
        batch: PieceBatch,
        rule: ReturnRule,
        reply: BatchReply,
        now: Instant,
    ) -> BatchKey {
        let count = batch.piece_count as usize;
        let key = self.batches.add(batch.pool.clone(), count, reply);
        if rule == ReturnRule::Allowed {
            self.batches.allow_return(key);
        }
        let deadline = now + Duration::from_millis(batch.remaining_ms);
        let objective_at = now + Duration::from_millis(batch.objective_ms);
        let Some(pool) = self.pools.get_mut(&batch.pool) else {
            return key;
        };
        pool.record_arrival(batch.rank, batch.piece_count, now);
        let order = QueueOrder::among(&pool.queue, key, batch.rank, deadline, rule);
        let work = Rc::new(batch.work);
        let allowed_halls = AllowedHalls::from_names(batch.allowed_halls);
        let pieces = (0..batch.piece_count as usize).map(|index| QueuedPiece {
            key: PieceKey { batch: key, index },
            rank: batch.rank,
            order,
            deadline,
            objective_at,
            hall: batch.preferred_hall.clone(),
            allowed_halls: allowed_halls.clone(),
            result_bytes: batch.result_bytes,
            work: work.clone(),
            failures: 0,
            request_key: batch.request_key,
            target_crashes: 0,
            isolated: batch.isolated,
        });
        pool.enqueue(pieces.collect());
        key
    }

    pub(super) fn due_calls(&mut self, key: &PoolKey, now: Instant) -> Vec<DueCall> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
        pool.expire_results(now);
        // In a burst most dispatches find no free target, or none with free memory; the queue is
        // not walked for those.
        if !pool.can_call(now) {
            pool.record_queue(now);
            return Vec::new();
        }
        let batches = &mut self.batches;
        pool.queue
            .retain(|piece| batches.pending_copies(piece.key).is_some());
        pool.move_overdue_back(now);
        let due = pool.due_calls(key, now);
        pool.record_queue(now);
        for piece in due.iter().flat_map(|call| &call.pieces) {
            batches.record_sent(piece.key.batch);
        }
        let trials = due.iter().filter(|call| call.trial);
        for piece in trials.flat_map(|call| &call.pieces) {
            batches.add_copy(piece.key);
        }
        due
    }

    /// Removes results from the accounts of their targets. Returns the releases to send, each with
    /// the data hall of its target.
    pub(super) fn remove_results(
        &mut self,
        service: &str,
        handles: Vec<String>,
        bytes: u64,
        now: Instant,
    ) -> Vec<(StageRelease, String)> {
        let mut releases: Vec<(StageRelease, String)> = Vec::new();
        let pools = self.pools.iter_mut();
        let pools = pools.filter(|(key, _)| key.service == service);
        let mut targets: Vec<(&String, &mut StageTarget)> = pools
            .flat_map(|(_, pool)| pool.targets.iter_mut())
            .collect();
        for handle in handles {
            let owner: Option<SocketAddr> = target_address_of(&handle).parse().ok();
            let owner = targets
                .iter_mut()
                .find(|(_, one)| Some(one.address) == owner);
            let Some((id, target)) = owner else {
                continue;
            };
            // A target that is backed off is not notified, so the result occupies memory until it
            // expires.
            if target.is_backed_off(now) {
                continue;
            }
            if !target.results.remove(&MemoryKey::Result(handle.clone())) {
                target.results.subtract_from_peer(bytes);
            }
            let known = releases
                .iter_mut()
                .find(|(one, _)| one.address == target.address);
            if let Some((release, _)) = known {
                release.handles.push(handle);
                continue;
            }
            let release = StageRelease {
                target: (*id).clone(),
                address: target.address,
                handles: vec![handle],
            };
            releases.push((release, target.hall.clone()));
        }
        releases
    }

    /// Queues the pieces of a late call again, for other targets, while the call continues until
    /// `until`. If there is no healthy target, the pieces are not queued again, since that would
    /// only lengthen the queue.
    pub(super) fn requeue_late_call(&mut self, call: &DueCall, until: Instant, now: Instant) {
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return;
        };
        if let Some(target) = pool.targets.get_mut(&call.target) {
            target.mark_late(until);
        }
        if !pool.has_healthy_target(now) {
            return;
        }
        // A piece that may crash its target runs at one target at a time.
        let is_single_copy = |piece: &&QueuedPiece| {
            !piece.isolated && self.batches.pending_copies(piece.key) == Some(1)
        };
        let copies = call.pieces.iter().filter(is_single_copy);
        let copies: Vec<QueuedPiece> = copies.cloned().collect();
        for copy in &copies {
            self.batches.add_copy(copy.key);
        }
        pool.enqueue(copies);
    }

    /// Applies the availability of the target of a call for requests of this host.
    pub(super) fn set_standing(
        &mut self,
        call: &DueCall,
        standing: TargetAvailability,
        now: Instant,
    ) {
        let pool = self.pools.get_mut(&call.pool);
        let target = pool.and_then(|pool| pool.targets.get_mut(&call.target));
        if let Some(target) = target.filter(|target| target.born == call.born) {
            target.set_standing(standing, now);
        }
    }

    pub(super) fn finish_call(
        &mut self,
        call: DueCall,
        end: CallOutcome,
        late: bool,
        now: Instant,
    ) -> CallEffects {
        let mut effects = CallEffects::default();
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return effects;
        };
        let no_room = reports_no_room(&end);
        pool.record_call(&call, &end, now);
        if let Some(target) = pool.targets.get_mut(&call.target) {
            // A call that waited behind calls of another coordinator says nothing about the speed of
            // its target. After a restart of all hosts such calls left 7 of 19 targets in use.
            let waited = self.overload.ordered_succession && target.serves_peers(load_of(&end));
            let late_calls = target.count_late(late && !waited);
            let verdict = verdict_of(&end, late_calls >= late_call_limit(self.overload));
            effects.cooldown = target.end_call(verdict, call.reserved_bytes, now);
            let left = target.remaining_back_off(now);
            effects.cooldown = effects.cooldown.max((!left.is_zero()).then_some(left));
            let until = now + Duration::from_millis(pool.spec.result_ttl_ms);
            self.last_lost += 1;
            if let CallOutcome::Responded(_, load) = &end {
                // The duration of a call that waited at its target does not show the target's speed.
                let has_waited = call.overlapping || (late && waited);
                if !has_waited {
                    target.update_time_ratio(
                        call.expected,
                        now.saturating_duration_since(call.started),
                    );
                }
                target.record_load(*load, now);
            }
            record_results(target, &call, &end, MemoryKey::Lost(self.last_lost), until);
            if no_room {
                let room = pool.spec.result_memory_bytes;
                target.set_unreported(room.saturating_sub(target.used_bytes()), now);
                effects.full_target = Some((call.target.clone(), target.address));
            }
        }
        let outcomes = outcomes_of(end, call.pieces.len());
        let mut retries = Vec::new();
        for (mut piece, outcome) in call.pieces.into_iter().zip(outcomes) {
            if outcome == Err(PieceFault::TargetsCrashed) {
                piece.target_crashes += 1;
                piece.isolated = true;
            }
            let is_last_copy = self.batches.pending_copies(piece.key) == Some(1);
            let exhausted =
                piece.failures + 1 >= MAX_FAILURES || piece.target_crashes >= MAX_TARGET_CRASHES;
            if is_last_copy && is_retryable(&outcome) && !exhausted && piece.deadline > now {
                piece.failures += u32::from(outcome == Err(PieceFault::Failed));
                retries.push(piece);
                continue;
            }
            match self.batches.record_outcome(piece.key, outcome) {
                CopyEffect::Pending => {}
                CopyEffect::Unneeded(handle) => effects.unneeded.push(handle),
                CopyEffect::Complete(reply, outcomes) => effects.replies.push((reply, outcomes)),
            }
        }
        pool.enqueue(retries);
        effects
    }

    /// Applies the free memory that a target reported. Memory that is neither free nor known to
    /// this host holds results of other hosts.
    pub(super) fn apply_free_bytes(&mut self, key: &PoolKey, address: SocketAddr, free: u64) {
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        let room = pool.spec.result_memory_bytes;
        let mut targets = pool.targets.values_mut();
        if let Some(target) = targets.find(|target| target.address == address) {
            target.results.remove(&MemoryKey::Unreported);
            let known = target.used_bytes();
            target.set_unreported(room.saturating_sub(free + known), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
