//! Finds another target for a stream whose run broke off.

use std::time::Instant;

use linnet_telemetry::EventCode;

use super::{StreamRelay, first_event_text};
use crate::attempt::{Attempt, AttemptOutcome, EventStream, send_attempt};
use crate::part_suspects::AnswerRun;
use crate::retry_cause::RetryCause;
use crate::rollouts::ResponseQuality;
use crate::run_permit::acquire_run_permits;
use crate::service_availability::MAX_REFUSALS;
use crate::stream_trace::{LogText, ResumptionOutcome};
use crate::target::ChosenTarget;
use crate::target_selection::{ExcludedTargets, select_or_await_target};

/// Outcome of an attempt to resume a stream.
pub(super) enum ResumeOutcome {
    /// Another target continues the stream.
    Resumed(Box<EventStream>),
    /// The caller has received all events already: another target has no further one.
    Complete,
    /// The stream cannot go on, for this reason.
    Failed(ResumptionOutcome),
}

impl ResumeOutcome {
    /// Returns the label under which the outcome is counted.
    pub(super) fn label(&self) -> ResumptionOutcome {
        match self {
            Self::Resumed(_) => ResumptionOutcome::Resumed,
            Self::Complete => ResumptionOutcome::NoFurtherEvent,
            Self::Failed(reason) => *reason,
        }
    }
}

impl StreamRelay {
    /// Finds another target that resumes the stream.
    pub(super) async fn resume(&mut self, cause: &str) -> ResumeOutcome {
        let (service, target) = (&self.service, &self.chosen.id);
        self.gateway.record_target_failure(service, target, cause);
        let route = &self.request.route;
        self.gateway
            .count_response(service, target, &route.name, ResponseQuality::Failed);
        if route.is_repeatable() {
            self.record(EventCode::StreamRunBroken, &format!("cause={cause}"));
        }
        let (mut failed_attempts, mut refusals) = (0, 0);
        loop {
            match self.deny_resumption().await {
                Some(ResumptionOutcome::AttemptsUsed) if failed_attempts > 0 => {
                    return ResumeOutcome::Failed(ResumptionOutcome::Failed);
                }
                Some(denied) => return ResumeOutcome::Failed(denied),
                None => {}
            }
            self.attempts += 1;
            self.run_permits.mark_sent();
            let Some((chosen, outcome)) = self.try_next_target().await else {
                return ResumeOutcome::Failed(ResumptionOutcome::NoTarget);
            };
            let resumed = match outcome {
                AttemptOutcome::Streaming(stream) => ResumeOutcome::Resumed(stream),
                AttemptOutcome::Complete(response) if response.is_empty_success() => {
                    ResumeOutcome::Complete
                }
                AttemptOutcome::OverBudget => {
                    return ResumeOutcome::Failed(ResumptionOutcome::Budget);
                }
                failure => {
                    self.record_failed_attempt(&chosen, &failure);
                    let is_refused = matches!(failure, AttemptOutcome::NotRun { .. });
                    match is_refused && refusals < MAX_REFUSALS {
                        true => {
                            self.attempts -= 1;
                            refusals += u32::from(self.tried.contains(&chosen.id));
                        }
                        false => failed_attempts += 1,
                    }
                    continue;
                }
            };
            self.record_resumed(chosen, &resumed, cause);
            return resumed;
        }
    }

    /// Returns why the stream may not go on at another target; `None` if it may.
    async fn deny_resumption(&mut self) -> Option<ResumptionOutcome> {
        if !self.request.route.is_repeatable() {
            return Some(ResumptionOutcome::NotRepeatable);
        }
        if !self.request.may_resume() {
            return Some(ResumptionOutcome::UnknownVersion);
        }
        if self.attempts >= self.request.route.max_attempts {
            return Some(ResumptionOutcome::AttemptsUsed);
        }
        if self.cursor.position().is_err() {
            return Some(ResumptionOutcome::UnknownPosition);
        }
        if self.gateway.may_crash_again(&self.service, &self.request) {
            return Some(ResumptionOutcome::MayCrash);
        }
        if !self.acquire_run_permits().await {
            return Some(ResumptionOutcome::RunPermit);
        }
        let budget = &self.gateway.retry_budget;
        let is_allowed = budget.allow_retry(&self.request, &self.service, RetryCause::Resume);
        (!is_allowed).then_some(ResumptionOutcome::Budget)
    }

    fn record_failed_attempt(&self, chosen: &ChosenTarget, failure: &AttemptOutcome) {
        let detail = format!(
            "service={} born={} attempt={} last_event={} cause={}",
            self.service,
            chosen.born,
            self.attempts,
            LogText(&self.cursor.last_id()),
            failure.cause()
        );
        let code = EventCode::AttemptFailed;
        self.gateway
            .record_request_event(code, &self.request.id, &chosen.id, detail);
    }

    /// Begins a run at another target.
    fn record_resumed(&mut self, chosen: ChosenTarget, resumed: &ResumeOutcome, cause: &str) {
        let former = std::mem::replace(&mut self.chosen, chosen);
        self.sent = Instant::now();
        self.answer = AnswerRun::new();
        self.request.counted_run.set(None);
        self.run_first = match resumed {
            ResumeOutcome::Resumed(stream) => first_event_text(&stream.first),
            ResumeOutcome::Complete | ResumeOutcome::Failed(_) => None,
        };
        self.cursor.begin_run();
        let detail = format!(
            "version={} from_version={} from={} from_born={} cause={cause}",
            self.chosen.version, former.version, former.id, former.born
        );
        self.record(EventCode::StreamResumed, &detail);
    }

    async fn acquire_run_permits(&mut self) -> bool {
        let (gateway, request) = (&self.gateway, &self.request);
        let acquired =
            acquire_run_permits(gateway, &self.service, request, &mut self.run_permits).await;
        acquired.is_ok()
    }

    /// Sends the request to another target, which is to resume after the last event; returns `None`
    /// if no target is available.
    async fn try_next_target(&mut self) -> Option<(ChosenTarget, AttemptOutcome)> {
        let last_event = self.cursor.position().ok()?;
        loop {
            let (gateway, results) = (&self.gateway, self.results.as_ref());
            let excluded = ExcludedTargets {
                tried: &self.tried,
                rate_limited: false,
            };
            let next =
                select_or_await_target(gateway, &self.service, &self.request, excluded, results)
                    .await;
            let (chosen, placement) = next.ok()?;
            let attempt = Attempt {
                service: &self.service,
                chosen: &chosen,
                placement,
                results,
                cursor: &self.cursor,
                last_event: last_event.clone(),
            };
            let outcome = send_attempt(gateway, &self.request, attempt, None).await;
            let awaits_slot = matches!(outcome, AttemptOutcome::NotRun { .. })
                && gateway.targets.borrow().is_full(&self.service, &chosen.id);
            if !awaits_slot {
                self.tried.push(chosen.id.clone());
            }
            if !matches!(outcome, AttemptOutcome::Withheld) {
                return Some((chosen, outcome));
            }
        }
    }
}
