//! What is known of a target whose connection broke, and how long that may take to find out.

use std::time::Duration;

use derive_more::Display;

/// How long a request waits for the result of the probe before it is sent to another target. A
/// target that listens answers a probe within a round trip between halls, some 2 ms; if it does not,
/// other hosts are asked, which takes some round trips more. A timeout proves nothing.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// What is known of a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum TargetState {
    #[display("crashed")]
    Crashed,
    /// It accepts connections. Only this proves that a body without framing is complete, and only if it is
    /// the process that began the body.
    #[display("alive")]
    Alive,
    /// It accepts connections, but may be another process than the one that began the response.
    #[display("unproved")]
    Unproved,
    /// It has left and ended, or does not answer.
    #[display("unknown")]
    Unknown,
}

impl TargetState {
    /// Describes the end of a body without framing, for the log.
    pub(crate) fn close_cause(self) -> &'static str {
        match self {
            Self::Crashed => "connection closed by a crash of the target",
            Self::Alive => "connection closed by the target",
            Self::Unproved => "connection closed, and the target may have started again",
            Self::Unknown => "connection closed, and the target is not known to run",
        }
    }
}
