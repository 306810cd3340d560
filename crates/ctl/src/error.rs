//! Errors of commands, with their step and peer.

use derive_more::Display;

/// The step of a command at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CtlStep {
    /// Reading a file.
    #[display("read")]
    Read,
    /// Checking rows.
    #[display("check")]
    Check,
    /// Asking a host.
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
    /// Something was refused, or is wrong.
    #[display("{step} {peer}: {message}")]
    Failed {
        /// The step.
        step: CtlStep,
        /// The host or file.
        peer: String,
        /// What is wrong.
        message: String,
    },
    /// Nobody can tell whether a change was taken.
    #[display("{step}: the outcome is unknown; run the same command again with --key {key}")]
    Unknown {
        /// The step.
        step: CtlStep,
        /// The change key to send it again under.
        key: String,
    },
}

impl CtlError {
    /// Creates a refusal.
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
