//! Faults that can be injected into a fake target.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Closes the connection before it reads the request; nothing runs.
    CloseBefore,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Runs the request and sends no response.
    Freeze,
    /// Delays the response by one second.
    Late,
    /// Sends the response of another attempt, with its attempt id and result.
    Foreign,
    /// Sends the response twice on the same connection.
    Twice,
    /// Sends only a part of the body that `content-length` announces, and closes the connection.
    Short,
    /// Sends bytes that are not HTTP and closes the connection.
    Garbage,
    /// Responds with status 200 and a body that is not JSON.
    BadBody,
    /// Runs the request and responds with status 500.
    Error,
    /// Refuses the request with status 503 for lack of capacity; nothing runs.
    Busy,
    /// Refuses the request with status 503 and states that it is leaving; nothing runs.
    Leaving,
    /// Closes the connection after two tokens of a stream.
    CutStream,
    /// Sends one token of a stream twice.
    DoubleToken,
    /// Omits one token of a stream.
    SkipToken,
    /// Ends the body of a stream properly, but without the line that marks its end.
    NoEndMark,
    /// Sends the complete body with neither length nor chunks, and closes the connection.
    Unframed,
    /// Sends a part of the body with neither length nor chunks, and closes the connection; a stream
    /// ends within its third token.
    UnframedShort,
}

impl FaultKind {
    /// Returns whether the body of a response ends with its connection.
    pub(crate) fn omits_framing(self) -> bool {
        matches!(self, Self::Unframed | Self::UnframedShort)
    }
}

/// A fault to inject into a number of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultInjection {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The number of requests that fail; 0 ends an injected fault.
    pub count: u64,
}
