//! Requests that end without a complete answer of a target, and why.

use derive_more::Display;

use crate::Gateway;
use crate::stream_trace::StreamEnd;

/// Why a request that a target may have run got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub(crate) enum IncompleteCause {
    /// This host stopped.
    #[display("stop")]
    Stop,
    /// The deadline of the request was reached.
    #[display("deadline")]
    Deadline,
    /// The target was silent, and the attempt was given up.
    #[display("silence")]
    Silence,
    /// The target sent more bytes than an answer may have.
    #[display("flood")]
    Flood,
    /// The target closed or reset the connection.
    #[display("connection")]
    Connection,
    /// The target ended, or may have.
    #[display("target_ended")]
    TargetEnded,
    /// The answer cannot be used for another reason.
    #[default]
    #[display("unusable")]
    Unusable,
}

impl From<StreamEnd> for IncompleteCause {
    fn from(end: StreamEnd) -> Self {
        match end {
            StreamEnd::Connection | StreamEnd::InsideEvent => Self::Connection,
            StreamEnd::UnconfirmedClose => Self::TargetEnded,
            StreamEnd::SilentTarget => Self::Silence,
            StreamEnd::TooLong => Self::Flood,
            StreamEnd::TimedOut => Self::Deadline,
            StreamEnd::Stopped => Self::Stop,
            StreamEnd::OutOfOrder
            | StreamEnd::Complete
            | StreamEnd::NoFurtherEvent
            | StreamEnd::CallerLeft => Self::Unusable,
        }
    }
}

impl Gateway {
    /// Counts a request that ends without a complete answer; returns the keys of its line.
    pub(crate) fn count_incomplete(&self, cause: IncompleteCause) -> String {
        self.metrics.count_incomplete(cause);
        match self.stop_time() {
            Some(stop) => format!(
                "incomplete={cause} since_stop_ms={}",
                stop.began.elapsed().as_millis()
            ),
            None => format!("incomplete={cause}"),
        }
    }
}
