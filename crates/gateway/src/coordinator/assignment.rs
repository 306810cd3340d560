//! The assignment of the queued pieces of a pool to calls.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::due_call::DueCall;
use super::failed_search::FailedSearches;
use super::pool::{PoolQueue, QueuedPiece};
use super::stage_target::StageTarget;
use crate::pool_key::PoolKey;

/// How long a piece waits for a target in its data hall: a fraction of its spare time, up to a
/// maximum.
const HALL_WAIT_FRACTION: f64 = 0.3;
const MAX_HALL_WAIT: Duration = Duration::from_millis(200);

/// The result of the search for a target for a piece.
enum TargetChoice {
    Target(String),
    /// The piece waits for a target in its preferred data hall.
    OtherHall,
    /// No target has a free slot and enough memory.
    None,
}

impl PoolQueue {
    /// Assigns queued pieces, in order, to free targets. A call is filled before another is
    /// started, so that a target stays free for the next request. A piece with a large result goes
    /// to its preferred data hall if a target is free there.
    pub(super) fn assign_pieces(&mut self, pool: &PoolKey, now: Instant) -> Vec<DueCall> {
        let mut open: BTreeMap<String, DueCall> = BTreeMap::new();
        let mut unassigned = Vec::new();
        let mut unassigned_by_hall: HashMap<String, usize> = HashMap::new();
        let mut failed = FailedSearches::default();
        let smallest = self.smallest_result().unwrap_or_default();
        let mut rest = std::mem::take(&mut self.queue).into_iter();
        for piece in rest.by_ref() {
            let queued_before = piece
                .hall
                .as_ref()
                .and_then(|hall| unassigned_by_hall.get(hall));
            let queued_before = queued_before.copied().unwrap_or(0);
            let is_ruled_out = failed.rule_out(&piece);
            let choice = match is_ruled_out {
                true => TargetChoice::None,
                false => self.choose_target(&piece, &open, queued_before, now),
            };
            if let TargetChoice::Target(id) = choice {
                // A new call may turn a roll-out to the other version, whose targets were passed
                // over until then.
                if self.split.is_some() && !open.contains_key(&id) {
                    failed.clear();
                }
                self.add_to_call(pool, id, piece, &mut open, now);
                continue;
            }
            if matches!(choice, TargetChoice::None) && !is_ruled_out {
                failed.record(&piece);
            }
            if let Some(hall) = &piece.hall {
                *unassigned_by_hall.entry(hall.clone()).or_default() += 1;
            }
            unassigned.push(piece);
            if !is_ruled_out && !self.has_open_slot(&open, smallest, now) {
                break;
            }
        }
        // No target has an open slot for the remaining pieces.
        unassigned.extend(rest);
        self.queue = unassigned;
        open.into_values().collect()
    }

    /// Returns whether some target accepts one more piece with a result of this size.
    pub(super) fn has_open_slot(
        &self,
        open: &BTreeMap<String, DueCall>,
        result_bytes: u64,
        now: Instant,
    ) -> bool {
        self.usable(now)
            .any(|(id, target)| self.has_room_in_call(target, open.get(id), result_bytes, now))
    }

    /// Returns whether a target accepts one more piece with a result of this size, in addition to
    /// those in its `open` call.
    fn has_room_in_call(
        &self,
        target: &StageTarget,
        open: Option<&DueCall>,
        result_bytes: u64,
        now: Instant,
    ) -> bool {
        let in_call = open.map_or(0, |call| call.pieces.len());
        in_call < self.spec.batch as usize
            && (in_call > 0 || self.split_allows(target))
            && target.is_free(&self.spec, now)
            && self.has_memory(target, result_bytes)
    }

    fn choose_target(
        &self,
        piece: &QueuedPiece,
        open: &BTreeMap<String, DueCall>,
        queued_before: usize,
        now: Instant,
    ) -> TargetChoice {
        let fits = |id: &str, target: &StageTarget| {
            self.examined_targets.set(self.examined_targets.get() + 1);
            let call = open.get(id);
            self.has_room_in_call(target, call, piece.result_bytes, now)
                && call.is_none_or(|call| call.accepts(piece))
                && piece.allowed_halls.allows(&target.hall)
        };
        let is_other_hall =
            |target: &StageTarget| piece.hall.as_ref().is_some_and(|hall| *hall != target.hall);
        let candidates = self.usable(now).filter(|(id, target)| fits(id, target));
        let best = candidates.min_by_key(|(id, target)| {
            (
                is_other_hall(target),
                !open.contains_key(*id),
                target.running > 0,
                target.used_bytes(),
            )
        });
        match best {
            None => TargetChoice::None,
            Some((_, target))
                if is_other_hall(target)
                    && self.should_wait_for_hall(piece, queued_before, now) =>
            {
                TargetChoice::OtherHall
            }
            Some((id, _)) => TargetChoice::Target(id.clone()),
        }
    }

    /// Returns whether a piece with a large result should wait for a target in its preferred data
    /// hall. It should if the targets that are free there soon enough can take this piece in
    /// addition to the `queued_before` pieces that wait for the hall ahead of it.
    fn should_wait_for_hall(
        &self,
        piece: &QueuedPiece,
        queued_before: usize,
        now: Instant,
    ) -> bool {
        let call_time = Duration::from_secs_f64(self.spec.call_time_ms(1) / 1_000.0);
        let spare = piece
            .objective_at
            .saturating_duration_since(now + call_time);
        let max_wait = spare.mul_f64(HALL_WAIT_FRACTION).min(MAX_HALL_WAIT);
        let of_hall = self.usable(now).filter(|(_, target)| {
            piece.hall.as_ref() == Some(&target.hall)
                && !target.is_paused(now)
                && target.busy_until <= now + max_wait
        });
        queued_before < of_hall.count() * self.spec.batch as usize
    }

    fn add_to_call(
        &mut self,
        pool: &PoolKey,
        id: String,
        piece: QueuedPiece,
        open: &mut BTreeMap<String, DueCall>,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(&id) else {
            return;
        };
        target.reserved_bytes += piece.result_bytes;
        if let Some(split) = self.split.as_mut().filter(|_| !open.contains_key(&id)) {
            split.record_call(&target.version);
        }
        let call = open
            .entry(id.clone())
            .or_insert_with(|| DueCall::new(pool, &id, target, now));
        call.push(piece);
    }
}
