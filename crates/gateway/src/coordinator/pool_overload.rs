//! What the overload policies add to a stage pool at its coordinator: its measured times and the
//! shares of client accounts.

use std::time::{Duration, Instant};

use linnet_forecast::{PoolMeter, PoolTimes, StageInputs, forecast_stage, full_call_rate};
use linnet_shares::{AccountLimit, AccountShare, PoolShares, UseReport};

use super::due_call::DueCall;
use super::pool::PoolQueue;
use crate::OverloadPolicy;
use crate::piece::PoolLoad;
use crate::rank::Rank;
use crate::rendezvous;
use crate::stage_call::CallOutcome;

/// The state of the overload policies for one pool; empty for a policy that is not enabled.
#[derive(Default)]
pub(super) struct PoolOverload {
    meter: Option<PoolMeter<Rank>>,
    shares: Option<PoolShares<Rank>>,
    orders_by_objective: bool,
}

impl PoolQueue {
    /// Sets the enabled overload policies, without measurements.
    pub(super) fn set_overload(&mut self, policy: OverloadPolicy) {
        let is_measured = policy.measured_waits || policy.fair_shares;
        self.overload = PoolOverload {
            meter: is_measured.then(PoolMeter::new),
            shares: policy.fair_shares.then(PoolShares::new),
            orders_by_objective: policy.measured_waits,
        };
    }

    /// Records pieces that were queued for the first time.
    pub(super) fn record_arrival(&mut self, rank: Rank, pieces: u32, now: Instant) {
        if let Some(meter) = &mut self.overload.meter {
            meter.record_arrival(rank, pieces, now);
        }
    }

    /// Records the pieces that a call completed. Trials are not counted: no request depends on them.
    pub(super) fn record_call(&mut self, call: &DueCall, end: &CallOutcome, now: Instant) {
        let (Some(meter), CallOutcome::Responded(outcomes, _)) = (&mut self.overload.meter, end)
        else {
            return;
        };
        let completed = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
        if completed > 0 && !call.trial {
            let took = now.saturating_duration_since(call.started);
            meter.record_call(completed as u32, took, now);
        }
    }

    /// Records how many pieces stay queued after a dispatch, and for how many targets.
    pub(super) fn record_queue(&mut self, now: Instant) {
        if self.overload.meter.is_none() {
            return;
        }
        let targets = self.working_targets(now).count() as u32;
        // With fewer pieces than a call holds, the rate shows what arrives, not what the pool can do.
        let queued = self.queue.len() as u32;
        let queued = if queued < self.spec.batch { 0 } else { queued };
        if let Some(meter) = &mut self.overload.meter {
            meter.record_targets(targets, now);
            meter.record_queue(queued, now);
        }
    }

    /// Moves pieces whose request misses its objective in any case behind the others of their rank, so
    /// that a queue that is too long does not make all requests late.
    pub(super) fn move_overdue_back(&mut self, now: Instant) {
        if !self.overload.orders_by_objective {
            return;
        }
        let shortest = Duration::from_secs_f64(self.spec.call_time_ms(1) / 1_000.0);
        self.queue.sort_by_key(|piece| {
            let is_overdue = piece.objective_at < now + shortest;
            (piece.rank, is_overdue, piece.order)
        });
    }

    /// Returns the measured times of the pool; `None` if it is not measured.
    pub(super) fn times(&self, now: Instant) -> Option<PoolTimes<Rank>> {
        let meter = self.overload.meter.as_ref()?;
        Some(meter.times(now))
    }

    /// Returns how long new pieces of a rank wait until they are sent in a call, in milliseconds.
    pub(super) fn expected_wait_ms(
        &self,
        load: &PoolLoad,
        rank: Rank,
        pieces: u32,
        now: Instant,
    ) -> f64 {
        let Some(times) = self.times(now) else {
            return load.expected_wait_ms(&self.spec, rank, pieces);
        };
        let inputs = StageInputs {
            times: Some(&times),
            ..load.stage_inputs(&self.spec, rank, pieces)
        };
        forecast_stage(&inputs).wait_ms
    }

    /// Applies what client accounts asked of the pool at an entry host and returns the accounts
    /// that are limited.
    pub(super) fn apply_use(
        &mut self,
        host: &str,
        report: &UseReport<Rank>,
        now: Instant,
    ) -> Vec<AccountLimit<Rank>> {
        let drain_per_s = self.drain_per_s(now);
        let Some(shares) = &mut self.overload.shares else {
            return Vec::new();
        };
        shares.apply_report(rendezvous::score("use", host), report, now);
        shares.limits(drain_per_s, now)
    }

    /// Returns what each client account asks of the pool; `None` if shares are not enabled.
    pub(super) fn account_shares(&self, now: Instant) -> Option<Vec<AccountShare<Rank>>> {
        let shares = self.overload.shares.as_ref()?;
        Some(shares.accounts(now))
    }

    /// Returns the measured drain rate in pieces per second, or the rate of full calls if there is
    /// no measurement.
    fn drain_per_s(&self, now: Instant) -> f64 {
        let measured = self.times(now).map_or(0, |times| times.drain_per_s);
        if measured > 0 {
            return f64::from(measured);
        }
        let targets = self.working_targets(now).count() as u32;
        if targets == 0 {
            return 0.0;
        }
        let full_call_ms = self.spec.call_time_ms(self.spec.batch as usize);
        full_call_rate(targets, self.spec.slots, self.spec.batch, full_call_ms)
    }
}
