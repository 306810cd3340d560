//! Roll-outs on an entry host: the shares of versions, and what their answers are like.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::CountSource;
use linnet_rollout::{ResponseTracker, RolloutStore};
use linnet_routing::RouteKind;
use linnet_telemetry::EventCode;

use crate::Gateway;
use crate::ask::Ask;
use crate::attempt::AttemptEnd;
use crate::coordinator::DueCall;
use crate::engine::PlaceFacts;
use crate::piece::PieceFault;
use crate::stage_call::CallEnd;
use crate::target::Chosen;
use crate::version_split::VersionSplit;

/// Times of prompts and of calls with pieces are counted as a part of what was expected, in hundredths: engines that
/// started lately hold fewer shared parts, and calls differ in their pieces.
const EXPECTED: f64 = 100.0;

/// Added to expected and real times of prompts, so that short ones say little, in milliseconds.
const PROMPT_BASE_MS: f64 = 120.0;

/// The route under which calls with pieces are counted.
const CALLS: &str = "calls";

/// What this host knows of roll-outs.
#[derive(Default)]
pub(crate) struct RolloutWatch {
    book: RefCell<RolloutStore>,
    tally: RefCell<ResponseTracker>,
    /// Whether any control host is heard.
    hears: Cell<bool>,
}

/// What an answer, or the lack of one, says of its target.
pub(crate) enum AnswerQuality {
    /// It failed.
    Failed,
    /// It was good, and took a time that says something of the target.
    Took(f64),
    /// It was good; its time says nothing.
    Good,
}

impl AnswerQuality {
    /// Returns the quality of an answer that took a part of what was expected.
    fn of_ratio(took_ms: f64, expected_ms: f64) -> Self {
        Self::Took(took_ms / expected_ms.max(1.0) * EXPECTED)
    }

    fn of_call(call: &DueCall, end: &CallEnd, took: Duration) -> Option<Self> {
        match end {
            CallEnd::Busy | CallEnd::OtherTarget | CallEnd::SenderLost => None,
            CallEnd::Failed(_) | CallEnd::Broke(_) | CallEnd::Ended(_) => Some(Self::Failed),
            CallEnd::Answered(made, _) if made.contains(&Err(PieceFault::Failed)) => {
                Some(Self::Failed)
            }
            // One that was sent ahead waited for another one.
            CallEnd::Answered(..) if call.is_ahead() => Some(Self::Good),
            CallEnd::Answered(..) => Some(Self::of_ratio(
                took.as_secs_f64() * 1_000.0,
                call.expected.as_secs_f64() * 1_000.0,
            )),
        }
    }

    fn of_end(
        ask: &Ask,
        end: &AttemptEnd,
        took: Duration,
        facts: Option<PlaceFacts>,
    ) -> Option<Self> {
        let took_ms = took.as_secs_f64() * 1_000.0;
        match end {
            // Nothing ran, which says how full a target is.
            AttemptEnd::NotRun { .. } | AttemptEnd::Withheld => None,
            AttemptEnd::MayHaveRun { .. } => Some(Self::Failed),
            AttemptEnd::Whole(status, ..) if status.is_server_error() => Some(Self::Failed),
            AttemptEnd::Whole(..) if ask.route.kind != RouteKind::Streaming => {
                Some(Self::Took(took_ms))
            }
            AttemptEnd::Whole(..) => Some(Self::Good),
            AttemptEnd::Events(_) => Some(match facts {
                Some(facts) => Self::of_ratio(
                    took_ms + PROMPT_BASE_MS,
                    f64::from(facts.expected_ms) + PROMPT_BASE_MS,
                ),
                None => Self::Took(took_ms),
            }),
        }
    }
}

impl Gateway {
    /// Returns what this host counts for roll-outs, for the control hosts.
    pub fn count_source(self: &Rc<Self>) -> CountSource {
        let gateway = self.clone();
        Box::new(move || {
            let targets = gateway.targets.borrow();
            let tally = gateway.rollouts.tally.borrow();
            tally.counts(&gateway.rollouts.book.borrow(), |service, version| {
                targets.open_beside(service, version)
            })
        })
    }

    /// Takes what control hosts told of roll-outs, and whether any is heard; says whether that is news.
    pub(crate) fn refresh_rollouts(&self) -> bool {
        let view = self.view.borrow();
        let (told, hears) = (view.rollouts(), view.is_connected());
        let heard = self.rollouts.hears.replace(hears);
        if *self.rollouts.book.borrow() == *told && heard == hears {
            return false;
        }
        self.note_rollouts(told, hears);
        self.rollouts.book.replace(told.clone());
        self.rollouts.tally.borrow_mut().retain_in_progress(told);
        let splits = VersionSplit::all_of(told, hears);
        self.metrics.rollouts_open.set(splits.len() as i64);
        self.coordinator.set_splits(&splits);
        self.targets.borrow_mut().set_splits(splits);
        true
    }

    fn note_rollouts(&self, told: &RolloutStore, hears: bool) {
        let known = self.rollouts.book.borrow();
        for (service, record) in told.all_newest() {
            if known.newest(service) == Some(record) && !record.is_in_progress() {
                continue;
            }
            let detail = format!(
                "service={service} version={} revision={} step={} permille={} state={} heard={hears}",
                record.version, record.revision, record.step, record.permille, record.state
            );
            self.note(EventCode::RolloutInForce, &detail);
        }
    }

    /// Counts how an attempt at a target ended.
    pub(crate) fn count_attempt(
        &self,
        ask: &Ask,
        (service, chosen): (&str, &Chosen),
        end: &AttemptEnd,
        took: Duration,
        facts: Option<PlaceFacts>,
    ) {
        if let Some(quality) = AnswerQuality::of_end(ask, end, took, facts) {
            self.count_answer(service, &chosen.id, &ask.route.name, quality);
        }
    }

    /// Counts a call with pieces.
    pub(crate) fn count_call(&self, call: &DueCall, end: &CallEnd, took: Duration) {
        if let Some(quality) = AnswerQuality::of_call(call, end, took) {
            self.count_answer(&call.pool.service, &call.target, CALLS, quality);
        }
    }

    /// Counts an answer of a target, where a version of its service is rolled out. The times of one that is cold say
    /// nothing of its version.
    pub(crate) fn count_answer(
        &self,
        service: &str,
        target: &str,
        route: &str,
        quality: AnswerQuality,
    ) {
        let book = self.rollouts.book.borrow();
        if book.newest(service).is_none_or(|one| !one.is_in_progress()) {
            return;
        }
        let targets = self.targets.borrow();
        let Some(version) = targets.version_of(service, target) else {
            return;
        };
        let is_cold = targets.is_cold(service, target, Instant::now());
        let answered = match quality {
            AnswerQuality::Failed => None,
            AnswerQuality::Took(time_ms) if !is_cold => Some(Some(time_ms)),
            AnswerQuality::Took(_) | AnswerQuality::Good => Some(None),
        };
        let mut tally = self.rollouts.tally.borrow_mut();
        tally.record_response(&book, service, (route, version), answered);
    }
}
