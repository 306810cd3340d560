//! Roll-outs: shifting the requests of a service step by step to targets of another version of its
//! software, and back if that version is bad.
//!
//! - [`RolloutOrder`] is the operator's order; [`RolloutStore`] holds the state of each order, as a
//!   state machine driven by the replicated log.
//! - [`ResponseTracker`] counts the responses of both versions on an entry host; [`EvidenceStore`]
//!   adds up the counts of all entry hosts on a control host.
//! - [`RolloutVerdict`] rates how strongly the counts speak against the version; [`next_step`]
//!   decides by the verdict, the elapsed time and the targets that are up.
//!
//! This crate opens no connections and reads no clock.

mod count;
mod evidence;
mod few_responses;
mod line;
mod order;
mod plan;
mod record;
mod response_tracker;
mod store;
mod verdict;

pub use count::{
    PhaseCounts, ReporterCounts, ResponseTimeHistogram, RouteCounts, VersionCounts, VersionSide,
};
pub use evidence::{EvidenceStore, RolloutTotals};
pub use line::{ROLLOUTS_PATH, RolloutLine};
pub use order::{MAX_DURATION_MS, MAX_VERSION_BYTES, OrderError, RolloutOrder};
pub use plan::{ExposureLimit, RolloutProgress, RolloutStep, next_step};
pub use record::{RolloutCause, RolloutRecord, RolloutState, VersionStatus};
pub use response_tracker::ResponseTracker;
pub use store::{RolloutCommand, RolloutOutcome, RolloutStore};
pub use verdict::{RolloutVerdict, evaluate_rollout};
