//! What a coordinator knows: its pools, the batches that are open, and what is expected.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::batch::{BatchBook, BatchKey, BatchReply, CopyEnd, PieceKey, PieceOutcome};
use super::held::HeldKey;
use super::pool::{DueCall, PoolQueue, Waiting};
use super::stage_target::{CallVerdict, StageTarget};
use crate::ask::Rank;
use crate::graph::maker_of;
use crate::load::ReportedLoad;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad};
use crate::pool_key::PoolKey;

/// How often a piece is given to a target before it counts as failed.
const MAX_TRIES: u32 = 3;

/// Names pieces that are expected at a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ExpectKey(u64);

/// How a call ended as a whole.
pub(crate) enum CallEnd {
    /// An outcome for each piece, and the load that the target told with it.
    Answered(Vec<PieceOutcome>, Option<ReportedLoad>),
    /// The target did not run it and is busy.
    Busy,
    /// Another start of a target is at the address.
    OtherTarget,
    /// No usable answer.
    Failed(String),
}

impl CallEnd {
    fn verdict(&self, late: bool) -> CallVerdict {
        match self {
            Self::Answered(..) if late => CallVerdict::Late,
            Self::Answered(..) => CallVerdict::InTime,
            Self::Busy => CallVerdict::Busy,
            Self::OtherTarget => CallVerdict::OtherTarget,
            Self::Failed(_) => CallVerdict::Failed,
        }
    }

    fn says_no_room(&self) -> bool {
        match self {
            Self::Answered(outcomes, _) => outcomes.contains(&Err(PieceFault::NoRoom)),
            _ => false,
        }
    }

    /// Returns an outcome for each of so many pieces.
    fn outcomes(self, pieces: usize) -> Vec<PieceOutcome> {
        match self {
            Self::Answered(outcomes, _) => outcomes,
            Self::Busy | Self::OtherTarget => vec![Err(PieceFault::NotTaken); pieces],
            Self::Failed(_) => vec![Err(PieceFault::Failed); pieces],
        }
    }
}

#[derive(Default)]
pub(super) struct QueueState {
    pub(super) specs: HashMap<String, StagePool>,
    pub(super) pools: HashMap<PoolKey, PoolQueue>,
    pub(super) batches: BatchBook,
    pub(super) expected: BTreeMap<ExpectKey, ExpectedPieces>,
    last_expected: u64,
    last_lost: u64,
    pub(super) records: Vec<TargetRecord>,
}

/// What is due after a call has ended.
#[derive(Default)]
pub(super) struct Finished {
    /// How long its target rests.
    pub(super) rest: Option<Duration>,
    /// A target whose memory holds more than this host knows.
    pub(super) unsure: Option<SocketAddr>,
    /// Results that nobody waits for any more.
    pub(super) unclaimed: Vec<String>,
    /// Batches that are complete.
    pub(super) replies: Vec<(BatchReply, Vec<PieceOutcome>)>,
}

fn may_pay(outcome: &PieceOutcome) -> bool {
    matches!(
        outcome,
        Err(PieceFault::Failed | PieceFault::NoRoom | PieceFault::NotTaken)
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
        CallEnd::Failed(_) => target.results.insert(lost, call.reserved, until),
        CallEnd::Busy | CallEnd::OtherTarget => {}
    }
}

impl QueueState {
    /// Counts pieces that will come.
    pub(super) fn expect(&mut self, expected: ExpectedPieces) -> ExpectKey {
        self.last_expected += 1;
        let key = ExpectKey(self.last_expected);
        self.expected.insert(key, expected);
        key
    }

    /// Returns the load of a pool, with the pieces that are expected there.
    pub(super) fn load(&self, key: &PoolKey, pool: &PoolQueue, now: Instant) -> PoolLoad {
        let mut load = pool.load(now);
        let mut waiting: BTreeMap<Rank, u32> = load.waiting.iter().copied().collect();
        let coming = self.expected.values().filter(|one| one.pool == *key);
        for expected in coming {
            *waiting.entry(expected.rank).or_default() += expected.pieces;
        }
        load.waiting = waiting.into_iter().collect();
        load
    }

