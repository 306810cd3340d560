//! One roll-out as the replicated log holds it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutState {
    /// Both versions get requests, or are about to.
    #[display("in_progress")]
    InProgress,
    /// All requests go to the version; its predecessors may stop.
    #[display("completed")]
    Completed,
    /// No request goes to the version; its targets may stop.
    #[display("reverted")]
    Reverted,
}

/// What decided the newest step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutCause {
    /// The order.
    #[display("ordered")]
    Ordered,
    /// As many answers as are needed to tell spoke for the version.
    #[display("evidence")]
    Evidence,
    /// The time: too few answers came to tell.
    #[display("time")]
    Time,
    /// Answers of the version fail more often than others.
    #[display("failures route={_0}")]
    Failures(String),
    /// They come later than others.
    #[display("slowness route={_0}")]
    Slowness(String),
    /// Too few targets of the version were up in time.
    #[display("too few targets")]
    NoTargets,
    /// An operator ended it.
    #[display("an operator")]
    Operator,
}

/// What a roll-out means for targets of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// They get requests as if there were no roll-out.
    Unrestricted,
    /// They get the share of the version that is rolled out.
    UnderTest,
    /// They get nothing.
    Excluded,
}

/// One roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Rises with each roll-out of the service, from 1.
    pub revision: u64,
    /// Rises with each change of this record.
    pub step: u64,
    /// The version that is rolled out.
    pub version: String,
    /// The versions that targets of the service had when the order came, without that one.
    pub former: Vec<String>,
    /// When the order came, in Unix milliseconds of the control host that took it.
    pub started_ms: u64,
    /// Time until the requests have to have moved, in milliseconds.
    pub duration_ms: u64,
    /// The share of the requests that goes to the version, in thousandths.
    pub permille: u16,
    /// How far it is.
    pub state: RolloutState,
    /// What decided the newest step.
    pub cause: RolloutCause,
}

impl RolloutRecord {
    /// Says whether both versions may get requests.
    pub fn is_in_progress(&self) -> bool {
        self.state == RolloutState::InProgress
    }

    /// Says what holds of targets of a version. Those that say no version, and those of a third one, count as
    /// the former ones while the roll-out lasts; a version that comes later is not touched by it.
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
