//! The record of a roll-out in the replicated log.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The state of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions receive requests, or are about to.
    #[display("in_progress")]
    InProgress,
    /// All requests go to the version; targets of former versions may stop.
    #[display("completed")]
    Completed,
    /// No requests go to the version; its targets may stop.
    #[display("reverted")]
    Reverted,
}

/// The reason for the newest step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutCause {
    /// The operator's order.
    #[display("ordered")]
    Ordered,
    /// Enough responses were counted, and they speak for the version.
    #[display("evidence")]
    Evidence,
    /// The elapsed time, since there were too few responses to judge by.
    #[display("time")]
    Time,
    /// Responses of the version fail more often than those of others on this route.
    #[display("failures route={_0}")]
    Failures(String),
    /// Responses of the version are slower than those of others on this route.
    #[display("slowness route={_0}")]
    Slowness(String),
    /// Too few targets of the version were up in time.
    #[display("too few targets")]
    NoTargets,
    /// An operator ended the roll-out.
    #[display("an operator")]
    Operator,
}

/// How a roll-out treats targets of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// They receive requests as if there were no roll-out.
    Unrestricted,
    /// They receive the share of the version that is rolled out.
    UnderTest,
    /// They receive no requests.
    Excluded,
}

/// One roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Counter of the service's roll-outs, from 1.
    pub revision: u64,
    /// Counter of the changes of this record.
    pub step: u64,
    /// The version that is rolled out.
    pub version: String,
    /// The versions of the service's targets when the order was received, without the ordered one.
    pub former: Vec<String>,
    /// When the order was received, in Unix milliseconds by the clock of the control host that
    /// accepted it.
    pub started_ms: u64,
    /// Time within which all requests must have moved, in milliseconds.
    pub duration_ms: u64,
    /// The share of requests that the version receives, in thousandths.
    pub permille: u16,
    /// The state of the roll-out.
    pub state: RolloutState,
    /// The reason for the newest step.
    pub cause: RolloutCause,
}

impl RolloutRecord {
    /// Returns whether both versions may receive requests.
    pub fn is_in_progress(&self) -> bool {
        self.state == RolloutState::InProgress
    }

    /// Returns how targets of a version are treated. Targets without a version, or with a third
    /// one, count as former ones while the roll-out is in progress; a version that appears later is
    /// not affected by it.
    pub fn version_status(&self, version: &str) -> VersionStatus {
        let is_tested = version == self.version;
        match self.state {
            RolloutState::InProgress if is_tested => VersionStatus::UnderTest,
            RolloutState::Reverted if is_tested => VersionStatus::Excluded,
            RolloutState::Completed if self.former.iter().any(|one| one == version) => {
                VersionStatus::Excluded
            }
            _ => VersionStatus::Unrestricted,
        }
    }
}
