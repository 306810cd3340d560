//! Errors of commands, with the failed step and the peer.

use derive_more::Display;

/// The step of a command that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CtlStep {
    /// Reading a file, or the page of a host.
    #[display("read")]
    Read,
    /// Checking rows.
    #[display("check")]
    Check,
    /// Sending a request to a host.
    #[display("ask")]
    Request,
    /// Applying a change.
    #[display("apply")]
    Apply,
    /// Waiting until a version is in force.
    #[display("wait")]
    Wait,
}

/// An error of a command.
#[derive(Debug, Display, derive_more::Error)]
pub enum CtlError {
    /// The step failed or was refused.
    #[display("{step} {peer}: {message}")]
    Failed {
        /// The step.
        step: CtlStep,
        /// Host or file that the step concerns; empty if there is none.
        peer: String,
        /// The cause.
        message: String,
    },
    /// No response shows whether a change was applied.
    #[display("{step}: the outcome is unknown; run the same command again with --key {key}")]
    Unknown {
        /// The step.
        step: CtlStep,
        /// The change key, with which the change can be sent again safely.
        key: String,
    },
}

impl CtlError {
    /// Creates a [`CtlError::Failed`].
    pub fn failed(step: CtlStep, peer: impl Into<String>, message: impl Into<String>) -> Self {
        CtlError::Failed {
            step,
            peer: peer.into(),
            message: message.into(),
        }
    }

    /// Returns the exit status of the command.
    pub fn exit_status(&self) -> u8 {
        match self {
            CtlError::Failed { .. } => 1,
            CtlError::Unknown { .. } => 3,
        }
    }
}
