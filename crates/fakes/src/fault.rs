//! Faults that a fake target can be ordered to show.

use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// A way to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Closes the connection before the request is read; nothing runs.
    CloseBefore,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Runs the request and never answers.
    Freeze,
    /// Answers after an extra second.
    Late,
    /// Answers in the name of another attempt.
    Foreign,
    /// Answers twice on the same connection.
    Twice,
    /// Says a greater length than the body has, and closes.
    Short,
    /// Answers bytes that are no HTTP.
    Garbage,
    /// Answers 200 with a body that is no JSON.
    BadBody,
    /// Runs the request and answers 500.
    Error,
    /// Says that it has no room; nothing runs.
    Busy,
    /// Says that it is leaving; nothing runs.
    Leaving,
    /// Closes a stream after two tokens.
    CutStream,
    /// Sends a token of a stream twice.
    DoubleToken,
    /// Leaves a token of a stream out.
    SkipToken,
    /// Ends a stream properly but without its end mark.
    NoEndMark,
}

/// An order to misbehave for a number of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultInjection {
    /// How.
    pub kind: FaultKind,
    /// For how many requests; 0 ends all faults.
    pub count: u64,
}
