//! Attempts at a stage: target, timeout, outcome, retry.

use std::time::{Duration, Instant};

use linnet_dispatch::{AttemptOutcome, LoadReport, TargetId, TargetPermit, TargetRequest};
use linnet_telemetry::EventCode;

use super::RequestPlan;
use crate::adapter::{AttemptCall, AttemptCause, AttemptError};
use crate::context::WorkerContext;
use crate::stats::record_dropped_response;
use crate::{CallerError, ErrorCode, RanState};

/// The maximum number of attempts at one stage of one request.
const MAX_ATTEMPTS: u32 = 4;

/// The timeout of an attempt that may be retried, as a multiple of its typical duration.
const TIMEOUT_RATIO: u32 = 4;

/// The minimum timeout of an attempt before another one is started.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// The execution of one stage of a request, over all its attempts.
pub(crate) struct StageExecution<'a> {
    pub(crate) worker: &'a WorkerContext,
    pub(crate) plan: &'a RequestPlan,
    /// The name of the stage, or `call`.
    pub(crate) stage: &'a str,
    /// The index of the stage in the chain.
    pub(crate) index: usize,
    pub(crate) pool: &'a str,
    pub(crate) work_after: Duration,
    attempts: u32,
    avoid: Vec<TargetId>,
}

impl<'a> StageExecution<'a> {
    /// Creates the execution of a stage, without an attempt.
    pub(crate) fn new(
        worker: &'a WorkerContext,
        plan: &'a RequestPlan,
        stage: &'a str,
        index: usize,
        pool: &'a str,
        work_after: Duration,
    ) -> Self {
        Self {
            worker,
            plan,
            stage,
            index,
            pool,
            work_after,
            attempts: 0,
            avoid: Vec::new(),
        }
    }

    /// Waits for a target.
    ///
    /// # Errors
    ///
    /// Returns the refusal as a caller's error.
    pub(crate) async fn acquire_target(&self, ran: RanState) -> Result<TargetPermit, CallerError> {
        let request = TargetRequest {
            pool: self.pool.to_owned(),
            account: self.plan.account,
            weight: self.plan.weight,
            route: self.plan.route,
            deadline: self.plan.deadline,
            work_after: self.work_after,
            avoid: self.avoid.clone(),
            prefix_holder: None,
        };
        let dispatcher = &self.worker.entry.dispatcher;
        let permit = dispatcher.acquire(request).await;
        permit.map_err(|refusal| CallerError::refused(refusal, self.stage, ran))
    }

    /// Assigns an id to the next attempt and records its start.
    pub(crate) fn begin_attempt(&mut self, permit: &TargetPermit) -> AttemptCall {
        let attempt = format!("{}/{}/{}", self.plan.id, self.index, self.attempts);
        if self.attempts > 0 {
            self.worker.entry.stats.count_retry();
        }
        self.attempts += 1;
        let detail = format!("{} attempt={attempt}", self.stage);
        self.record(EventCode::AttemptStarted, permit.name(), detail);
        AttemptCall {
            address: permit.address(),
            attempt,
            time_left: self.attempt_timeout(),
            repeatable: self.plan.repeatable,
        }
    }

    /// Records an attempt with a valid response.
    pub(crate) fn record_success(&self, permit: TargetPermit, load: Option<LoadReport>) {
        let entry = &self.worker.entry;
        let in_time = Instant::now() <= self.plan.deadline;
        let (route, held) = (&self.plan.route_name, permit.held_for());
        entry.stats.count_attempt(route, self.stage, held, in_time);
        self.record(
            EventCode::AttemptFinished,
            permit.name(),
            self.stage.to_owned(),
        );
        permit.finish(AttemptOutcome::Success, load);
        if let Some(pool) = entry.dispatcher.pool_index(self.pool) {
            let mut retries = lock_retries(self.worker);
            retries.record_success(self.plan.account, pool);
        }
    }

