//! What every attempt at a stage has in common.

use std::time::{Duration, Instant};

use linnet_dispatch::{AttemptOutcome, LoadReport, StageAsk, TargetId, TargetPermit};
use linnet_telemetry::EventCode;

use super::RequestPlan;
use crate::adapter::{AttemptCall, AttemptCause, AttemptError};
use crate::context::WorkerContext;
use crate::stats::note_dropped;
use crate::{CallerError, ErrorCode, RanState};

/// Attempts at one stage of one request.
const MAX_ATTEMPTS: u32 = 4;

/// An attempt at a stage that may be tried elsewhere gets so many times its usual time.
const PATIENCE_RATIO: u32 = 4;

/// The least time that an attempt is given before another is tried.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// One stage of a request while it is tried.
pub(crate) struct StageTrial<'a> {
    pub(crate) worker: &'a WorkerContext,
    pub(crate) plan: &'a RequestPlan,
    /// The name of the stage, or `call`.
    pub(crate) stage: &'a str,
    /// The place of the stage in the chain.
    pub(crate) place: usize,
    pub(crate) pool: &'a str,
    pub(crate) work_after: Duration,
    attempts: u32,
    avoid: Vec<TargetId>,
}

impl<'a> StageTrial<'a> {
    /// Creates a trial of a stage before its first attempt.
    pub(crate) fn new(
        worker: &'a WorkerContext,
        plan: &'a RequestPlan,
        stage: &'a str,
        place: usize,
        pool: &'a str,
        work_after: Duration,
    ) -> Self {
        Self {
            worker,
            plan,
            stage,
            place,
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
    /// The refusal as the caller sees it.
    pub(crate) async fn next_permit(&self, ran: RanState) -> Result<TargetPermit, CallerError> {
        let ask = StageAsk {
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
        let permit = dispatcher.acquire(ask).await;
        permit.map_err(|refusal| CallerError::refused(refusal, self.stage, ran))
    }

    /// Names the next attempt and notes that it starts.
    pub(crate) fn begin(&mut self, permit: &TargetPermit) -> AttemptCall {
        let attempt = format!("{}/{}/{}", self.plan.id, self.place, self.attempts);
        if self.attempts > 0 {
            self.worker.entry.stats.count_retry();
        }
        self.attempts += 1;
        let detail = format!("{} attempt={attempt}", self.stage);
        self.note(EventCode::AttemptStarted, permit.name(), detail);
        AttemptCall {
            address: permit.address(),
            attempt,
            time_left: self.patience(),
            repeatable: self.plan.repeatable,
        }
    }

    /// Notes a usable answer.
    pub(crate) fn succeed(&self, permit: TargetPermit, load: Option<LoadReport>) {
        let entry = &self.worker.entry;
        let in_time = Instant::now() <= self.plan.deadline;
        let (route, held) = (&self.plan.route_name, permit.held());
        entry.stats.count_attempt(route, self.stage, held, in_time);
        self.note(
            EventCode::AttemptFinished,
            permit.name(),
            self.stage.to_owned(),
        );
        permit.finish(AttemptOutcome::Success, load);
        if let Some(pool) = entry.dispatcher.pool_number(self.pool) {
            let mut retries = lock_retries(self.worker);
            retries.earn(self.plan.account, pool);
        }
    }

    /// Notes an attempt without a usable answer, and says whether another may follow.
    ///
    /// A request that may run only once is tried again only while it is proved that no target
    /// ran the stage. Every further attempt is paid from the budget of the account, and none
    /// starts when the time left does not hold the stage.
    ///
    /// # Errors
    ///
    /// The error as the caller sees it, when no other attempt may follow.
    pub(crate) fn fail(
        &mut self,
        permit: TargetPermit,
        error: &AttemptError,
        ran: RanState,
    ) -> Result<(), CallerError> {
        let entry = &self.worker.entry;
        let peer = permit.name().to_owned();
        let (route, held) = (&self.plan.route_name, permit.held());
        entry.stats.count_attempt(route, self.stage, held, false);
        self.note(
            EventCode::AttemptFailed,
            &peer,
            format!("{}: {error}", self.stage),
        );
        if error.is_dropped_answer() {
            note_dropped(
                &entry.stats,
                &entry.recorder,
                &self.plan.id,
                &peer,
                &error.to_string(),
            );
        }
        self.avoid.push(permit.target());
        permit.finish(self.blame(error, held), error.load);
        if error.outcome() == AttemptOutcome::Leaving {
            entry.dispatcher.mark_leaving(&peer);
            entry.hall_news.notify_one();
        }
        if self.may_follow(error) {
            return Ok(());
        }
        let time_up = self.plan.time_left().is_zero();
        let code = if time_up {
            ErrorCode::DeadlinePassed
        } else {
            ErrorCode::TargetFailed
        };
        let refusal = CallerError::new(code, self.stage, error.to_string())
            .with_peer(peer)
            .with_ran(ran);
        Err(refusal.with_retry_after(LEAST_PATIENCE))
    }

    // An attempt that had little time because its request came late says nothing of the target.
    fn blame(&self, error: &AttemptError, held: Duration) -> AttemptOutcome {
        let fair_chance = (self.usual_time() * PATIENCE_RATIO).max(LEAST_PATIENCE);
        if error.cause == AttemptCause::TimedOut && held < fair_chance {
            return AttemptOutcome::Cancelled;
        }
        error.outcome()
    }

    fn may_follow(&self, error: &AttemptError) -> bool {
        let allowed = self.plan.repeatable || error.ran() == RanState::No;
        let own_work = self.usual_time();
        let fits = self.plan.time_left() > self.work_after + own_work;
        if !allowed || !fits || self.attempts >= MAX_ATTEMPTS {
            return false;
        }
        let pool = self.worker.entry.dispatcher.pool_number(self.pool);
        pool.is_some_and(|pool| lock_retries(self.worker).spend(self.plan.account, pool))
    }

    /// Returns how long an attempt may take. One that may be tried elsewhere is not waited for
    /// to the end; one that may run only once is.
    fn patience(&self) -> Duration {
        let left = self.plan.time_left().saturating_sub(self.work_after);
        if !self.plan.repeatable || self.attempts >= MAX_ATTEMPTS {
            return left;
        }
        let usual = self.usual_time();
        if usual.is_zero() {
            return left / 2;
        }
        left.min((usual * PATIENCE_RATIO).max(LEAST_PATIENCE))
    }

    fn usual_time(&self) -> Duration {
        let dispatcher = &self.worker.entry.dispatcher;
        dispatcher.usual_time(self.pool, self.plan.route)
    }

    /// Records an event of this request.
    pub(crate) fn note(&self, code: EventCode, peer: &str, detail: String) {
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
