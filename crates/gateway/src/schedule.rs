//! Schedules the stages of a request.
//!
//! A result occupies memory at its target from the start of its call until the request's target has
//! fetched it, and memory for large results is the first resource that stage pools run out of. So a
//! stage with large results that only the request's target waits for is delayed until its results
//! will be ready together with those of the other stages.

use std::time::{Duration, Instant};

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::coordinator::LARGE_RESULT_BYTES;
use crate::path_time::{estimate_path_time, final_stages};

/// How much earlier than planned a delayed stage starts, since calls to its targets do not begin at
/// once: a factor of its own duration plus a fixed lead.
const LEAD_FACTOR: f64 = 0.5;
const LEAD_SLACK: Duration = Duration::from_millis(40);

/// A stage that starts later than it could.
#[derive(Debug, Clone, Copy)]
struct DelayedStage {
    number: usize,
    /// How long before the end of the other stages it starts.
    lead: Duration,
}

/// The start times of the stages of one request.
pub(crate) struct StageSchedule {
    delayed: Vec<DelayedStage>,
    /// When each stage ends according to the queues at the start of the request, in milliseconds; 0
    /// for a delayed stage.
    planned_ends: Vec<f64>,
    /// Expected end of the last stage that is not delayed.
    others_end: Instant,
}

impl StageSchedule {
    /// Plans the stages of a request that starts now.
    pub(crate) fn new(gateway: &Gateway, request: &CallerRequest) -> Self {
        let path = estimate_path_time(gateway, request);
        let last = final_stages(request);
        let stages = request.route.stages.iter().enumerate();
        let delayable: Vec<usize> = stages
            .filter(|(number, stage)| {
                stage.result_bytes >= LARGE_RESULT_BYTES
                    && stage.depends_on.is_empty()
                    && last.contains(number)
            })
            .map(|(number, _)| number)
            .collect();
        Self::plan(
            &delayable,
            path.stage_ends_ms,
            &path.stage_times_ms,
            Instant::now(),
        )
    }

    /// Plans stages that end after `ends` and take `spans`, both in milliseconds. The stages in
    /// `delayable` may be delayed.
    fn plan(delayable: &[usize], mut ends: Vec<f64>, spans: &[f64], now: Instant) -> Self {
        for number in delayable {
            ends[*number] = 0.0;
        }
        let others = ends.iter().copied().fold(0.0, f64::max);
        let delayed = delayable.iter().map(|number| DelayedStage {
            number: *number,
            lead: duration_from_ms(spans[*number] * (1.0 + LEAD_FACTOR)) + LEAD_SLACK,
        });
        Self {
            delayed: delayed.collect(),
            planned_ends: ends,
            others_end: now + duration_from_ms(others),
        }
    }

    /// Returns whether a stage may start later than it could.
    pub(crate) fn is_delayed(&self, number: usize) -> bool {
        self.delayed.iter().any(|stage| stage.number == number)
    }

    /// Returns when a stage starts whose inputs are ready, or `None` if it starts at once.
    pub(crate) fn start_time(&self, number: usize) -> Option<Instant> {
        let stage = self.delayed.iter().find(|stage| stage.number == number)?;
        self.others_end.checked_sub(stage.lead)
    }

    /// Records that a stage has ended, which may be sooner or later than planned.
    pub(crate) fn record_stage_end(&mut self, number: usize, now: Instant) {
        if self.is_delayed(number) {
            return;
        }
        let others = self.planned_ends.iter().copied().fold(0.0, f64::max);
        self.others_end = now + duration_from_ms((others - self.planned_ends[number]).max(0.0));
    }
}

fn duration_from_ms(span: f64) -> Duration {
    Duration::from_secs_f64(span.max(0.0) / 1_000.0)
}

#[cfg(test)]
mod tests;
