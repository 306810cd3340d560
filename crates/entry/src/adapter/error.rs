//! Why an attempt has no usable answer, and whether it may have run.

use derive_more::Display;
use linnet_dispatch::{AttemptOutcome, LoadReport};
use ntex::client::error::{ClientError, ConnectError};

use crate::RanState;

/// Why an attempt has no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum AttemptCause {
    /// No connection; not a byte went out.
    #[display("no connection")]
    NoConnection,
    /// The target said that it has no room, and that it did not run.
    #[display("the target is busy")]
    Busy,
    /// The target said that it is leaving, and that it did not run.
    #[display("the target is leaving")]
    Leaving,
    /// No answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// The connection ended before the answer was whole.
    #[display("the connection ended before the answer was whole")]
    CutShort,
    /// The answer names another attempt.
    #[display("the answer is another attempt's")]
    Foreign,
    /// The answer is not of the expected form.
    #[display("the answer is not of the expected form")]
    Malformed,
    /// The answer is larger than its limit.
    #[display("the answer is over its limit")]
    TooLarge,
    /// A stream left a token out.
    #[display("a token of the stream is missing")]
    MissingToken,
    /// The target answered with an error status.
    #[display("status {_0}")]
    Status(u16),
}

/// An attempt without a usable answer.
#[derive(Debug, Clone, Display, derive_more::Error)]
#[display("{cause}")]
pub struct AttemptError {
    /// Why.
    pub cause: AttemptCause,
    /// What the target told of its load, if anything.
    #[error(not(source))]
    pub load: Option<LoadReport>,
}

impl AttemptError {
    /// Creates an error without a load report.
    pub fn new(cause: AttemptCause) -> Self {
        Self { cause, load: None }
    }

    /// Says whether the target may have run the attempt.
    pub fn ran(&self) -> RanState {
        match self.cause {
            AttemptCause::NoConnection | AttemptCause::Busy | AttemptCause::Leaving => RanState::No,
            _ => RanState::Unknown,
        }
    }

    /// Says what the attempt tells of the target.
    pub fn outcome(&self) -> AttemptOutcome {
        match self.cause {
            AttemptCause::Busy => AttemptOutcome::Busy,
            AttemptCause::Leaving => AttemptOutcome::Leaving,
            _ => AttemptOutcome::Failure,
        }
    }

    /// Says whether an answer came that had to be dropped.
    pub fn is_dropped_answer(&self) -> bool {
        matches!(
            self.cause,
            AttemptCause::Foreign
                | AttemptCause::CutShort
                | AttemptCause::Malformed
                | AttemptCause::MissingToken
                | AttemptCause::TooLarge
        )
    }
}

impl From<ClientError> for AttemptError {
    // Only errors of the connecting itself prove that nothing was sent. A pooled connection that
    // the target closed at that moment shows as any other lost connection.
    fn from(error: ClientError) -> Self {
        let cause = match error {
            ClientError::Connect(ConnectError::Disconnected(None)) => AttemptCause::CutShort,
            ClientError::Connect(_) => AttemptCause::NoConnection,
            ClientError::Timeout => AttemptCause::TimedOut,
            ClientError::Response(_) => AttemptCause::Malformed,
            _ => AttemptCause::CutShort,
        };
        Self::new(cause)
    }
}
