//! Roll-outs: moving the requests of a service to targets of another version of its software, by steps, and
//! back where that version is bad.
//!
//! - [`RolloutOrder`] is what an operator asks; [`RolloutBook`] holds what became of each order, as a state
//!   machine that the replicated log drives.
//! - [`RolloutTally`] counts the answers of both versions on an entry host; [`EvidenceBook`] sums the counts of
//!   all entry hosts up on a control host.
//! - [`Verdict`] says how strongly the counts speak against the version; [`next_step`] decides by it, by the time
//!   and by the targets that are up.
//!
//! Nothing here opens a connection or reads a clock.

mod book;
mod count;
mod evidence;
mod line;
mod order;
mod plan;
mod record;
mod tally;
mod verdict;

pub use book::{RolloutBook, RolloutCommand, RolloutOutcome};
pub use count::{PhaseCounts, ReporterCounts, RouteCounts, TimeCounts, VersionCounts, VersionSide};
pub use evidence::{EvidenceBook, RolloutSums};
pub use line::{ROLLOUTS_PATH, RolloutLine};
pub use order::{MAX_DURATION_MS, MAX_VERSION_BYTES, OrderFault, RolloutOrder};
pub use plan::{ExposureRule, RolloutFacts, RolloutStep, next_step};
pub use record::{RolloutCause, RolloutRecord, RolloutState, VersionStanding};
pub use tally::RolloutTally;
pub use verdict::{Verdict, judge};
