//! When the stages of a request start.
//!
//! A result takes room at its target from the start of its call until the request's target has
//! fetched it, and room for large results is what stage pools run out of first. So a stage with
//! large results that nothing but the request's target waits for starts only when its results will
//! be ready together with those of the other stages.

use std::time::{Duration, Instant};

use crate::Gateway;
use crate::ask::Ask;
use crate::coordinator::HALL_BYTES;
use crate::path_time::{last_stages, path_time};

/// Part of its own time by which a deferred stage starts earlier than planned, since calls to its
/// targets do not begin at once, and a span beside it.
const LEAD_PART: f64 = 0.5;
const LEAD: Duration = Duration::from_millis(40);

/// A stage that starts later than it could.
#[derive(Debug, Clone, Copy)]
struct DeferredStage {
    number: usize,
    /// Time before the end of the other stages at which it starts.
    lead: Duration,
}

/// When each stage of one request starts.
pub(crate) struct StageSchedule {
    deferred: Vec<DeferredStage>,
    /// When each stage ends by the queues at the start, in milliseconds; 0 for one that is deferred.
    planned_ends: Vec<f64>,
    /// When the last of the other stages is expected to end.
    others_end: Instant,
}

impl StageSchedule {
    /// Plans the stages of a request that starts now.
    pub(crate) fn new(gateway: &Gateway, ask: &Ask) -> Self {
        let path = path_time(gateway, ask);
        let last = last_stages(ask);
        let stages = ask.route.stages.iter().enumerate();
        let deferrable: Vec<usize> = stages
            .filter(|(number, stage)| {
                stage.result_bytes >= HALL_BYTES
                    && stage.depends_on.is_empty()
                    && last.contains(number)
            })
            .map(|(number, _)| number)
            .collect();
        Self::plan(&deferrable, path.ends, &path.spans, Instant::now())
    }

    /// Plans stages that end after `ends` and take `spans`, in milliseconds, of which some may be
    /// deferred.
    fn plan(deferrable: &[usize], mut ends: Vec<f64>, spans: &[f64], now: Instant) -> Self {
        for number in deferrable {
            ends[*number] = 0.0;
        }
        let others = ends.iter().copied().fold(0.0, f64::max);
        let deferred = deferrable.iter().map(|number| DeferredStage {
            number: *number,
            lead: milliseconds(spans[*number] * (1.0 + LEAD_PART)) + LEAD,
        });
        Self {
            deferred: deferred.collect(),
            planned_ends: ends,
            others_end: now + milliseconds(others),
        }
    }

    /// Says whether a stage may start later than it could.
    pub(crate) fn is_deferred(&self, number: usize) -> bool {
        self.deferred.iter().any(|stage| stage.number == number)
    }

    /// Returns when a stage starts whose inputs are there; nothing where it does so at once.
    pub(crate) fn start_of(&self, number: usize) -> Option<Instant> {
        let stage = self.deferred.iter().find(|stage| stage.number == number)?;
        self.others_end.checked_sub(stage.lead)
    }

    /// Notes that a stage has ended, sooner or later than was planned.
    pub(crate) fn note_end(&mut self, number: usize, now: Instant) {
        if self.is_deferred(number) {
            return;
        }
        let others = self.planned_ends.iter().copied().fold(0.0, f64::max);
        self.others_end = now + milliseconds((others - self.planned_ends[number]).max(0.0));
    }
}

fn milliseconds(span: f64) -> Duration {
    Duration::from_secs_f64(span.max(0.0) / 1_000.0)
}

#[cfg(test)]
mod tests;
