//! Leave to send to targets that name rates, as this host got it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;

use crate::rate_turn::{PERMIT_LIFE, RateAnswer};

/// The span by whose requests it is told how many a host is about to send.
const DEMAND_SPAN: Duration = Duration::from_millis(20);

/// How long it counts that a request would wait for leave: others like it come.
const PATIENCE_KEPT: Duration = Duration::from_secs(1);

/// Leave to send one request to a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SendPermit {
    /// Until when it may be used; nothing where the target named no rate when it was taken.
    until: Option<BootInstant>,
}

impl SendPermit {
    /// Leave for a target that takes any rate.
    pub(crate) const FREE: Self = Self { until: None };

    fn until(until: BootInstant) -> Self {
        Self { until: Some(until) }
    }

    /// Says whether a request may be sent with it to a target that names a rate.
    pub(crate) fn is_valid(self, now: BootInstant) -> bool {
        self.until.is_some_and(|until| now <= until)
    }
}

/// Requests to one target in one span and in the one before.
#[derive(Debug, Clone, Copy, Default)]
struct SendDemand {
    since: BootInstant,
    count: u32,
    former: u32,
}

impl TargetLeave {
    fn note_patience(&mut self, within: Duration, now: BootInstant) {
        let (widest, at) = self.widest;
        if within >= widest || now - at > PATIENCE_KEPT {
            self.widest = (within, now);
        }
    }
}

impl SendDemand {
    fn note(&mut self, now: BootInstant) {
        let age = now - self.since;
        if age >= DEMAND_SPAN {
            self.former = if age < DEMAND_SPAN * 2 { self.count } else { 0 };
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }
}

/// What this host was told of one target's leave.
#[derive(Debug, Clone, Default)]
struct TargetLeave {
    /// No leave for a moment before this one.
    next_at: BootInstant,
    /// The longest time that a request of this host would wait for leave, and when it came.
    widest: (Duration, BootInstant),
    /// Permits that were given beside one that was asked for.
    spare: Vec<SendPermit>,
    demand: SendDemand,
}

/// Leave to send to targets that name rates.
#[derive(Debug, Default)]
pub(crate) struct RatePermits {
    leaves: RefCell<HashMap<String, TargetLeave>>,
}

impl RatePermits {
    /// Takes a permit that was given before; counts the request in any case.
    pub(crate) fn take_spare(&self, target: &str, now: BootInstant) -> Option<SendPermit> {
        let mut leaves = self.leaves.borrow_mut();
        let leave = leaves.entry(target.to_owned()).or_default();
        leave.demand.note(now);
        leave.spare.retain(|permit| permit.is_valid(now));
        leave.spare.pop()
    }

    /// Returns how many requests are about to follow one.
    pub(crate) fn demand(&self, target: &str) -> u32 {
        let leaves = self.leaves.borrow();
        leaves.get(target).map_or(0, |leave| leave.demand.former)
    }

    /// Takes the answer to a question that was asked at `asked`; returns when the request may go and the permit, where
    /// leave was given.
    pub(crate) fn take_answer(
        &self,
        target: &str,
        answer: RateAnswer,
        within: Duration,
        asked: BootInstant,
    ) -> Option<(Duration, SendPermit)> {
        let mut leaves = self.leaves.borrow_mut();
        let leave = leaves.entry(target.to_owned()).or_default();
        leave.note_patience(within, asked);
        match answer {
            RateAnswer::Granted {
                wait_ms,
                more,
                next_ms,
            } => {
                let wait = Duration::from_millis(wait_ms);
                let permit = SendPermit::until(asked + wait + PERMIT_LIFE);
                leave.spare.extend((0..more).map(|_| permit));
                if more == 0 {
                    leave.next_at = asked + Duration::from_millis(next_ms);
                }
                Some((wait, permit))
            }
            RateAnswer::Later(after_ms) => {
                leave.next_at = asked + Duration::from_millis(after_ms);
                None
            }
        }
    }

    /// Says whether a request that would wait for a span gets no leave for a target.
    pub(crate) fn is_vain(&self, target: &str, within: Duration, now: BootInstant) -> bool {
        let mut leaves = self.leaves.borrow_mut();
        let Some(leave) = leaves.get_mut(target) else {
            return false;
        };
        leave.note_patience(within, now);
        leave.next_at - now > within
    }

    /// Returns how long no request of this host gets leave for a target, as long as they wait.
    pub(crate) fn closed_for(&self, target: &str, now: BootInstant) -> Duration {
        let leaves = self.leaves.borrow();
        let leave = leaves.get(target).filter(|leave| leave.spare.is_empty());
        leave.map_or(Duration::ZERO, |leave| {
            (leave.next_at - now).saturating_sub(leave.widest.0)
        })
    }

    /// Forgets a target that names no rate any more.
    pub(crate) fn forget(&self, target: &str) {
        self.leaves.borrow_mut().remove(target);
    }
}

#[cfg(test)]
mod tests;
