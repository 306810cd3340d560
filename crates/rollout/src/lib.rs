//! Roll-outs: moving the requests of a service to targets of another version of its software, by steps, and
//! back where that version is bad.
//!
//! - [`RolloutOrder`] is what an operator asks; [`RolloutStore`] holds what became of each order, as a state
//!   machine that the replicated log drives.
//! - [`ResponseTracker`] counts the answers of both versions on an entry host; [`EvidenceStore`] sums the counts of
//!   all entry hosts up on a control host.
//! - [`Verdict`] says how strongly the counts speak against the version; [`next_step`] decides by it, by the time
//!   and by the targets that are up.
//!
//! Nothing here opens a connection or reads a clock.

mod count;
mod evidence;
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
