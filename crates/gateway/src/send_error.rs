//! Why a request got no response from a target.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::ops::RangeInclusive;

use derive_more::Display;
use http::StatusCode;

use crate::upstream::TooManyInterims;

/// Why a response does not belong to the request in whose place it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ForeignCause {
    /// It has the identifier of another request, or something that is none.
    #[display("another request id")]
    OtherId,
    /// It has several identifiers.
    #[display("several request ids")]
    SeveralIds,
    /// It has none, although earlier ones on the connection had.
    #[display("no request id on a connection that was used before")]
    NoId,
}

impl ForeignCause {
    /// Returns the cause as a label of metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::OtherId => "other_id",
            Self::SeveralIds => "several_ids",
            Self::NoId => "no_id",
        }
    }
}

/// Why a request got no response.
#[derive(Debug, Display, derive_more::Error)]
pub(crate) enum SendError {
    /// The request did not reach the target.
    #[display("connect: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// The request did not reach the target, which other hosts may reach.
    #[display("no path: {_0}")]
    #[error(ignore)]
    NoPath(String),
    /// Nothing was written, since the target does not accept requests now.
    #[display("withheld")]
    Withheld,
    /// Nothing was written, since the incarnation that runs is not known to be the listed one.
    #[display("unproved incarnation")]
    Unproved,
    /// Nothing was written, since the retry budget does not allow to send the request again.
    #[display("retry budget used up")]
    OverBudget,
    /// The request was sent, but the response belongs to another one.
    #[display("response with {_0}")]
    #[error(ignore)]
    Foreign(ForeignCause),
    /// The target sent more bytes before the response than it may.
    #[display("send: {_0}")]
    #[error(ignore)]
    Flood(String),
    /// The request may have reached the target.
    #[display("send: {cause}")]
    MayHaveRun {
        cause: String,
        /// Whether the target broke (closed or reset) the connection.
        broken: bool,
    },
}

/// Statuses of a final response, by RFC 9110, 15. 101 is final as well, but only answers a request to upgrade,
/// which hosts never send.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Checks that a response has the status of a final response.
///
/// # Errors
///
/// [`SendError::MayHaveRun`] if it has not; the connection cannot be used any more.
pub(crate) fn check_status(status: StatusCode) -> Result<(), SendError> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(SendError::MayHaveRun {
        cause: format!("status {} is none of a response", status.as_u16()),
        broken: false,
    })
}

impl SendError {
    pub(crate) fn may_have_run(error: &hyper::Error) -> Self {
        if let Some(cause) = flood_cause(error) {
            return Self::Flood(cause);
        }
        Self::MayHaveRun {
            cause: error.to_string(),
            broken: is_peer_disconnect(error),
        }
    }
}

/// Returns why a target sent too much before a response, if that is the error.
fn flood_cause(error: &hyper::Error) -> Option<String> {
    if error.is_parse_too_large() {
        return Some(error.to_string());
    }
    let source: &io::Error = error.source()?.downcast_ref()?;
    let interims: &TooManyInterims = source.get_ref()?.downcast_ref()?;
    Some(interims.to_string())
}

/// Returns whether an error means that the peer closed or reset the connection. A connection that
/// was closed because the peer was silent says nothing about the target.
pub(crate) fn is_peer_disconnect(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(current) = cause {
        if let Some(error) = current.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        cause = current.source();
    }
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(|error| error.is_incomplete_message() || error.is_closed())
}
