//! What a coordinator knows: its pools, the batches that are open, and what is expected.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::batch::{BatchBook, BatchKey, BatchReply, CopyEnd, PieceKey, PieceOutcome};
use super::due_call::DueCall;
use super::held::HeldKey;
use super::pool::{PoolQueue, Waiting};
use super::stage_target::{CallVerdict, StageTarget};
use crate::ask::Rank;
use crate::home_halls::HomeHalls;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, maker_of};
use crate::pool_key::PoolKey;
use crate::stage_call::{CallEnd, StageRelease};
use crate::target_restriction::TargetAvailability;
use crate::version_split::VersionSplit;

/// How often a piece is given to a target before it counts as failed.
const MAX_TRIES: u32 = 3;

/// Targets that may end while they work on a piece. What comes of it after that is decided for the whole
/// request, by what all hosts know of it.
const MAX_ENDS: u32 = 2;

/// Names pieces that are expected at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExpectKey(u64);

/// Returns what a call that ended so says of its target; nothing where it says nothing.
fn verdict_of(end: &CallEnd, late: bool) -> Option<CallVerdict> {
    match end {
        CallEnd::Answered(..) if late => Some(CallVerdict::Late),
        CallEnd::Answered(..) => Some(CallVerdict::InTime),
        CallEnd::Busy => Some(CallVerdict::Busy),
        CallEnd::OtherTarget => Some(CallVerdict::OtherTarget),
        CallEnd::Failed(_) | CallEnd::Broke(_) | CallEnd::Ended(_) => Some(CallVerdict::Failed),
        CallEnd::SenderLost => None,
    }
}

fn says_no_room(end: &CallEnd) -> bool {
    match end {
        CallEnd::Answered(outcomes, _) => outcomes.contains(&Err(PieceFault::NoRoom)),
        _ => false,
    }
}

/// Returns an outcome for each of so many pieces of a call.
fn outcomes_of(end: CallEnd, pieces: usize) -> Vec<PieceOutcome> {
    match end {
        CallEnd::Answered(outcomes, _) => outcomes,
        CallEnd::Busy | CallEnd::OtherTarget => vec![Err(PieceFault::NotTaken); pieces],
        CallEnd::Failed(_) | CallEnd::Broke(_) | CallEnd::SenderLost => {
            vec![Err(PieceFault::Failed); pieces]
        }
        CallEnd::Ended(_) => vec![Err(PieceFault::TargetsEnded); pieces],
    }
}

#[derive(Default)]
pub(super) struct QueueState {
    pub(super) specs: HashMap<String, StagePool>,
    pub(super) pools: HashMap<PoolKey, PoolQueue>,
    pub(super) batches: BatchBook,
    expected: BTreeMap<ExpectKey, ExpectedPieces>,
    /// Sums of what is expected, by pool and rank.
    expected_sums: HashMap<PoolKey, BTreeMap<Rank, u32>>,
    last_expected: u64,
    last_lost: u64,
    /// The targets that take work, by identity.
    records: HashMap<String, TargetRecord>,
    /// The services of which a version is rolled out.
    pub(super) splits: HashMap<String, VersionSplit>,
}

/// What is due after a call has ended.
#[derive(Default)]
pub(super) struct Finished {
    /// How long its target rests.
    pub(super) rest: Option<Duration>,
    /// A target whose memory holds more than this host knows.
    pub(super) unsure: Option<(String, SocketAddr)>,
    /// Results that nobody waits for any more.
    pub(super) unclaimed: Vec<String>,
    /// Batches that are complete.
    pub(super) replies: Vec<(BatchReply, Vec<PieceOutcome>)>,
}

fn may_pay(outcome: &PieceOutcome) -> bool {
    matches!(
        outcome,
        Err(PieceFault::Failed
            | PieceFault::NoRoom
            | PieceFault::NotTaken
            | PieceFault::TargetsEnded)
    )
}

/// Notes the memory that the results of a call take at its target. A call that failed may have run all
/// the same: its results take their memory until they expire, and nobody knows their handles.
fn note_results(
    target: &mut StageTarget,
    call: &DueCall,
    end: &CallEnd,
    lost: HeldKey,
    until: Instant,
) {
    match end {
        CallEnd::Answered(outcomes, _) => {
            for (waiting, outcome) in call.pieces.iter().zip(outcomes) {
                if let Ok(handle) = outcome {
                    let key = HeldKey::Result(handle.clone());
                    target.results.insert(key, waiting.result_bytes, until);
                }
            }
        }
        CallEnd::Failed(_) | CallEnd::Broke(_) | CallEnd::SenderLost => {
            target.results.insert(lost, call.reserved, until);
        }
        CallEnd::Busy | CallEnd::OtherTarget | CallEnd::Ended(_) => {}
    }
}

