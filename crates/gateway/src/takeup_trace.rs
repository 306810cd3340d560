//! What streams that their callers take up wait for, and how they end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_telemetry::EventCode;

use crate::Gateway;
use crate::caller_request::{CallerRequest, is_resumable};
use crate::pool_key::PoolKey;
use crate::stage_client::HostLocation;
use crate::stream_trace::{LogText, OriginSource};

/// What a stream that is taken up waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum TakeupStep {
    /// The version that began it.
    #[display("origin")]
    Origin,
    /// A run permit, or the first targets after the start of this host.
    #[display("permit")]
    Permit,
    /// The results of its stages.
    #[display("stages")]
    Stages,
    /// A target of its version that accepts requests.
    #[display("target")]
    Target,
    /// The first event from a target.
    #[display("first_event")]
    FirstEvent,
    /// Further events.
    #[display("events")]
    Events,
}

impl TakeupStep {
    const ALL: [Self; 6] = [
        Self::Origin,
        Self::Permit,
        Self::Stages,
        Self::Target,
        Self::FirstEvent,
        Self::Events,
    ];
}

/// How a stream that was taken up ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub(crate) enum TakeupEnd {
    /// The caller left, or this host ended the request without an answer.
    #[default]
    #[display("caller_left")]
    CallerLeft,
    /// It was refused as not run.
    #[display("refused")]
    Refused,
    /// It failed before its first event.
    #[display("failed")]
    Failed,
    /// It was complete.
    #[display("complete")]
    Complete,
    /// It was cut after its first event.
    #[display("cut")]
    Cut,
}

/// The targets of a service that may go on with a stream, at the last selection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct VersionTargets {
    /// Targets of the version in the allowed halls.
    pub(crate) listed: usize,
    /// Those to which the request could be sent.
    pub(crate) open: usize,
    /// Those that refused requests lately or are ejected.
    pub(crate) avoided: usize,
    /// Those whose incarnation is not known to be the listed one.
    pub(crate) unproved: usize,
}

/// How the origin of a stream was looked up.
#[derive(Debug, Clone)]
pub(crate) struct OriginTrace {
    pub(crate) source: OriginSource,
    pub(crate) version: String,
    /// Id of the request that is taken up.
    pub(crate) resumes: String,
}

struct TakeupState {
    step: TakeupStep,
    since: Instant,
    waits: [Duration; TakeupStep::ALL.len()],
    origin: Option<OriginTrace>,
    targets: VersionTargets,
    /// The last stage whose pieces were submitted, its pool and its coordinator.
    stage: Option<(usize, PoolKey, HostLocation)>,
    stage_runs: u32,
}

/// The waits of a stream that is taken up. Writes its line when it is dropped, which is at the end of
/// the request, whatever ends it.
pub(crate) struct TakeupTrace {
    gateway: Rc<Gateway>,
    request: String,
    route: String,
    arrived_at: Instant,
    state: RefCell<TakeupState>,
    end: Cell<TakeupEnd>,
}

impl TakeupTrace {
    /// Begins the trace of a request that takes up a stream.
    pub(crate) fn new(gateway: &Rc<Gateway>, request: &CallerRequest) -> Self {
        Self {
            gateway: gateway.clone(),
            request: request.id.clone(),
            route: request.route.name.clone(),
            arrived_at: request.arrived_at,
            state: RefCell::new(TakeupState {
                step: TakeupStep::Origin,
                since: Instant::now(),
                waits: Default::default(),
                origin: None,
                targets: VersionTargets::default(),
                stage: None,
                stage_runs: 0,
            }),
            end: Cell::default(),
        }
    }

    pub(crate) fn set_origin(&self, origin: OriginTrace) {
        self.state.borrow_mut().origin = Some(origin);
    }

    pub(crate) fn set_targets(&self, targets: VersionTargets) {
        self.state.borrow_mut().targets = targets;
    }

    /// Records that pieces of a stage were submitted to a coordinator.
    pub(crate) fn set_stage(&self, number: usize, pool: &PoolKey, coordinator: HostLocation) {
        self.state.borrow_mut().stage = Some((number, pool.clone(), coordinator));
    }

    fn enter(&self, step: TakeupStep) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        let waited = now.saturating_duration_since(state.since);
        let former = state.step as usize;
        state.waits[former] += waited;
        state.stage_runs += u32::from(step == TakeupStep::Stages);
        (state.step, state.since) = (step, now);
    }

    fn describe(&self) -> String {
        let state = self.state.borrow();
        let origin = state.origin.as_ref();
        let waits = TakeupStep::ALL.map(|step| {
            let current = step == state.step;
            let open = if current {
                state.since.elapsed()
            } else {
                Duration::ZERO
            };
            format!(
                "{step}_ms={}",
                (state.waits[step as usize] + open).as_millis()
            )
        });
        let stage = state.stage.as_ref().map_or_else(
            || "stage=- pool=- coordinator=-".to_owned(),
            |(number, pool, coordinator)| {
                format!(
                    "stage={number} pool={} coordinator={coordinator}",
                    pool.label()
                )
            },
        );
        let targets = state.targets;
        format!(
            "route={} resumes={} origin={} version={} step={} {} {stage} stage_runs={} listed={} open={} avoided={} unproved={} took_ms={} end={}",
            self.route,
            LogText(origin.map_or("", |origin| &origin.resumes)),
            origin.map_or_else(|| "-".to_owned(), |origin| origin.source.to_string()),
            LogText(origin.map_or("", |origin| &origin.version)),
            state.step,
            waits.join(" "),
            state.stage_runs,
            targets.listed,
            targets.open,
            targets.avoided,
            targets.unproved,
            self.arrived_at.elapsed().as_millis(),
            self.end.get(),
        )
    }
}

impl Drop for TakeupTrace {
    fn drop(&mut self) {
        let code = EventCode::TakeupEnded;
        self.gateway
            .record_request_event(code, &self.request, "", self.describe());
    }
}

impl CallerRequest {
    /// Records what the request waits for from now on, if it takes up a stream.
    pub(crate) fn enter_step(&self, step: TakeupStep) {
        if let Some(takeup) = self.takeup.get() {
            takeup.enter(step);
        }
    }

    /// Records how the request ended, if it takes up a stream.
    pub(crate) fn end_takeup(&self, end: TakeupEnd) {
        if let Some(takeup) = self.takeup.get() {
            takeup.end.set(end);
        }
    }
}

/// Whether a stream that may be taken up has begun, or went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum StartOutcome {
    #[display("begun")]
    Begun,
    #[display("not_begun")]
    NotBegun,
    /// The caller left before either was known.
    #[display("caller_left")]
    CallerLeft,
}

/// Counts the start of a stream that may be taken up.
pub(crate) fn count_stream_start(
    gateway: &Gateway,
    request: &CallerRequest,
    outcome: StartOutcome,
) {
    if is_resumable(request) {
        let is_taken_up = request.takeup.get().is_some();
        gateway.metrics.count_stream_start(is_taken_up, outcome);
    }
}