    /// Records an attempt without a valid response. Returns `Ok` if the stage may be retried.
    ///
    /// A request that may run only once is retried only if it is certain that no target ran the
    /// stage. Every retry is charged to the retry budget of the account, and none starts if the
    /// time left is too short for the stage.
    ///
    /// # Errors
    ///
    /// Returns the caller's error if the stage may not be retried.
    pub(crate) fn record_failure(
        &mut self,
        permit: TargetPermit,
        error: &AttemptError,
        ran: RanState,
    ) -> Result<(), CallerError> {
        let entry = &self.worker.entry;
        let peer = permit.name().to_owned();
        let (route, held) = (&self.plan.route_name, permit.held_for());
        entry.stats.count_attempt(route, self.stage, held, false);
        self.record(
            EventCode::AttemptFailed,
            &peer,
            format!("{}: {error}", self.stage),
        );
        if error.is_dropped_response() {
            record_dropped_response(
                &entry.stats,
                &entry.recorder,
                &self.plan.id,
                &peer,
                &error.to_string(),
            );
        }
        self.avoid.push(permit.target());
        permit.finish(self.target_outcome(error, held), error.load);
        if error.outcome() == AttemptOutcome::Leaving {
            entry.dispatcher.mark_leaving(&peer);
            entry.leaving_changed.notify_one();
        }
        if self.can_retry(error) {
            return Ok(());
        }
        let deadline_passed = self.plan.time_left().is_zero();
        let code = if deadline_passed {
            ErrorCode::DeadlinePassed
        } else {
            ErrorCode::TargetFailed
        };
        let error = CallerError::new(code, self.stage, error.to_string())
            .with_peer(peer)
            .with_ran(ran);
        Err(error.with_retry_after(MIN_ATTEMPT_TIMEOUT))
    }

    // A timeout does not count against the target if the attempt had less than the regular timeout,
    // as its request had little time left.
    fn target_outcome(&self, error: &AttemptError, held: Duration) -> AttemptOutcome {
        let regular_timeout = (self.typical_duration() * TIMEOUT_RATIO).max(MIN_ATTEMPT_TIMEOUT);
        if error.cause == AttemptCause::TimedOut && held < regular_timeout {
            return AttemptOutcome::Cancelled;
        }
        error.outcome()
    }

    fn can_retry(&self, error: &AttemptError) -> bool {
        let allowed = self.plan.repeatable || error.ran() == RanState::No;
        let typical = self.typical_duration();
        let fits = self.plan.time_left() > self.work_after + typical;
        if !allowed || !fits || self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        let pool = self.worker.entry.dispatcher.pool_index(self.pool);
        pool.is_some_and(|pool| lock_retries(self.worker).try_take_retry(self.plan.account, pool))
    }

    /// Returns the timeout of the next attempt. An attempt that may be retried gets a part of the
    /// time left; one that may run only once, or is the last, gets all of it.
    fn attempt_timeout(&self) -> Duration {
        let left = self.plan.time_left().saturating_sub(self.work_after);
        if !self.plan.repeatable || self.attempts >= MAX_ATTEMPTS {
            return left;
        }
        let typical = self.typical_duration();
        if typical.is_zero() {
            return left / 2;
        }
        left.min((typical * TIMEOUT_RATIO).max(MIN_ATTEMPT_TIMEOUT))
    }

    fn typical_duration(&self) -> Duration {
        let dispatcher = &self.worker.entry.dispatcher;
        dispatcher.typical_duration(self.pool, self.plan.route)
    }

    /// Records an event of this request.
    pub(crate) fn record(&self, code: EventCode, peer: &str, detail: String) {
        let recorder = &self.worker.entry.recorder;
        recorder.record_request(code, &self.plan.id, peer, detail);
    }
}

fn lock_retries(worker: &WorkerContext) -> std::sync::MutexGuard<'_, linnet_dispatch::RetryBudget> {
    let retries = &worker.entry.retries;
    retries
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