impl QueueState {
    /// Counts pieces that will come.
    pub(super) fn expect(&mut self, expected: ExpectedPieces) -> ExpectKey {
        self.last_expected += 1;
        let key = ExpectKey(self.last_expected);
        let ranks = self.expected_sums.entry(expected.pool.clone()).or_default();
        *ranks.entry(expected.rank).or_default() += expected.pieces;
        self.expected.insert(key, expected);
        key
    }

    /// Ends what [`QueueState::expect`] began.
    pub(super) fn end_expected(&mut self, key: ExpectKey) {
        let Some(expected) = self.expected.remove(&key) else {
            return;
        };
        let ranks = self.expected_sums.get_mut(&expected.pool);
        if let Some(sum) = ranks.and_then(|ranks| ranks.get_mut(&expected.rank)) {
            *sum -= expected.pieces;
        }
    }

    /// Returns the load of a pool, with the pieces that are expected there.
    pub(super) fn load(&self, key: &PoolKey, pool: &PoolQueue, now: Instant) -> PoolLoad {
        let mut load = pool.load(now);
        let mut waiting: BTreeMap<Rank, u32> = load.waiting.iter().copied().collect();
        let coming = self.expected_sums.get(key).into_iter().flatten();
        for (rank, pieces) in coming.filter(|(_, pieces)| **pieces > 0) {
            *waiting.entry(*rank).or_default() += pieces;
        }
        load.waiting = waiting.into_iter().collect();
        load
    }

    /// Takes all targets that take work.
    pub(super) fn set_targets(&mut self, records: &[TargetRecord]) {
        let by_id = records.iter().map(|one| (one.id.clone(), one.clone()));
        self.records = by_id.collect();
        for (key, pool) in &mut self.pools {
            pool.set_targets(key, self.records.values());
        }
    }

    /// Takes targets that have come or changed, and those that get no more work.
    pub(super) fn update_targets(&mut self, listed: &[TargetRecord], unlisted: &[TargetRecord]) {
        for record in unlisted {
            self.records.remove(&record.id);
        }
        for record in listed {
            self.records.insert(record.id.clone(), record.clone());
        }
        for (key, pool) in &mut self.pools {
            let concerns = |record: &&TargetRecord| key.holds(record);
            let mut changed = listed.iter().chain(unlisted);
            if changed.any(|record| key.holds(record)) {
                let gone = unlisted.iter().filter(concerns);
                pool.update_targets(listed.iter().filter(concerns), gone);
            }
        }
    }

    /// Returns a pool, which begins when it is first asked for.
    pub(super) fn pool_mut(&mut self, key: &PoolKey) -> Option<&mut PoolQueue> {
        if !self.pools.contains_key(key) {
            let spec = self.specs.get(&key.service)?.clone();
            let mut pool = PoolQueue::new(spec);
            pool.set_targets(key, self.records.values());
            pool.set_split(self.splits.get(&key.service));
            self.pools.insert(key.clone(), pool);
        }
        self.pools.get_mut(key)
    }

    pub(super) fn enqueue(
        &mut self,
        batch: PieceBatch,
        reply: BatchReply,
        now: Instant,
    ) -> BatchKey {
        let key = self.batches.begin(batch.count as usize, reply);
        let deadline = now + Duration::from_millis(batch.remaining_ms);
        let wanted = now + Duration::from_millis(batch.wanted_ms);
        let Some(pool) = self.pools.get_mut(&batch.pool) else {
            return key;
        };
        let work = Rc::new(batch.work);
        let homes = HomeHalls::told(batch.homes);
        let pieces = (0..batch.count as usize).map(|place| Waiting {
            piece: PieceKey { batch: key, place },
            rank: batch.rank,
            deadline,
            wanted,
            hall: batch.hall.clone(),
            homes: homes.clone(),
            result_bytes: batch.result_bytes,
            work: work.clone(),
            tries: 0,
            key: batch.key,
            ends: 0,
            apart: batch.apart,
        });
        pool.wait(pieces.collect());
        key
    }

