//! Counts events under their labels.

use std::time::Duration;

use http::StatusCode;

use super::{
    BodyEnd, BodyLabels, ConnectionLabels, GatewayMetrics, IncarnationLabels, IncompleteLabels,
    OriginLabels, OutcomeLabels, OwnResponseLabels, PlacerLabels, PlacerReply, RefusalCause,
    RefusalLabels, ResumptionLabels, RetryLabels, ReturnLabels, ReturnOutcome, SendLabels,
    StartLabels, StreamEndLabels, UnframedLabels,
};
use crate::body_framing::BodyFraming;
use crate::connection_use::ConnectionUse;
use crate::incomplete_answer::IncompleteCause;
use crate::outcome::RefusalReason;
use crate::retry_cause::RetryCause;
use crate::stated_start::IncarnationVerdict;
use crate::stream_trace::{OriginSource, ResumptionOutcome, StreamEnd};
use crate::takeup_trace::StartOutcome;
use crate::target_state::TargetState;

impl GatewayMetrics {
    pub(crate) fn count_request(&self, outcome: &str, priority: u8) {
        let labels = OutcomeLabels {
            outcome: outcome.to_owned(),
            priority,
        };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_own_response(&self, reason: RefusalReason, status: StatusCode) {
        let labels = OwnResponseLabels {
            reason: reason.to_string(),
            status: status.as_u16(),
        };
        self.own_responses.get_or_create(&labels).inc();
    }

    pub(crate) fn count_body(&self, framing: BodyFraming, end: BodyEnd) {
        let labels = BodyLabels {
            framing: framing.to_string(),
            end: match end {
                BodyEnd::Clean => "clean",
                BodyEnd::Broken => "broken",
                BodyEnd::TooLong => "too_long",
            },
        };
        self.target_bodies.get_or_create(&labels).inc();
    }

    pub(crate) fn count_unframed_end(&self, state: TargetState) {
        let verdict = state.to_string();
        self.unframed_ends
            .get_or_create(&UnframedLabels { verdict })
            .inc();
    }

    pub(crate) fn count_first_send(&self) {
        self.count_send("first".to_owned());
    }

    pub(crate) fn count_retry_sent(&self, cause: RetryCause) {
        self.count_send(cause.to_string());
    }

    /// Counts a request that was counted as sent although nothing was written.
    pub(crate) fn count_unsent(&self) {
        self.count_send("unsent".to_owned());
    }

    fn count_send(&self, kind: String) {
        self.requests_sent.get_or_create(&SendLabels { kind }).inc();
    }

    pub(crate) fn count_denied_retry(&self, cause: RetryCause) {
        let labels = RetryLabels {
            cause: cause.to_string(),
        };
        self.retries_denied.get_or_create(&labels).inc();
    }

    pub(crate) fn count_taken_up(&self, source: OriginSource) {
        let labels = OriginLabels {
            origin: source.to_string(),
        };
        self.streams_taken_up.get_or_create(&labels).inc();
    }

    pub(crate) fn count_stream_start(&self, is_taken_up: bool, outcome: StartOutcome) {
        let kind = if is_taken_up { "taken_up" } else { "new" };
        let labels = StartLabels {
            kind: kind.to_owned(),
            outcome: outcome.to_string(),
        };
        self.stream_starts.get_or_create(&labels).inc();
    }

    pub(crate) fn count_resumption(&self, outcome: ResumptionOutcome) {
        let labels = ResumptionLabels {
            outcome: outcome.to_string(),
        };
        self.stream_resumptions.get_or_create(&labels).inc();
    }

    pub(crate) fn count_stream_end(&self, end: StreamEnd) {
        let labels = StreamEndLabels {
            cause: end.to_string(),
        };
        self.stream_ends.get_or_create(&labels).inc();
    }

    pub(crate) fn count_incomplete(&self, cause: IncompleteCause) {
        let labels = IncompleteLabels {
            cause: cause.to_string(),
        };
        self.incomplete_answers.get_or_create(&labels).inc();
    }

    pub(crate) fn count_incarnation(&self, verdict: IncarnationVerdict) {
        let labels = IncarnationLabels {
            outcome: verdict.to_string(),
        };
        self.target_incarnations.get_or_create(&labels).inc();
    }

    pub(crate) fn count_connection(&self, connection_use: ConnectionUse) {
        let labels = ConnectionLabels {
            purpose: connection_use.to_string(),
        };
        self.target_connections.get_or_create(&labels).inc();
    }

    /// Records how far the forecast of the stages of a request was from the time that they took.
    pub(crate) fn observe_forecast_error(&self, forecast_ms: f64, took: Duration) {
        let error = took.as_secs_f64() - forecast_ms / 1_000.0;
        self.forecast_error.observe(error.abs());
    }

    pub(crate) fn count_refusal(&self, cause: RefusalCause, retry_after: Duration) {
        let cause = match cause {
            RefusalCause::Queue => "queue",
            RefusalCause::Share => "share",
            RefusalCause::Host => "host",
        };
        self.refusals.get_or_create(&RefusalLabels { cause }).inc();
        self.retry_after.observe(retry_after.as_secs_f64());
    }

    pub(crate) fn count_placer_reply(&self, reply: PlacerReply) {
        let outcome = match reply {
            PlacerReply::Answered => "answered",
            PlacerReply::Late => "late",
            PlacerReply::Lost => "lost",
        };
        self.placer_replies
            .get_or_create(&PlacerLabels { outcome })
            .inc();
    }

    pub(crate) fn count_returned(&self, outcome: ReturnOutcome) {
        let outcome = match outcome {
            ReturnOutcome::AdmittedInTime => "in_time",
            ReturnOutcome::AdmittedLate => "late",
            ReturnOutcome::Refused => "refused",
        };
        self.returned.get_or_create(&ReturnLabels { outcome }).inc();
    }
}