    /// Returns a pool, which begins when it is first asked for.
    pub(super) fn pool_mut(&mut self, key: &PoolKey) -> Option<&mut PoolQueue> {
        if !self.pools.contains_key(key) {
            let spec = self.specs.get(&key.service)?.clone();
            let mut pool = PoolQueue::new(spec);
            pool.set_targets(key, &self.records);
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
        let pieces = (0..batch.count as usize).map(|place| Waiting {
            piece: PieceKey { batch: key, place },
            rank: batch.rank,
            deadline,
            wanted,
            hall: batch.hall.clone(),
            result_bytes: batch.result_bytes,
            work: work.clone(),
            tries: 0,
        });
        pool.wait(pieces.collect());
        key
    }

    pub(super) fn due_calls(&mut self, key: &PoolKey, now: Instant) -> Vec<DueCall> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
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

    /// Takes results off their targets, and returns which targets are to be told.
    pub(super) fn take_results(
        &mut self,
        service: &str,
        handles: Vec<String>,
        bytes: u64,
    ) -> BTreeMap<SocketAddr, Vec<String>> {
        let mut calls: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
        let pools = self.pools.iter_mut();
        let pools = pools.filter(|(key, _)| key.service == service);
        let mut targets: Vec<&mut StageTarget> = pools
            .flat_map(|(_, pool)| pool.targets.values_mut())
            .collect();
        for handle in handles {
            let maker: Option<SocketAddr> = maker_of(&handle).parse().ok();
            let maker = targets.iter_mut().find(|one| Some(one.address) == maker);
            let Some(target) = maker else {
                continue;
            };
            let key = HeldKey::Result(handle.clone());
            if !target.results.remove(&key) {
                target.results.take_off_told(bytes);
            }
            calls.entry(target.address).or_default().push(handle);
        }
        calls
    }

    /// Puts the pieces of a call that is late into the queue once more, for other targets, while the call
    /// goes on until `until`. Where no other target answers in time either, that would only add to
    /// what waits.
    pub(super) fn note_late(&mut self, call: &DueCall, until: Instant) {
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return;
        };
        if let Some(target) = pool.targets.get_mut(&call.target) {
            target.note_late(until);
        }
        if !pool.has_sound_target() {
            return;
        }
        let lone = |waiting: &&Waiting| self.batches.copies_of(waiting.piece) == Some(1);
        let copies = call.pieces.iter().filter(lone);
        let copies: Vec<Waiting> = copies.cloned().collect();
        for copy in &copies {
            self.batches.add_copy(copy.piece);
        }
        pool.wait(copies);
    }

    pub(super) fn finish_call(&mut self, call: DueCall, end: CallEnd, late: bool) -> Finished {
        let now = Instant::now();
        let mut finished = Finished::default();
        let Some(pool) = self.pools.get_mut(&call.pool) else {
            return finished;
        };
        let full = end.says_no_room();
        if let Some(target) = pool.targets.get_mut(&call.target) {
            finished.rest = target.end_call(end.verdict(late), call.reserved, now);
            let until = now + Duration::from_millis(pool.spec.result_ttl_ms);
            self.last_lost += 1;
            if let CallEnd::Answered(_, load) = &end {
                target.learn_pace(call.expected, now.saturating_duration_since(call.began));
                target.note_load(*load, now);
            }
            note_results(target, &call, &end, HeldKey::Lost(self.last_lost), until);
            if full {
                let room = pool.spec.result_memory_bytes;
                target.set_others(room.saturating_sub(target.used_bytes()), now);
                finished.unsure = Some(target.address);
            }
        }
        let outcomes = end.outcomes(call.pieces.len());
        let mut again = Vec::new();
        for (mut waiting, outcome) in call.pieces.into_iter().zip(outcomes) {
            let alone = self.batches.copies_of(waiting.piece) == Some(1);
            if alone && may_pay(&outcome) && waiting.tries + 1 < MAX_TRIES && waiting.deadline > now
            {
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