    pub(super) fn due_calls(&mut self, key: &PoolKey, now: Instant) -> Vec<DueCall> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
        // Most of what asks for calls in a burst finds none free; the queue is not walked then.
        if !pool.may_call(now) {
            return Vec::new();
        }
        pool.forget_expired(now);
        let batches = &mut self.batches;
        pool.waiting
            .retain(|waiting| batches.copies_of(waiting.piece).is_some());
        let due = pool.due_calls(key, now);
        let trials = due.iter().filter(|call| call.trial);
        for waiting in trials.flat_map(|call| &call.pieces) {
            batches.add_copy(waiting.piece);
        }
        due
    }

    /// Takes results off their targets, and returns what the targets are to be told, each with its
    /// hall.
    pub(super) fn take_results(
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
            let maker: Option<SocketAddr> = maker_of(&handle).parse().ok();
            let maker = targets
                .iter_mut()
                .find(|(_, one)| Some(one.address) == maker);
            let Some((id, target)) = maker else {
                continue;
            };
            // It would not be told, so the result keeps its room until it expires.
            if target.wants_nothing(now) {
                continue;
            }
            if !target.results.remove(&HeldKey::Result(handle.clone())) {
                target.results.take_off_told(bytes);
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

    /// Puts the pieces of a call that is late into the queue once more, for other targets, while the call
    /// goes on until `until`. Where no other target answers in time either, that would only add to
    /// what waits.
    pub(super) fn note_late(&mut self, call: &DueCall, until: Instant, now: Instant) {
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return;
        };
        if let Some(target) = pool.targets.get_mut(&call.target) {
            target.note_late(until);
        }
        if !pool.has_sound_target(now) {
            return;
        }
        // One that may end its target is at one target at a time.
        let lone =
            |waiting: &&Waiting| !waiting.apart && self.batches.copies_of(waiting.piece) == Some(1);
        let copies = call.pieces.iter().filter(lone);
        let copies: Vec<Waiting> = copies.cloned().collect();
        for copy in &copies {
            self.batches.add_copy(copy.piece);
        }
        pool.wait(copies);
    }

    /// Takes what the target of a call has asked of this host.
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
        end: CallEnd,
        late: bool,
        now: Instant,
    ) -> Finished {
        let mut finished = Finished::default();
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return finished;
        };
        let full = says_no_room(&end);
        if let Some(target) = pool.targets.get_mut(&call.target) {
            finished.rest = target.end_call(verdict_of(&end, late), call.reserved, now);
            let left = target.back_off_left(now);
            finished.rest = finished.rest.max((!left.is_zero()).then_some(left));
            let until = now + Duration::from_millis(pool.spec.result_ttl_ms);
            self.last_lost += 1;
            if let CallEnd::Answered(_, load) = &end {
                // One that was sent ahead waited at its target, which says nothing of its pace.
                if !call.ahead {
                    target.learn_pace(call.expected, now.saturating_duration_since(call.began));
                }
                target.note_load(*load, now);
            }
            note_results(target, &call, &end, HeldKey::Lost(self.last_lost), until);
            if full {
                let room = pool.spec.result_memory_bytes;
                target.set_others(room.saturating_sub(target.used_bytes()), now);
                finished.unsure = Some((call.target.clone(), target.address));
            }
        }
        let outcomes = outcomes_of(end, call.pieces.len());
        let mut again = Vec::new();
        for (mut waiting, outcome) in call.pieces.into_iter().zip(outcomes) {
            if outcome == Err(PieceFault::TargetsEnded) {
                waiting.ends += 1;
                waiting.apart = true;
            }
            let alone = self.batches.copies_of(waiting.piece) == Some(1);
            let tried = waiting.tries + 1 >= MAX_TRIES || waiting.ends >= MAX_ENDS;
            if alone && may_pay(&outcome) && !tried && waiting.deadline > now {
                waiting.tries += u32::from(outcome == Err(PieceFault::Failed));
                again.push(waiting);
                continue;
            }
            match self.batches.end_copy(waiting.piece, outcome) {
                CopyEnd::Noted => {}
                CopyEnd::Unclaimed(handle) => finished.unclaimed.push(handle),
                CopyEnd::Complete(reply, outcomes) => finished.replies.push((reply, outcomes)),
            }
        }
        pool.wait(again);
        finished
    }

    /// Takes what a target reported to have free; the rest that this host does not know of is held
    /// by results that others had made.
    pub(super) fn take_free_bytes(&mut self, key: &PoolKey, address: SocketAddr, free: u64) {
        let Some(pool) = self.pools.get_mut(key) else {
            return;
        };
        let room = pool.spec.result_memory_bytes;
        let mut targets = pool.targets.values_mut();
        if let Some(target) = targets.find(|target| target.address == address) {
            target.results.remove(&HeldKey::Others);
            let known = target.used_bytes();
            target.set_others(room.saturating_sub(free + known), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
