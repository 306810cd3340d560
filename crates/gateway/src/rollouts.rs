//! Roll-outs on an entry host: the shares of versions, and statistics of their responses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::CountSource;
use linnet_rollout::{ResponseTracker, RolloutStore};
use linnet_routing::RouteKind;
use linnet_telemetry::EventCode;

use crate::Gateway;
use crate::attempt::AttemptOutcome;
use crate::caller_request::CallerRequest;
use crate::coordinator::DueCall;
use crate::engine::PlacementFacts;
use crate::piece::PieceFault;
use crate::stage_call::CallOutcome;
use crate::target::ChosenTarget;
use crate::version_split::VersionSplit;

/// Times of prompts and of calls are recorded relative to the expected time, in hundredths: engines
/// that started recently have fewer shared parts cached, and calls differ in their pieces.
const EXPECTED_TIME_SCALE: f64 = 100.0;

/// Added to the expected and the measured time of prompts, so that short ones have little weight,
/// in milliseconds.
const PROMPT_BASE_MS: f64 = 120.0;

/// The route name under which calls with pieces are counted.
const CALLS_ROUTE: &str = "calls";

/// The roll-outs in force, and the responses of the versions that this host has counted.
#[derive(Default)]
pub(crate) struct RolloutTracker {
    current: RefCell<RolloutStore>,
    tally: RefCell<ResponseTracker>,
    /// Whether this host is connected to a control host.
    is_connected: Cell<bool>,
}

/// The quality of a response, or of the lack of one, as evidence about its target.
pub(crate) enum ResponseQuality {
    /// The attempt failed.
    Failed,
    /// The response was good and its time is significant: in milliseconds, or in hundredths of the
    /// expected time.
    Timed(f64),
    /// The response was good; its time is not significant.
    Good,
}

impl ResponseQuality {
    /// Returns the quality of a good response by the ratio of its time to the expected time.
    fn of_ratio(took_ms: f64, expected_ms: f64) -> Self {
        Self::Timed(took_ms / expected_ms.max(1.0) * EXPECTED_TIME_SCALE)
    }

    fn of_call(call: &DueCall, outcome: &CallOutcome, took: Duration) -> Option<Self> {
        match outcome {
            CallOutcome::Busy | CallOutcome::OtherTarget | CallOutcome::SenderLost => None,
            CallOutcome::Failed(_)
            | CallOutcome::ConnectionBroken(_)
            | CallOutcome::TargetCrashed(_) => Some(Self::Failed),
            CallOutcome::Responded(results, _) if results.contains(&Err(PieceFault::Failed)) => {
                Some(Self::Failed)
            }
            // The time of an overlapping call includes the wait for the call before it.
            CallOutcome::Responded(..) if call.is_overlapping() => Some(Self::Good),
            CallOutcome::Responded(..) => Some(Self::of_ratio(
                took.as_secs_f64() * 1_000.0,
                call.expected.as_secs_f64() * 1_000.0,
            )),
        }
    }

    fn of_attempt(
        request: &CallerRequest,
        outcome: &AttemptOutcome,
        took: Duration,
        estimate: Option<PlacementFacts>,
    ) -> Option<Self> {
        let took_ms = took.as_secs_f64() * 1_000.0;
        match outcome {
            // Nothing ran: this reflects the load of the target, not its version.
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::Withheld
            | AttemptOutcome::OverBudget => None,
            AttemptOutcome::MayHaveRun { .. } => Some(Self::Failed),
            AttemptOutcome::Complete(response) if response.status.is_server_error() => {
                Some(Self::Failed)
            }
            AttemptOutcome::Complete(..) if request.route.kind != RouteKind::Streaming => {
                Some(Self::Timed(took_ms))
            }
            AttemptOutcome::Complete(..) => Some(Self::Good),
            AttemptOutcome::Streaming(_) => Some(match estimate {
                Some(estimate) => Self::of_ratio(
                    took_ms + PROMPT_BASE_MS,
                    f64::from(estimate.expected_ms) + PROMPT_BASE_MS,
                ),
                None => Self::Timed(took_ms),
            }),
        }
    }
}

