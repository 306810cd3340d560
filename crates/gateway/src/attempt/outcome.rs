//! What one attempt ends with.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;

use crate::body_framing::BodyFraming;
use crate::events::{EventSplitter, has_event_lines};
use crate::held_bytes::HeldShare;
use crate::in_flight::InFlightGuard;
use crate::incarnation::ProvedIncarnation;
use crate::incomplete_answer::IncompleteCause;
use crate::send_error::is_peer_disconnect;
use crate::stage_client::Placement;
use crate::unframed_end::UnframedExchange;
use crate::upstream::ConnectionLease;

/// A response whose body has ended.
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the end of the body is known not to come from a crash of the target. The close of a
    /// connection alone does not tell.
    pub(crate) is_confirmed: bool,
    /// What tells whether it does, if the body ended with its connection.
    pub(crate) unframed: Option<Box<UnframedExchange>>,
}

impl CompleteResponse {
    /// Returns whether a stream that is resumed has no further event.
    pub(crate) fn is_empty_success(&self) -> bool {
        self.status.is_success() && !has_event_lines(&self.body) && self.is_confirmed
    }
}

/// Outcome of one attempt.
pub(crate) enum AttemptOutcome {
    /// A complete response with any status.
    Complete(CompleteResponse),
    /// A streamed response whose first event has arrived.
    Streaming(Box<EventStream>),
    /// The target did not run the request.
    NotRun {
        cause: String,
        /// Whether stage results that it uses as input are gone, so that no target can run it.
        inputs_gone: bool,
    },
    /// Nothing was sent: the target stopped accepting requests after it was selected.
    Withheld,
    /// Nothing was sent: the retry budget allows the request no further attempt.
    OverBudget,
    /// The request may have run, and there is no usable response.
    MayHaveRun {
        cause: String,
        kind: IncompleteCause,
    },
}

impl AttemptOutcome {
    /// Describes why the attempt has no usable response, for the log.
    pub(crate) fn cause(&self) -> String {
        match self {
            Self::Complete(response) => format!("status {}", response.status.as_u16()),
            Self::Streaming(_) => "streaming".to_owned(),
            Self::NotRun { cause, .. } | Self::MayHaveRun { cause, .. } => cause.clone(),
            Self::Withheld => "withheld".to_owned(),
            Self::OverBudget => "over the retry budget".to_owned(),
        }
    }

    pub(super) fn unusable(cause: impl Into<String>) -> Self {
        Self::incomplete(IncompleteCause::Unusable, cause)
    }

    pub(super) fn incomplete(kind: IncompleteCause, cause: impl Into<String>) -> Self {
        Self::MayHaveRun {
            cause: cause.into(),
            kind,
        }
    }

    pub(super) fn cut_short(what: &str, error: &hyper::Error) -> Self {
        let kind = match is_peer_disconnect(error) {
            true => IncompleteCause::Connection,
            false => IncompleteCause::Unusable,
        };
        Self::incomplete(kind, format!("{what} cut short: {error}"))
    }
}

/// A streamed response whose first event has arrived.
pub(crate) struct EventStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// What tells whether the body is complete, if it ends with its connection.
    pub(crate) unframed: Option<Box<UnframedExchange>>,
    pub(crate) first: Bytes,
    pub(crate) rest: Incoming,
    /// The incarnation that sends the events, if it is proved.
    pub(crate) incarnation: Option<ProvedIncarnation>,
    pub(crate) splitter: EventSplitter,
    /// What is held of events that are not complete.
    pub(crate) held: HeldShare,
    /// Bytes of an event that was incomplete when the body ended.
    pub(crate) partial_bytes: usize,
    pub(crate) lease: ConnectionLease,
    /// Counts the request at its target while the stream lasts.
    pub(crate) _in_flight: InFlightGuard,
    /// Counts the prompt at the placer.
    pub(crate) _placement: Option<Placement>,
}