impl Gateway {
    /// Returns a source of this host's response counts, which are reported to the control hosts.
    pub fn count_source(self: &Rc<Self>) -> CountSource {
        let gateway = self.clone();
        Box::new(move || {
            let targets = gateway.targets.borrow();
            let tally = gateway.rollouts.tally.borrow();
            tally.counts(&gateway.rollouts.current.borrow(), |service, version| {
                targets.in_flight_at_other_versions(service, version)
            })
        })
    }

    /// Applies the roll-outs that the control hosts announced, and whether any of them is
    /// connected. Returns whether anything changed.
    pub(crate) fn refresh_rollouts(&self) -> bool {
        let view = self.directory.borrow();
        let (rollouts, is_connected) = (view.rollouts(), view.is_connected());
        let was_connected = self.rollouts.is_connected.replace(is_connected);
        if *self.rollouts.current.borrow() == *rollouts && was_connected == is_connected {
            return false;
        }
        self.record_rollouts(rollouts, is_connected);
        self.rollouts.current.replace(rollouts.clone());
        self.rollouts
            .tally
            .borrow_mut()
            .retain_in_progress(rollouts);
        let splits = VersionSplit::all_in_progress(rollouts, is_connected);
        self.metrics.rollouts_open.set(splits.len() as i64);
        self.coordinator.set_splits(&splits);
        self.targets.borrow_mut().set_splits(splits);
        true
    }

    /// Records an event for each roll-out that is in progress or has changed.
    fn record_rollouts(&self, rollouts: &RolloutStore, is_connected: bool) {
        let known = self.rollouts.current.borrow();
        for (service, record) in rollouts.all_newest() {
            if known.newest(service) == Some(record) && !record.is_in_progress() {
                continue;
            }
            let detail = format!(
                "service={service} version={} revision={} step={} permille={} state={} heard={is_connected}",
                record.version, record.revision, record.step, record.permille, record.state
            );
            self.record_event(EventCode::RolloutInForce, &detail);
        }
    }

    /// Counts the outcome of an attempt at a target.
    pub(crate) fn count_attempt(
        &self,
        request: &CallerRequest,
        (service, chosen): (&str, &ChosenTarget),
        outcome: &AttemptOutcome,
        took: Duration,
        estimate: Option<PlacementFacts>,
    ) {
        if let Some(quality) = ResponseQuality::of_attempt(request, outcome, took, estimate) {
            self.count_response(service, &chosen.id, &request.route.name, quality);
        }
    }

    /// Counts the outcome of a call with pieces.
    pub(crate) fn count_call(&self, call: &DueCall, outcome: &CallOutcome, took: Duration) {
        if let Some(quality) = ResponseQuality::of_call(call, outcome, took) {
            self.count_response(&call.pool.service, &call.target, CALLS_ROUTE, quality);
        }
    }

    /// Counts a response of a target if a version of its service is being rolled out. The time is
    /// ignored while the target is cold, since it says nothing about the version then.
    pub(crate) fn count_response(
        &self,
        service: &str,
        target: &str,
        route: &str,
        quality: ResponseQuality,
    ) {
        let rollouts = self.rollouts.current.borrow();
        if rollouts
            .newest(service)
            .is_none_or(|record| !record.is_in_progress())
        {
            return;
        }
        let targets = self.targets.borrow();
        let Some(version) = targets.version_of(service, target) else {
            return;
        };
        let is_cold = targets.is_cold(service, target, Instant::now());
        let response = match quality {
            ResponseQuality::Failed => None,
            ResponseQuality::Timed(time_ms) if !is_cold => Some(Some(time_ms)),
            ResponseQuality::Timed(_) | ResponseQuality::Good => Some(None),
        };
        let mut tally = self.rollouts.tally.borrow_mut();
        tally.record_response(&rollouts, service, (route, version), response);
    }
}
